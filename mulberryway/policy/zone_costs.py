"""Charges placements of jobs for the distance between availability zones."""

import collections
import collections.abc

from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.policy import placements
from mulberryway.policy import transfers
from mulberryway.policy import upstream_view
from mulberryway.policy import zone_overflow

__all__ = ["ZoneCosts"]

# An idle engine is worth about this much time, in milliseconds.
IDLE_ENGINE_MS = 40.0


class ZoneCosts:
    """Compares distances with waits and free capacity; not thread-safe.

    :param zone: the availability zone of this VM; empty to charge nothing
    :param round_trip_ms: additional round-trip time to another zone, in
        milliseconds
    :param margin_ms: what the bytes of a stream, or of a KV cache, between
        zones are worth, in milliseconds
    """

    __slots__ = ("_zone", "_round_trip_ms", "_margin_ms", "_left", "_bytes")

    def __init__(
        self,
        zone: str = "",
        round_trip_ms: float = zone_overflow.ROUND_TRIP_MS,
        margin_ms: float = zone_overflow.MARGIN_MS,
    ) -> None:
        self._zone = zone
        self._round_trip_ms = round_trip_ms if zone else 0.0
        self._margin_ms = margin_ms if zone else 0.0
        self._left: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._bytes: collections.Counter[str] = collections.Counter()

    def list_best(
        self,
        options: collections.abc.Sequence[placements.Placement],
        decodes: collections.abc.Iterable[upstream_view.UpstreamView],
        job: jobs.Job,
        pool: tables.Pool,
        tie_ms: float,
        now_ms: int,
    ) -> list[placements.Placement]:
        """Return the prefill options that are ready first, with the distance.

        An option is charged for the way from this VM, and for the way on to
        the decode engine that is best with regard to distance and load.

        :param options: the options; not empty
        :param decodes: the pool's decode engines
        :param job: the job
        :param pool: the pool's row
        :param tie_ms: differences that count as none, in milliseconds
        :param now_ms: current time in milliseconds
        :returns: the best options; not empty
        """
        costs_ms = [option.ready_ms for option in options]
        if self._zone:
            loads_ms = _find_loads(decodes, job, pool, now_ms)
            zones = [option.prefill.row.zone for option in options]
            charges_ms = {
                zone: self._round_trip_ms * (zone != self._zone)
                + min(
                    (
                        load_ms
                        + self.compute_decode_ms(zone, target, job, pool)
                        for target, load_ms in loads_ms.items()
                    ),
                    default=0.0,
                )
                for zone in set(zones)
            }
            costs_ms = [
                cost_ms + charges_ms[zone]
                for cost_ms, zone in zip(costs_ms, zones, strict=True)
            ]
        limit_ms = min(costs_ms) + tie_ms
        return [
            option
            for option, cost_ms in zip(options, costs_ms, strict=True)
            if cost_ms <= limit_ms
        ]

    def compute_decode_ms(
        self, source: str, target: str, job: jobs.Job, pool: tables.Pool
    ) -> float:
        """Return what the zone of a decode engine costs.

        :param source: the zone of the prefill engine
        :param target: the zone of the decode engine
        :param job: the job
        :param pool: the pool's row
        :returns: milliseconds for its distance from this VM and, since
            transfers take twice as long between zones, for the KV cache
        """
        cost_ms = self._compute_stream_ms(target)
        if not self._zone or source == target:
            return cost_ms
        carry_ms = transfers.compute_carry_ms(
            placements.compute_kv_bytes(job, pool), pool.link_bytes_per_s
        )
        return cost_ms + self._round_trip_ms + self._margin_ms + carry_ms

    def compute_streams(self, view: upstream_view.UpstreamView) -> float:
        """Return how many more streams an engine may run for its zone.

        :param view: an engine that runs both prefill and decode
        :returns: the number of streams that delay as much as the distance
        """
        cost_ms = self._compute_stream_ms(view.row.zone)
        return cost_ms * view.slots / IDLE_ENGINE_MS

    def record(
        self,
        placement: placements.Placement,
        job: jobs.Job,
        pool: tables.Pool,
    ) -> None:
        """Count what a job's placement sends to other zones.

        :param placement: the placement
        :param job: the job
        :param pool: the pool's row
        """
        if not self._zone or placement.decode is None:
            return
        source = placement.prefill.row.zone
        target = placement.decode.row.zone
        if not placement.is_aggregated():
            self._left[pool.name, "prefill"] += source != self._zone
        self._left[pool.name, "decode"] += target != self._zone
        self._left[pool.name, "kv"] += source != target
        if source != target:
            self._bytes[pool.name] += placements.compute_kv_bytes(job, pool)

    def list_left(self) -> list[tuple[str, str, int]]:
        """Return how many requests and KV caches went to other zones.

        :returns: triples of the pool, ``prefill``, ``decode`` or ``kv``, and
            the total
        """
        return [
            (pool, kind, total)
            for (pool, kind), total in list(self._left.items())
        ]

    def list_bytes(self) -> list[tuple[str, int]]:
        """Return the bytes of KV caches between zones by pool."""
        return list(self._bytes.items())

    def _compute_stream_ms(self, zone: str) -> float:
        """Return what a stream from a zone to this VM costs, in ms."""
        if zone == self._zone:
            return 0.0
        return self._round_trip_ms + self._margin_ms


def _find_loads(
    decodes: collections.abc.Iterable[upstream_view.UpstreamView],
    job: jobs.Job,
    pool: tables.Pool,
    now_ms: int,
) -> dict[str, float]:
    """Return the load of the emptiest decode engine of each zone.

    :returns: by zone, the fraction of taken slots times
        :data:`IDLE_ENGINE_MS`; only zones with free capacity
    """
    blocks = placements.estimate_kv_blocks(job, pool)
    loads: dict[str, float] = {}
    for view in decodes:
        free = view.count_free_slots(now_ms)
        if (
            free > 0
            and view.has_blocks(blocks)
            and not view.health.is_ejected(now_ms)
        ):
            load_ms = (1.0 - free / max(view.slots, 1)) * IDLE_ENGINE_MS
            zone = view.row.zone
            loads[zone] = min(load_ms, loads.get(zone, load_ms))
    return loads
