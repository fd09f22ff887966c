"""Estimates the load, speed and health of one upstream; best effort.

Only an engine's own rejection is authoritative.  Apart from that, a view adds
up this router's own load, the load that peers announce, and the unattributed
load that the delayed load report shows beyond both.
"""

import math
import random

from mulberryway import tables
from mulberryway.policy import chunked_prefill
from mulberryway.policy import health
from mulberryway.policy import hints
from mulberryway.policy import kv_growth
from mulberryway.policy import pool_demand
from mulberryway.policy import prefill_speed
from mulberryway.policy import prefix_index
from mulberryway.policy import step_profile
from mulberryway.upstreams import base as upstreams

__all__ = ["UpstreamView"]

# Maximum age of a load report on arrival.  Load that began or ended within
# this time may be missing from it, so only the part of a report above the peak
# of known load within this time counts as unattributed.
REPORT_LAG_MS = 1_000
# Backoff after an engine's own rejection, unless a slot is known to have
# become free earlier: with 20 slots of about 11 s, one becomes free about
# every half second.
FULL_BACKOFF_MS = 250
# A prefill engine that changes its role or sheds load is idle and would look
# best.  It is in backoff for FULL_BACKOFF_MS after a rejection, and for twice
# as long after each further consecutive one, up to this many doublings.
MAX_BACKOFF_DOUBLINGS = 7
PREFILL_MS_PER_TOKEN = 0.1
STEP_MS = 40.0
# A step that was measured as nothing must not stop the clock of decode steps.
MIN_STEP_MS = 0.01
STEP_SMOOTHING = 0.3
# Within this time streams grow by about a hundredth, so the profile of
# an engine's memory is kept unless its streams change.
PROFILE_MS = 50
# Memory that is kept free because lengths of responses are off, as a multiple
# of a stream's typical overrun and of the square root of their number.
MARGIN_DEVIATIONS = 2.0


