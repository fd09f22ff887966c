"""Puts the job of a model request together, and tells what became of it."""

import logging

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.policy import jobs

__all__ = ["JobBuilder"]

LOG = logging.getLogger(__name__)

# How long callers wait for a stream's next event, and for its first: the
# longest of a time, of the target for the first, and of that for pauses.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_TARGETS = 4
CALLER_TIMEOUT_GAPS = 8
# Of it so much may go by in the queue and the prefill.
QUEUE_TIME_FRACTION = 0.55


class JobBuilder:
    """Makes the jobs of one request.

    :param exchange: the request
    :param clock_: where the time comes from
    """

    __slots__ = ("_exchange", "_clock")

    def __init__(self, exchange: base.Exchange, clock_: clock.Clock) -> None:
        self._exchange = exchange
        self._clock = clock_

    def make(
        self,
        number: int,
        avoid: frozenset[str],
        limit: clock.Deadline,
        since_ms: int,
    ) -> jobs.Job:
        """Return the job of one try.

        :param number: 0 at first
        :param avoid: names of upstreams that failed the request
        :param limit: when the caller stops waiting
        :param since_ms: since when the caller waits for the next event: the
            arrival of the request, or when a begun stream lost its engine
        """
        exchange = self._exchange
        return jobs.Job(
            f"{exchange.request_id}-{number}",
            exchange.account.name,
            exchange.account.weight,
            exchange.pool.name,
            exchange.model,
            exchange.estimate,
            exchange.max_tokens,
            exchange.prefix_hashes,
            len(exchange.body),
            self._clock.now_ms(),
            self._limit_start(limit, since_ms),
            number,
            self._choose_avoided(avoid),
            exchange.digest,
            exchange.expected_tokens,
            since_ms + exchange.route.target_ms
            if exchange.route.target_ms
            else 0,
            route.is_idempotent(exchange)
            and number + 1 < exchange.route.max_attempts,
        )

    def _limit_start(
        self, limit: clock.Deadline, since_ms: int
    ) -> clock.Deadline:
        """Return when the next event is too late to be of use.

        Callers leave a stream that does not begin within their patience, and
        what is refused well before can still be served on its return.
        """
        exchange = self._exchange
        row = exchange.route
        if not row.is_streaming or not row.target_ms:
            return limit
        patience_ms = max(
            MIN_CALLER_TIMEOUT_MS,
            row.target_ms * CALLER_TIMEOUT_TARGETS,
            row.target_gap_ms * CALLER_TIMEOUT_GAPS,
        )
        start_ms = since_ms + int(patience_ms * QUEUE_TIME_FRACTION)
        return clock.Deadline(min(limit.at_ms, start_ms))

    def _choose_avoided(self, avoid: frozenset[str]) -> frozenset[str]:
        """Return the upstreams to avoid, unless none would be left.

        A pool whose every upstream has failed once is better tried again
        than given up: a restarted engine serves within seconds.
        """
        usable = {
            role: {
                upstream.name
                for upstream in self._exchange.pool.upstreams
                if upstream.role in (role, tables.UpstreamRole.BOTH)
            }
            for role in (
                tables.UpstreamRole.PREFILL,
                tables.UpstreamRole.DECODE,
            )
        }
        if all(names - avoid for names in usable.values()):
            return avoid
        return frozenset()

    def log_decision(
        self,
        job: jobs.Job,
        decision: expression.Result[jobs.Assignment, errors.Fault],
        waited_ms: int,
    ) -> None:
        """Tell what was decided for a job, and what decided.

        :param job: the job
        :param decision: where it runs, or why not
        :param waited_ms: how long it waited
        """
        exchange = self._exchange
        fields = {
            "request_id": exchange.request_id,
            "job": job.job_id,
            "pool": job.pool,
            "prompt_tokens": job.prompt_tokens,
            "expected_tokens": job.expected_tokens or job.max_tokens,
            "waited_ms": waited_ms,
            "tables": exchange.tables.revision,
        }
        if decision.is_error():
            LOG.info(
                "no engine was chosen",
                extra=logs.make_extra(decision.error, **fields),
            )
            return
        chosen = decision.ok
        LOG.info(
            "engines were chosen",
            extra=logs.make_extra(
                prefill=chosen.prefill,
                decode=chosen.decode,
                **fields,
                **chosen.inputs,
            ),
        )
