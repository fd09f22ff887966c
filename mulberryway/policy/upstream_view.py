"""What a router believes about one upstream; all of it hints.

An engine's own refusal is final.  Until it comes, a view adds up what this
router has running there, what peers told, and what the lagging load report
shows beyond both.
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

# A report may be this old when it comes.  Work that began or ended within
# this time may be missing from it, so a report counts as news about others
# only as far as it exceeds the most that we knew of within the time.
REPORT_LAG_MS = 1_000
# After an engine's own refusal it gets nothing until a slot is known to have
# come free, or this time has gone: at 20 slots of about 11 s one comes free
# in about half a second.
FULL_BACKOFF_MS = 250
# A prefill engine that changes its role, or sheds what it is sent, is idle and
# looks best.  It rests for FULL_MS after a refusal, and for twice as long
# after each further one in a row.
MAX_BACKOFF_DOUBLINGS = 7
PREFILL_MS_PER_TOKEN = 0.1
STEP_MS = 40.0
STEP_SMOOTHING = 0.3


class UpstreamView:
    """One upstream as this router sees it.

    :param row: the upstream's row in the table of pools
    :param slots: how many requests it can decode at once
    :param random_: a seeded source of chance
    :param total_blocks: the size of its memory, where the tables tell it
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
        "step_seen_ms",
        "_unsent_step_ms",
        "health",
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
        # By how much reads were late, less by how much early, added up.
        self.drift_ms = 0.0
        self.full_until_ms = 0
        self.backoff_until_ms = 0
        self.backoff_exponent = 0
        self.speed = prefill_speed.PrefillSpeed(
            health.LatencyFloor(PREFILL_MS_PER_TOKEN), 1.0
        )
        self.step = health.Ewma(STEP_MS, STEP_SMOOTHING)
        # The same where the engine reads nothing between its tokens.
        self.step_floor = health.LatencyFloor(STEP_MS)
        self.step_seen_ms = 0
        self._unsent_step_ms = 0.0
        self.health = health.OutlierDetector(random_)
        self.prefixes = prefix_index.PrefixIndex()
        # The longest pause of a stream that is on time; 0 for no target.
        self.pause_ms = 0
        self.prefill_budget = chunked_prefill.ChunkedPrefillBudget()
        self._by_peer: dict[str, hints.Holding] = {}
        self._peak_decodes = 0
        self._previous_peak = 0
        self._peak_since_ms = 0

    def count_free_slots(self, now_ms: int) -> int:
        """Return how many decode slots are probably free.

        :param now_ms: the present
        :returns: a number of slots, never below zero
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
        """Return how many KV cache blocks are probably free; -1 unknown."""
        if self.total_blocks is None:
            return -1
        used = self.own_blocks + self.peer_blocks + self.unattributed_blocks
        return self.total_blocks - used

    def estimate_capacity(self, blocks: float, now_ms: int) -> int:
        """Return how many more decodes of usual size probably fit.

        :param blocks: how many blocks one usually takes; 0 if not known
        :param now_ms: the present
        """
        free = self.count_free_slots(now_ms)
        if self.total_blocks is None or not blocks:
            return free
        return min(free, max(int(self.count_free_blocks() / blocks), 0))

    def count_running(self) -> int:
        """Return how many streams probably run here, all VMs together."""
        return self.own_decodes + self.peers + self.unattributed_decodes

    def has_blocks(self, blocks: int) -> bool:
        """Tell whether a decode's KV cache probably fits.

        :param blocks: how many blocks it takes
        :returns: true also while the engine has not told its size
        """
        if self.total_blocks is None:
            return True
        return blocks <= self.count_free_blocks()

    def estimate_prefill_wait_ms(self, now_ms: int) -> float:
        """Return how long a prefill would wait before it begins.

        :param now_ms: the present
        :returns: milliseconds
        """
        return max(self.busy_until_ms - now_ms, 0.0)

    def count_suspects(self) -> int:
        """Return how many suspects of a crash run here, as far as known."""
        return self.own_suspects + self.peer_suspects

    def add_prefill(self, estimate_ms: float, now_ms: int) -> float:
        """Count a prefill that is given to this upstream.

        :param estimate_ms: how long it takes by itself
        :param now_ms: the present
        :returns: when it probably ends
        """
        self.own_prefills += 1
        self.own_prefill_ms += estimate_ms
        self._record_prefill_work(estimate_ms, now_ms)
        return self.busy_until_ms

    def add_chunked_prefill(self, estimate_ms: float, now_ms: int) -> None:
        """Count a prompt that this upstream reads for a decode of its own.

        :param estimate_ms: how long it takes by itself
        :param now_ms: the present
        """
        self.own_prefill_ms += estimate_ms
        self._record_prefill_work(estimate_ms, now_ms)

    def cancel_prefill(self, estimate_ms: float) -> None:
        """Take out a prefill that ended before its result.

        :param estimate_ms: what it was thought to take
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
        """Learn from a prefill that has ended well.

        :param estimate_ms: how long it was thought to take by itself
        :param planned_ms: when it was thought to end, by what was known
            right before
        :param tokens: its tokens that were not in the cache
        :param started_ms: when it was sent
        :param now_ms: the present
        """
        self.own_prefills -= 1
        self.backoff_until_ms = 0
        self.backoff_exponent = 0
        # The queue's end moves by as much as this prefill was late or early.
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
        """Learn from the gaps between tokens of a running stream.

        :param step_ms: their mean since the last time
        :param now_ms: the present
        """
        self.step.note(step_ms)
        self.step_floor.note(step_ms)
        self.step_seen_ms = now_ms
        self._unsent_step_ms = step_ms

    def take_step_ms(self) -> int:
        """Return the last gap that our own streams saw here, once.

        :returns: milliseconds; 0 if there was none since the last call
        """
        step_ms = int(self._unsent_step_ms)
        self._unsent_step_ms = 0.0
        return step_ms

    def take_prefill_ms(self, now_ms: int) -> int:
        """Return the prefill work given here since the last call.

        :param now_ms: the present
        :returns: estimated milliseconds, without what has probably ended
        """
        unsent_ms = int(self.own_prefill_ms) - self._sent_prefill_ms
        self._sent_prefill_ms += unsent_ms
        return min(unsent_ms, int(self.estimate_prefill_wait_ms(now_ms)))

    def start_decode(self, blocks: int, now_ms: int) -> None:
        """Reserve a slot.

        :param blocks: KV cache blocks that go with it
        :param now_ms: the present
        """
        self.own_decodes += 1
        self.own_blocks += blocks
        self._update_peak(now_ms)

    def end_decode(self, blocks: int) -> None:
        """Give a slot back.

        :param blocks: what was reserved with it
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        self.full_until_ms = 0

    def move_decode_to(
        self, other: "UpstreamView", blocks: int, now_ms: int
    ) -> None:
        """Give a slot back here and reserve one there.

        :param other: the other upstream
        :param blocks: what was reserved with the slot
        :param now_ms: the present
        """
        self.own_decodes -= 1
        self.own_blocks -= blocks
        other.start_decode(blocks, now_ms)

    def record_full(self, now_ms: int) -> None:
        """Take in the engine's own refusal.

        :param now_ms: the present
        """
        self.full_until_ms = now_ms + FULL_BACKOFF_MS

    def record_prefill_refused(self, now_ms: int) -> None:
        """Take in that the engine refused to read a prompt.

        :param now_ms: the present
        """
        if now_ms < self.backoff_until_ms:
            # Prompts that were sent before the first refusal came.
            return
        self.backoff_until_ms = now_ms + (
            FULL_BACKOFF_MS << self.backoff_exponent
        )
        self.backoff_exponent = min(
            self.backoff_exponent + 1, MAX_BACKOFF_DOUBLINGS
        )

    def is_backing_off(self, now_ms: int) -> bool:
        """Tell whether the engine refused to read a prompt just now.

        :param now_ms: the present
        """
        return now_ms < self.backoff_until_ms

    def record_load(self, load: upstreams.EngineLoad, now_ms: int) -> None:
        """Take in a lagging report.

        :param load: the report
        :param now_ms: the present
        """
        self._update_peak(now_ms)
        known = max(self._peak_decodes, self._previous_peak)
        self.unattributed_decodes = max(load.running - known, 0)
        self.unattributed_prefills = max(load.waiting - self.own_prefills, 0)
        self.total_blocks = load.total_blocks
        used = load.total_blocks - load.free_blocks
        known_blocks = self.own_blocks + self.peer_blocks
        self.unattributed_blocks = max(used - known_blocks, 0)

    def note_peer(self, vm: str, holding: hints.Holding, now_ms: int) -> None:
        """Take in what a peer holds here.

        :param vm: the peer
        :param holding: its newest holding
        :param now_ms: the present
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
            # A peer's streams are as good as ours: with nine routers each
            # has two streams on an engine and alone would need seconds.
            self.step.note(holding.step_ms)
            self.step_floor.note(holding.step_ms)
            self.step_seen_ms = now_ms
        self._by_peer[vm] = holding
        self._update_peak(now_ms)

    def forget_peer(self, vm: str) -> None:
        """Drop what a peer holds, after its silence or its new incarnation.

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
        """Tell whether a read now keeps the pauses of all streams on time.

        :param read_ms: how long the read takes by itself
        :param now_ms: the present
        :param yield_ms: for how long the engine must have been free to read
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
        """Tell whether a read keeps pauses on time if none is near it.

        :param read_ms: how long the read takes by itself
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
