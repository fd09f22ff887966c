"""Logs and metrics of objects retained after their removal in the store."""

import collections.abc
import logging
import typing

from mulberryway import logs
from mulberryway import metrics
from mulberryway.policy import carried_objects
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors

__all__ = ["RetainedObjectReport", "report"]

LOG = logging.getLogger(__name__)

# Bounds the length of a log line.
MAX_LOGGED_NAMES = 8

Kept = collections.abc.Sequence[mirrors.RetainedObject]
Carried = collections.abc.Sequence[carried_objects.CarriedObject]
Fields = dict[str, typing.Any]


class RetainedObjectReport:
    """Counts and logs the deferred removals of one kind of object.

    :param kind: the plural kind
    :param detector: describes the outage behind a deferral; None for kinds
        whose objects are not retained

    ``kept`` is the number of objects that are retained now, and ``carried``
    that of the store's objects which others replace.  ``expired`` is
    the number of deferred removals that have taken effect, and ``delay_ms``
    is the sum of their delays.
    """

    __slots__ = (
        "kind",
        "kept",
        "carried",
        "expired",
        "delay_ms",
        "_detector",
    )

    def __init__(
        self, kind: str, detector: mass_expiry.MassExpiryDetector | None
    ) -> None:
        self.kind = kind
        self.kept = 0
        self.carried = 0
        self.expired = 0
        self.delay_ms = 0
        self._detector = detector

    def report_retained(self, kept: Kept, now_ms: int) -> None:
        """Log objects that are retained from now on.

        :param kept: the objects, at least one
        :param now_ms: current time in ms
        """
        first = kept[0]
        LOG.warning(
            "removed objects are kept for a while",
            extra=logs.make_extra(
                **self._describe(kept),
                keeps_ms=first.until_ms - now_ms,
                **self._describe_cause(first, now_ms),
            ),
        )

    def report_expired(self, expired: Kept, now_ms: int) -> None:
        """Count and log objects whose retention has expired.

        :param expired: the objects, at least one
        :param now_ms: current time in ms
        """
        self.expired += len(expired)
        self.delay_ms += sum(now_ms - item.noticed_ms for item in expired)
        LOG.warning(
            "kept objects are given up",
            extra=logs.make_extra(
                **self._describe(expired),
                kept_ms=now_ms - min(item.noticed_ms for item in expired),
                overdue_ms=now_ms - min(item.until_ms for item in expired),
            ),
        )

    def report_carried(self, carried: Carried, now_ms: int) -> None:
        """Log what is used in place of the store's objects from now on.

        :param carried: the replacements, at least one
        :param now_ms: current time in ms
        """
        until_ms = carried[0].until_ms
        LOG.warning(
            "the store's copy is older; what was in use stays",
            extra=logs.make_extra(
                **self._describe_carried(carried),
                keeps_ms=None if until_ms is None else until_ms - now_ms,
            ),
        )

    def report_dropped(self, dropped: Carried, now_ms: int) -> None:
        """Log that the store's objects are used again.

        :param dropped: the replacements, at least one
        :param now_ms: current time in ms
        """
        LOG.warning(
            "the store's objects are used although they are older",
            extra=logs.make_extra(
                **self._describe_carried(dropped),
                kept_ms=now_ms - min(item.noticed_ms for item in dropped),
            ),
        )

    def _describe_carried(self, carried: Carried) -> Fields:
        return {
            "kind": self.kind,
            "objects": [item.name for item in carried[:MAX_LOGGED_NAMES]],
            "generations": [
                item.generation for item in carried[:MAX_LOGGED_NAMES]
            ],
            "count": len(carried),
            "hidden": sum(item.object is None for item in carried),
        }

    def _describe(self, kept: Kept) -> Fields:
        return {
            "kind": self.kind,
            "objects": [item.object.name for item in kept[:MAX_LOGGED_NAMES]],
            "count": len(kept),
            **max(item.position for item in kept).describe(),
        }

    def _describe_cause(
        self, retained: mirrors.RetainedObject, now_ms: int
    ) -> Fields:
        if retained.was_lost:
            return {"cause": "the store's copy lacks them"}
        absence = retained.absence
        if absence is None or self._detector is None:
            return {
                "cause": "many were removed at once, here or at another VM"
            }
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
    """Register metrics for deferred removals.

    :param reports: the reports of all kinds
    :param metrics_: the process's instruments
    """
    metrics_.register_gauge(
        "mirrors.kept",
        "objects that count although the store has removed them",
        lambda: sum(item.kept for item in reports),
    )
    metrics_.register_labeled_gauge(
        "mirrors.carried",
        "objects used in place of older ones of the store's copy, by kind",
        lambda: [({"kind": item.kind}, item.carried) for item in reports],
    )
    metrics_.register_counter(
        "mirrors.deferred",
        "removals that took effect late, by kind",
        lambda: [({"kind": item.kind}, item.expired) for item in reports],
    )
    metrics_.register_counter(
        "mirrors.deferred_ms",
        "how late removals took effect, added up, by kind",
        lambda: [({"kind": item.kind}, item.delay_ms) for item in reports],
    )
