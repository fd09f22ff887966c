"""Which VMs there are, kept by probing and hearsay; hints, no promises.

Each VM probes one other in each period, asks three more to try when it gets
no answer, and then suspects the silent VM.  A suspect that does not deny it
in time is taken for dead.  News travel on the probes themselves.
"""

import functools
import math
import operator
import random

from mulberryway.policy import member

__all__ = ["Membership"]

# Each message carries at most this many members, so that what a VM sends
# does not grow with the fleet; with one probe and one answer a second this
# stays under 4 KB/s.
MOST_IN_MESSAGE = 8
# Each piece of news is passed on about this often times log2 of the fleet,
# which reaches everybody with high probability.
SENDS_FACTOR = 2
INDIRECT_PROBES = 3
# A VM that pauses for a garbage collection or a slow link must not be thrown
# out: it has this many periods, and more in a large fleet, to deny it.
SUSPECT_PERIODS = 3
# Dead VMs are remembered, else late hearsay would bring them back; and for
# long, because those whose shares they held must know their incarnation.
DEAD_MS = 600_000
SYNC_PERIODS = 5


class Membership:
    """One VM's view of all VMs.

    :param own: this VM
    :param period_ms: the time between probes, in milliseconds
    :param seed: makes the choice of whom to probe repeatable
    """

    def __init__(
        self, own: member.Member, period_ms: int, seed: int = 0
    ) -> None:
        self.own = own
        self._period_ms = period_ms
        self._random = random.Random(f"{seed}/{own.name}")
        self._members: dict[str, member.Member] = {own.name: own}
        self._digest = _weigh(own)
        self._sends: dict[str, int] = {own.name: 0}
        self._since_ms: dict[str, int] = {}
        self._round: list[str] = []
        self._synced_ms: int | None = None
        # Before this nothing expires; none if it has to be found out.
        self._expiry_ms: float | None = None

    def list_members(self) -> list[member.Member]:
        """Return all known VMs, this one and dead ones included."""
        return list(self._members.values())

    def find(self, name: str) -> member.Member | None:
        """Return a VM by name.

        :param name: the VM's name
        :returns: what is known, or none
        """
        return self._members.get(name)

    def digest(self) -> int:
        """Return a number that two VMs share if they know the same."""
        return self._digest

    def apply(self, news: member.Member, now_ms: int) -> bool:
        """Take in what was said about a VM.

        :param news: what was said
        :param now_ms: the present
        :returns: whether it was new
        """
        if news.name == self.own.name:
            return self._defend(news)
        known = self._members.get(news.name)
        if known is not None and not news.is_newer_than(known):
            return False
        if known is None and news.health is member.MemberStatus.DEAD:
            # Nobody needs to learn of a VM by its death; and tombstones
            # which go round for ever would never be forgotten.
            return False
        self._put(self._keep_liveliness(news, known), now_ms)
        return True

    def record_heartbeat(
        self, name: str, streams: int, revision: int, now_ms: int
    ) -> None:
        """Take in what a VM told of itself just now.

        :param name: the VM
        :param streams: its running requests
        :param revision: of the tables that it has
        :param now_ms: the present
        """
        known = self._members.get(name)
        if known is not None:
            known.streams = streams
            known.revision = revision
            known.heard_ms = now_ms

    def note_silent(self, name: str, incarnation: int, now_ms: int) -> bool:
        """Suspect a VM that neither this one nor its helpers could reach.

        :param name: the VM
        :param incarnation: the life that was probed
        :param now_ms: the present
        :returns: whether it is newly suspected
        """
        known = self._members.get(name)
        is_same = known is not None and known.incarnation == incarnation
        if not is_same or known.health is not member.MemberStatus.ALIVE:
            return False
        self._set_health(known, member.MemberStatus.SUSPECT, now_ms)
        return True

    def expire(self, now_ms: int) -> list[member.Member]:
        """Take suspects for dead, and forget those long dead.

        :param now_ms: the present
        :returns: the VMs that were newly taken for dead
        """
        if self._expiry_ms is not None and now_ms < self._expiry_ms:
            return []
        died = []
        for known in list(self._members.values()):
            if now_ms < self._find_expiry_ms(known):
                continue
            if known.health is member.MemberStatus.SUSPECT:
                died.append(
                    self._set_health(known, member.MemberStatus.DEAD, now_ms)
                )
            else:
                self._forget(known)
        self._expiry_ms = min(
            map(self._find_expiry_ms, self._members.values())
        )
        return died

    def _find_expiry_ms(self, known: member.Member) -> float:
        """Return when a VM's health changes by time alone."""
        since_ms = self._since_ms.get(known.name, 0)
        if known.health is member.MemberStatus.SUSPECT:
            size = len(self._members)
            periods = SUSPECT_PERIODS + math.ceil(math.log2(size + 1))
            return since_ms + self._period_ms * periods
        if known.health is member.MemberStatus.DEAD:
            return since_ms + DEAD_MS
        return math.inf

    def choose_probe_target(self) -> member.Member | None:
        """Return the VM to probe next.

        Every VM is probed once in each shuffled round, so that the time
        until a death is noticed has a limit, which plain random choice has
        not.  Suspects are probed as well: it lets them deny it.  A VM that
        is cut off takes all others for dead; then there is none to probe.
        """
        while True:
            if not self._round:
                self._round = [
                    one.name
                    for one in self._list_others()
                    if one.health is not member.MemberStatus.DEAD
                ]
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            known = self._members.get(self._round.pop())
            if (
                known is not None
                and known.health is not member.MemberStatus.DEAD
            ):
                return known

    def sample_alive(
        self, count: int, besides: str = ""
    ) -> list[member.Member]:
        """Return random VMs that are thought to be alive.

        :param count: how many at most
        :param besides: the name of a VM to leave out
        :returns: VMs
        """
        alive = [
            one
            for one in self._list_others()
            if one.health is member.MemberStatus.ALIVE and one.name != besides
        ]
        return self._random.sample(alive, min(count, len(alive)))

    def sample_dead(self) -> member.Member | None:
        """Return a random dead VM, to find out whether it is back.

        After two regions have lost each other for minutes, each takes the
        other's VMs for dead, and nobody would ever probe them again.
        """
        everybody = self._list_others()
        dead = [
            one for one in everybody if one.health is member.MemberStatus.DEAD
        ]
        return self._random.choice(dead) if dead else None

    def take_news(self) -> list[member.Member]:
        """Choose what to pass on with the next message.

        :returns: a few VMs, those least often passed on first
        """
        most = self.compute_retransmit_limit()
        waiting = sorted(self._sends, key=lambda name: self._sends[name])
        chosen = waiting[:MOST_IN_MESSAGE]
        for name in chosen:
            self._sends[name] += 1
        for name in [n for n in chosen if self._sends[n] >= most]:
            del self._sends[name]
        return [self._members[name] for name in chosen]

    def compute_retransmit_limit(self) -> int:
        """Return how often a VM passes a piece of news on."""
        return SENDS_FACTOR * math.ceil(math.log2(len(self._members) + 1))

    def needs_sync(self, digest: int, now_ms: int) -> bool:
        """Tell whether to fetch all that another VM knows.

        Hearsay alone may miss a VM.  Views differ for a moment after each
        change, so only a difference after a pause asks for everything.

        :param digest: the other VM's digest
        :param now_ms: the present
        :returns: whether to fetch; the next time is then some periods off
        """
        if digest == self._digest:
            return False
        pause_ms = self._period_ms * SYNC_PERIODS
        # With n VMs a full view is n entries: asked for at most once in so
        # many periods, its bytes a second stay the same in a larger fleet.
        pause_ms *= max(len(self._members) // 32, 1)
        if self._synced_ms is not None:
            if now_ms - self._synced_ms < pause_ms:
                return False
        self._synced_ms = now_ms
        return True

    def update_local(
        self,
        is_stopping: bool | None = None,
        holdings: bytes | None = None,
        is_starting: bool | None = None,
    ) -> None:
        """Change what this VM tells of itself.

        :param is_stopping: whether it wants no new callers
        :param holdings: what it holds of the fleet's state
        :param is_starting: whether it cannot serve callers yet
        """
        if is_starting is not None:
            self.own.is_starting = is_starting
        if is_stopping is not None:
            self.own.is_stopping = is_stopping
        if holdings is not None:
            self.own.holdings = holdings
        self._speak_up(self.own.version + 1)

    def _defend(self, news: member.Member) -> bool:
        """Deny what was wrongly said about this VM itself."""
        if news.incarnation > self.own.incarnation:
            # An earlier life had a clock that was ahead.  Without a larger
            # number this life would be taken for the old one for ever.
            self.own.incarnation = news.incarnation + 1
            self._speak_up(0)
            return True
        is_old = news.incarnation < self.own.incarnation
        if is_old or news.health is member.MemberStatus.ALIVE:
            return False
        self._speak_up(max(news.version, self.own.version) + 1)
        return True

    def _speak_up(self, version: int) -> None:
        # The digest is of what others know, so it follows every change.
        self.own.version = version
        self._digest = functools.reduce(
            operator.xor, map(_weigh, self._members.values())
        )
        self._sends[self.own.name] = 0

    def _put(self, news: member.Member, now_ms: int) -> None:
        known = self._members.get(news.name)
        if known is None:
            # A new VM is probed within the current round.
            place = self._random.randint(0, len(self._round))
            self._round.insert(place, news.name)
        else:
            self._digest ^= _weigh(known)
        self._members[news.name] = news
        self._expiry_ms = None
        self._digest ^= _weigh(news)
        self._since_ms[news.name] = now_ms
        self._sends[news.name] = 0

    def _keep_liveliness(
        self, news: member.Member, known: member.Member | None
    ) -> member.Member:
        if known is not None and known.incarnation == news.incarnation:
            news.streams = known.streams
            news.revision = known.revision
            news.heard_ms = known.heard_ms
        return news

    def _set_health(
        self, known: member.Member, health: member.MemberStatus, now_ms: int
    ) -> member.Member:
        changed = known.copy()
        changed.health = health
        self._put(changed, now_ms)
        return changed

    def _forget(self, known: member.Member) -> None:
        del self._members[known.name]
        self._expiry_ms = None
        self._since_ms.pop(known.name, None)
        self._sends.pop(known.name, None)

    def _list_others(self) -> list[member.Member]:
        everybody = self._members.values()
        return [one for one in everybody if one is not self.own]


def _weigh(known: member.Member) -> int:
    # Dead VMs are forgotten at different times; that is no difference.
    return 0 if known.health is member.MemberStatus.DEAD else known.digest()
