"""Runs non-idempotent calls at most once."""

import collections.abc

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway import tables
from mulberryway.controllers import claims
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.filters import status
from mulberryway.policy import claim_records

__all__ = ["IdempotencyGuard"]

REPLAYED = ("Idempotency-Replayed", "true")


class IdempotencyGuard(base.Filter):
    """Claims a non-idempotent call before it runs.

    A caller that lost the reply to a booking retries it, possibly at another
    VM.  Without a claim the booking would be made, and paid for, twice.  A
    retry gets the reply of the first run.

    :param store: stores the claims; without one all such calls are rejected,
        since at-most-once execution cannot be guaranteed
    :param clock_: the source of the current time
    :param get_time_to_abort_ms: returns the time until this VM gives up its
        requests, in ms; none if it is not shutting down
    :param store_timeout_ms: the timeout of a call to the platform's store,
        which may begin right before the deadline of a claim, in ms
    """

    def __init__(
        self,
        store: claims.ClaimStore | None,
        clock_: clock.Clock,
        get_time_to_abort_ms: collections.abc.Callable[
            [], int | None
        ] = lambda: None,
        store_timeout_ms: int = 0,
    ) -> None:
        self._store = store
        self._clock = clock_
        self._get_time_to_abort_ms = get_time_to_abort_ms
        self._store_timeout_ms = store_timeout_ms

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Run a call, or replay the reply of its first run.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, a replayed reply, or a fault
        """
        if exchange.pool.kind is tables.PoolKind.MODEL or route.is_idempotent(
            exchange
        ):
            return proceed(exchange)
        if self._store is None:
            return expression.Error(
                errors.Fault(
                    errors.Code.PLATFORM_UNAVAILABLE,
                    errors.Step.ADMISSION,
                    message="this VM has no claim store",
                )
            )
        deadline = self._limit(exchange.deadline)
        if deadline.has_passed(self._clock.now_ms()):
            return expression.Error(status.make_stopping_fault())
        result = self._store.begin(
            exchange.account.name,
            exchange.find_header(route.IDEMPOTENCY_KEY_HEADER) or "",
            claim_records.fingerprint_call(
                exchange.method, exchange.target, exchange.body
            ),
            deadline,
        )
        if result.is_error():
            return expression.Error(result.error)
        if isinstance(result.ok, claim_records.CachedReply):
            return expression.Ok(_replay(result.ok))
        return self._run(self._store, exchange, proceed, result.ok)

    def _limit(self, deadline: clock.Deadline) -> clock.Deadline:
        """Return until when a call may wait for its claim.

        The wait cannot be aborted, so it ends before this VM has to answer.
        """
        left_ms = self._get_time_to_abort_ms()
        if left_ms is None:
            return deadline
        until_ms = self._clock.now_ms() + left_ms - self._store_timeout_ms
        return clock.Deadline(min(deadline.at_ms, until_ms))

    @staticmethod
    def _run(
        store: claims.ClaimStore,
        exchange: base.Exchange,
        proceed: base.NextHandler,
        grant: claims.Grant,
    ) -> base.Answer:
        run = errors.ExecutionStatus.MAY_HAVE_RUN
        cached = None
        try:
            answer = proceed(exchange)
            if answer.is_error():
                run = answer.error.run
            elif isinstance(answer.ok, replies.Reply):
                run = errors.ExecutionStatus.RAN
                cached = _make_cached_reply(answer.ok)
            return answer
        finally:
            # Also after an exception: retries would wait for a claim that
            # is never ended.
            store.end(grant, run, cached)


def _make_cached_reply(reply: replies.Reply) -> claim_records.CachedReply:
    return claim_records.CachedReply(
        reply.status, list(reply.headers), reply.body
    )


def _replay(cached: claim_records.CachedReply) -> replies.Reply:
    return replies.Reply(
        cached.status, [*cached.headers, REPLAYED], cached.body
    )
