"""Sends model requests to engines and hands their streams to the relay."""

import collections.abc

import expression

from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import model_dependencies
from mulberryway.filters import model_run
from mulberryway.relay import passthrough_stream
from mulberryway.relay import stream as streams
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams

__all__ = ["ModelForward", "make_raw_stream", "make_event_stream"]


StreamMaker = collections.abc.Callable[
    [base.Exchange, model_run.ModelRequest, upstreams.TokenStream, int],
    streams.Stream,
]


class ModelForward(base.Filter):
    """Serves requests to pools of model engines.

    :param parts: the dependencies shared by all model requests
    :param make_stream: creates the stream of an answer; by default one that
        parses the events of the native engines
    """

    def __init__(
        self,
        parts: model_dependencies.ModelDependencies,
        make_stream: StreamMaker | None = None,
    ) -> None:
        self._parts = parts
        self._make_stream = make_stream or make_event_stream

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Start the decode and hand the caller's connection over to the relay.

        :param exchange: the request
        :param proceed: the rest of the chain, for other pools
        :returns: a streamed answer, or a fault
        """
        if exchange.pool.kind is tables.PoolKind.PLAIN:
            return proceed(exchange)
        run = model_run.ModelRequest(exchange, self._parts)
        source = run.begin()
        if source.is_error():
            return expression.Error(source.error)
        stream = self._make_stream(
            exchange, run, source.ok, run.compute_token_timeout_ms()
        )
        return expression.Ok(base.StreamedAnswer(stream))


def make_event_stream(
    exchange: base.Exchange,
    run: model_run.ModelRequest,
    source: upstreams.TokenStream,
    gap_limit_ms: int,
) -> streams.Stream:
    """Return a stream that parses the engine's events.

    :param exchange: the request
    :param run: the owner of the stream
    :param source: the engine's stream
    :param gap_limit_ms: the timeout for a further event in ms
    """
    return streams.Stream(
        run,
        _choose_writer(exchange),
        source,
        exchange.connection,
        exchange.release,
        run.compute_first_token_timeout_ms(),
        gap_limit_ms,
        exchange.key_digest,
        exchange.account.name,
    )


def make_raw_stream(
    exchange: base.Exchange,
    run: model_run.ModelRequest,
    source: upstreams.TokenStream,
    gap_limit_ms: int,
) -> streams.Stream:
    """Return a stream that forwards the engine's bytes unchanged.

    :param exchange: the request
    :param run: the owner of the stream
    :param source: the engine's stream
    :param gap_limit_ms: the timeout for a further event in ms
    """
    stream = passthrough_stream.PassthroughStream(
        run,
        passthrough_stream.PassthroughWriter(exchange.head),
        source,
        exchange.connection,
        exchange.release,
        run.compute_first_token_timeout_ms(),
        gap_limit_ms,
        exchange.key_digest,
        exchange.account.name,
    )
    stream.deadline_ms = exchange.deadline.at_ms
    return stream


def _choose_writer(exchange: base.Exchange) -> writers.Writer:
    if exchange.call.get("stream", False):
        return writers.EventWriter(exchange.head)
    return writers.CompletionWriter(exchange.head, exchange.call["model"])
