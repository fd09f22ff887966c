"""Requests that crash upstreams: suspects, quarantine, and news of both.

A digest of client account, model and body stands for a request, so that
another request id or another VM makes no difference.  All of it is a hint
between routers, bounded in size and time.
"""

import collections
import enum
import hashlib

from mulberryway.policy import hints

__all__ = [
    "QUARANTINE_MS",
    "PoisonRegistry",
    "QuarantineState",
    "digest_request",
]

# Every request of an upstream that dies is a suspect; the loss of a zone, or a
# caller that makes up bodies, must not fill the VM's memory.
MAX_DIGESTS = 4_096
# A caller repeats within seconds to minutes.  Each refused repeat renews the
# quarantine, so a request which keeps coming stays out, and a model that was
# mended serves it again ten minutes after the last try.
QUARANTINE_MS = 600_000
# A request that was in two batches which died, without having run as the only
# suspect there, may be an innocent that many callers send.  It stays out for
# long enough that the caller's quick repeats cost no third upstream, and then
# runs again, as the only suspect on its upstream.
UNPROVEN_QUARANTINE_MS = 60_000
DEATHS_TO_QUARANTINE = 2
# Several requests with one digest may die with the same upstream, and each
# router tells of its own; all that within this time is one death.  It is less
# than an upstream's first ejection, so a repeat on the same upstream, started
# again meanwhile, counts as another.
SAME_DEATH_MS = 900
MOST_DEATHS_KEPT = 4


def digest_request(account: str, model: str, body: bytes) -> str:
    """Return the digest that recognises a request's repeats.

    :param account: the client account's name
    :param model: the model's name
    :param body: the body as the caller sent it
    :returns: 32 hexadecimal digits
    """
    digest = hashlib.sha256()
    for part in (account.encode(), model.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return digest.hexdigest()[:32]


class QuarantineState(enum.Enum):
    """How a request is regarded."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _SeenDeath:
    __slots__ = ("upstream", "at_ms", "proven")

    def __init__(self, upstream: str, at_ms: int, proven: bool) -> None:
        self.upstream = upstream
        self.at_ms = at_ms
        self.proven = proven


class _Record:
    __slots__ = ("deaths", "is_proven", "touched_ms")

    def __init__(self, now_ms: int) -> None:
        self.deaths: list[_SeenDeath] = []
        self.is_proven = False
        self.touched_ms = now_ms

    def read_standing(self, now_ms: int) -> QuarantineState:
        if len(self.deaths) < DEATHS_TO_QUARANTINE:
            return QuarantineState.SUSPECT
        is_doubtful = not self.is_proven
        if (
            is_doubtful
            and now_ms - self.deaths[-1].at_ms >= UNPROVEN_QUARANTINE_MS
        ):
            return QuarantineState.SUSPECT
        return QuarantineState.QUARANTINED


class PoisonRegistry:
    """The digests under which upstreams died, here and at other VMs."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._news: list[tuple[hints.Death, int]] = []

    def __len__(self) -> int:
        return len(self._records)

    def read_standing(self, digest: str, now_ms: int) -> QuarantineState:
        """Tell how a request is regarded.

        :param digest: see :func:`digest_request`; empty is always clear
        :param now_ms: the present
        :returns: its standing
        """
        record = self._records.get(digest)
        if record is None:
            return QuarantineState.CLEAR
        if now_ms - record.touched_ms >= QUARANTINE_MS:
            del self._records[digest]
            return QuarantineState.CLEAR
        return record.read_standing(now_ms)

    def renew_quarantine(self, digest: str, now_ms: int) -> None:
        """Renew a quarantine because the request came again.

        :param digest: the request's digest
        :param now_ms: the present
        """
        record = self._records.get(digest)
        if record is not None:
            self._touch(digest, record, now_ms)

    def record_crash(
        self, digest: str, upstream: str, proven: bool, now_ms: int
    ) -> None:
        """Count an upstream that died under a request, and tell peers.

        :param digest: the request's digest
        :param upstream: ``pool/name`` of the upstream
        :param proven: it ran as a suspect, and no other suspect was known
            to run there
        :param now_ms: the present
        """
        if not digest:
            return
        seen = _SeenDeath(upstream, now_ms, proven)
        if self._count(digest, seen, now_ms):
            death = hints.Death(digest, upstream, 0, proven)
            self._tell(death, now_ms)

    def record_success(self, digest: str, now_ms: int) -> None:
        """Clear a suspect that ran to its end, and tell peers.

        :param digest: the request's digest
        :param now_ms: the present
        """
        record = self._records.get(digest)
        if record is None or (
            record.read_standing(now_ms) is QuarantineState.QUARANTINED
        ):
            return
        del self._records[digest]
        self._tell(hints.Death(digest, "", 0, True), now_ms)

    def take_news(self, now_ms: int) -> list[hints.Death]:
        """Return what peers have not been told yet, and forget it.

        :param now_ms: the present
        :returns: the news, oldest first
        """
        news = self._news
        self._news = []
        for death, at_ms in news:
            death.age_ms = now_ms - at_ms
        return [death for death, _ in news]

    def list_crashes(self, now_ms: int) -> list[hints.Death]:
        """Return all that is known, for a router that has just begun.

        :param now_ms: the present
        :returns: at most the register's limit times the deaths of each
        """
        return [
            hints.Death(
                digest, death.upstream, now_ms - death.at_ms, death.proven
            )
            for digest, record in self._records.items()
            for death in record.deaths
        ]

    def note_news(self, deaths: list[hints.Death], now_ms: int) -> None:
        """Take in what a peer told.

        :param deaths: the peer's news
        :param now_ms: the present
        """
        for death in deaths:
            if not death.upstream:
                self._clear_by_peer(death.digest, now_ms)
            elif 0 <= death.age_ms < QUARANTINE_MS:
                seen = _SeenDeath(
                    death.upstream, now_ms - death.age_ms, death.proven
                )
                self._count(death.digest, seen, now_ms)

    def _clear_by_peer(self, digest: str, now_ms: int) -> None:
        if self.read_standing(digest, now_ms) is QuarantineState.SUSPECT:
            del self._records[digest]

    def _count(self, digest: str, seen: _SeenDeath, now_ms: int) -> bool:
        record = self._records.get(digest)
        if record is not None and now_ms - record.touched_ms >= QUARANTINE_MS:
            record = None
        if record is None:
            record = self._records[digest] = _Record(now_ms)
        same = any(
            death.upstream == seen.upstream
            and abs(death.at_ms - seen.at_ms) < SAME_DEATH_MS
            for death in record.deaths
        )
        if same:
            return False
        record.is_proven |= bool(record.deaths) and seen.proven
        record.deaths.append(seen)
        del record.deaths[:-MOST_DEATHS_KEPT]
        self._touch(digest, record, now_ms)
        return True

    def _touch(self, digest: str, record: _Record, now_ms: int) -> None:
        record.touched_ms = now_ms
        self._records.move_to_end(digest)
        while len(self._records) > MAX_DIGESTS:
            self._records.popitem(last=False)

    def _tell(self, death: hints.Death, now_ms: int) -> None:
        self._news.append((death, now_ms))
        del self._news[:-MAX_DIGESTS]
