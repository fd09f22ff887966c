"""Estimates the load, speed and health of one upstream; best effort.

Only an engine's own rejection is authoritative.  Apart from that, a view adds
up this router's own load, the load that peers announce, and the unattributed
load that the delayed load report shows beyond both.
"""

import random

from mulberryway import tables
from mulberryway.policy import chunked_prefill
from mulberryway.policy import health
from mulberryway.policy import hints
from mulberryway.policy import prefill_speed
from mulberryway.policy import prefix_index
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
STEP_SMOOTHING = 0.3


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
        "_by_peer",
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
        self._by_peer: dict[str, hints.Holding] = {}
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
        used = self.own_blocks + self.peer_blocks + self.unattributed_blocks
        return self.total_blocks - used

    def estimate_capacity(self, blocks: float, now_ms: int) -> int:
        """Return how many more decodes of typical size probably fit.

        :param blocks: a decode's typical number of blocks; 0 if unknown
        :param now_ms: current time in milliseconds
        """
        free = self.count_free_slots(now_ms)
        if self.total_blocks is None or not blocks:
            return free
        return min(free, max(int(self.count_free_blocks() / blocks), 0))

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
        self.step.note(step_ms)
        self.step_floor.note(step_ms)
        self.step_updated_ms = now_ms
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

    def start_decode(self, blocks: int, now_ms: int) -> None:
        """Reserve a decode slot.

        :param blocks: KV cache blocks to reserve with it
        :param now_ms: current time in milliseconds
        """
        self.own_decodes += 1
        self.own_blocks += blocks
        self._update_peak(now_ms)

    def end_decode(self, blocks: int) -> None:
        """Release a decode slot.

        :param blocks: KV cache blocks that were reserved with it
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        self.full_until_ms = 0

    def move_decode_to(
        self, other: "UpstreamView", blocks: int, now_ms: int
    ) -> None:
        """Move a slot's reservation to another upstream.

        :param other: the other upstream
        :param blocks: KV cache blocks that were reserved with the slot
        :param now_ms: current time in milliseconds
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        other.start_decode(blocks, now_ms)

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
            self.step.note(holding.step_ms)
            self.step_floor.note(holding.step_ms)
            self.step_updated_ms = now_ms
        self._by_peer[vm] = holding
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

    def _record_prefill_work(self, prefill_ms: float, now_ms: int) -> None:
        self.busy_until_ms = (
            max(self.busy_until_ms, float(now_ms)) + prefill_ms
        )
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
