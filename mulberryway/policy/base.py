"""The seam between the decisions under load and the process around them."""

import abc

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import probes
from mulberryway.upstreams import base as upstreams

__all__ = ["Scheduler"]


class Scheduler(abc.ABC):
    """Decides what is admitted, waits, is refused, and where it runs.

    It has no I/O, threads or clock reads: whoever owns it holds a lock,
    reports what happened and passes the time in milliseconds.  For every
    assignment exactly one ``finish`` follows, on every path; that is what
    gives the decode slot back.
    """

    @abc.abstractmethod
    def submit(
        self, job: jobs.Job, now_ms: int
    ) -> expression.Result[None, errors.Fault]:
        """Take a job in, or refuse it at once.

        :param job: the job
        :param now_ms: the present
        :returns: nothing, or a fault with run ``NOT_RUN``
        """

    @abc.abstractmethod
    def dispatch(self, now_ms: int) -> jobs.DispatchResult:
        """Decide which waiting jobs start now and which are given up.

        :param now_ms: the present
        :returns: the decisions
        """

    @abc.abstractmethod
    def cancel(self, job_id: str, now_ms: int) -> bool:
        """Forget a waiting job whose caller has gone.

        :param job_id: the job
        :param now_ms: the present
        :returns: false if it was not waiting
        """

    @abc.abstractmethod
    def record_prefilled(self, job_id: str, now_ms: int) -> None:
        """Tell that a started job's prefill has ended well.

        :param job_id: the job
        :param now_ms: the present
        """

    def record_prefill_failed(self, job_id: str, now_ms: int) -> None:
        """Tell that a prefill came to nothing; the decode engine reads.

        :param job_id: the job
        :param now_ms: the present
        """
        return

    @abc.abstractmethod
    def record_first_token(self, job_id: str, now_ms: int) -> None:
        """Tell that a started job's first token has come.

        :param job_id: the job
        :param now_ms: the present
        """

    def record_tokens(self, job_id: str, tokens: int, now_ms: int) -> None:
        """Tell how many tokens of a running job have come so far.

        Called now and then while a stream runs, and before ``finish``; a
        slow upstream shows in it, whatever it reports itself.

        :param job_id: the job
        :param tokens: all tokens so far
        :param now_ms: the present
        """
        return None

    def reassign_decode(
        self,
        job_id: str,
        refused: str,
        now_ms: int,
        is_unreached: bool = False,
    ) -> str | None:
        """Find another slot for a job whose prefill has ended.

        Called when the decode upstream refuses because it is full, while
        the prefill's result still lives: another slot saves the prefill.

        :param job_id: the job
        :param refused: the upstream that did not take it
        :param now_ms: the present
        :param is_unreached: whether it could not be reached; else it is full
        :returns: the upstream to try, its slot reserved; none if there is
            no other now, and it makes sense to ask again in some tens of
            milliseconds until the prefill's result expires
        """
        return None

    def has_decode_capacity(
        self, pool: str, excluded: str, now_ms: int
    ) -> bool:
        """Tell whether another upstream probably has room for a decode.

        :param pool: the pool's name
        :param excluded: the upstream that does not count
        :param now_ms: the present
        """
        return True

    def list_ejected(self, now_ms: int) -> list[probes.EjectedUpstream]:
        """Return the upstreams that get no requests for now.

        :param now_ms: the present
        """
        return []

    def record_probe(
        self, pool: str, upstream: str, has_passed: bool, now_ms: int
    ) -> None:
        """Take in what a probe, which was no request, found.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param has_passed: whether the upstream answered
        :param now_ms: the present
        """
        return

    def drain_hints(self, now_ms: int) -> hints.Note | None:
        """Return what the other routers should hear now, if anything.

        :param now_ms: the present
        :returns: a note to send to each peer that shares upstreams, or none
        """
        return None

    def apply_hints(self, note: hints.Note, now_ms: int) -> None:
        """Take in what another router told.

        :param note: its note; late, lost and repeated ones do no harm
        :param now_ms: the present
        """
        return None

    def record_crashes(self, deaths: list[hints.Death], now_ms: int) -> None:
        """Take in deaths of upstreams under requests, told by any VM.

        :param deaths: the deaths; repeated ones do no harm
        :param now_ms: the present
        """
        return None

    def is_quarantined(self, digest: str, now_ms: int) -> bool:
        """Tell whether a request may not run, and renew that if so.

        :param digest: names the request, see ``policy.poison``
        :param now_ms: the present
        :returns: whether upstreams died while they ran it
        """
        return False

    def record_crash(self, digest: str, upstream: str, now_ms: int) -> None:
        """Tell that a plain service's server died under a request.

        :param digest: names the request
        :param upstream: ``pool/name`` of the server
        :param now_ms: the present
        """
        return None

    def change_vms(self, vms: tuple[str, ...], now_ms: int) -> None:
        """Take over the list of VMs that run a router.

        :param vms: their names, this VM's among them
        :param now_ms: the present
        """
        return None

    @abc.abstractmethod
    def finish(
        self,
        job_id: str,
        end: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        """Let a started job's reservations go.

        :param job_id: the job
        :param end: how it ended
        :param upstream: the upstream to blame; empty if none
        :param now_ms: the present
        """

    @abc.abstractmethod
    def record_load(
        self,
        pool: str,
        upstream: str,
        load: upstreams.EngineLoad,
        now_ms: int,
    ) -> None:
        """Take in a load report, which is some time old.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param load: the report
        :param now_ms: the present
        """

    @abc.abstractmethod
    def record_cache_events(
        self,
        pool: str,
        upstream: str,
        events: list[upstreams.CacheEvent],
        now_ms: int,
    ) -> None:
        """Take in cache events, which are late and may have gaps.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in order
        :param now_ms: the present
        """

    @abc.abstractmethod
    def change_pools(self, pools: dict[str, tables.Pool], now_ms: int) -> None:
        """Take over a new table of pools; leaving upstreams get no work.

        :param pools: the pools by name
        :param now_ms: the present
        """
