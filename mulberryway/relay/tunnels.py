"""Forwards other VMs' connections to upstreams that they cannot reach.

A tunnel joins an authenticated connection of another VM with a new one to an
upstream and copies bytes in both directions.  All that a request needs stays
on the VM that has received it.
"""

import collections
import errno
import logging
import os
import select
import socket

from thrift import Thrift
from thrift.transport import TTransport

from mulberryway import addresses
from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.controllers import path_monitoring
from mulberryway.peers import channel
from mulberryway.peers import protocol
from mulberryway.peers import server
from mulberryway.peers.gen.tunnels import Tunnels
from mulberryway.policy import forwarders
from mulberryway.relay import linger
from mulberryway.relay import loop

__all__ = ["SERVICE", "TunnelServer", "compute_max_tunnels"]

LOG = logging.getLogger(__name__)

SERVICE = "Tunnels"
READ = select.EPOLLIN
WRITE = select.EPOLLOUT
FAILED = select.EPOLLERR | select.EPOLLHUP
# Bounds the bytes of one direction that a tunnel holds in memory.
RECEIVE_BYTES = 32_768
# Each tunnel takes two descriptors, and a share of the VM's link.
MAX_TUNNELS = 192
MIN_TUNNELS = 16
TUNNELS_PER_MBPS = 4
CONNECT_TIMEOUT_MS = 120
REPLY_TIMEOUT_MS = 100
# Value of TCP_USER_TIMEOUT, after which a VM or upstream that acknowledges
# nothing is given up, so that it holds no memory and no place at an engine.
USER_TIMEOUT_MS = 10_000
# Longer than upstreams and VMs keep idle connections open.
IDLE_TIMEOUT_MS = 90_000
# A tunnel is in use this long after its last bytes, or until the upstream has
# answered what was sent to it.
BUSY_MS = 1_000


def compute_max_tunnels(link_mbps: int) -> int:
    """Return how many tunnels a VM forwards at the same time.

    :param link_mbps: bandwidth of its link in Mbit/s; 0 if unknown
    """
    if not link_mbps:
        return MAX_TUNNELS
    return min(max(link_mbps * TUNNELS_PER_MBPS, MIN_TUNNELS), MAX_TUNNELS)


class _Request:
    """A request to open a tunnel, until its connect has ended."""

    __slots__ = ("peer", "sequence", "address", "upstream", "deadline_ms")

    def __init__(
        self, peer: channel.Channel, sequence: int, address: str
    ) -> None:
        self.peer = peer
        self.sequence = sequence
        self.address = address
        self.upstream = socket.socket()
        self.deadline_ms = 0


class _End:
    """One of a tunnel's two connections, with bytes to be written to it."""

    __slots__ = ("connection", "fd", "pending", "is_upstream")

    def __init__(self, connection: socket.socket, is_upstream: bool) -> None:
        self.connection = connection
        self.fd = connection.fileno()
        self.pending = b""
        self.is_upstream = is_upstream


class _Tunnel:
    """A connection of another VM, the owner, joined with an upstream's."""

    __slots__ = ("owner", "upstream", "used_ms", "awaits_answer", "has_ended")

    def __init__(
        self, owner: socket.socket, upstream: socket.socket, now_ms: int
    ) -> None:
        self.owner = _End(owner, False)
        self.upstream = _End(upstream, True)
        self.used_ms = now_ms
        self.awaits_answer = False
        # Whether the upstream has closed its connection.
        self.has_ended = False

    def get_other(self, end: _End) -> _End:
        return self.owner if end.is_upstream else self.upstream

    def is_busy(self, now_ms: int) -> bool:
        return self.awaits_answer or now_ms - self.used_ms < BUSY_MS


