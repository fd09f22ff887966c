"""Accepts callers' connections, and receives requests without blocking.

A worker thread gets complete requests only, so callers that stall occupy no
worker, however many they are.
"""

import collections
import errno
import logging
import os
import selectors
import socket
import threading
import typing

from cheroot import connections

from mulberryway import logs
from mulberryway.policy import connection_limits
from mulberryway.policy import memory_budget
from mulberryway.server import receiving

__all__ = ["ConnectionManager"]

LOG = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
LINGER_MS = 500
# How many rejected connections are read in turn with the others.
MAX_LINGERING_READS = 2
MS_IN_S = 1_000
LOG_INTERVAL_MS = 1_000
ACCEPT_PAUSE_MS = 10
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)

Phase = connection_limits.Phase


class ConnectionManager(connections.ConnectionManager):
    """Holds the open connections of one port.

    A connection belongs to the accepting thread unless it is busy.  Then it
    belongs to a worker, or to the relay, which returns it by :meth:`put`.

    :param server: the HTTP server
    """

    def __init__(self, server: typing.Any) -> None:
        super().__init__(server)
        self._open: set[typing.Any] = set()
        # Guards the phases of connections.
        self._lock = threading.Lock()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wake_fd, selectors.EVENT_READ, None)
        # Connections with bytes that have arrived behind their last request.
        self._returned: collections.deque[typing.Any] = collections.deque()
        self._is_closed = False
        # The number of connections that were closed for others.
        self.closed = 0
        self._last_log_ms = self._now_ms() - LOG_INTERVAL_MS

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._open)

    @property
    def _num_connections(self) -> int:
        return self.count

    def put(self, conn: typing.Any) -> None:
        """Receive the next request of a connection.

        :param conn: the connection, which is not busy any more
        """
        if conn.has_unread_input:
            self._linger(conn)
        elif conn.reader.surplus:
            self._return(conn)
        else:
            self._watch(conn, Phase.IDLE)

    def forget(self, conn: typing.Any) -> None:
        """Stop to count a connection that is being closed.

        :param conn: the connection
        """
        self._open.discard(conn)
        if conn.reader is not None:
            conn.reader.release()

    def close(self) -> None:
        """Close all connections that are not busy.

        Callers whose requests are incomplete learn that these have not run.
        """
        for conn in list(self._open):
            if conn.state.phase is Phase.BUSY:
                continue
            if conn.state.phase is Phase.RECEIVING:
                conn.is_input_ended = True
                conn.reader.reject("503 Service Unavailable")
            conn.close()
        with self._lock:
            self._is_closed = True
            self._selector.close()
            os.close(self._wake_fd)

    def _run(self, expiration_interval: float) -> None:
        next_check_ms = self._now_ms()
        while not self._stop_requested:
            self._poll(expiration_interval)
            now_ms = self._now_ms()
            if now_ms >= next_check_ms:
                self._expire_all(now_ms)
                next_check_ms = now_ms + int(expiration_interval * MS_IN_S)

    def _poll(self, timeout_s: float) -> None:
        try:
            ready = list(self._selector.select(timeout_s))
        except OSError:
            LOG.exception("waiting for connections failed")
            self._remove_invalid_sockets()
            return
        # What is discarded must not slow down requests that are accepted.
        lingering = [conn for _, conn in ready if _is_lingering(conn)]
        skipped = set(lingering[MAX_LINGERING_READS:])
        for _, conn in ready:
            if conn not in skipped:
                self._handle_ready(conn)
        # A rejected request returns its connection here, so those that are
        # added meanwhile have to wait for new connections.
        for _ in range(len(self._returned)):
            self._handle_ready(self._returned.popleft())

    def _handle_ready(self, conn: typing.Any) -> None:
        try:
            if conn is self.server:
                self._accept()
            elif conn is None:
                os.eventfd_read(self._wake_fd)
            elif conn.state.phase is not Phase.BUSY:
                self._receive(conn)
        except Exception:
            # One connection must not stop all others.
            LOG.exception("handling a connection failed")
            if conn is not None and conn is not self.server:
                self._drop(conn)

    def _accept(self) -> None:
        if self.count >= self.server.max_connections:
            self._close_one()
        try:
            accepted, address = self.server.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            LOG.warning("accepting a connection failed: %r", error)
            if error.errno in NO_DESCRIPTOR_ERRORS and not self._close_one():
                # The listening socket stays readable meanwhile.
                self.server.clock.sleep_ms(ACCEPT_PAUSE_MS)
            return
        accepted.setblocking(False)
        conn = self.server.ConnectionClass(self.server, accepted)
        conn.remote_addr, conn.remote_port = address[:2]
        conn.reader = receiving.RequestReader(
            conn, lambda size: self._make_room(conn, size)
        )
        self._open.add(conn)
        if self.count > self.server.max_connections:
            # All others are busy.
            conn.reader.reject("503 Service Unavailable")
            conn.close()
        else:
            self._watch(conn, Phase.IDLE)

    def _receive(self, conn: typing.Any) -> None:
        surplus, conn.reader.surplus = conn.reader.surplus, b""
        if surplus:
            self._take(conn, surplus, is_pipelined=True)
            return
        try:
            data = conn.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            LOG.debug("a caller's connection failed: %r", error)
            self._drop(conn)
            return
        if conn.state.phase is Phase.LINGERING:
            if not data:
                self._drop(conn)
        elif data:
            self._take(conn, data)
        elif conn.reader.has_begun:
            conn.reader.end()
            self._unwatch(conn)
            self._linger(conn)
        else:
            self._drop(conn)

    def _take(
        self, conn: typing.Any, data: bytes, is_pipelined: bool = False
    ) -> None:
        state = conn.state
        if state.phase is Phase.IDLE:
            state.enter(Phase.RECEIVING, self._now_ms())
        progress = conn.reader.feed(data)
        if progress is receiving.Progress.INCOMPLETE:
            return
        self._unwatch(conn)
        if progress is receiving.Progress.REJECTED:
            self._linger(conn)
        else:
            self.server.dispatch(conn, is_pipelined)

    def _return(self, conn: typing.Any) -> None:
        """Handle bytes that have arrived, on the accepting thread."""
        self._watch(conn, Phase.IDLE)
        with self._lock:
            if not self._is_closed:
                self._returned.append(conn)
                os.eventfd_write(self._wake_fd, 1)

    def _watch(self, conn: typing.Any, phase: Phase) -> None:
        with self._lock:
            if not self._is_closed:
                conn.state.enter(phase, self._now_ms())
                self._selector.register(
                    conn.socket.fileno(), selectors.EVENT_READ, conn
                )
                return
        conn.close()

    def _unwatch(self, conn: typing.Any) -> None:
        with self._lock:
            conn.state.phase = Phase.BUSY
            self._selector.unregister(conn.socket.fileno())

    def _drop(self, conn: typing.Any) -> None:
        if conn.state.phase is not Phase.BUSY:
            self._unwatch(conn)
        conn.close()

    def _linger(self, conn: typing.Any) -> None:
        """Discard what arrives until the caller has read its reply.

        Closing a socket with unread input resets the connection, and the
        reset may arrive before the reply.
        """
        conn.reader.release()
        try:
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            LOG.debug("a rejected caller has gone: %r", error)
            conn.close()
            return
        self._watch(conn, Phase.LINGERING)

    def _expire_all(self, now_ms: int) -> None:
        for conn in list(self._open):
            state = conn.state
            age_ms = now_ms - state.since_ms
            if state.phase is Phase.RECEIVING:
                state.measure(conn.reader.received_bytes, now_ms)
                if age_ms >= self.server.get_request_timeout_ms(conn):
                    self._reject(conn, "408 Request Timeout")
            elif (
                state.phase is Phase.IDLE
                and age_ms >= self.server.timeout * MS_IN_S
            ) or (state.phase is Phase.LINGERING and age_ms >= LINGER_MS):
                self._drop(conn)

    def _reject(self, conn: typing.Any, status: str) -> None:
        """Reply to an incomplete request, and discard its rest."""
        self._unwatch(conn)
        conn.reader.reject(status)
        self._linger(conn)

    def _make_room(self, conn: typing.Any, size: int) -> bool:
        """Give up an older incomplete request for another one.

        :returns: whether one was given up
        """
        held_bytes = conn.reader.memory.held_bytes
        victim = connection_limits.choose_for_memory(
            self._list_states(),
            conn.state,
            held_bytes + size <= memory_budget.SMALL_REQUEST_BYTES,
        )
        if victim is None:
            return False
        self._report_closed(victim)
        self._reject(victim.key, "503 Service Unavailable")
        return True

    def _close_one(self) -> bool:
        """Close a connection for a new one.

        :returns: false if all are busy
        """
        victim = connection_limits.choose_for_connection(
            self._list_states(), self._now_ms()
        )
        if victim is None:
            return False
        self._report_closed(victim)
        if victim.phase is Phase.RECEIVING:
            victim.key.reader.reject("503 Service Unavailable")
        self._drop(victim.key)
        return True

    def _list_states(self) -> list[connection_limits.ConnectionState]:
        """Return the states of connections that are not busy."""
        watched = [
            conn
            for conn in list(self._open)
            if conn.state.phase is not Phase.BUSY
        ]
        for conn in watched:
            conn.state.measure(conn.reader.received_bytes, self._now_ms())
            conn.state.held_bytes = conn.reader.memory.held_bytes
        return [conn.state for conn in watched]

    def _report_closed(
        self, victim: connection_limits.ConnectionState
    ) -> None:
        self.closed += 1
        now_ms = self._now_ms()
        if now_ms - self._last_log_ms < LOG_INTERVAL_MS:
            return
        self._last_log_ms = now_ms
        LOG.warning(
            "a connection is closed for others",
            extra=logs.make_extra(
                phase=victim.phase.name.lower(),
                age_ms=now_ms - victim.since_ms,
                held_bytes=victim.held_bytes,
                connections=self.count,
                max_connections=self.server.max_connections,
                closed=self.closed,
            ),
        )

    def _now_ms(self) -> int:
        return int(self.server.clock.now_ms())


def _is_lingering(conn: typing.Any) -> bool:
    state = getattr(conn, "state", None)
    return state is not None and state.phase is Phase.LINGERING
