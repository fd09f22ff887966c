"""What all VMs together have given each account: one bucket, many counters.

A promise, kept within the margin that operators allow for it.  Each VM
counts up what it gave and tells the others; all subtract one another's
counts from the same bucket.  What a VM has not heard yet is what may be
given too much, so the margin has to cover one delay between VMs.
"""

import collections
import collections.abc
import itertools

from mulberryway import tables
from mulberryway.policy import usage_bucket
from mulberryway.policy import usage_messages

__all__ = ["AccountUsage", "Margin", "Usage", "ReplicatedRateLimiter"]

MS_IN_S = 1_000
# A VM tells its counts at least this often; see ``HEARTBEAT_TIMEOUT_MS``.  In
# a fleet of more than so many VMs it does so more seldom, in proportion, so
# that the messages that a VM gets stay the same in number.
HEARTBEAT_MS = 300
HEARTBEAT_SCALING_VMS = 40
# A VM that is cut off may still have callers, and both sides would give the
# whole rate.  After missing three heartbeats the silent VM's part of rate and
# burst is left to it.
HEARTBEAT_TIMEOUT_MS = 950
# A VM that was silent for so long has probably gone for good, and its part
# would be missed by all.  Only VMs that hear most of the others take it over:
# one that is cut off alone hears nobody either, and keeps to its own part.
EVICTION_TIMEOUT_MS = 12_000
# VMs whose last counts are remembered in case they come back.
MAX_EVICTED_PEERS = 256
# Part of the operators' margin that is given away in advance, so that delays
# and rounding refuse nobody within the rate; the rest covers what has not
# been heard yet.  At the peak a hot account asks for some 300,000 tokens a
# second, so one delay of 100 ms is worth 30,000.
UPFRONT_MARGIN_FRACTION = 0.1
# Part of an account's due in one window by which VMs that are killed, cut off
# or told too late may overrun at worst, over the 500 schedules of the tests:
# with 0.2 of it 2 of 300 schedules gave too much, with 0.3 none did.  What
# the margin holds beyond that comes in along with the rate.  It matters for
# accounts whose margin is large beside their rate: one of 30,000 tokens a
# second that asks for several times that gets 14 in 100 more.
OVERRUN_RESERVE_FRACTION = 0.3
# VMs that all begin at once know of nothing.  With empty buckets accounts
# would be refused within their rate; with full ones an account might get its
# burst twice in a window.  So they begin with a part of the margin, and each
# VM gives its part of that until it has heard of the others.
INITIAL_MARGIN_FRACTION = 0.25
# A VM that has heard nobody since it began, though there are others, is cut
# off or the first of all; it does not know how many there are.
ISOLATED_FRACTION = 0.25
# The life of a VM that is known by name only.
UNKNOWN = -1
# A VM that has counted for so long knows what was given before.
WARM_UP_MS = 3_000
# All accounts are told with each so many heartbeats; while a VM has counted
# for less than ``STARTUP_FULL_SYNC_MS``, with each one, or with each second
# one in a fleet of more than ``HEARTBEAT_SCALING_VMS``.  The others repeat
# only what was told since the heartbeat before the last, in case a message was
# lost.
FULL_SYNC_INTERVAL = 5
STARTUP_FULL_SYNC_INTERVAL = 2
STARTUP_FULL_SYNC_MS = 4_000


AccountUsage = usage_messages.AccountUsage
Margin = usage_messages.Margin
Usage = usage_messages.Usage


