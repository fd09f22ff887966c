"""Defines the interface between scheduling policy and process."""

import abc

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import part_quarantine
from mulberryway.policy import poison
from mulberryway.policy import pool_demand
from mulberryway.policy import probes
from mulberryway.upstreams import base as upstreams

__all__ = ["Scheduler"]


class Scheduler(abc.ABC):
    """Decides which jobs are admitted, queued or rejected, and where they run.

    It has no I/O, threads or clock reads: its owner holds a lock, reports
    events and passes the time in milliseconds.  The owner must call
    ``finish`` exactly once for every assignment, on every path, because that
    releases the decode slot.
    """

    @abc.abstractmethod
    def submit(
        self, job: jobs.Job, now_ms: int
    ) -> expression.Result[None, errors.Fault]:
        """Admit a job, or reject it immediately.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: nothing, or a fault with run ``NOT_RUN``
        """

    @abc.abstractmethod
    def dispatch(self, now_ms: int) -> jobs.DispatchResult:
        """Decide which waiting jobs start now and which are rejected.

        :param now_ms: current time in milliseconds
        :returns: the decisions
        """

    @abc.abstractmethod
    def cancel(self, job_id: str, now_ms: int) -> bool:
        """Remove a waiting job whose caller has disconnected.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        :returns: false if it was not waiting
        """

    @abc.abstractmethod
    def record_prefilled(self, job_id: str, now_ms: int) -> None:
        """Record that a started job's prefill has succeeded.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """

    def record_prefill_failed(self, job_id: str, now_ms: int) -> None:
        """Record a failed prefill that the decode engine takes over.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """
        return

    @abc.abstractmethod
    def record_first_token(self, job_id: str, now_ms: int) -> None:
        """Record that a started job's first token has arrived.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """

    def record_tokens(self, job_id: str, tokens: int, now_ms: int) -> None:
        """Record how many tokens of a running job have arrived.

        Called from time to time while a stream runs, and before ``finish``.
        It reveals a slow upstream independently of the upstream's reports.

        :param job_id: the job
        :param tokens: total number of tokens so far
        :param now_ms: current time in milliseconds
        """
        return None

    def try_send(self, job_id: str, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent.

        :param job_id: the job
        :param upstream: the upstream's name
        :param now_ms: current time in milliseconds
        :returns: whether it may be sent; a cold upstream's limit may be
            reached since it was chosen
        """
        return True

    def reassign_decode(
        self,
        job_id: str,
        rejected_by: str,
        now_ms: int,
        is_unreached: bool = False,
    ) -> str | None:
        """Reserve another decode slot for a prefilled job.

        Called when the decode upstream rejects the job for lack of capacity
        before the prefill's result expires; another slot saves the prefill.

        :param job_id: the job
        :param rejected_by: the upstream that rejected it
        :param now_ms: current time in milliseconds
        :param is_unreached: whether it was unreachable instead of full
        :returns: the upstream to try, with a reserved slot; none if no other
            is free now, in which case a retry after some tens of milliseconds
            is useful until the prefill's result expires
        """
        return None

    def avoid_decode(
        self, job_id: str, upstream: str, now_ms: int
    ) -> str | None:
        """Reserve a decode slot at another upstream than one that is silent.

        Nothing shows that the upstream is full or has failed, so other jobs,
        and this one later, may still be sent there.

        :param job_id: the job
        :param upstream: the upstream that does not answer
        :param now_ms: current time in milliseconds
        :returns: the upstream to try, with a reserved slot; none if no other
            is free, in which case the job keeps its slot
        """
        return None

    def has_decode_capacity(
        self,
        pool: str,
        excluded: str,
        now_ms: int,
        required_version: str | None = None,
    ) -> bool:
        """Return whether another upstream may have decode capacity.

        :param pool: the pool's name
        :param excluded: the upstream to leave out
        :param now_ms: current time in milliseconds
        :param required_version: the only software version to consider; none
            for any
        """
        return True

    def list_ejected(self, now_ms: int) -> list[probes.EjectedUpstream]:
        """Return the currently ejected upstreams.

        :param now_ms: current time in milliseconds
        """
        return []

    def record_probe(
        self, pool: str, upstream: str, has_passed: bool, now_ms: int
    ) -> None:
        """Record the result of a health probe.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param has_passed: whether the upstream answered
        :param now_ms: current time in milliseconds
        """
        return

    def drain_hints(self, now_ms: int) -> hints.Note | None:
        """Return the gossip message that is due now, if any.

        :param now_ms: current time in milliseconds
        :returns: a message for each peer that shares upstreams, or none
        """
        return None

    def apply_hints(self, note: hints.Note, now_ms: int) -> None:
        """Apply a gossip message from another router.

        :param note: the message; may be late or a duplicate, and others may be
            lost
        :param now_ms: current time in milliseconds
        """
        return None

    def record_crashes(self, deaths: list[hints.Death], now_ms: int) -> None:
        """Apply crashes of upstreams that any VM has reported.

        :param deaths: the crashes; duplicates have no effect
        :param now_ms: current time in milliseconds
        """
        return None

    def is_quarantined(self, digest: str, now_ms: int) -> bool:
        """Return whether a request is quarantined, and renew its quarantine.

        :param digest: identifies the request, see ``policy.poison``
        :param now_ms: current time in milliseconds
        :returns: whether upstreams crashed while they ran it
        """
        return False

    def record_crash(self, digest: str, upstream: str, now_ms: int) -> None:
        """Record that a service's server crashed under a request.

        :param digest: identifies the request
        :param upstream: ``pool/name`` of the server
        :param now_ms: current time in milliseconds
        """
        return None

    def record_answer(self, digest: str, now_ms: int) -> bool:
        """Record that a service's server has answered a request.

        :param digest: identifies the request
        :param now_ms: current time in milliseconds
        :returns: whether it is no longer suspected, which peers have to know
        """
        return False

    def drain_ended(self) -> list[tuple[str, str, int]]:
        """Return the crashes of upstreams that were heard of since the last
        call.

        :returns: a pool's and an upstream's name, and when it was found to
            have crashed, in ms
        """
        return []

    def drain_quarantined(self) -> list[poison.Quarantine]:
        """Return the quarantines that began since the last call, for logs."""
        return []

    def record_output(self, job_id: str, now_ms: int) -> None:
        """Record the first output of a started job's engine.

        :param job_id: the job, which may resume a stream
        :param now_ms: current time in milliseconds
        """
        return None

    def record_break(
        self, job_id: str, output_ms: int | None, now_ms: int
    ) -> None:
        """Record that a started job's connection has broken, before its end.

        :param job_id: the job
        :param output_ms: time of its last output, in milliseconds; none if
            there was none
        :param now_ms: current time in milliseconds
        """
        return None

    def record_alive(
        self, pool: str, upstream: str, at_ms: int, now_ms: int
    ) -> None:
        """Record a sign of life of an engine.

        :param pool: the pool's name
        :param upstream: the engine's name
        :param at_ms: when it was alive, in milliseconds
        :param now_ms: current time in milliseconds
        """
        return None

    def count_memory(self, now_ms: int) -> dict[str, dict[str, int]]:
        """Return what the decode engines hold, for metrics.

        :param now_ms: current time in milliseconds
        :returns: streams, and KV cache blocks by kind, for each pool
        """
        return {}

    def read_demands(self, now_ms: int) -> dict[str, pool_demand.PoolDemand]:
        """Return what was asked of the pools in the last minute.

        :param now_ms: current time in milliseconds
        :returns: the demand of each pool of which it is known
        """
        return {}

    def list_unconfirmed(self, now_ms: int) -> list[tuple[str, str]]:
        """Return the engines that have to show that they survived a suspect.

        :param now_ms: current time in milliseconds
        :returns: pairs of a pool's and an engine's name
        """
        return []

    def check_running(self, job_id: str, now_ms: int) -> errors.Fault | None:
        """Return why a started job must not be sent to another engine.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        :returns: the rejection if it was quarantined since its start, or none
        """
        return None

    def has_quarantined_part(
        self, part_keys: tuple[str, ...], now_ms: int
    ) -> bool:
        """Return whether a request must not run because of its prompt.

        :param part_keys: keys of its prompt's parts
        :param now_ms: current time in milliseconds
        """
        return False

    def drain_part_changes(self) -> list[part_quarantine.PartChange]:
        """Return what has changed about prompt parts, for logs."""
        return []

    def drain_malformed(self) -> list[tuple[str, hints.RankNote]]:
        """Return peers' malformed reports with their senders, for logs."""
        return []

    def count_parts(self, state: str) -> int:
        """Return the number of prompt parts that are blamed for crashes.

        :param state: ``suspect`` or ``quarantined``
        """
        return 0

    def update_vms(self, vms: tuple[str, ...], now_ms: int) -> None:
        """Apply a new list of VMs that run a router.

        :param vms: names of the VMs, including this VM
        :param now_ms: current time in milliseconds
        """
        return None

    def update_peers(self, count: int) -> None:
        """Replace the number of VMs that exchange notes with this one.

        :param count: the number of peers
        """
        return None

    @abc.abstractmethod
    def finish(
        self,
        job_id: str,
        outcome: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        """Release a started job's reservations.

        :param job_id: the job
        :param outcome: the outcome
        :param upstream: the upstream at fault; empty if none
        :param now_ms: current time in milliseconds
        """

    @abc.abstractmethod
    def record_load(
        self,
        pool: str,
        upstream: str,
        load: upstreams.EngineLoad,
        now_ms: int,
    ) -> None:
        """Record a load report, which lags behind the engine.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param load: the report
        :param now_ms: current time in milliseconds
        """

    @abc.abstractmethod
    def record_cache_events(
        self,
        pool: str,
        upstream: str,
        events: list[upstreams.CacheEvent],
        now_ms: int,
    ) -> None:
        """Apply cache events, which are delayed and may have gaps.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in order
        :param now_ms: current time in milliseconds
        """

    @abc.abstractmethod
    def change_pools(self, pools: dict[str, tables.Pool], now_ms: int) -> None:
        """Apply a new table of pools; draining upstreams get no jobs.

        :param pools: the pools by name
        :param now_ms: current time in milliseconds
        """
