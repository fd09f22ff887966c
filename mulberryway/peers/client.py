"""Calls to other VMs over a bounded pool of authenticated connections."""

import collections
import threading
import typing

import expression
from thrift import Thrift

from mulberryway import clock
from mulberryway import errors
from mulberryway.peers import channel
from mulberryway.peers import protocol
from mulberryway.peers import traffic

__all__ = ["PeerClient"]

# A pool keeps what a busy pair of VMs needs; with 410 VMs of which a few are
# called again and again, more would only hold sockets.
MOST_IDLE_PER_PEER = 4
MOST_IDLE = 128
MOST_CALLS_PER_PEER = 16
# Shorter than the server's own limit, so that a connection is not reused in
# the moment in which the server gives it up.
IDLE_TIMEOUT_MS = 15_000


class PeerClient:
    """Calls methods of other VMs' services.

    :param secret: the fleet's secret
    :param clock_: where the time comes from
    :param timeout_ms: the longest wait for an answer, connecting included
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
        :param timeout_ms: the longest wait, instead of the usual one
        :param is_idempotent: whether the call may be repeated over a new
            connection when a pooled one turns out to be silent
        :returns: the answer, or ``PEER_UNREACHABLE`` or ``PEER_REFUSED``
        """
        limit_ms = self._timeout_ms if timeout_ms is None else timeout_ms
        deadline = clock.Deadline(self._clock.now_ms() + limit_ms)
        if not self._begin(peer):
            return _fail(peer, "too many calls to this peer")
        try:
            call = _Call(peer, client_class, method, arguments)
            return self._try(call, deadline, is_idempotent)
        finally:
            self._end(peer)

    def close(self) -> None:
        """Close all idle connections; later calls open and close their own."""
        with self._lock:
            self._is_closed = True
            idle = [one for pool in self._idle.values() for one in pool]
            self._idle.clear()
        for one in idle:
            one.close()

    def _try(
        self, call: "_Call", deadline: clock.Deadline, is_idempotent: bool
    ) -> expression.Result[typing.Any, errors.Fault]:
        pooled = self._take_idle(call.peer)
        if pooled is not None:
            limit = deadline
            if is_idempotent:
                # A pooled connection may have gone silent for good, and a
                # new one works: half of the time is kept for it.
                now_ms = self._clock.now_ms()
                limit = clock.Deadline(now_ms + deadline.left_ms(now_ms) // 2)
            result = self._run(call, pooled, limit)
            if result.is_ok() or not is_idempotent or call.is_refused:
                return result
        try:
            fresh = channel.connect(
                call.parse_address(), self._secret, deadline, self._clock
            )
        except channel.ChannelError as error:
            return _fail(call.peer, str(error))
        return self._run(call, fresh, deadline)

    def _run(
        self,
        call: "_Call",
        connection: channel.Channel,
        deadline: clock.Deadline,
    ) -> expression.Result[typing.Any, errors.Fault]:
        try:
            answer = call.run(connection, deadline, self.traffic)
        except channel.ChannelError as error:
            connection.close()
            # Something between the two ends may have lost track of all
            # connections of this age; none of them is used again.
            self._drop_idle(call.peer)
            return _fail(call.peer, str(error), error.was_sent)
        except Thrift.TApplicationException as error:
            call.is_refused = True
            self._give_back(call.peer, connection)
            return _refuse(call.peer, str(error))
        except (Thrift.TException, EOFError) as error:
            call.is_refused = True
            connection.close()
            return _refuse(call.peer, f"unreadable answer: {error}")
        except BaseException:
            # A bad argument, for example; what was sent is not known.
            connection.close()
            raise
        self._give_back(call.peer, connection)
        return expression.Ok(answer)

    def _begin(self, peer: str) -> bool:
        with self._lock:
            if self._running[peer] >= MOST_CALLS_PER_PEER:
                return False
            self._running[peer] += 1
            return True

    def _end(self, peer: str) -> None:
        with self._lock:
            self._running[peer] -= 1
            if self._running[peer] <= 0:
                del self._running[peer]

    def _take_idle(self, peer: str) -> channel.Channel | None:
        while True:
            with self._lock:
                pool = self._idle.get(peer)
                if not pool:
                    self._idle.pop(peer, None)
                    return None
                one = pool.pop()
            if self._is_fresh(one) and one.is_reusable():
                return one
            one.close()

    def _is_fresh(self, one: channel.Channel) -> bool:
        return self._clock.now_ms() - one.used_ms < IDLE_TIMEOUT_MS

    def _give_back(self, peer: str, one: channel.Channel) -> None:
        with self._lock:
            surplus = self._store(peer, one)
        for old in surplus:
            old.close()

    def _store(self, peer: str, one: channel.Channel) -> list[channel.Channel]:
        """Keep a connection; return those that must go for it."""
        if self._is_closed:
            return [one]
        # Reinserting keeps the peers in the order of their last use.
        pool = self._idle.pop(peer, [])
        pool.append(one)
        self._idle[peer] = pool
        surplus = [pool.pop(0)] if len(pool) > MOST_IDLE_PER_PEER else []
        if sum(map(len, self._idle.values())) > MOST_IDLE:
            surplus += self._idle.pop(next(iter(self._idle)))
        return surplus

    def _drop_idle(self, peer: str) -> None:
        with self._lock:
            pool = self._idle.pop(peer, [])
        for one in pool:
            one.close()


class _Call:
    """One call, and how its bytes are counted."""

    __slots__ = ("peer", "client_class", "method", "arguments", "is_refused")

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
        self.is_refused = False

    def parse_address(self) -> tuple[str, int]:
        """Return host and port."""
        host, _, port = self.peer.rpartition(":")
        return host, int(port)

    def run(
        self,
        connection: channel.Channel,
        deadline: clock.Deadline,
        counts: traffic.Traffic,
    ) -> typing.Any:
        """Exchange request and answer on one connection."""
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


def _refuse(
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
