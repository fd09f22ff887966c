"""What all model requests share."""

import collections.abc

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import metrics
from mulberryway import tables
from mulberryway import traces
from mulberryway.controllers import cancelling
from mulberryway.controllers import scheduling
from mulberryway.policy import jobs
from mulberryway.relay import pump
from mulberryway.relay import watch
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory

__all__ = [
    "ModelDependencies",
    "SourceResult",
    "make_disconnect_fault",
    "classify_job_end",
]

SourceResult = expression.Result[upstreams.TokenStream, errors.Fault]
JOB_END_BY_CODE = {
    errors.Code.UPSTREAM_TIMEOUT: jobs.JobOutcome.TIMED_OUT,
    errors.Code.UPSTREAM_REFUSED: jobs.JobOutcome.REFUSED_BY_ENGINE,
    errors.Code.UPSTREAM_UNREACHABLE: jobs.JobOutcome.UNREACHED,
}


def classify_job_end(fault: errors.Fault) -> jobs.JobOutcome:
    """Return how an attempt ended that an upstream did not answer whole.

    :param fault: what befell it
    :returns: the end; an upstream that may have died of the request is told
        from one that answered with an error
    """
    if fault.has_died:
        return jobs.JobOutcome.DIED
    return JOB_END_BY_CODE.get(fault.code, jobs.JobOutcome.FAILED)


class ModelDependencies:
    """What all model requests share.

    :param vm: the VM's name
    :param incarnation: which life of the VM's router this is
    :param gap_ms: the longest wait for a further token
    :param try_withdraw_retry: takes a repeat out of a pool's budget for them
    :param choice_ttl_ms: for how long a chosen upstream may be used without a
        look at the tables; shorter than upstreams that leave serve on
    :param cuts_withdrawn: whether a withdrawn key ends running streams
    """

    __slots__ = (
        "vm",
        "incarnation",
        "gap_ms",
        "clock",
        "source",
        "scheduling",
        "cancelling",
        "directory",
        "relay",
        "callers",
        "tracer",
        "metrics",
        "try_withdraw_retry",
        "choice_ttl_ms",
        "cuts_withdrawn",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        gap_ms: int,
        clock_: clock.Clock,
        source: tables.TableSource,
        scheduling_: scheduling.SchedulingController,
        cancelling_: cancelling.CancelController,
        directory_: directory.UpstreamDirectory,
        relay: pump.Relay,
        callers: watch.DisconnectMonitor,
        tracer: traces.Tracer,
        metrics_: metrics.Metrics,
        try_withdraw_retry: collections.abc.Callable[[str], bool],
        choice_ttl_ms: int,
        cuts_withdrawn: bool,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.gap_ms = gap_ms
        self.clock = clock_
        self.source = source
        self.scheduling = scheduling_
        self.cancelling = cancelling_
        self.directory = directory_
        self.relay = relay
        self.callers = callers
        self.tracer = tracer
        self.metrics = metrics_
        self.try_withdraw_retry = try_withdraw_retry
        self.choice_ttl_ms = choice_ttl_ms
        self.cuts_withdrawn = cuts_withdrawn


def make_disconnect_fault() -> errors.Fault:
    """Return the fault of a request whose caller has gone."""
    return errors.Fault(
        errors.Code.CANCELLED,
        errors.Step.CALLER,
        message="the caller has gone",
    )
