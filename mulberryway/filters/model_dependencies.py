"""Dependencies shared by all model requests."""

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
    "classify_job_end",
]

SourceResult = expression.Result[upstreams.TokenStream, errors.Fault]
JOB_OUTCOME_BY_CODE = {
    errors.Code.UPSTREAM_TIMEOUT: jobs.JobOutcome.TIMED_OUT,
    errors.Code.UPSTREAM_REFUSED: jobs.JobOutcome.REFUSED_BY_ENGINE,
    errors.Code.UPSTREAM_UNREACHABLE: jobs.JobOutcome.UNREACHED,
}


def classify_job_end(fault: errors.Fault) -> jobs.JobOutcome:
    """Return the outcome of an attempt without a complete answer.

    :param fault: the fault that ended the attempt
    :returns: the outcome; an upstream that may have crashed on the request
        is distinguished from one that returned an error, and from one that
        only this VM cannot reach
    """
    if fault.is_path_fault:
        return jobs.JobOutcome.CANCELLED
    if fault.has_died:
        return jobs.JobOutcome.DIED
    return JOB_OUTCOME_BY_CODE.get(fault.code, jobs.JobOutcome.FAILED)


class ModelDependencies:
    """Dependencies shared by all model requests.

    :param vm: the VM's name
    :param incarnation: the incarnation of this VM's router
    :param gap_ms: the timeout for a further token in ms
    :param clock_: the source of the current time
    :param source: provides the active tables
    :param scheduling_: assigns engines to jobs
    :param cancelling_: sends cancellations to engines
    :param directory_: finds upstreams
    :param relay: sends streams to callers
    :param callers: detects callers that disconnect
    :param tracer: creates spans
    :param metrics_: the process's instruments
    :param try_withdraw_retry: withdraws a retry from a pool's retry budget
    :param choice_ttl_ms: how long a chosen upstream may be used without
        checking the tables again, in ms; must be shorter than the time for
        which draining upstreams still serve
    :param closes_revoked_streams: whether a revoked key ends running streams
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
        "closes_revoked_streams",
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
        closes_revoked_streams: bool,
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
        self.closes_revoked_streams = closes_revoked_streams
