"""Registry of requests that crash upstreams: suspects and quarantine.

A request is identified by a digest of client account, model and body, so a
retry with another request id or through another VM is recognised. The state is
best effort, exchanged between routers, and bounded in size and time.
"""

import collections
import enum
import hashlib

from mulberryway.policy import hints

__all__ = [
    "QUARANTINE_MS",
    "PoisonRegistry",
    "Quarantine",
    "QuarantineState",
    "digest_request",
]

# Every request on an upstream that crashes is a suspect. The loss of a zone,
# or a caller that generates bodies, must not fill the VM's memory.
MAX_DIGESTS = 4_096
# A caller retries within seconds to minutes. Each rejected retry renews the
# quarantine, so a request that is sent repeatedly stays quarantined, and a
# model that was fixed serves it again ten minutes after the last attempt.
QUARANTINE_MS = 600_000
# A request that was in two batches whose upstream crashed, without having been
# the only suspect there, may be a harmless one that many callers send. Its
# quarantine is long enough that the caller's quick retries do not crash a
# third upstream. After it the request runs again, as the only suspect on its
# upstream.
UNPROVEN_QUARANTINE_MS = 60_000
CRASHES_TO_QUARANTINE = 2
# Several requests with one digest may run on the upstream that crashes, and
# each router reports its own; reports within this time are one crash. It is
# shorter than an upstream's first ejection, so that a retry which crashes the
# same, restarted upstream counts as another crash.
SAME_CRASH_MS = 900
MAX_CRASHES_PER_REQUEST = 4
# A request that was answered within this time before a crash is probably not
# its cause.
RECENT_ANSWER_MS = 10_000
# Upstreams that are lost together are found to be so within this time.
SAME_LOSS_MS = 300


