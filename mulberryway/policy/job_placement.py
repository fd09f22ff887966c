"""Where a job's prefill and decode run.

Every choice looks at the upstreams of this router's cell only, so its cost
is bounded by the cell's size (about 64) and not by the pool's.
"""

import random

from mulberryway import tables
from mulberryway.policy import aggregated_serving
from mulberryway.policy import fair_queue
from mulberryway.policy import health
from mulberryway.policy import jobs
from mulberryway.policy import placements
from mulberryway.policy import pool_upstreams
from mulberryway.policy import slow_upstreams
from mulberryway.policy import transfers
from mulberryway.policy import upstream_view

__all__ = ["Placer"]

# A short prompt must find a prefill upstream which begins it within this
# time, so a long one is not started on the last such upstream.
SHORT_WAIT_MS = 400.0
# A long prompt about to be refused is started all the same: its refusal would
# be certain, the short ones' delay is not.
LAST_RESORT_MS = 100
# Choices within this time are equal; chance decides, so that routers which
# see the same do not all go to the same upstream.
READY_TIE_MS = 3.0
# Streams that other VMs may have started at an engine unheard.
UNREPORTED_STREAMS = 2
# How many are looked at when nothing is known of the others' choices since
# the last report: with two, the best-looking one draws no crowd.
UNINFORMED_CHOICES = 2


