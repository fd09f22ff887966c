"""HTTP server for callers: cheroot with explicit limits."""

import collections.abc
import logging
import queue
import socket
import threading
import typing

from cheroot import server

from mulberryway import settings
from mulberryway.relay import pump
from mulberryway.server import connections
from mulberryway.server import request
from mulberryway.server import workers

__all__ = ["HttpServer"]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
DEFAULT_MAX_CONNECTIONS = 1_024
# Value of TCP_USER_TIMEOUT: Linux closes a connection whose peer acknowledges
# no data for this long.  Without it a caller whose host has vanished appears
# connected for fifteen minutes.
USER_TIMEOUT_MS = 20_000
# How often idle connections are checked for expiry.
IDLE_CHECK_INTERVAL_S = 1.0
# Maximum number of queued connections per worker thread.  In a longer queue
# callers would only wait for replies that arrive too late.
QUEUE_PER_THREAD = 4
# What the kernel holds for a caller that does not read, in place of megabytes
# that no budget counts; Linux doubles it.
SEND_BUFFER_BYTES = 65_536
# What the kernel receives for a caller whose connection nobody reads now;
# Linux doubles it.
RECEIVE_BUFFER_BYTES = 16_384
WAKE_TIMEOUT_S = 0.2
# Of a caller's deadline in ms; a longer one is ignored.
MAX_DEADLINE_DIGITS = 7


class HttpServer(server.HTTPServer):
    """Serves callers on worker threads and hands streams over to the relay.

    :param settings_: the limits and the address
    :param gateway: creates the object that handles a request
    :param relay: forwards the streams that the gateway hands over
    :param port: overrides the port of the settings
    :param threads: overrides the number of worker threads of the settings
    :param max_connections: the number of connections that may be open
    :param deadline_header: the header in which a caller says how many ms it
        will wait; empty if there is none
    """

    ConnectionClass = request.Connection
    expiration_interval = IDLE_CHECK_INTERVAL_S

    def __init__(
        self,
        settings_: settings.Settings,
        gateway: collections.abc.Callable[[request.Request], typing.Any],
        relay: pump.Relay,
        port: int | None = None,
        threads: int | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        deadline_header: str = "",
    ) -> None:
        super().__init__(
            (
                settings_.vm_address,
                settings_.router_port if port is None else port,
            ),
            gateway,
            server_name="mulberryway",
        )
        threads = settings_.router_threads if threads is None else threads
        self.requests = workers.WorkerPool(
            self, threads, threads * QUEUE_PER_THREAD
        )
        self.request_queue_size = settings_.router_backlog
        self.timeout = settings_.router_idle_ms / MS_IN_S
        self.request_timeout_s = settings_.router_body_ms / MS_IN_S
        self.keep_alive_conn_limit = settings_.router_keep_alive
        self.max_request_header_size = settings_.router_header_bytes
        self.max_request_body_size = settings_.router_body_bytes
        self.memory = relay.guard
        self.clock = relay.guard.clock
        self.max_connections = max_connections
        self._connections: connections.ConnectionManager | None = None
        self._request_timeout_ms = settings_.router_body_ms
        self._deadline_header = deadline_header.title().encode()
        self._relay = relay
        self._thread = threading.Thread(
            target=self.serve, name="accept", daemon=True
        )

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        manager = self._connections
        return 0 if manager is None else manager.count

    @property
    def closed_connections(self) -> int:
        """The number of connections that were closed for others."""
        manager = self._connections
        return 0 if manager is None else manager.closed

    def start(self) -> None:
        """Start to serve on the server's own threads."""
        self.prepare()
        self._thread.start()

    def prepare(self) -> None:
        """Bind the port, and hold its connections."""
        super().prepare()
        self.socket.setblocking(False)
        self._connections._selector.close()
        self._connections = connections.ConnectionManager(self)

    def serve(self) -> None:
        """Accept and dispatch connections until the server stops.

        cheroot's method also starts a thread for rejections, which ``_reject``
        makes unnecessary.
        """
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
            except Exception:
                LOG.exception("processing of connections failed")

    def stop(self) -> None:
        """Stop the server and wait for running requests for some seconds.

        cheroot waits until the accepting thread looks at its flag, which an
        idle thread does once per ``expiration_interval``, and only then wakes
        it with a connection.
        """
        if self.ready:
            self._connections._stop_requested = True
            self._wake_accepting_thread()
        super().stop()

    def _wake_accepting_thread(self) -> None:
        try:
            socket.create_connection(
                self.bind_addr[:2], WAKE_TIMEOUT_S
            ).close()
        except OSError as error:
            LOG.debug("the accepting thread was not woken: %r", error)

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Bind the listening socket.

        :param family: the address family
        :param type: the socket's type
        :param proto: the protocol
        :returns: the socket
        """
        bound: socket.socket = super().bind(family, type, proto)
        # Accepted connections inherit the option.
        bound.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        if self.memory.is_bounded:
            bound.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            bound.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        return bound

    def get_request_timeout_ms(self, conn: request.Connection) -> int:
        """Return within which time a request must arrive, in ms.

        A caller that says how long it waits may send for as long.

        :param conn: the connection
        """
        deadline = conn.reader.find_header(self._deadline_header)
        if not deadline.isdigit() or len(deadline) > MAX_DEADLINE_DIGITS:
            return self._request_timeout_ms
        return max(int(deadline), self._request_timeout_ms)

    def dispatch(self, conn: request.Connection, is_pipelined: bool) -> None:
        """Let a worker handle a connection's complete request.

        :param conn: the connection
        :param is_pipelined: whether the request arrived behind another one
        """
        try:
            self.requests.put(conn, is_pipelined)
        except queue.Full:
            self._reject(conn)

    def forget(self, conn: request.Connection) -> None:
        """Stop to count a connection that is being closed.

        :param conn: the connection
        """
        self._connections.forget(conn)

    def _reject(self, conn: request.Connection) -> None:
        """Reply with 503 on the accepting thread if no worker is available.

        cheroot leaves the connection open until Python garbage-collects it,
        so the caller would keep waiting.

        :param conn: the connection
        """
        rejected, conn.request = conn.request, None
        rejected.simple_response("503 Service Unavailable")
        rejected.memory.release()
        self._connections.put(conn)

    def put_conn(self, conn: request.Connection) -> None:
        """Keep a connection alive, or hand its stream over to the relay.

        :param conn: the connection
        """
        stream, conn.relayed_stream = conn.relayed_stream, None
        reply, conn.unsent_reply = conn.unsent_reply, None
        if stream is not None:
            self._relay.add_stream(stream)
            return
        if reply is not None:
            self._relay.replies.add(reply)
            return
        conn.socket.setblocking(False)
        super().put_conn(conn)

    def release(self, conn: request.Connection, keep: bool) -> None:
        """Keep alive or close a connection whose stream has ended.

        :param conn: the connection
        :param keep: whether the connection can be reused
        """
        if keep:
            self.put_conn(conn)
        else:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of cheroot.

        :param msg: the message
        :param level: the logging level
        :param traceback: whether to log the current exception
        """
        LOG.log(level, "%s", msg, exc_info=traceback)