def digest_request(account: str, model: str, *content: bytes) -> str:
    """Return the digest that identifies a request and its retries.

    :param account: the client account's name
    :param model: the model's name
    :param content: the request as the caller sent it; parts are not joined,
        since the last one may be large
    :returns: 32 hexadecimal digits
    """
    digest = hashlib.sha256()
    for part in (account.encode(), model.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    for part in content:
        digest.update(part)
    return digest.hexdigest()[:32]


class QuarantineState(enum.Enum):
    """Quarantine state of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _Crash:
    """A crash of one upstream under a request."""

    __slots__ = ("upstream", "at_ms", "proven")

    def __init__(self, upstream: str, at_ms: int, proven: bool) -> None:
        self.upstream = upstream
        self.at_ms = at_ms
        self.proven = proven


class _Record:
    """The crashes of one request since its last answer.

    :param now_ms: current time in ms
    :param was_answered: whether it was answered shortly before them
    """

    __slots__ = ("deaths", "is_proven", "used_ms", "was_answered")

    def __init__(self, now_ms: int, was_answered: bool) -> None:
        self.deaths: list[_Crash] = []
        self.is_proven = False
        self.used_ms = now_ms
        self.was_answered = was_answered

    def count_crashes(self) -> int:
        """Return the number of crashes that may be the request's fault.

        A usual request runs on many upstreams.  Those of them that crash at
        the same time, as in the loss of a zone, have a cause in common.
        """
        if not self.was_answered:
            return len(self.deaths)
        count = began_ms = 0
        for at_ms in sorted(death.at_ms for death in self.deaths):
            if not count or at_ms - began_ms >= SAME_LOSS_MS:
                count, began_ms = count + 1, at_ms
        return count

    def read_standing(self, now_ms: int) -> QuarantineState:
        if self.count_crashes() < CRASHES_TO_QUARANTINE:
            return QuarantineState.SUSPECT
        is_unproven = not self.is_proven
        if (
            is_unproven
            and now_ms - self.deaths[-1].at_ms >= UNPROVEN_QUARANTINE_MS
        ):
            return QuarantineState.SUSPECT
        return QuarantineState.QUARANTINED


class Quarantine:
    """What the quarantine of a request is based on.

    :param digest: the request's digest
    :param record: its crashes
    :param answered_ms: when it was answered last, in ms; none if never, as
        far as this VM remembers
    """

    __slots__ = ("digest", "upstreams", "crashes_ms", "proven", "answered_ms")

    def __init__(
        self, digest: str, record: _Record, answered_ms: int | None
    ) -> None:
        self.digest = digest
        self.upstreams = [death.upstream for death in record.deaths]
        self.crashes_ms = [death.at_ms for death in record.deaths]
        self.proven = record.is_proven
        self.answered_ms = answered_ms


class PoisonRegistry:
    """Digests of requests under which upstreams crashed, fleet-wide."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._updates: list[tuple[hints.Death, int]] = []
        # When requests were answered last, by their digests.
        self._answered_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._quarantined: list[Quarantine] = []

    def __len__(self) -> int:
        return len(self._records)

    def get_state(self, digest: str, now_ms: int) -> QuarantineState:
        """Return the quarantine state of a request.

        :param digest: see :func:`digest_request`; empty is always clear
        :param now_ms: current time in ms
        :returns: the state
        """
        record = self._records.get(digest)
        if record is None:
            return QuarantineState.CLEAR
        if now_ms - record.used_ms >= QUARANTINE_MS:
            del self._records[digest]
            return QuarantineState.CLEAR
        return record.read_standing(now_ms)

    def get_retry_ms(self, digest: str, now_ms: int) -> int:
        """Return when a quarantined request may run again, in ms.

        :param digest: the request's digest
        :param now_ms: current time in ms
        :returns: the time if it is not sent again before
        """
        record = self._records.get(digest)
        if record is None:
            return 0
        if record.is_proven:
            return QUARANTINE_MS
        elapsed_ms = now_ms - record.deaths[-1].at_ms
        return max(UNPROVEN_QUARANTINE_MS - elapsed_ms, 0)

    def renew_quarantine(self, digest: str, now_ms: int) -> None:
        """Renew a quarantine because the request was sent again.

        :param digest: the request's digest
        :param now_ms: current time in ms
        """
        record = self._records.get(digest)
        if record is not None:
            self._mark_used(digest, record, now_ms)

    def record_crash(
        self, digest: str, upstream: str, proven: bool, now_ms: int
    ) -> None:
        """Record that an upstream crashed under a request; queue it for peers.

        :param digest: the request's digest
        :param upstream: ``pool/name`` of the upstream
        :param proven: whether the request ran as a suspect and no other
            suspect was known to run there
        :param now_ms: current time in ms
        """
        if not digest:
            return
        crash = _Crash(upstream, now_ms, proven)
        if self._count(digest, crash, now_ms):
            death = hints.Death(digest, upstream, 0, proven)
            self._queue_update(death, now_ms)

    def record_success(self, digest: str, now_ms: int) -> None:
        """Clear a suspect that completed; queue that for peers.

        :param digest: the request's digest
        :param now_ms: current time in ms
        """
        record = self._records.get(digest)
        if record is None or (
            record.read_standing(now_ms) is QuarantineState.QUARANTINED
        ):
            return
        del self._records[digest]
        self._queue_update(hints.Death(digest, "", 0, True), now_ms)

    def record_answer(self, digest: str, now_ms: int) -> bool:
        """Clear a request that a plain server has answered; tell the peers.

        A request that crashes the servers which run it is never answered, so
        this ends also a quarantine that other crashes have caused.

        :param digest: the request's digest
        :param now_ms: current time in ms
        :returns: whether there is something to tell the peers
        """
        if not digest:
            return False
        self._mark_answered(digest, now_ms)
        has_cleared = self._clear_before(digest, now_ms)
        if has_cleared:
            self._queue_update(hints.Death(digest, "", 0, False), now_ms)
        return has_cleared

    def drain_quarantined(self) -> list["Quarantine"]:
        """Return the quarantines that began since the last call."""
        quarantined, self._quarantined = self._quarantined, []
        return quarantined

    def drain_updates(self, now_ms: int) -> list[hints.Death]:
        """Return the updates not yet sent to peers, and clear them.

        :param now_ms: current time in ms
        :returns: the updates, oldest first
        """
        updates = self._updates
        self._updates = []
        for death, at_ms in updates:
            death.age_ms = now_ms - at_ms
        return [death for death, _ in updates]

    def list_crashes(self, now_ms: int) -> list[hints.Death]:
        """Return all known crashes, for a router that has just started.

        :param now_ms: current time in ms
        :returns: at most :data:`MAX_DIGESTS` times the crashes of each
        """
        return [
            hints.Death(
                digest, death.upstream, now_ms - death.at_ms, death.proven
            )
            for digest, record in self._records.items()
            for death in record.deaths
        ]

    def apply_updates(self, deaths: list[hints.Death], now_ms: int) -> None:
        """Apply updates received from a peer.

        :param deaths: the peer's updates
        :param now_ms: current time in ms
        """
        for death in deaths:
            if not death.upstream and death.proven:
                self._clear_by_peer(death.digest, now_ms)
            elif not death.upstream:
                answered_ms = now_ms - max(death.age_ms, 0)
                self._mark_answered(death.digest, answered_ms)
                self._clear_before(death.digest, answered_ms)
            elif 0 <= death.age_ms < QUARANTINE_MS:
                crash = _Crash(
                    death.upstream, now_ms - death.age_ms, death.proven
                )
                self._count(death.digest, crash, now_ms)

    def _clear_by_peer(self, digest: str, now_ms: int) -> None:
        if self.get_state(digest, now_ms) is QuarantineState.SUSPECT:
            del self._records[digest]

    def _clear_before(self, digest: str, answered_ms: int) -> bool:
        """Forget the crashes before an answer, unless the cause is proven.

        :returns: whether the request has become clear
        """
        record = self._records.get(digest)
        if record is None or record.is_proven:
            return False
        record.deaths = [
            death for death in record.deaths if death.at_ms > answered_ms
        ]
        record.was_answered = True
        if record.deaths:
            return False
        del self._records[digest]
        return True

    def _mark_answered(self, digest: str, answered_ms: int) -> None:
        last_ms = self._answered_ms.get(digest, answered_ms)
        self._answered_ms[digest] = max(last_ms, answered_ms)
        self._answered_ms.move_to_end(digest)
        while len(self._answered_ms) > MAX_DIGESTS:
            self._answered_ms.popitem(last=False)

    def _count(self, digest: str, crash: _Crash, now_ms: int) -> bool:
        answered_ms = self._answered_ms.get(digest)
        if answered_ms is not None and answered_ms > crash.at_ms:
            return False
        record = self._records.get(digest)
        if record is not None and now_ms - record.used_ms >= QUARANTINE_MS:
            record = None
        if record is None:
            record = self._records[digest] = _Record(
                now_ms,
                answered_ms is not None
                and crash.at_ms - answered_ms < RECENT_ANSWER_MS,
            )
        same = any(
            death.upstream == crash.upstream
            and abs(death.at_ms - crash.at_ms) < SAME_CRASH_MS
            for death in record.deaths
        )
        if same:
            return False
        state = record.read_standing(now_ms)
        record.is_proven |= bool(record.deaths) and crash.proven
        record.deaths.append(crash)
        del record.deaths[:-MAX_CRASHES_PER_REQUEST]
        self._mark_used(digest, record, now_ms)
        if (
            state is not QuarantineState.QUARANTINED
            and record.read_standing(now_ms) is QuarantineState.QUARANTINED
        ):
            self._quarantined.append(Quarantine(digest, record, answered_ms))
            del self._quarantined[:-MAX_DIGESTS]
        return True

    def _mark_used(self, digest: str, record: _Record, now_ms: int) -> None:
        record.used_ms = now_ms
        self._records.move_to_end(digest)
        while len(self._records) > MAX_DIGESTS:
            self._records.popitem(last=False)

    def _queue_update(self, death: hints.Death, now_ms: int) -> None:
        self._updates.append((death, now_ms))
        del self._updates[:-MAX_DIGESTS]
