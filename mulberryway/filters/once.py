"""Runs calls that may not be repeated at most once: a promise."""

import expression

from mulberryway import errors
from mulberryway import replies
from mulberryway.controllers import claims
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.policy import claim_records

__all__ = ["Once"]

REPLAYED = ("Idempotent-Replayed", "true")


class Once(base.Filter):
    """Lets a call on only with a claim, and answers its repeats.

    It stands before whatever speaks to upstreams: a call that goes out
    without a claim could run on two VMs when its caller repeats it.

    :param store: grants claims; without one all such calls are refused
    """

    def __init__(self, store: claims.ClaimStore | None) -> None:
        self._store = store

    def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run a call, replay its reply, or say why neither.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, a kept reply, or a fault
        """
        if route.is_repeatable(exchange):
            return proceed(exchange)
        if self._store is None:
            return _refuse()
        began = self._store.begin(
            exchange.account.name,
            exchange.find_header(route.ONCE_HEADER) or "",
            claim_records.digest_call(
                exchange.method, exchange.target, exchange.body
            ),
            exchange.deadline,
        )
        if began.is_error():
            return expression.Error(began.error)
        if isinstance(began.ok, claim_records.KeptReply):
            return expression.Ok(_replay(began.ok))
        return self._run(self._store, began.ok, exchange, proceed)

    def _run(
        self,
        store: claims.ClaimStore,
        grant: claims.Grant,
        exchange: base.Exchange,
        proceed: base.Proceed,
    ) -> base.Answer:
        run = errors.Run.MAY_HAVE_RUN
        reply = None
        try:
            answer = proceed(exchange)
            run = _read_run(answer)
            if answer.is_ok() and isinstance(answer.ok, replies.Reply):
                reply = claim_records.KeptReply(
                    answer.ok.status, answer.ok.headers, answer.ok.body
                )
            return answer
        finally:
            # An exception may come from anywhere, also from behind the
            # call: the claim then stays, and repeats hear "may have run".
            store.end(grant, run, reply)


def _read_run(answer: base.Answer) -> errors.Run:
    if answer.is_ok():
        return errors.Run.RAN
    return answer.error.run


def _replay(kept: claim_records.KeptReply) -> replies.Reply:
    return replies.Reply(kept.status, [*kept.headers, REPLAYED], kept.body)


def _refuse() -> base.Answer:
    return expression.Error(
        errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Step.ADMISSION,
            message="this VM can make no claims",
        )
    )
