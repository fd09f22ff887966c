"""Adapter between cheroot and the filter chain."""

import collections.abc
import itertools
import logging
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway.filters import base
from mulberryway.filters import chain
from mulberryway.filters import status
from mulberryway.relay import unsent
from mulberryway.relay import writers
from mulberryway.server import request

__all__ = ["Gateway", "GatewayFactory"]

LOG = logging.getLogger(__name__)


class GatewayFactory:
    """Creates a gateway for each request.

    :param chain_: the filter chain that handles requests
    :param clock_: the clock
    :param owner: identifies this VM and incarnation; prefix of each request's
        id
    :param fault_format: how faults are encoded
    :param is_draining: returns whether callers should send their next request
        to another VM
    """

    def __init__(
        self,
        chain_: chain.Chain,
        clock_: clock.Clock,
        owner: str,
        fault_format: replies.FaultFormat = replies.NATIVE_FORMAT,
        is_draining: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self.chain = chain_
        self.is_draining = is_draining
        self.clock = clock_
        self.fault_format = fault_format
        self._owner = owner
        self._counter = itertools.count(1)
        self._lock = threading.Lock()
        self._open: dict[int, base.Exchange] = {}

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        return len(self._open)

    def list_open(self) -> list[base.Exchange]:
        """Return the requests in progress, the oldest first."""
        with self._lock:
            return list(self._open.values())

    def increment_running(self, exchange: base.Exchange) -> None:
        """Count a started request.

        :param exchange: the request
        """
        with self._lock:
            self._open[id(exchange)] = exchange

    def decrement_running(self, exchange: base.Exchange) -> None:
        """Count a request as finished, after its stream has ended too.

        :param exchange: the request
        """
        with self._lock:
            self._open.pop(id(exchange), None)

    def make_id(self) -> str:
        """Return a request id that is unique in the fleet."""
        return f"{self._owner}-{next(self._counter)}"

    def __call__(self, request_: request.Request) -> "Gateway":
        """Create the gateway of a request.

        :param request_: the request
        :returns: the gateway
        """
        return Gateway(request_, self)


class Gateway:
    """Handles one request.

    :param request_: the request
    :param factory: the factory, which holds the state shared by all gateways
    """

    __slots__ = ("_request", "_factory", "_id", "_head")

    def __init__(
        self, request_: request.Request, factory: GatewayFactory
    ) -> None:
        self._request = request_
        self._factory = factory
        self._id = factory.make_id()
        can_keep = request_.server.can_add_keepalive_connection
        self._head = writers.ReplyHead(
            request_.response_protocol == "HTTP/1.1",
            can_keep and not request_.close_connection,
            [("X-Request-Id", self._id)],
            factory.fault_format,
            request_.method != request.HEAD,
        )

    def respond(self) -> None:
        """Run the chain, and write the reply.

        A streamed answer is handed over to the relay instead.
        """
        try:
            exchange = self._make_exchange()
            exchange.add_completion_callback(
                lambda outcome: exchange.memory.release()
            )
            self._handle(exchange)
        except Exception:
            self._request.memory.release()
            raise

    def reject(self, fault: errors.Fault) -> None:
        """Reply to a request whose body is not read to its end.

        :param fault: why it is rejected
        """
        reply = replies.make_fault_reply(fault, close=True)
        self._request.close_connection = True
        self._request.conn.send_rejection(self._encode(reply))

    def _handle(self, exchange: base.Exchange) -> None:
        self._factory.increment_running(exchange)
        exchange.add_completion_callback(
            lambda outcome: self._factory.decrement_running(exchange)
        )
        answer = self._factory.chain.handle(exchange)
        if answer.is_ok() and isinstance(answer.ok, base.StreamedAnswer):
            self._request.conn.relayed_stream = answer.ok.stream
            self._request.close_connection = False
            return
        fault = None if answer.is_ok() else _choose_fault(exchange, answer)
        if self._factory.is_draining():
            # The request may have arrived before the shutdown began.
            self._head.keep = False
        reply = (
            answer.ok
            if fault is None
            else replies.make_fault_reply(
                fault, style=self._factory.fault_format
            )
        )
        exchange.is_answered = True
        outcome = base.Outcome(fault, exchange.prefilled_tokens, 0)
        is_sent = True
        try:
            is_sent = self._try_send(
                reply,
                lambda: exchange.finish(outcome),
                exchange.memory.release_answers,
            )
        finally:
            if is_sent:
                exchange.finish(outcome)

    def _try_send(
        self,
        reply: replies.Reply,
        on_end: collections.abc.Callable[[], None],
        on_start: collections.abc.Callable[[], None],
    ) -> bool:
        """Send a reply, or hand over what its caller does not read now.

        :param reply: the reply
        :param on_end: called at its end if it is handed over
        :param on_start: called if it is handed over, once it is counted as
            unread
        :returns: whether it was sent completely
        """
        connection = self._request.conn
        if not self._request.server.memory.is_bounded:
            # Only the number of workers bounds what callers do not read.
            self._write(reply)
            return True
        parts = self._encode_parts(reply)
        try:
            sent = connection.socket.sendmsg(parts)
        except BlockingIOError:
            sent = 0
        if sent == sum(map(len, parts)):
            self._request.close_connection = not self._head.keep
            return True
        release, keep = _make_release(connection), self._head.keep

        def end(is_complete: bool) -> None:
            release(is_complete and keep)
            on_end()

        connection.unsent_reply = unsent.UnsentReply(
            connection.socket, parts, sent, end, on_start
        )
        self._request.close_connection = False
        return False

    def _write(self, reply: replies.Reply) -> None:
        request_ = self._request
        connection = request_.conn
        connection.socket.settimeout(request_.server.request_timeout_s)
        connection.wfile.write(self._encode(reply))
        request_.close_connection = not self._head.keep

    def _encode(self, reply: replies.Reply) -> bytes:
        return b"".join(self._encode_parts(reply))

    def _encode_parts(self, reply: replies.Reply) -> list[bytes]:
        self._request.sent_headers = True
        return self._head.write_parts(reply)

    def _make_exchange(self) -> base.Exchange:
        request_ = self._request
        connection = request_.conn
        return base.Exchange(
            self._id,
            request_.method.decode("latin-1"),
            request_.path.decode("latin-1"),
            request_.uri.decode("latin-1"),
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request_.inheaders.items()
            ],
            request_.body,
            connection.socket,
            self._head,
            _make_release(connection),
            request_.received_ms,
            request_.memory,
        )


def _choose_fault(
    exchange: base.Exchange, answer: base.Answer
) -> errors.Fault:
    """Return the fault to report; that of an abort if there was one."""
    aborted = exchange.abort_fault
    if aborted is None:
        return answer.error
    if answer.error.run is not errors.ExecutionStatus.NOT_RUN:
        return aborted
    return status.make_stopping_fault()


def _make_release(
    connection: request.Connection,
) -> collections.abc.Callable[[bool], None]:
    return lambda keep: connection.server.release(connection, keep)
