"""Logs and metrics of objects that count although the store removed them."""

import collections.abc
import logging
import typing

from mulberryway import logs
from mulberryway import metrics
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors

__all__ = ["RetainedObjectReport", "report"]

LOG = logging.getLogger(__name__)

# Names in one log line, whose length is bounded so.
MAX_LOGGED_NAMES = 8

Kept = collections.abc.Sequence[mirrors.RetainedObject]
Fields = dict[str, typing.Any]


class RetainedObjectReport:
    """Counts one kind's removals that take effect late, and logs them.

    :param kind: the plural kind
    :param detector: knows by which outage they were judged; none where no
        object is kept

    ``kept`` is how many objects are kept now; ``expired`` and ``delay_ms``
    are the removals that took effect late so far, and by how much together.
    """

    __slots__ = ("kind", "kept", "expired", "delay_ms", "_detector")

    def __init__(
        self, kind: str, detector: mass_expiry.MassExpiryDetector | None
    ) -> None:
        self.kind = kind
        self.kept = 0
        self.expired = 0
        self.delay_ms = 0
        self._detector = detector

    def report_retained(self, kept: Kept, now_ms: int) -> None:
        """Tell of objects that are kept from now on.

        :param kept: the objects, at least one
        :param now_ms: the present
        """
        first = kept[0]
        LOG.warning(
            "removed objects are kept for a while",
            extra=logs.make_extra(
                **self._describe(kept),
                keeps_ms=first.until_ms - now_ms,
                **self._describe_absence(first.absence, now_ms),
            ),
        )

    def report_expired(self, expired: Kept, now_ms: int) -> None:
        """Tell of objects that count no longer.

        :param expired: the objects, at least one
        :param now_ms: the present
        """
        self.expired += len(expired)
        self.delay_ms += sum(now_ms - one.noticed_ms for one in expired)
        LOG.warning(
            "kept objects are given up",
            extra=logs.make_extra(
                **self._describe(expired),
                kept_ms=now_ms - min(one.noticed_ms for one in expired),
                overdue_ms=now_ms - min(one.until_ms for one in expired),
            ),
        )

    def _describe(self, kept: Kept) -> Fields:
        return {
            "kind": self.kind,
            "objects": [one.object.name for one in kept[:MAX_LOGGED_NAMES]],
            "count": len(kept),
            "revision": max(one.revision for one in kept),
        }

    def _describe_absence(
        self, absence: mass_expiry.UnreachablePeriod | None, now_ms: int
    ) -> Fields:
        if absence is None or self._detector is None:
            return {"cause": "many went at once, here or at another VM"}
        ended_ms = now_ms if absence.ended_ms is None else absence.ended_ms
        return {
            "cause": "the store was away",
            "absence_ms": absence.compute_duration_ms(now_ms),
            "ended_ms": now_ms - ended_ms,
            "failure": absence.reason,
            **self._detector.describe_peers(absence, now_ms),
        }


def report(
    reports: collections.abc.Collection[RetainedObjectReport],
    metrics_: metrics.Metrics,
) -> None:
    """Let removals that take effect late appear among a process's metrics.

    :param reports: of all kinds
    :param metrics_: the process's instruments
    """
    metrics_.register_gauge(
        "mirrors.kept",
        "objects that count although the store has removed them",
        lambda: sum(one.kept for one in reports),
    )
    metrics_.register_counter(
        "mirrors.deferred",
        "removals that took effect late, by kind",
        lambda: [({"kind": one.kind}, one.expired) for one in reports],
    )
    metrics_.register_counter(
        "mirrors.deferred_ms",
        "how late removals took effect, added up, by kind",
        lambda: [({"kind": one.kind}, one.delay_ms) for one in reports],
    )
