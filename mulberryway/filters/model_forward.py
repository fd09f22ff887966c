"""Sends model requests to engines and lends their answers to the relay."""

import expression

from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import model_run
from mulberryway.relay import stream as streams
from mulberryway.relay import writers

__all__ = ["ModelForward"]


class ModelForward(base.Filter):
    """Serves requests whose pool holds model engines.

    :param parts: what all model requests share
    """

    def __init__(self, parts: model_run.Parts) -> None:
        self._parts = parts

    def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Begin a decode and lend the caller's connection.

        :param exchange: the request
        :param proceed: the rest of the chain, for other pools
        :returns: a lent stream, or a fault
        """
        if exchange.pool.kind is tables.PoolKind.PLAIN:
            return proceed(exchange)
        run = model_run.ModelRun(exchange, self._parts)
        found = run.begin()
        if found.is_error():
            return expression.Error(found.error)
        stream = streams.Stream(
            run,
            _choose_writer(exchange),
            found.ok,
            exchange.connection,
            exchange.release,
            run.limit_first_ms(),
            self._parts.gap_ms,
            exchange.key_digest,
            exchange.account.name,
        )
        return expression.Ok(base.Lent(stream))


def _choose_writer(exchange: base.Exchange) -> writers.Writer:
    if exchange.call.get("stream", False):
        return writers.EventWriter(exchange.head)
    return writers.CompletionWriter(exchange.head, exchange.call["model"])
