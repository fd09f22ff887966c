"""Chooses the upstreams for a job's prefill and decode.

Every choice considers only the upstreams of this router's subset, so its
cost is bounded by the subset's size (about 64) and not by the pool's.
"""

import random

from mulberryway import tables
from mulberryway.policy import aggregated_serving
from mulberryway.policy import cold_start
from mulberryway.policy import fair_queue
from mulberryway.policy import health
from mulberryway.policy import jobs
from mulberryway.policy import kv_growth
from mulberryway.policy import placements
from mulberryway.policy import pool_upstreams
from mulberryway.policy import send_limits
from mulberryway.policy import slow_upstreams
from mulberryway.policy import transfers
from mulberryway.policy import upstream_view
from mulberryway.policy import zone_costs

__all__ = ["Placer"]

# Short prompts need at least one prefill upstream with a wait below this, so
# long prompts are not started on the last such upstream.
SHORT_WAIT_MS = 400.0
# A long prompt that would expire within this time is started anyway: its
# rejection would be certain, a delay of short prompts is not.
LAST_RESORT_MS = 100
# Prefills that end within this time of the best one count as equal, and one
# is chosen at random.  Otherwise routers with the same view would all choose
# the same upstream.
READY_TIE_MS = 3.0
# Streams that other VMs may have started at an engine since their last gossip
# message.
UNREPORTED_STREAMS = 2
# Number of randomly sampled upstreams that are compared when peers' choices
# since the last load report are unknown.  With two, routers do not all choose
# the upstream that looks best in the same report.
UNINFORMED_CHOICES = 2