class Placer:
    """Chooses upstreams for the jobs of one pool.

    :param members: the upstreams of this router's cell
    :param random_: a seeded source of chance
    :param token_gap_ms: the most time between tokens that is still good
    """

    def __init__(
        self,
        members: pool_upstreams.PoolUpstreams,
        random_: random.Random,
        token_gap_ms: int,
    ) -> None:
        self._members = members
        self._random = random_
        self._token_gap_ms = token_gap_ms
        self._links = transfers.TransferLinks()
        self.slowness = slow_upstreams.SlowUpstreamDetector(
            members, token_gap_ms
        )
        self._typical_blocks = health.Ewma(0.0)
        # How long a stream usually holds its memory; set by the pool.
        self.typical_stream_ms = 0.0
        self.is_without_peer_state = False

    def estimate(
        self, job: jobs.Job, pool: tables.Pool, now_ms: int
    ) -> placements.Placement | None:
        """Return the best prefill that a job could get now.

        :param job: the job
        :param pool: the pool's row
        :param now_ms: the present
        :returns: the placement without a decode upstream; none if no
            upstream takes prefills
        """
        candidates = list(self._members.prefills)
        if pool.self_reading:
            candidates += self._members.decodes
        options = [
            self._plan_prefill(view, job, pool, now_ms)
            for view in self._list_usable(candidates, job, now_ms)
        ]
        return min(options, key=_get_ready_ms, default=None)

    def choose(
        self,
        entry: fair_queue.QueueEntry,
        pool: tables.Pool,
        now_ms: int,
        yield_ms: int = 0,
    ) -> placements.Placement | None:
        """Return where a job can start now so as to be in time.

        :param entry: the waiting job
        :param pool: the pool's row
        :param now_ms: the present
        :param yield_ms: for how long a decode engine that may read again is
            left to peers' jobs that should go before
        :returns: the placement; none if it has to go on waiting
        """
        disaggregated = self._choose_disaggregated(entry, pool, now_ms)
        placement = disaggregated
        if disaggregated is None or not aggregated_serving.meets_target(
            disaggregated, entry.job
        ):
            aggregated = self._choose_aggregated(
                entry, pool, disaggregated, now_ms, yield_ms
            )
            if aggregated is not None and (
                disaggregated is None
                or aggregated_serving.prefers_aggregated(
                    aggregated, disaggregated, entry.job
                )
            ):
                placement = aggregated
        if placement is None:
            return None
        left_ms = entry.job.deadline.at_ms - placement.first_token_ms
        return placement if left_ms >= placements.DEADLINE_MARGIN_MS else None

    def _choose_disaggregated(
        self, entry: fair_queue.QueueEntry, pool: tables.Pool, now_ms: int
    ) -> placements.Placement | None:
        """Return the best prefill, with a decode elsewhere."""
        options = self._list_prefills(entry, pool, now_ms)
        if not options:
            return None
        best_ms = min(map(_get_ready_ms, options))
        placement = self._random.choice(
            [
                option
                for option in options
                if option.ready_ms <= best_ms + READY_TIE_MS
            ]
        )
        decode = self._choose_decode(entry, placement, pool, now_ms)
        if decode is None:
            return None
        self._plan_decode(placement, decode, entry.job, pool)
        return placement

    def _choose_aggregated(
        self,
        entry: fair_queue.QueueEntry,
        pool: tables.Pool,
        disaggregated: placements.Placement | None,
        now_ms: int,
        yield_ms: int,
    ) -> placements.Placement | None:
        """Return a decode engine that reads the prompt itself."""
        if not pool.self_reading:
            return None
        blocks = placements.estimate_kv_blocks(entry.job, pool)
        options = [
            self._plan_prefill(view, entry.job, pool, now_ms)
            for view in self._list_with_capacity(entry, blocks, now_ms)
        ]
        placement = aggregated_serving.choose_aggregated(
            options,
            disaggregated is None and not self._has_prefill_engine(now_ms),
            self.typical_stream_ms,
            yield_ms,
            self._random,
            now_ms,
        )
        if placement is not None:
            placement.decode = placement.prefill
            placement.blocks = blocks
            placement.first_token_ms = (
                placement.ready_ms
                + placement.prefill.step.value
                + placements.NETWORK_OVERHEAD_MS
            )
        return placement

    def _has_prefill_engine(self, now_ms: int) -> bool:
        """Tell whether any prefill engine takes prompts."""
        return any(
            not view.is_backing_off(now_ms)
            and not view.health.is_ejected(now_ms)
            for view in self._members.prefills
        )

    def commit(
        self,
        placement: placements.Placement,
        job: jobs.Job,
        pool: tables.Pool,
        now_ms: int,
    ) -> None:
        """Reserve what a placement needs, the decode slot first of all.

        A prefill's result lives under a second, so a prefill that finds no
        slot is lost.  The slot therefore stays reserved from before the
        prefill until the job's one ``finish``.

        :param placement: the placement
        :param job: the job
        :param pool: the pool's row
        :param now_ms: the present
        """
        assert placement.decode is not None
        placement.decode.start_decode(placement.blocks, now_ms)
        if not self._typical_blocks.count:
            self._typical_blocks.value = float(placement.blocks)
        self._typical_blocks.note(placement.blocks)
        placement.prefill.add_prefill(placement.prefill_ms, now_ms)
        placement.drift_ms = placement.prefill.drift_ms
        placement.prefill.prefixes.record_own(job.prefix_hashes)
        if placement.is_aggregated():
            return
        self._links.reserve(
            placements.get_zone_pair(placement.prefill, placement.decode),
            placements.compute_kv_bytes(job, pool),
            pool.link_bytes_per_s,
            placement.ready_ms,
        )

    def choose_other_decode(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        pool: tables.Pool,
        now_ms: int,
    ) -> upstream_view.UpstreamView | None:
        """Return where a job whose prefill has ended can decode instead.

        :param entry: the job's entry
        :param placement: where it runs
        :param pool: the pool's row
        :param now_ms: the present
        :returns: an upstream with a free slot, or none
        """
        return self._choose_decode(entry, placement, pool, now_ms)

    def estimate_free_slots(self, now_ms: int) -> int:
        """Return how many decodes of usual size probably find room.

        Streams may fill an engine's memory long before its slots; slots alone
        would seem to leave room for many more.

        :param now_ms: the present
        :returns: the sum over the cell
        """
        blocks = self._typical_blocks.value
        return sum(
            view.estimate_capacity(blocks, now_ms)
            for view in self._members.decodes
            if not view.health.is_ejected(now_ms)
        )

    def is_near_capacity(self, view: upstream_view.UpstreamView) -> bool:
        """Tell whether an engine may have less room than is believed.

        Others may have chosen it since they were heard last.  Where so few
        more streams fit, asking the engine costs less than a prompt that is
        read in vain.

        :param view: the engine, with the placement in question counted
        """
        if view.total_blocks is None:
            return False
        unreported_blocks = self._typical_blocks.value * UNREPORTED_STREAMS
        return view.count_free_blocks() < unreported_blocks

    def count_slots(self) -> int:
        """Return how many decode slots the cell has in all."""
        return sum(view.slots for view in self._members.decodes)

    @staticmethod
    def _list_usable(
        views: list[upstream_view.UpstreamView], job: jobs.Job, now_ms: int
    ) -> list[upstream_view.UpstreamView]:
        admitted = [
            view
            for view in views
            if view.health.admits(job.is_retry_safe, now_ms)
        ]
        not_excluded = [
            view
            for view in admitted
            if view.row.name not in job.excluded_upstreams
        ]
        # With two upstreams left, the one that refused a moment ago is
        # better than none.
        return not_excluded or admitted

    def _list_prefills(
        self, entry: fair_queue.QueueEntry, pool: tables.Pool, now_ms: int
    ) -> list[placements.Placement]:
        job = entry.job
        usable = self._list_usable(self._members.prefills, job, now_ms)
        accepting = [
            view for view in usable if not view.is_backing_off(now_ms)
        ]
        # Where all have refused of late, as the last prefill engine does that
        # changes its role, one of them is better than none; but a decode
        # engine that reads the prompt itself is better still.
        if accepting or not pool.self_reading:
            usable = accepting or usable
        else:
            usable = []
        if entry.lane is fair_queue.Lane.SUSPECT:
            usable = [view for view in usable if not view.count_suspects()]
        elif entry.lane is fair_queue.Lane.LONG:
            if now_ms < entry.latest_start_ms - LAST_RESORT_MS:
                usable = self._reserve_for_short(usable, now_ms)
        if self.is_without_peer_state and len(usable) > UNINFORMED_CHOICES:
            usable = self._random.sample(usable, UNINFORMED_CHOICES)
        return [self._plan_prefill(view, job, pool, now_ms) for view in usable]

    def _reserve_for_short(
        self, usable: list[upstream_view.UpstreamView], now_ms: int
    ) -> list[upstream_view.UpstreamView]:
        # Prefills run one after another, so once each upstream has a long one,
        # every short prompt misses its first token.  One upstream is left to
        # the short ones; with only one there is no choice.
        if len(usable) < 2:
            return usable
        short_wait = [
            view
            for view in usable
            if view.estimate_prefill_wait_ms(now_ms) < SHORT_WAIT_MS
        ]
        return short_wait if len(short_wait) > 1 else []

    def _plan_prefill(
        self,
        view: upstream_view.UpstreamView,
        job: jobs.Job,
        pool: tables.Pool,
        now_ms: int,
    ) -> placements.Placement:
        hits = view.prefixes.count_hits(job.prefix_hashes)
        tokens = max(job.prompt_tokens - hits * pool.block_tokens, 0.0)
        prefill_ms = view.speed.estimate_ms(tokens)
        wait_ms = view.estimate_prefill_wait_ms(now_ms)
        if self.is_without_peer_state:
            # Nobody tells what the others sent, so the report has to do.
            wait_ms += view.unattributed_prefills * prefill_ms
        ready_ms = now_ms + wait_ms + prefill_ms
        return placements.Placement(view, tokens, prefill_ms, ready_ms)

    def _choose_decode(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        pool: tables.Pool,
        now_ms: int,
    ) -> upstream_view.UpstreamView | None:
        blocks = placements.estimate_kv_blocks(entry.job, pool)
        usable = self._list_with_capacity(entry, blocks, now_ms)
        if self.is_without_peer_state and len(usable) > UNINFORMED_CHOICES:
            usable = self._random.sample(usable, UNINFORMED_CHOICES)
        return max(
            usable,
            key=lambda view: self._score_decode(
                view, placement, entry.job, pool, now_ms
            ),
            default=None,
        )

    def _list_with_capacity(
        self, entry: fair_queue.QueueEntry, blocks: int, now_ms: int
    ) -> list[upstream_view.UpstreamView]:
        """Return the decode upstreams that probably have room."""
        usable = [
            view
            for view in self._list_usable(
                self._members.decodes, entry.job, now_ms
            )
            if view.count_free_slots(now_ms) > 0 and view.has_blocks(blocks)
        ]
        if entry.lane is fair_queue.Lane.SUSPECT:
            usable = [view for view in usable if not view.count_suspects()]
        return self.slowness.exclude_slow(usable, entry, now_ms)

    def _score_decode(
        self,
        view: upstream_view.UpstreamView,
        placement: placements.Placement,
        job: jobs.Job,
        pool: tables.Pool,
        now_ms: int,
    ) -> float:
        transfer_ms = self._links.estimate_ms(
            placements.get_zone_pair(placement.prefill, view),
            placements.compute_kv_bytes(job, pool),
            pool.link_bytes_per_s,
            placement.ready_ms,
        )
        free = view.count_free_slots(now_ms) / max(view.slots, 1)
        # A batch that fills makes each of its tokens later; a whole empty
        # engine is worth about 40 ms of transfer time.
        return free * 40.0 - transfer_ms + self._random.random()

    def _plan_decode(
        self,
        placement: placements.Placement,
        decode: upstream_view.UpstreamView,
        job: jobs.Job,
        pool: tables.Pool,
    ) -> None:
        placement.decode = decode
        placement.blocks = placements.estimate_kv_blocks(job, pool)
        placement.transfer_ms = self._links.estimate_ms(
            placements.get_zone_pair(placement.prefill, decode),
            placements.compute_kv_bytes(job, pool),
            pool.link_bytes_per_s,
            placement.ready_ms,
        )
        placement.first_token_ms = (
            placement.ready_ms
            + placement.transfer_ms
            + decode.step.value
            + placements.NETWORK_OVERHEAD_MS
        )


def _get_ready_ms(placement: placements.Placement) -> float:
    return placement.ready_ms
