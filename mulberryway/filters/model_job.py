"""Creates the scheduler jobs of a model request and logs the decisions."""

import logging

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.policy import jobs
from mulberryway.policy import ranks

__all__ = ["JobBuilder"]

LOG = logging.getLogger(__name__)

# The time that callers are assumed to wait for a stream's first and next
# event: the maximum of a fixed time and of multiples of the targets for the
# first token and for the inter-token gap.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_TARGETS = 4
CALLER_TIMEOUT_GAPS = 8
# The fraction of this time that the queue and the prefill may take.
QUEUE_TIME_FRACTION = 0.55


class JobBuilder:
    """Creates the jobs of one request.

    :param exchange: the request
    :param clock_: the source of the current time
    :param source: provides the active tables
    """

    __slots__ = ("_exchange", "_clock", "_source")

    def __init__(
        self,
        exchange: base.Exchange,
        clock_: clock.Clock,
        source: tables.TableSource,
    ) -> None:
        self._exchange = exchange
        self._clock = clock_
        self._source = source

    def make(
        self,
        number: int,
        avoid: frozenset[str],
        limit: clock.Deadline,
        since_ms: int,
        required_version: str | None = None,
    ) -> jobs.Job:
        """Return the job of one attempt.

        :param number: the number of the attempt, from 0
        :param avoid: names of upstreams that failed this request
        :param limit: the deadline of the request
        :param since_ms: the time since when the caller has waited for the next
            event, in ms: the request's arrival, or when its stream lost its
            engine
        :param required_version: the software version that must decode it;
            none for any
        """
        exchange = self._exchange
        route_ = exchange.route
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
            self._compute_start_deadline(limit, since_ms),
            number,
            self._choose_excluded(avoid),
            exchange.digest,
            exchange.expected_tokens,
            since_ms + route_.target_ms if route_.target_ms else 0,
            route.is_idempotent(exchange) and number + 1 < route_.max_attempts,
            required_version,
            exchange.part_keys,
            *self._get_ranks(),
            limit,
        )

    def _compute_start_deadline(
        self, limit: clock.Deadline, since_ms: int
    ) -> clock.Deadline:
        """Return the time after which starting the job would be useless.

        Callers abandon a stream that does not begin within their timeout.  A
        request rejected well before that can still succeed when it is retried.
        """
        exchange = self._exchange
        route_ = exchange.route
        if not route_.is_streaming or not route_.target_ms:
            return limit
        caller_timeout_ms = max(
            MIN_CALLER_TIMEOUT_MS,
            route_.target_ms * CALLER_TIMEOUT_TARGETS,
            route_.target_gap_ms * CALLER_TIMEOUT_GAPS,
        )
        start_ms = since_ms + int(caller_timeout_ms * QUEUE_TIME_FRACTION)
        return clock.Deadline(min(limit.at_ms, start_ms))

    def _choose_excluded(self, avoid: frozenset[str]) -> frozenset[str]:
        """Return the upstreams to avoid, or none if no upstream would remain.

        If every upstream of a pool has failed once, retrying is better than
        giving up: a restarted engine serves within seconds.
        """
        # Upstreams may have registered since the request arrived.
        newest = self._source.get_tables() or self._exchange.tables
        pool = newest.pools.get(self._exchange.pool.name, self._exchange.pool)
        names_by_role = {
            role: {
                upstream.name
                for upstream in pool.upstreams
                if upstream.role in (role, tables.UpstreamRole.BOTH)
            }
            for role in (
                tables.UpstreamRole.PREFILL,
                tables.UpstreamRole.DECODE,
            )
        }
        if all(names - avoid for names in names_by_role.values()):
            return avoid
        return frozenset()

    def compute_return_ms(self, wait_ms: int) -> int:
        """Return after how long a caller that no engine served may return.

        :param wait_ms: the time until a return is useful, in ms
        """
        exchange = self._exchange
        rank, pool_ranks = self._get_ranks()
        if not pool_ranks.differ:
            return wait_ms
        return ranks.compute_return_ms(
            wait_ms,
            rank - pool_ranks.highest,
            exchange.request_id,
            exchange.deadline.left_ms(self._clock.now_ms()),
        )

    def _get_ranks(self) -> tuple[int, ranks.PoolRanks]:
        """Return the rank of the request and those of its pool."""
        exchange = self._exchange
        return (
            ranks.compute_rank(
                exchange.route.priority, exchange.account.priority
            ),
            ranks.make_pool_ranks(
                exchange.tables.list_priorities(exchange.pool.name)
            ),
        )

    def log_decision(
        self,
        job: jobs.Job,
        decision: expression.Result[jobs.Assignment, errors.Fault],
        waited_ms: int,
    ) -> None:
        """Log the scheduler's decision on a job and its inputs.

        :param job: the job
        :param decision: the assigned engines, or a fault
        :param waited_ms: the time in the queue in ms
        """
        exchange = self._exchange
        fields = {
            "request_id": exchange.request_id,
            "job": job.job_id,
            "pool": job.pool,
            "rank": job.rank,
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
