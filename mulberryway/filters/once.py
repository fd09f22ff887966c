"""Lets calls that must not be repeated run at most once."""

import expression

from mulberryway import errors
from mulberryway import replies
from mulberryway import tables
from mulberryway.controllers import claims
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.policy import claim_records

__all__ = ["IdempotencyGuard"]

REPLAYED = ("Idempotency-Replayed", "true")


class IdempotencyGuard(base.Filter):
    """Claims a call that must not be repeated before it runs.

    A caller that lost the reply to a booking sends it again, perhaps to
    another VM; without the claim a pen would be cleaned, and paid for,
    twice.  A repeat gets the first run's reply.

    :param store: keeps the claims; without one nothing is let through,
        since no promise could be kept
    """

    def __init__(self, store: claims.ClaimStore | None) -> None:
        self._store = store

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Run a call, or answer from what it answered before.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, a replay, or a fault
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
                    message="no claims can be kept here",
                )
            )
        began = self._store.begin(
            exchange.account.name,
            exchange.find_header(route.IDEMPOTENCY_KEY_HEADER) or "",
            claim_records.fingerprint_call(
                exchange.method, exchange.target, exchange.body
            ),
            exchange.deadline,
        )
        if began.is_error():
            return expression.Error(began.error)
        if isinstance(began.ok, claim_records.CachedReply):
            return expression.Ok(_replay(began.ok))
        return self._run(self._store, exchange, proceed, began.ok)

    @staticmethod
    def _run(
        store: claims.ClaimStore,
        exchange: base.Exchange,
        proceed: base.NextHandler,
        grant: claims.Grant,
    ) -> base.Answer:
        run = errors.ExecutionStatus.MAY_HAVE_RUN
        kept = None
        try:
            answer = proceed(exchange)
            if answer.is_error():
                run = answer.error.run
            elif isinstance(answer.ok, replies.Reply):
                run = errors.ExecutionStatus.RAN
                kept = _keep(answer.ok)
            return answer
        finally:
            # Also after an exception: an end that is never noted would let
            # every repeat wait for it.
            store.end(grant, run, kept)


def _keep(reply: replies.Reply) -> claim_records.CachedReply:
    return claim_records.CachedReply(
        reply.status, list(reply.headers), reply.body
    )


def _replay(kept: claim_records.CachedReply) -> replies.Reply:
    return replies.Reply(kept.status, [*kept.headers, REPLAYED], kept.body)
