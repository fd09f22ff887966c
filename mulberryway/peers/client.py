"""Calls to other VMs over a bounded pool of authenticated connections."""

import collections
import socket
import threading
import typing

import expression
from thrift import Thrift

from mulberryway import addresses
from mulberryway import clock
from mulberryway import errors
from mulberryway.peers import channel
from mulberryway.peers import protocol
from mulberryway.peers import traffic

__all__ = ["PeerClient"]

# Enough idle connections for a busy pair of VMs. With 410 VMs, of which a few
# are called repeatedly, more would only occupy sockets.
MAX_IDLE_PER_PEER = 4
MAX_IDLE = 128
MAX_CALLS_PER_PEER = 16
# Shorter than the server's idle timeout, so that a connection is not reused at
# the moment at which the server closes it.
IDLE_TIMEOUT_MS = 15_000


class PeerClient:
    """Calls methods of other VMs' services.

    :param secret: the fleet's secret
    :param clock_: the clock
    :param timeout_ms: the longest wait for a response, including connecting,
        in milliseconds
    """

    def __init__(
        self, secret: str, clock_: clock.Clock, timeout_ms: int = 500
    ) -> None:
        self.traffic = traffic.Traffic()
        self._secret = secret
        self._clock = clock_
        self._timeout_ms = timeout_ms
        self._lock = threading.Lock()
        self._idle: dict[str, list[channel.Channel]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._is_closed = False

    def call(
        self,
        peer: str,
        client_class: type,
        method: str,
        *arguments: typing.Any,
        timeout_ms: int | None = None,
        is_idempotent: bool = False,
    ) -> expression.Result[typing.Any, errors.Fault]:
        """Call a method of a peer's service.

        :param peer: ``host:port``
        :param client_class: the generated ``Client`` of the service
        :param method: the method's name
        :param arguments: its arguments
        :param timeout_ms: overrides the client's timeout, in milliseconds
        :param is_idempotent: whether the call may be retried over a new
            connection if a pooled one is unresponsive
        :returns: the response, or ``PEER_UNREACHABLE`` or ``PEER_REFUSED``
        """
        limit_ms = self._timeout_ms if timeout_ms is None else timeout_ms
        deadline = clock.Deadline(self._clock.now_ms() + limit_ms)
        if not self._begin_call(peer):
            return _fail(peer, "too many concurrent calls to this peer")
        try:
            call = _Call(peer, client_class, method, arguments)
            return self._call_with_retry(call, deadline, is_idempotent)
        finally:
            self._end_call(peer)

    def call_detached(
        self,
        peer: str,
        client_class: type,
        method: str,
        *arguments: typing.Any,
        timeout_ms: int,
    ) -> expression.Result[tuple[typing.Any, socket.socket], errors.Fault]:
        """Make a call whose response leaves the connection to its caller.

        The call is sent again if a pooled connection is unresponsive.

        :param peer: ``host:port``
        :param client_class: the generated ``Client`` of the service
        :param method: the method's name
        :param arguments: its arguments
        :param timeout_ms: the longest wait, in milliseconds
        :returns: the response and the connection, or a fault
        """
        now_ms = self._clock.now_ms()
        call = _Call(peer, client_class, method, arguments)
        pooled_channel = self._acquire_idle(peer)
        if pooled_channel is not None:
            # It may be half-open, so half of the time is left for a new one.
            limit = clock.Deadline(now_ms + timeout_ms // 2)
            result = self._run_detached(call, pooled_channel, limit)
            if result.is_ok():
                return result
        deadline = clock.Deadline(now_ms + timeout_ms)
        try:
            new_channel = channel.connect(
                call.parse_address(), self._secret, deadline, self._clock
            )
        except channel.ChannelError as error:
            return _fail(peer, str(error))
        return self._run_detached(call, new_channel, deadline)

    def _run_detached(
        self,
        call: "_Call",
        connection: channel.Channel,
        deadline: clock.Deadline,
    ) -> expression.Result[tuple[typing.Any, socket.socket], errors.Fault]:
        try:
            response = call.run(connection, deadline, self.traffic)
        except (channel.ChannelError, Thrift.TException, EOFError) as error:
            connection.close()
            self._drop_idle(call.peer)
            return _fail(call.peer, str(error), True)
        return expression.Ok((response, connection.detach().connection))

    def close(self) -> None:
        """Close all idle connections; later calls do not pool theirs."""
        with self._lock:
            self._is_closed = True
            idle = [
                idle_channel
                for pool in self._idle.values()
                for idle_channel in pool
            ]
            self._idle.clear()
        for idle_channel in idle:
            idle_channel.close()

    def _call_with_retry(
        self, call: "_Call", deadline: clock.Deadline, is_idempotent: bool
    ) -> expression.Result[typing.Any, errors.Fault]:
        pooled_channel = self._acquire_idle(call.peer)
        if pooled_channel is not None:
            limit = deadline
            if is_idempotent:
                # A pooled connection may be half-open while a new one would
                # work, so half of the time is reserved for a retry.
                now_ms = self._clock.now_ms()
                limit = clock.Deadline(now_ms + deadline.left_ms(now_ms) // 2)
            result = self._run(call, pooled_channel, limit)
            if result.is_ok() or not is_idempotent or call.is_rejected:
                return result
        try:
            new_channel = channel.connect(
                call.parse_address(), self._secret, deadline, self._clock
            )
        except channel.ChannelError as error:
            return _fail(call.peer, str(error))
        return self._run(call, new_channel, deadline)

    def _run(
        self,
        call: "_Call",
        connection: channel.Channel,
        deadline: clock.Deadline,
    ) -> expression.Result[typing.Any, errors.Fault]:
        try:
            response = call.run(connection, deadline, self.traffic)
        except channel.ChannelError as error:
            connection.close()
            # A middlebox may have lost the state of all connections of this
            # age, so none of them is reused.
            self._drop_idle(call.peer)
            return _fail(call.peer, str(error), error.was_sent)
        except Thrift.TApplicationException as error:
            call.is_rejected = True
            self._release(call.peer, connection)
            return _reject(call.peer, str(error))
        except (Thrift.TException, EOFError) as error:
            call.is_rejected = True
            connection.close()
            return _reject(call.peer, f"malformed response: {error}")
        except BaseException:
            # For example an invalid argument; how much was sent is unknown.
            connection.close()
            raise
        self._release(call.peer, connection)
        return expression.Ok(response)

    def _begin_call(self, peer: str) -> bool:
        with self._lock:
            if self._running[peer] >= MAX_CALLS_PER_PEER:
                return False
            self._running[peer] += 1
            return True

    def _end_call(self, peer: str) -> None:
        with self._lock:
            self._running[peer] -= 1
            if self._running[peer] <= 0:
                del self._running[peer]

    def _acquire_idle(self, peer: str) -> channel.Channel | None:
        while True:
            with self._lock:
                pool = self._idle.get(peer)
                if not pool:
                    self._idle.pop(peer, None)
                    return None
                idle_channel = pool.pop()
            if self._is_recent(idle_channel) and idle_channel.is_reusable():
                return idle_channel
            idle_channel.close()

    def _is_recent(self, idle_channel: channel.Channel) -> bool:
        return self._clock.now_ms() - idle_channel.used_ms < IDLE_TIMEOUT_MS

    def _release(self, peer: str, idle_channel: channel.Channel) -> None:
        with self._lock:
            surplus = self._add_idle(peer, idle_channel)
        for old in surplus:
            old.close()

    def _add_idle(
        self, peer: str, idle_channel: channel.Channel
    ) -> list[channel.Channel]:
        """Pool a connection and return the connections to be closed."""
        if self._is_closed:
            return [idle_channel]
        # Reinserting orders the peers by their last use.
        pool = self._idle.pop(peer, [])
        pool.append(idle_channel)
        self._idle[peer] = pool
        surplus = [pool.pop(0)] if len(pool) > MAX_IDLE_PER_PEER else []
        if sum(map(len, self._idle.values())) > MAX_IDLE:
            surplus += self._idle.pop(next(iter(self._idle)))
        return surplus

    def _drop_idle(self, peer: str) -> None:
        with self._lock:
            pool = self._idle.pop(peer, [])
        for idle_channel in pool:
            idle_channel.close()


class _Call:
    """One call of a method, with its outcome."""

    __slots__ = ("peer", "client_class", "method", "arguments", "is_rejected")

    def __init__(
        self,
        peer: str,
        client_class: type,
        method: str,
        arguments: tuple[typing.Any, ...],
    ) -> None:
        self.peer = peer
        self.client_class = client_class
        self.method = method
        self.arguments = arguments
        self.is_rejected = False

    def parse_address(self) -> tuple[str, int]:
        """Return the peer's host and port.

        :raises ChannelError: if no connection to them can be opened
        """
        try:
            return addresses.split(self.peer)
        except ValueError as error:
            raise channel.ChannelError(f"cannot connect: {error}") from error

    def run(
        self,
        connection: channel.Channel,
        deadline: clock.Deadline,
        counts: traffic.Traffic,
    ) -> typing.Any:
        """Send the request and return the response, counting the traffic.

        :param connection: the connection to use
        :param deadline: when to give up
        :param counts: counts messages and bytes
        """
        service = protocol.get_service_name(self.client_class)
        kind = service + protocol.SEPARATOR + self.method

        def exchange(request: bytes) -> bytes:
            counts.count(kind, True, connection.send(request, deadline))
            reply = connection.receive(deadline)
            size = len(reply) + channel.OVERHEAD_BYTES
            counts.count(kind, False, size)
            return reply

        transport = protocol.CallTransport(exchange)
        client = self.client_class(
            protocol.MultiplexedProtocol(transport, service)
        )
        return getattr(client, self.method)(*self.arguments)


def _fail(
    peer: str, message: str, was_sent: bool = False
) -> expression.Result[typing.Any, errors.Fault]:
    run = (
        errors.ExecutionStatus.MAY_HAVE_RUN
        if was_sent
        else errors.ExecutionStatus.NOT_RUN
    )
    return expression.Error(
        errors.Fault(
            errors.Code.PEER_UNREACHABLE, errors.Step.PEER, peer, run, message
        )
    )


def _reject(
    peer: str, message: str
) -> expression.Result[typing.Any, errors.Fault]:
    return expression.Error(
        errors.Fault(
            errors.Code.PEER_REFUSED,
            errors.Step.PEER,
            peer,
            errors.ExecutionStatus.MAY_HAVE_RUN,
            message,
        )
    )