class TunnelServer(server.Takeover):
    """Opens tunnels for other VMs, and copies their bytes on the event loop.

    :param loop_: the event loop, not started yet
    :param monitor: this VM's view of its own paths
    :param source: the active tables; other addresses are not connected to
    :param max_tunnels: how many tunnels may be open
    :param clock_: the clock
    """

    def __init__(
        self,
        loop_: loop.EventLoop,
        monitor: path_monitoring.PathMonitor,
        source: tables.TableSource,
        max_tunnels: int,
        clock_: clock.Clock,
    ) -> None:
        self._loop = loop_
        self._monitor = monitor
        self._source = source
        self._max_tunnels = max_tunnels
        self._clock = clock_
        self._requests: set[_Request] = set()
        self._tunnels: set[_Tunnel] = set()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._bytes = 0
        self._is_stopping = False
        loop_.add_periodic(
            self._check_timeouts,
            lambda: bool(self._requests or self._tunnels),
        )

    def stop_accepting(self) -> None:
        """Refuse new tunnels; the open ones go on."""
        self._is_stopping = True

    def close(self) -> None:
        """Close all tunnels; call after the loop has stopped."""
        self._is_stopping = True
        for tunnel in self._tunnels.copy():
            for end in (tunnel.owner, tunnel.upstream):
                end.connection.close()

    def count_busy(self) -> int:
        """Return how many tunnels carry a request or a response."""
        now_ms = self._clock.now_ms()
        return sum(tunnel.is_busy(now_ms) for tunnel in self._tunnels.copy())

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for the tunnels of other VMs.

        :param metrics_: the process's instruments
        """
        metrics_.register_gauge(
            "tunnels.open",
            "connections to upstreams forwarded for other VMs",
            lambda: len(self._tunnels),
        )
        metrics_.register_counter(
            "tunnels.requests",
            "other VMs' requests to open a tunnel, by outcome",
            lambda: [
                ({"outcome": outcome}, count)
                for outcome, count in self._outcomes.copy().items()
            ],
        )
        metrics_.register_counter(
            "tunnels.bytes",
            "bytes forwarded for other VMs",
            lambda: [({}, self._bytes)],
        )

    def take(
        self, reader: protocol.MultiplexedProtocol, peer: channel.Channel
    ) -> None:
        """Open a tunnel, or refuse it.

        :param reader: the call, positioned after its service's name
        :param peer: the other VM's channel
        """
        _, _, sequence = reader.readMessageBegin()
        arguments = Tunnels.open_args()
        arguments.read(reader)
        request = _Request(peer, sequence, arguments.address)
        refusal = self._find_refusal(arguments.address)
        if refusal is not None:
            self._refuse(request, refusal)
            return
        self._loop.post(lambda: self._connect(request))

    def _find_refusal(self, address: str) -> forwarders.TunnelOutcome | None:
        open_count = len(self._tunnels) + len(self._requests)
        if self._is_stopping or open_count >= self._max_tunnels:
            return forwarders.TunnelOutcome.BUSY
        active = self._source.get_tables()
        is_known = active is not None and any(
            upstream.address == address
            and not (upstream.leaving or upstream.cordoned)
            for pool in active.pools.values()
            for upstream in pool.upstreams
        )
        if not is_known:
            return forwarders.TunnelOutcome.UNKNOWN
        if self._monitor.is_suspect(address):
            return self._explain_failure()
        return None

    def _explain_failure(self) -> forwarders.TunnelOutcome:
        """Return whether the upstream or this VM's paths have failed."""
        return (
            forwarders.TunnelOutcome.UNREACHABLE
            if self._monitor.is_reaching()
            else forwarders.TunnelOutcome.CUT_OFF
        )

    def _connect(self, request: _Request) -> None:
        upstream = request.upstream
        upstream.setblocking(False)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            status = upstream.connect_ex(addresses.split(request.address))
        except (OSError, ValueError) as failure:
            self._fail(request, OSError(str(failure)))
            return
        if status not in (0, errno.EINPROGRESS):
            self._fail(request, OSError(status, os.strerror(status)))
            return
        request.deadline_ms = self._loop.now_ms + CONNECT_TIMEOUT_MS
        self._requests.add(request)
        self._loop.register(
            upstream.fileno(),
            WRITE,
            lambda events: self._on_connected(request),
        )

    def _on_connected(self, request: _Request) -> None:
        self._end_request(request)
        status = request.upstream.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if status:
            self._fail(request, OSError(status, os.strerror(status)))
            return
        self._monitor.record_success(request.address)
        if self._reply(request, forwarders.TunnelOutcome.OPEN):
            self._open(request)
        else:
            request.peer.close()
            request.upstream.close()

    def _end_request(self, request: _Request) -> None:
        self._requests.discard(request)
        self._loop.unregister(request.upstream.fileno())

    def _fail(self, request: _Request, failure: OSError) -> None:
        self._monitor.record_failure(request.address, failure)
        self._refuse(request, self._explain_failure())

    def _refuse(
        self, request: _Request, outcome: forwarders.TunnelOutcome
    ) -> None:
        request.upstream.close()
        self._reply(request, outcome)
        request.peer.close()

    def _reply(
        self, request: _Request, outcome: forwarders.TunnelOutcome
    ) -> bool:
        """Send the outcome; return whether it could be sent."""
        name = outcome.name.lower()
        self._outcomes[name] += 1
        LOG.log(
            logging.DEBUG
            if outcome is forwarders.TunnelOutcome.OPEN
            else logging.INFO,
            "another VM asked for a tunnel",
            extra=logs.make_extra(upstream=request.address, outcome=name),
        )
        buffer = TTransport.TMemoryBuffer()
        writer = protocol.MultiplexedProtocol(buffer)
        writer.writeMessageBegin(
            "open", Thrift.TMessageType.REPLY, request.sequence
        )
        Tunnels.open_result(success=int(outcome)).write(writer)
        writer.writeMessageEnd()
        deadline = clock.Deadline(self._clock.now_ms() + REPLY_TIMEOUT_MS)
        try:
            request.peer.send(buffer.getvalue(), deadline)
        except channel.ChannelError as error:
            LOG.debug("the VM that asked for a tunnel has gone: %s", error)
            return False
        return True

    def _open(self, request: _Request) -> None:
        owner = request.peer.connection
        owner.setblocking(False)
        # A VM that is killed must not seem to have ended a response whose
        # length is not announced.
        linger.reset_on_close(owner)
        tunnel = _Tunnel(owner, request.upstream, self._loop.now_ms)
        self._tunnels.add(tunnel)
        for end in (tunnel.owner, tunnel.upstream):
            end.connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            self._loop.register(
                end.fd,
                READ,
                lambda events, end=end: self._on_events(tunnel, end, events),
            )

    def _on_events(self, tunnel: _Tunnel, end: _End, events: int) -> None:
        try:
            if events & WRITE:
                self._flush(tunnel, end)
            if events & ~WRITE:
                self._read(tunnel, end, events)
        except BlockingIOError:
            LOG.debug("no bytes after an event of a tunnel")
        except OSError as failure:
            LOG.debug("a tunnel's connection failed: %r", failure)
            self._close(tunnel)

    def _read(self, tunnel: _Tunnel, end: _End, events: int) -> None:
        other = tunnel.get_other(end)
        if other.pending:
            # Bytes may be reported that had arrived before.
            if events & FAILED:
                self._close(tunnel)
            return
        data = end.connection.recv(RECEIVE_BYTES)
        if not data:
            self._on_end(tunnel, end)
            return
        tunnel.used_ms = self._loop.now_ms
        tunnel.awaits_answer = not end.is_upstream
        self._bytes += len(data)
        other.pending = data[_send(other.connection, data) :]
        if other.pending:
            self._watch(tunnel)

    def _flush(self, tunnel: _Tunnel, end: _End) -> None:
        """Write pending bytes; the other end is not read meanwhile."""
        end.pending = end.pending[_send(end.connection, end.pending) :]
        if not end.pending:
            self._watch(tunnel)

    def _watch(self, tunnel: _Tunnel) -> None:
        """Read each end whose bytes can be written to the other one."""
        for end in (tunnel.owner, tunnel.upstream):
            if end.is_upstream and tunnel.has_ended:
                continue
            is_blocked = bool(tunnel.get_other(end).pending)
            self._loop.modify(
                end.fd,
                (0 if is_blocked else READ) | (WRITE if end.pending else 0),
            )

    def _on_end(self, tunnel: _Tunnel, end: _End) -> None:
        """Handle a connection that was closed by its remote end.

        A VM closes a connection to cancel its request, so the upstream's is
        closed at once.
        """
        if not end.is_upstream or tunnel.has_ended:
            self._close(tunnel)
            return
        tunnel.has_ended = True
        tunnel.awaits_answer = False
        self._loop.unregister(end.fd)
        tunnel.owner.connection.shutdown(socket.SHUT_WR)

    def _close(self, tunnel: _Tunnel) -> None:
        self._tunnels.discard(tunnel)
        for end in (tunnel.owner, tunnel.upstream):
            self._loop.unregister(end.fd)
            end.connection.close()

    def _check_timeouts(self) -> None:
        now_ms = self._loop.now_ms
        for request in [
            request
            for request in self._requests
            if now_ms >= request.deadline_ms
        ]:
            self._end_request(request)
            self._fail(request, TimeoutError("connecting timed out"))
        for tunnel in [
            tunnel
            for tunnel in self._tunnels
            if now_ms - tunnel.used_ms >= IDLE_TIMEOUT_MS
        ]:
            self._close(tunnel)


def _send(connection: socket.socket, data: bytes) -> int:
    """Return how many bytes could be written without waiting."""
    try:
        return connection.send(data)
    except BlockingIOError:
        return 0