class _Peer:
    """What one other VM has told."""

    __slots__ = ("incarnation", "sequence", "heard_ms", "spent", "silent_ms")

    def __init__(self, incarnation: int, now_ms: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.heard_ms = now_ms
        self.spent: dict[str, int] = {}
        # Since when its part has been left to it; none while it is heard.
        self.silent_ms: int | None = None


class ReplicatedRateLimiter:
    """One VM's view of what all have given.

    :param vm: this VM's name
    :param incarnation: which life of it
    :param margin: what accounts may get beyond rate and burst
    :param now_ms: the present
    :param has_others: whether other VMs are known to exist
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        margin: Margin,
        now_ms: int,
        has_others: bool = True,
    ) -> None:
        self._has_others = has_others
        self._vm = vm
        self._incarnation = incarnation
        self._margin = margin
        self._began_ms = now_ms
        self._told_ms: int | None = None
        self._numbers = itertools.count(1)
        self._heartbeats = 0
        self._whole_until_ms = now_ms + STARTUP_FULL_SYNC_MS
        # Accounts told since the last heartbeat, and before that.
        self._recent: set[str] = set()
        self._earlier: set[str] = set()
        self._buckets: dict[str, usage_bucket.UsageBucket] = {}
        self._peers: dict[str, _Peer] = {}
        self._gone: collections.OrderedDict[str, _Peer] = (
            collections.OrderedDict()
        )
        self._has_adopted = False
        # The part of all rates that those heard may give, and until when
        # that holds unless VMs come or come back.
        self._part = 1.0
        self._part_until_ms = 0

    def update_members(
        self, vms: collections.abc.Iterable[str], now_ms: int
    ) -> None:
        """Take over which VMs there are, as the store has it.

        VMs that begin while some are cut off from the others would take
        themselves for all.  A VM that was not heard yet counts as silent, and
        keeps its part.

        :param vms: names of VMs
        :param now_ms: the present
        """
        for name in vms:
            if name != self._vm and name not in self._peers:
                self._peers[name] = _Peer(UNKNOWN, now_ms)
        self._part_until_ms = 0

    def update_accounts(
        self,
        accounts: collections.abc.Iterable[tables.ClientAccount],
        now_ms: int,
    ) -> None:
        """Take over rates and bursts; counts stay.

        :param accounts: the accounts in force
        :param now_ms: the present
        """
        for account in accounts:
            bucket = self._find(account.name, now_ms)
            bucket.refill(self._read_part(now_ms), now_ms)
            is_new = not bucket.burst
            self._set_limits(bucket, account)
            if is_new:
                bucket.level += (
                    self._margin.read_tokens(account) * INITIAL_MARGIN_FRACTION
                )
            bucket.level = min(bucket.level, bucket.burst)
            bucket.shared_level = max(bucket.level, bucket.shared_level)

    def _set_limits(
        self, bucket: usage_bucket.UsageBucket, account: tables.ClientAccount
    ) -> None:
        """Set what comes in and what fits, the margin's free parts with it."""
        margin = self._margin
        bucket.margin = margin.read_tokens(account)
        if not account.rate:
            bucket.rate = bucket.burst = 0.0
            return
        free = 1 + margin.over_part / 2
        extra = margin.over_tokens * UPFRONT_MARGIN_FRACTION
        due = margin.compute_limit(account)
        spread = (
            margin.read_tokens(account)
            - due * (margin.over_part / 2 + OVERRUN_RESERVE_FRACTION)
            - extra
        )
        bucket.rate = account.rate * free + (
            max(spread, 0.0) * MS_IN_S / margin.window_ms
        )
        bucket.burst = account.burst * free + extra

    def take(self, account: str, tokens: int, now_ms: int) -> int | None:
        """Take tokens for a request.

        :param account: the account's name
        :param tokens: what the request may use
        :param now_ms: the present
        :returns: none if they were taken; else after how many milliseconds
            they will be there
        """
        bucket = self._find(account, now_ms)
        if not bucket.rate:
            return None
        part = self._read_part(now_ms)
        bucket.refill(part, now_ms)
        usable = bucket.compute_available(part)
        # What never fits is let through when all is there, as a debt.
        needed = min(tokens, bucket.burst * part)
        if usable < needed:
            rate = max(bucket.rate * part, 1.0)
            return int((needed - usable) * MS_IN_S / rate) + 1
        self._spend(bucket, tokens)
        return None

    def refund(self, account: str, tokens: int, now_ms: int) -> None:
        """Give back tokens of a request that has not run.

        :param account: the account's name
        :param tokens: what was taken
        :param now_ms: the present
        """
        self._spend(self._find(account, now_ms), -tokens)

    def describe(
        self, account: str, now_ms: int
    ) -> dict[str, int | float | str]:
        """Return what decides about an account now, for logs.

        :param account: the account's name
        :param now_ms: the present
        :returns: what is left, and what that rests on
        """
        bucket = self._find(account, now_ms)
        return {
            "left": int(bucket.level),
            "rate": int(bucket.rate),
            "part": round(self._read_part(now_ms), 2),
            "heard_ms": max(
                (now_ms - peer.heard_ms for peer in self._peers.values()),
                default=0,
            ),
        }

    def list_unresponsive(self, now_ms: int) -> frozenset[str]:
        """Return the VMs that were heard before and are silent now.

        :param now_ms: the present
        :returns: their names
        """
        return frozenset(
            name
            for name, peer in self._peers.items()
            if self._is_silent(peer, now_ms)
        )

    def make_usage(
        self,
        mirrors: dict[str, int],
        now_ms: int,
        has_other_changes: bool = False,
    ) -> Usage | None:
        """Return what the other VMs should hear now.

        :param mirrors: by kind, the revision up to which the store is known
        :param now_ms: the present
        :param has_other_changes: whether something besides the counts has
            changed
        :returns: a message, or none while nothing is due
        """
        pause_ms = HEARTBEAT_MS * self._read_scale()
        is_due = self._told_ms is None or now_ms - self._told_ms >= pause_ms
        changed = {
            name
            for name, bucket in self._buckets.items()
            if bucket.unannounced
        }
        is_urgent = any(not self._may_wait(name) for name in changed)
        if not is_urgent and not is_due and not has_other_changes:
            return None
        is_whole = is_due and self._must_tell_all(now_ms)
        self._recent |= changed
        names = changed
        if is_due:
            names = self._recent | self._earlier
            self._earlier, self._recent = self._recent, set()
            self._told_ms = now_ms
            self._heartbeats += 1
        if is_whole:
            names = set(self._buckets)
        told = {name: self._buckets[name] for name in sorted(names)}
        for bucket in told.values():
            bucket.announced = bucket.spent
        return Usage(
            self._vm,
            self._incarnation,
            next(self._numbers),
            [
                AccountUsage(name, bucket.spent, int(bucket.level))
                for name, bucket in told.items()
                if bucket.spent or bucket.rate
            ],
            mirrors,
            now_ms - self._began_ms,
            is_whole=is_whole,
            is_heartbeat=not is_urgent and not has_other_changes,
        )

    def _may_wait(self, name: str) -> bool:
        """Tell whether an account's count may wait for a heartbeat.

        In a small fleet there are few messages, and each VM would hold back
        more.
        """
        vms = len(self._peers) + 1
        return vms > HEARTBEAT_SCALING_VMS and self._buckets[name].can_defer(
            vms
        )

    def compute_next_heartbeat_ms(self) -> int:
        """Return when the next heartbeat is due, whatever has changed."""
        if self._told_ms is None:
            return self._began_ms
        return int(self._told_ms + HEARTBEAT_MS * self._read_scale())

    def _must_tell_all(self, now_ms: int) -> bool:
        every = FULL_SYNC_INTERVAL
        if now_ms < self._whole_until_ms:
            every = STARTUP_FULL_SYNC_INTERVAL if self._read_scale() > 1 else 1
        return self._heartbeats % every == 0

    def merge_usage(self, usage: Usage, now_ms: int) -> None:
        """Take in another VM's counts.

        :param usage: what it told; late and repeated ones do no harm
        :param now_ms: the present
        """
        if usage.vm == self._vm:
            return
        peer = self._peers.get(usage.vm)
        if peer is None and usage.vm in self._gone:
            peer = self._peers[usage.vm] = self._gone.pop(usage.vm)
            peer.silent_ms = None
            self._part_until_ms = 0
        is_new = peer is None or peer.incarnation != usage.incarnation
        if peer is None or is_new:
            self._return_part(peer, now_ms)
            peer = _Peer(usage.incarnation, now_ms)
            self._peers[usage.vm] = peer
        elif usage.sequence <= peer.sequence:
            return
        was_silent = peer.silent_ms is not None
        self._return_part(peer, now_ms)
        peer.sequence = usage.sequence
        peer.heard_ms = now_ms
        if was_silent or is_new:
            self._part_until_ms = 0
        if usage.age_ms < STARTUP_FULL_SYNC_MS:
            self._whole_until_ms = max(
                self._whole_until_ms,
                now_ms + STARTUP_FULL_SYNC_MS - usage.age_ms,
            )
        self._adopt(usage, now_ms)
        for told in usage.accounts:
            self._subtract(peer, told, now_ms)

    def _adopt(self, usage: Usage, now_ms: int) -> None:
        # A VM that has just begun knows nothing of what was given before;
        # one that counted on does.
        if (
            self._has_adopted
            or usage.age_ms < WARM_UP_MS
            or not usage.is_whole
        ):
            return
        if now_ms - self._began_ms > WARM_UP_MS:
            self._has_adopted = True
            return
        self._has_adopted = bool(usage.accounts)
        for told in usage.accounts:
            bucket = self._find(told.account, now_ms)
            bucket.level = float(told.left) - bucket.spent

    def _subtract(self, peer: _Peer, told: AccountUsage, now_ms: int) -> None:
        # What a VM gave before this one began is in what was adopted; what a
        # VM tells first of its life it has given just now.
        has_begun = now_ms - self._began_ms < WARM_UP_MS
        first = told.spent if has_begun else 0
        before = peer.spent.get(told.account, first)
        peer.spent[told.account] = told.spent
        bucket = self._find(told.account, now_ms)
        # What came in before must not make up for what goes out now, where
        # it would have overflowed.
        bucket.refill(self._read_part(now_ms), now_ms)
        bucket.level -= told.spent - before

    def _return_part(self, peer: _Peer | None, now_ms: int) -> None:
        """Count the refill that was left to a VM while it was silent."""
        if peer is None or peer.silent_ms is None:
            return
        passed_ms = min(now_ms - peer.silent_ms, EVICTION_TIMEOUT_MS)
        part = 1.0 / (len(self._peers) + 1)
        # Until now it was silent, which counts for what has come in.
        before = self._read_part(now_ms)
        peer.silent_ms = None
        for bucket in self._buckets.values():
            bucket.refill(before, now_ms)
            bucket.level = min(
                bucket.level + bucket.rate * part * passed_ms / MS_IN_S,
                bucket.burst,
            )

    def _read_part(self, now_ms: int) -> float:
        """Return the part of all rates that those heard may give.

        It is asked for with each account of each message, forty messages a
        second in a fleet of ninety.  Counting ninety VMs takes 33 us, so a
        message of sixteen accounts would take 627 us; it takes 18 us with
        the part kept until a VM comes, comes back, falls silent or is gone.
        """
        if now_ms >= self._part_until_ms:
            self._part = self._count_part(now_ms)
            self._part_until_ms = self._find_change_ms(now_ms)
        return self._part

    def _find_change_ms(self, now_ms: int) -> int:
        """Return when a VM falls silent or is gone at the earliest."""
        silent_ms = int(HEARTBEAT_TIMEOUT_MS * self._read_scale())
        changes = (
            peer.heard_ms
            + (silent_ms if peer.silent_ms is None else EVICTION_TIMEOUT_MS)
            for peer in self._peers.values()
        )
        return min(
            (at_ms for at_ms in changes if at_ms > now_ms),
            default=now_ms + silent_ms,
        )

    def _count_part(self, now_ms: int) -> float:
        silent = [
            peer
            for peer in self._peers.values()
            if self._is_silent(peer, now_ms)
        ]
        if len(silent) * 2 < len(self._peers) + 1:
            self._forget_gone(now_ms)
            silent = [
                peer
                for peer in silent
                if now_ms - peer.heard_ms < EVICTION_TIMEOUT_MS
            ]
        for peer in silent:
            if peer.silent_ms is None:
                peer.silent_ms = now_ms
        if not self._peers and not self._gone and self._has_others:
            return ISOLATED_FRACTION
        return 1.0 - len(silent) / (len(self._peers) + 1)

    def _is_silent(self, peer: _Peer, now_ms: int) -> bool:
        if peer.incarnation == UNKNOWN:
            return True
        return (
            now_ms - peer.heard_ms >= HEARTBEAT_TIMEOUT_MS * self._read_scale()
        )

    def _read_scale(self) -> float:
        return max((len(self._peers) + 1) / HEARTBEAT_SCALING_VMS, 1.0)

    def _forget_gone(self, now_ms: int) -> None:
        gone = [
            name
            for name, peer in self._peers.items()
            if now_ms - peer.heard_ms >= EVICTION_TIMEOUT_MS
        ]
        for name in gone:
            self._gone[name] = self._peers.pop(name)
        while len(self._gone) > MAX_EVICTED_PEERS:
            self._gone.popitem(last=False)

    def _find(self, account: str, now_ms: int) -> usage_bucket.UsageBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = usage_bucket.UsageBucket(now_ms)
        return bucket

    @staticmethod
    def _spend(bucket: usage_bucket.UsageBucket, tokens: int) -> None:
        bucket.level -= tokens
        bucket.spent += tokens