class UpstreamView:
    """This router's estimate of one upstream's state.

    :param row: the upstream's row in the table of pools
    :param slots: number of requests that it can decode concurrently
    :param random_: seeded random generator
    :param total_blocks: its KV cache size in blocks, if the tables have it
    """

    __slots__ = (
        "row",
        "slots",
        "own_decodes",
        "peers",
        "unattributed_decodes",
        "own_blocks",
        "peer_blocks",
        "unattributed_blocks",
        "total_blocks",
        "own_prefills",
        "unattributed_prefills",
        "own_suspects",
        "peer_suspects",
        "suspect_died_ms",
        "own_prefill_ms",
        "_sent_prefill_ms",
        "busy_until_ms",
        "drift_ms",
        "full_until_ms",
        "backoff_until_ms",
        "backoff_exponent",
        "speed",
        "step",
        "step_floor",
        "step_updated_ms",
        "_unsent_step_ms",
        "health",
        "reported_by",
        "prefixes",
        "pause_ms",
        "prefill_budget",
        "demand",
        "step_profile",
        "_step_streams",
        "growth_rate",
        "_own_streams",
        "_steps",
        "_steps_at_ms",
        "_profile",
        "_profile_at_ms",
        "_by_peer",
        "_peer_steps",
        "_peer_starts",
        "_peak_decodes",
        "_previous_peak",
        "_peak_since_ms",
    )

    def __init__(
        self,
        row: tables.Upstream,
        slots: int,
        random_: random.Random,
        total_blocks: int | None = None,
    ) -> None:
        self.row = row
        self.slots = slots
        self.own_decodes = 0
        self.peers = 0
        self.unattributed_decodes = 0
        self.own_blocks = 0
        self.peer_blocks = 0
        self.unattributed_blocks = 0
        self.total_blocks = total_blocks
        self.own_prefills = 0
        self.unattributed_prefills = 0
        self.own_suspects = 0
        self.peer_suspects = 0
        self.suspect_died_ms: int | None = None
        self.own_prefill_ms = 0.0
        self._sent_prefill_ms = 0
        self.busy_until_ms = 0.0
        # Sum of the prefills' delays against their planned ends; early ends
        # count as negative.
        self.drift_ms = 0.0
        self.full_until_ms = 0
        self.backoff_until_ms = 0
        self.backoff_exponent = 0
        self.speed = prefill_speed.PrefillSpeed(
            health.LatencyFloor(PREFILL_MS_PER_TOKEN), 1.0
        )
        self.step = health.Ewma(STEP_MS, STEP_SMOOTHING)
        # The decode step without chunked prefills in between.
        self.step_floor = health.LatencyFloor(STEP_MS)
        self.step_updated_ms = 0
        self._unsent_step_ms = 0.0
        self.health = health.OutlierDetector(random_)
        # The VM whose report of failures was applied last; for logs only.
        self.reported_by = ""
        self.prefixes = prefix_index.PrefixIndex()
        # The inter-token gap target; 0 for none.
        self.pause_ms = 0
        self.prefill_budget = chunked_prefill.ChunkedPrefillBudget()
        # Shared by the upstreams of a pool.
        self.demand = pool_demand.DemandHistory()
        self.step_profile = step_profile.StepProfile()
        self.growth_rate = kv_growth.GrowthRate()
        # Number of streams when the step was measured last.
        self._step_streams = 0
        self._own_streams: set[kv_growth.StreamGrowth] = set()
        # Decode steps until a time, the clock by which streams grow.
        self._steps = 0.0
        self._steps_at_ms = 0
        self._profile: kv_growth.GrowthProfile | None = None
        self._profile_at_ms = 0
        self._by_peer: dict[str, hints.Holding] = {}
        # Decode steps until each peer's latest note.
        self._peer_steps: dict[str, float] = {}
        # Decode steps and growth of peers' streams that are the only ones of
        # their VMs, at their starts.
        self._peer_starts: dict[str, tuple[float, float]] = {}
        self._peak_decodes = 0
        self._previous_peak = 0
        self._peak_since_ms = 0

    def count_free_slots(self, now_ms: int) -> int:
        """Return the estimated number of free decode slots.

        :param now_ms: current time in milliseconds
        :returns: the number of slots, at least zero
        """
        if now_ms < self.full_until_ms:
            return 0
        free = (
            self.slots
            - self.own_decodes
            - self.peers
            - self.unattributed_decodes
        )
        return free if free > 0 else 0

    def count_free_blocks(self) -> int:
        """Return the estimated number of free KV cache blocks; -1 unknown."""
        if self.total_blocks is None:
            return -1
        return self.total_blocks - self.count_reserved_blocks()

    def count_reserved_blocks(self) -> int:
        """Return the blocks that are reserved for known streams."""
        return self.own_blocks + self.peer_blocks + self.unattributed_blocks

    def estimate_capacity(
        self, blocks: float, now_ms: int, prompt_blocks: float | None = None
    ) -> int:
        """Return how many more decodes of typical size probably fit.

        :param blocks: a decode's typical number of blocks; 0 if unknown
        :param now_ms: current time in milliseconds
        :param prompt_blocks: those of them that its prompt fills; none if
            unknown
        """
        free = self.count_free_slots(now_ms)
        if self.total_blocks is None or not blocks:
            return free
        count = max(int(self.count_free_blocks() / blocks), 0)
        if count < free and prompt_blocks is not None:
            growth = blocks - prompt_blocks
            count = max(
                count, self._count_growing(prompt_blocks, growth, now_ms)
            )
        return min(free, count)

    def count_running(self) -> int:
        """Return the estimated number of streams of all VMs together."""
        return self.own_decodes + self.peers + self.unattributed_decodes

    def has_blocks(self, blocks: int) -> bool:
        """Return whether a decode's KV cache probably fits.

        :param blocks: number of blocks that it uses
        :returns: whether it fits; true while the engine's size is unknown
        """
        if self.total_blocks is None:
            return True
        return blocks <= self.count_free_blocks()

    def fits_stream(self, stream: kv_growth.StreamGrowth, now_ms: int) -> bool:
        """Return whether a stream's KV cache probably fits until its end.

        :param stream: the stream, if it started now
        :param now_ms: current time in milliseconds
        :returns: whether it fits; true while the engine's size is unknown
        """
        if self.has_blocks(stream.reserved_blocks):
            return True
        return (
            self._count_growing(
                stream.prompt_blocks, stream.get_growth(), now_ms
            )
            > 0
        )

    def count_steps(self, now_ms: int) -> float:
        """Return the estimated number of decode steps until now.

        :param now_ms: current time in milliseconds
        """
        elapsed_ms = now_ms - self._steps_at_ms
        return self._steps + elapsed_ms / max(self.step.value, MIN_STEP_MS)

    def estimate_slowness(self, now_ms: int) -> float:
        """Return how slow the engine is beside others of its pool.

        :param now_ms: current time in milliseconds
        :returns: the ratio of decode steps, at least 1
        """
        return self.step_profile.compare(
            self.step.value, self._step_streams, now_ms - self.step_updated_ms
        )

    def estimate_own_present(self, now_ms: int) -> int | None:
        """Return the blocks that the streams of this router fill now.

        :param now_ms: current time in milliseconds
        :returns: blocks; none while it is unknown how streams grow
        """
        rate = self.growth_rate.steps_per_block
        steps = self.count_steps(now_ms)
        tracked = sum(
            stream.reserved_blocks
            for stream in self._own_streams
            # A stream has no token before its engine's next decode step.
            if stream.get_growth() > 0
            and (rate is not None or steps - stream.started_steps < 1.0)
        )
        if tracked < self.own_blocks:
            return None
        return round(
            sum(
                stream.prompt_blocks
                if rate is None
                else stream.estimate_present(steps, rate)
                for stream in self._own_streams
            )
        )

    def estimate_present(self, now_ms: int) -> int:
        """Return the blocks that all known streams fill now, estimated.

        :param now_ms: current time in milliseconds
        """
        own = self.estimate_own_present(now_ms)
        return (
            (self.own_blocks if own is None else own)
            + self.unattributed_blocks
            + round(
                sum(
                    self._estimate_peer_present(vm, holding, now_ms)
                    for vm, holding in self._by_peer.items()
                )
            )
        )

    def estimate_prefill_wait_ms(self, now_ms: int) -> float:
        """Return the estimated wait before a new prefill begins.

        :param now_ms: current time in milliseconds
        :returns: the wait in milliseconds
        """
        return max(self.busy_until_ms - now_ms, 0.0)

    def count_suspects(self) -> int:
        """Return the known number of crash suspects that run here."""
        return self.own_suspects + self.peer_suspects

    def add_prefill(self, estimate_ms: float, now_ms: int) -> float:
        """Add a prefill that this router sends to the upstream.

        :param estimate_ms: estimated uncontended duration
        :param now_ms: current time in milliseconds
        :returns: its estimated end, in milliseconds
        """
        self.own_prefills += 1
        self.own_prefill_ms += estimate_ms
        self._record_prefill_work(estimate_ms, now_ms)
        return self.busy_until_ms

    def add_chunked_prefill(self, estimate_ms: float, now_ms: int) -> None:
        """Add a chunked prefill for a decode on the same upstream.

        :param estimate_ms: estimated uncontended duration
        :param now_ms: current time in milliseconds
        """
        self.own_prefill_ms += estimate_ms
        self._record_prefill_work(estimate_ms, now_ms)

    def cancel_prefill(self, estimate_ms: float) -> None:
        """Remove a prefill that ended without a result.

        :param estimate_ms: its estimated uncontended duration
        """
        self.own_prefills -= 1
        self.busy_until_ms = max(self.busy_until_ms - estimate_ms, 0.0)

    def record_prefilled(
        self,
        estimate_ms: float,
        planned_ms: float,
        tokens: float,
        started_ms: int,
        now_ms: int,
    ) -> None:
        """Record a successful prefill and update the estimates.

        :param estimate_ms: its estimated uncontended duration
        :param planned_ms: its estimated end, by the latest estimate before
            the result
        :param tokens: its tokens that were not in the cache
        :param started_ms: time at which it was sent
        :param now_ms: current time in milliseconds
        """
        self.own_prefills -= 1
        self.backoff_until_ms = 0
        self.backoff_exponent = 0
        # The end of the queue moves by this prefill's delay.
        drift_ms = now_ms - planned_ms
        self.drift_ms += drift_ms
        self.busy_until_ms = max(self.busy_until_ms + drift_ms, 0.0)
        self.prefill_budget.shift(drift_ms)
        self.speed.note(
            now_ms - started_ms,
            max(planned_ms - estimate_ms - started_ms, 0.0),
            estimate_ms,
            tokens,
        )

    def record_step(self, step_ms: float, now_ms: int) -> None:
        """Record the inter-token gaps of a running stream.

        :param step_ms: their mean since the last call
        :param now_ms: current time in milliseconds
        """
        self._note_step(step_ms, now_ms)
        self._unsent_step_ms = step_ms

    def drain_step_ms(self) -> int:
        """Return the last inter-token gap of an own stream, and clear it.

        :returns: milliseconds; 0 if there was none since the last call
        """
        step_ms = int(self._unsent_step_ms)
        self._unsent_step_ms = 0.0
        return step_ms

    def drain_prefill_ms(self, now_ms: int) -> int:
        """Return the prefill work added by this router since the last call.

        :param now_ms: current time in milliseconds
        :returns: estimated milliseconds, without work that probably ended
        """
        unsent_ms = int(self.own_prefill_ms) - self._sent_prefill_ms
        self._sent_prefill_ms += unsent_ms
        return min(unsent_ms, int(self.estimate_prefill_wait_ms(now_ms)))

    def start_decode(
        self,
        blocks: int,
        now_ms: int,
        stream: kv_growth.StreamGrowth | None = None,
    ) -> None:
        """Reserve a decode slot.

        :param blocks: KV cache blocks to reserve with it
        :param now_ms: current time in milliseconds
        :param stream: how they are filled; none if that is unknown
        """
        self.own_decodes += 1
        self.own_blocks += blocks
        if stream is not None:
            stream.started_steps = self.count_steps(now_ms)
            self._own_streams.add(stream)
        self._profile = None
        self._update_peak(now_ms)

    def end_decode(
        self, blocks: int, stream: kv_growth.StreamGrowth | None = None
    ) -> None:
        """Release a decode slot.

        :param blocks: KV cache blocks that were reserved with it
        :param stream: the one that was passed at the start
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        self.full_until_ms = 0
        if stream is not None:
            self._own_streams.discard(stream)
        self._profile = None

    def record_stream_end(
        self, stream: kv_growth.StreamGrowth, now_ms: int
    ) -> None:
        """Learn from an own stream that is complete.

        :param stream: the stream, which has not been released yet
        :param now_ms: current time in milliseconds
        """
        if stream in self._own_streams:
            steps = self.count_steps(now_ms) - stream.started_steps
            self.growth_rate.note(steps, stream.get_growth())

    def move_decode_to(
        self,
        other: "UpstreamView",
        blocks: int,
        now_ms: int,
        stream: kv_growth.StreamGrowth | None = None,
    ) -> None:
        """Move a slot's reservation to another upstream.

        :param other: the other upstream
        :param blocks: KV cache blocks that were reserved with the slot
        :param now_ms: current time in milliseconds
        :param stream: the one that was passed at the start
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        if stream is not None:
            self._own_streams.discard(stream)
        self._profile = None
        other.start_decode(blocks, now_ms, stream)

    def record_full(self, now_ms: int) -> None:
        """Record that the engine rejected a decode for lack of capacity.

        :param now_ms: current time in milliseconds
        """
        self.full_until_ms = now_ms + FULL_BACKOFF_MS

    def record_prefill_refused(self, now_ms: int) -> None:
        """Record that the engine rejected a prefill.

        :param now_ms: current time in milliseconds
        """
        if now_ms < self.backoff_until_ms:
            # This prefill was sent before the first rejection arrived.
            return
        self.backoff_until_ms = now_ms + (
            FULL_BACKOFF_MS << self.backoff_exponent
        )
        self.backoff_exponent = min(
            self.backoff_exponent + 1, MAX_BACKOFF_DOUBLINGS
        )

    def is_backing_off(self, now_ms: int) -> bool:
        """Return whether the engine is in backoff after rejected prefills.

        :param now_ms: current time in milliseconds
        """
        return now_ms < self.backoff_until_ms

    def record_load(self, load: upstreams.EngineLoad, now_ms: int) -> None:
        """Record a delayed load report.

        :param load: the report
        :param now_ms: current time in milliseconds
        """
        self._update_peak(now_ms)
        known = max(self._peak_decodes, self._previous_peak)
        self.unattributed_decodes = max(load.running - known, 0)
        self.unattributed_prefills = max(load.waiting - self.own_prefills, 0)
        self.total_blocks = load.total_blocks
        used = load.total_blocks - load.free_blocks
        known_blocks = self.own_blocks + self.peer_blocks
        self.unattributed_blocks = max(used - known_blocks, 0)
        self._profile = None

    def apply_peer_holding(
        self, vm: str, holding: hints.Holding, now_ms: int
    ) -> None:
        """Apply a peer's announced load on this upstream.

        :param vm: the peer
        :param holding: its latest load
        :param now_ms: current time in milliseconds
        """
        before = self._by_peer.get(vm) or hints.Holding("", "", 0, 0)
        if holding.prefill_ms:
            self._record_prefill_work(holding.prefill_ms, now_ms)
        if holding.prefill_ms or holding.decodes > before.decodes:
            self.health.record_peer_start(now_ms)
        if holding.decodes < before.decodes:
            self.full_until_ms = 0
        self.peers += holding.decodes - before.decodes
        self.peer_suspects += holding.suspects - before.suspects
        self.peer_blocks += holding.blocks - before.blocks
        if holding.step_ms:
            # Peers' measurements count like own ones.  With nine routers,
            # each has about two streams on an engine and would need seconds
            # to measure a change on its own.
            self._note_step(holding.step_ms, now_ms)
        self._learn_from_peer(vm, before, holding, now_ms)
        self._by_peer[vm] = holding
        self._peer_steps[vm] = self.count_steps(now_ms)
        self._profile = None
        self._update_peak(now_ms)

    def forget_peer(self, vm: str) -> None:
        """Remove a peer's load after its timeout or its new incarnation.

        :param vm: the peer
        """
        holding = self._by_peer.pop(vm, None)
        if holding is not None:
            self.peers -= holding.decodes
            self.peer_suspects -= holding.suspects
            self.peer_blocks -= holding.blocks
        self._peer_steps.pop(vm, None)
        self._peer_starts.pop(vm, None)
        self._profile = None

    def fits_prefill(
        self, prefill_ms: float, now_ms: int, yield_ms: int = 0
    ) -> bool:
        """Return whether a chunked prefill now keeps all gaps within target.

        :param prefill_ms: its estimated uncontended duration
        :param now_ms: current time in milliseconds
        :param yield_ms: how long the engine must have been open for another
            chunked prefill
        """
        if not self.count_running():
            return True
        step_ms = self.step_floor.value
        free_ms = now_ms - self.prefill_budget.get_open_since_ms(
            step_ms, now_ms
        )
        return free_ms >= yield_ms and self.prefill_budget.fits(
            prefill_ms, self.pause_ms, step_ms, now_ms
        )

    def fits_prefill_alone(self, prefill_ms: float) -> bool:
        """Return whether one chunked prefill keeps all gaps within target.

        :param prefill_ms: its estimated uncontended duration
        """
        return chunked_prefill.fits_gap_limit(
            prefill_ms, self.pause_ms, self.step_floor.value
        )

    def _count_growing(
        self, prompt_blocks: float, growth: float, now_ms: int
    ) -> int:
        """Return how many equal streams fit by the growth of all streams."""
        if (
            self.growth_rate.steps_per_block is None
            or self.total_blocks is None
        ):
            return 0
        if self._profile is None or now_ms - self._profile_at_ms >= PROFILE_MS:
            self._profile = self._make_profile(now_ms)
            self._profile_at_ms = now_ms
        # Lengths are off independently of each other.
        margin = (
            MARGIN_DEVIATIONS
            * self.growth_rate.overrun_blocks
            * math.sqrt(max(self.count_running(), 0))
        )
        return self._profile.count_fitting(
            prompt_blocks,
            growth + self.growth_rate.overrun_blocks,
            self.total_blocks - margin,
        )

    def _make_profile(self, now_ms: int) -> kv_growth.GrowthProfile:
        rate = self.growth_rate
        steps = self.count_steps(now_ms)
        own = [
            stream for stream in self._own_streams if stream.get_growth() > 0
        ]
        known = {
            vm: holding
            for vm, holding in self._by_peer.items()
            if holding.decodes > 0 and _tells_present(holding)
        }
        groups = [
            kv_growth.StreamGroup(
                1,
                stream.estimate_present(steps, rate.steps_per_block),
                stream.final_blocks,
                rate.overrun_blocks,
            )
            for stream in own
        ] + [
            kv_growth.StreamGroup(
                holding.decodes,
                self._estimate_peer_present(vm, holding, now_ms),
                self._estimate_peer_final(holding),
                rate.overrun_blocks,
            )
            for vm, holding in known.items()
        ]
        growing = sum(stream.reserved_blocks for stream in own) + sum(
            holding.blocks for holding in known.values()
        )
        return kv_growth.GrowthProfile(
            groups, self.count_reserved_blocks() - growing
        )

    def _estimate_peer_present(
        self, vm: str, holding: hints.Holding, now_ms: int
    ) -> float:
        rate = self.growth_rate.steps_per_block
        if rate is None or not _tells_present(holding):
            return float(holding.blocks)
        steps = self.count_steps(now_ms) - self._peer_steps[vm]
        grown = max(steps, 0.0) / rate * max(holding.decodes, 0)
        present = holding.present_blocks or 0
        return min(present + grown, self._estimate_peer_final(holding))

    def _estimate_peer_final(self, holding: hints.Holding) -> float:
        """Return the final blocks of a peer that tells its reserved ones."""
        unreserved = self.growth_rate.unreserved_blocks
        return holding.blocks + unreserved * max(holding.decodes, 0)

    def _learn_from_peer(
        self,
        vm: str,
        before: hints.Holding,
        holding: hints.Holding,
        now_ms: int,
    ) -> None:
        """Learn from a stream that is the only one of its VM here."""
        steps = self.count_steps(now_ms)
        if not before.decodes and holding.decodes == 1:
            if _tells_present(holding):
                reserved = holding.blocks - (holding.present_blocks or 0)
                growth = reserved / kv_growth.RESERVED_FRACTION
                self._peer_starts[vm] = steps, growth
            return
        if holding.decodes == before.decodes:
            return
        start = self._peer_starts.pop(vm, None)
        if start is not None and not holding.decodes:
            self.growth_rate.note(steps - start[0], start[1])

    def _note_step(self, step_ms: float, now_ms: int) -> None:
        self._steps = self.count_steps(now_ms)
        self._steps_at_ms = now_ms
        self.step.note(step_ms)
        self.step_floor.note(step_ms)
        self.step_updated_ms = now_ms
        self._step_streams = self.count_running()
        self.step_profile.note(step_ms, self._step_streams)

    def _record_prefill_work(self, prefill_ms: float, now_ms: int) -> None:
        self.busy_until_ms = (
            max(self.busy_until_ms, float(now_ms)) + prefill_ms
        )
        self.demand.note_prefill(prefill_ms / self.speed.slowdown, now_ms)
        self.prefill_budget.note(
            prefill_ms,
            self.pause_ms,
            self.step_floor.value,
            self.count_running(),
            now_ms,
        )

    def _update_peak(self, now_ms: int) -> None:
        if now_ms - self._peak_since_ms >= REPORT_LAG_MS:
            self._previous_peak = self._peak_decodes
            self._peak_decodes = 0
            self._peak_since_ms = now_ms
        self._peak_decodes = max(
            self._peak_decodes, self.own_decodes + self.peers
        )


def _tells_present(holding: hints.Holding) -> bool:
    present = holding.present_blocks
    return present is not None and present >= 0