class Placer:
    """Chooses upstreams for the jobs of one pool.

    :param members: the upstreams of this router's subset
    :param random_: seeded random generator
    :param token_gap_ms: inter-token gap target, in milliseconds
    :param cold_starts: limits requests to cold upstreams; none by default
    :param limits: further limits of requests to upstreams; none by default
    :param zones: charges for the distance between zones; nothing by default
    """

    def __init__(
        self,
        members: pool_upstreams.PoolUpstreams,
        random_: random.Random,
        token_gap_ms: int,
        cold_starts: cold_start.ColdStartLimiter | None = None,
        limits: send_limits.SendLimits | None = None,
        zones: zone_costs.ZoneCosts | None = None,
    ) -> None:
        self._members = members
        self._zones = zones or zone_costs.ZoneCosts()
        self.cold_starts = cold_starts or cold_start.ColdStartLimiter(
            cold_start.FleetShares(""), cold_start.ColdStartLimits()
        )
        self.limits = send_limits.CombinedSendLimits(
            filter(None, (self.cold_starts, limits))
        )
        self._random = random_
        self._token_gap_ms = token_gap_ms
        self._links = transfers.TransferLinks()
        self.slowness = slow_upstreams.SlowUpstreamDetector(
            members, token_gap_ms
        )
        self._typical_blocks = health.Ewma(0.0)
        self._typical_prompt = health.Ewma(0.0)
        # Typical duration of a stream, in milliseconds; set by the pool.
        self.typical_stream_ms = 0.0
        self.is_without_peer_state = False

    def estimate(
        self, job: jobs.Job, pool: tables.Pool, now_ms: int
    ) -> placements.Placement | None:
        """Return the earliest prefill that is possible for a job now.

        :param job: the job
        :param pool: the pool's row
        :param now_ms: current time in milliseconds
        :returns: the placement without a decode upstream; none if no
            upstream accepts prefills
        """
        candidates = list(self._members.prefills)
        if pool.has_chunked_prefill:
            candidates += self._members.list_decodes(job.required_version)
        options = [
            self._plan_prefill(view, job, pool, now_ms)
            for view in self._list_usable(candidates, job, now_ms)
            if self.limits.has_share(view.row.name, now_ms)
        ]
        for option in options:
            option.ready_ms += self.limits.get_wait_ms(
                option.prefill.row.name, now_ms
            )
        return min(options, key=_get_ready_ms, default=None)

    def choose(
        self,
        entry: fair_queue.QueueEntry,
        pool: tables.Pool,
        now_ms: int,
        yield_ms: int = 0,
    ) -> placements.Placement | None:
        """Return a placement that meets a job's deadline if started now.

        :param entry: the waiting job
        :param pool: the pool's row
        :param now_ms: current time in milliseconds
        :param yield_ms: how long a decode engine that could start another
            chunked prefill is left to peers' jobs with priority, in
            milliseconds
        :returns: the placement; none if the job has to keep waiting
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
        """Return the best placement with prefill and decode on two engines."""
        options = self._list_prefills(entry, pool, now_ms)
        if not options:
            return None
        decodes = self._members.list_decodes(entry.job.required_version)
        placement = self._random.choice(
            self._zones.list_best(
                options, decodes, entry.job, pool, READY_TIE_MS, now_ms
            )
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
        """Return a placement with a chunked prefill on a decode engine."""
        if not pool.has_chunked_prefill:
            return None
        stream = placements.estimate_growth(entry.job, pool)
        options = [
            self._plan_prefill(view, entry.job, pool, now_ms)
            for view in self._list_with_capacity(entry, stream, now_ms)
        ]
        placement = aggregated_serving.choose_aggregated(
            options,
            disaggregated is None and not self._has_prefill_engine(now_ms),
            self.typical_stream_ms,
            yield_ms,
            self._random,
            now_ms,
            self._zones.compute_streams,
        )
        if placement is not None:
            placement.decode = placement.prefill
            placement.blocks = stream.reserved_blocks
            placement.stream = stream
            placement.first_token_ms = (
                placement.ready_ms
                + placement.prefill.step.value
                + placements.NETWORK_OVERHEAD_MS
            )
        return placement

    def _has_prefill_engine(self, now_ms: int) -> bool:
        """Return whether any prefill engine accepts prompts."""
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
        """Reserve a placement's resources, beginning with the decode slot.

        A prefill's result expires in less than a second and is lost without
        a decode slot.  The slot therefore stays reserved from before the
        prefill until the job's one call of ``finish``.

        :param placement: the placement
        :param job: the job
        :param pool: the pool's row
        :param now_ms: current time in milliseconds
        """
        assert placement.decode is not None
        placement.decode.start_decode(
            placement.blocks, now_ms, placement.stream
        )
        for view in {placement.prefill, placement.decode}:
            self.limits.record_choice(view.row.name, now_ms)
        if not self._typical_blocks.count:
            self._typical_blocks.value = float(placement.blocks)
        self._typical_blocks.note(placement.blocks)
        if placement.stream is not None:
            self._note_typical_prompt(placement.stream.prompt_blocks)
        placement.prefill.add_prefill(placement.prefill_ms, now_ms)
        placement.drift_ms = placement.prefill.drift_ms
        placement.prefill.prefixes.record_own(job.prefix_hashes)
        self._zones.record(placement, job, pool)
        if placement.is_aggregated():
            return
        self._links.reserve(
            placements.get_zone_pair(placement.prefill, placement.decode),
            placements.compute_kv_bytes(job, pool),
            pool.link_bytes_per_s,
            placement.ready_ms,
        )

    def _note_typical_prompt(self, blocks: int) -> None:
        if not self._typical_prompt.count:
            self._typical_prompt.value = float(blocks)
        self._typical_prompt.note(blocks)

    def choose_other_decode(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        pool: tables.Pool,
        now_ms: int,
        excluded: str = "",
    ) -> upstream_view.UpstreamView | None:
        """Return another decode upstream for a job that has started.

        :param entry: the job's entry
        :param placement: its current placement
        :param pool: the pool's row
        :param now_ms: current time in milliseconds
        :param excluded: the name of an upstream that is not chosen
        :returns: an upstream with a free slot, or none
        """
        return self._choose_decode(entry, placement, pool, now_ms, excluded)

    def estimate_free_slots(
        self, now_ms: int, version: str | None = None
    ) -> int:
        """Return how many more decodes of typical size probably fit.

        Streams may fill an engine's memory long before its slots, so a count
        of slots alone would overestimate the free capacity.

        :param now_ms: current time in milliseconds
        :param version: the only software version to consider; none for all
        :returns: the sum over the subset
        """
        blocks = self._typical_blocks.value
        prompt = (
            self._typical_prompt.value if self._typical_prompt.count else None
        )
        return sum(
            view.estimate_capacity(blocks, now_ms, prompt)
            for view in self._members.list_decodes(version)
            if not view.health.is_ejected(now_ms)
        )

    def get_limit_wait_ms(self, job: jobs.Job, now_ms: int) -> int:
        """Return how long all decode upstreams get no request at least.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: milliseconds; 0 if one may get a request now
        """
        views = self._members.list_decodes(job.required_version)
        return min(
            (self.limits.get_wait_ms(view.row.name, now_ms) for view in views),
            default=0,
        )

    def is_near_capacity(self, view: upstream_view.UpstreamView) -> bool:
        """Return whether an engine may be fuller than the view shows.

        Peers may have started streams there since their last gossip message.
        Where only a few more streams fit, a reservation at the engine costs
        less than a wasted prefill.

        :param view: the engine, with the placement in question included
        """
        if view.total_blocks is None:
            return False
        unreported_blocks = self._typical_blocks.value * UNREPORTED_STREAMS
        return view.count_free_blocks() < unreported_blocks

    def count_slots(self, version: str | None = None) -> int:
        """Return the total number of decode slots in the subset.

        :param version: the only software version to consider; none for all
        """
        return sum(view.slots for view in self._members.list_decodes(version))

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
        # If every admitted upstream is excluded for this job, such an
        # upstream is better than none.
        return not_excluded or admitted

    def _list_prefills(
        self, entry: fair_queue.QueueEntry, pool: tables.Pool, now_ms: int
    ) -> list[placements.Placement]:
        job = entry.job
        usable = self._list_usable(self._members.prefills, job, now_ms)
        usable = self._exclude_limited(usable, now_ms)
        accepting = [
            view for view in usable if not view.is_backing_off(now_ms)
        ]
        # All may be backing off, for example when the last prefill engine
        # changes its role.  One of them is still better than none, but
        # chunked prefill on a decode engine is better if the pool allows it.
        if accepting or not pool.has_chunked_prefill:
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
        # Prefills run one after another, so if each upstream has a long one,
        # every short prompt misses its first token target.  One upstream is
        # kept for short prompts, unless the pool has only one.
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
            # Without gossip, the load report is the only source for the
            # peers' prefills.
            wait_ms += view.unattributed_prefills * prefill_ms
        ready_ms = now_ms + wait_ms + prefill_ms
        return placements.Placement(view, tokens, prefill_ms, ready_ms)

    def _choose_decode(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        pool: tables.Pool,
        now_ms: int,
        excluded: str = "",
    ) -> upstream_view.UpstreamView | None:
        stream = placements.estimate_growth(entry.job, pool)
        usable = [
            view
            for view in self._list_with_capacity(entry, stream, now_ms)
            if view.row.name != excluded
        ]
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
        self,
        entry: fair_queue.QueueEntry,
        stream: kv_growth.StreamGrowth,
        now_ms: int,
    ) -> list[upstream_view.UpstreamView]:
        """Return the decode upstreams that probably have free capacity."""
        usable = [
            view
            for view in self._list_usable(
                self._members.list_decodes(entry.job.required_version),
                entry.job,
                now_ms,
            )
            if view.count_free_slots(now_ms) > 0
            and view.fits_stream(stream, now_ms)
        ]
        usable = self._exclude_limited(usable, now_ms)
        if entry.lane is fair_queue.Lane.SUSPECT:
            usable = [view for view in usable if not view.count_suspects()]
        return self.slowness.exclude_slow(usable, entry, now_ms)

    def _exclude_limited(
        self, views: list[upstream_view.UpstreamView], now_ms: int
    ) -> list[upstream_view.UpstreamView]:
        """Return the upstreams that may get a request now."""
        return [
            view
            for view in views
            if self.limits.has_room(view.row.name, now_ms)
        ]

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
        # A slow engine holds each stream for longer.
        free /= view.estimate_slowness(now_ms)
        # A larger batch delays each of its tokens; an idle engine is worth
        # about 40 ms of transfer time.
        distance_ms = self._zones.compute_decode_ms(
            placement.prefill.row.zone, view.row.zone, job, pool
        )
        return free * 40.0 - transfer_ms - distance_ms + self._random.random()

    def _plan_decode(
        self,
        placement: placements.Placement,
        decode: upstream_view.UpstreamView,
        job: jobs.Job,
        pool: tables.Pool,
    ) -> None:
        placement.decode = decode
        placement.stream = placements.estimate_growth(job, pool)
        placement.blocks = placement.stream.reserved_blocks
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
