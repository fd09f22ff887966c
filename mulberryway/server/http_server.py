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
from mulberryway.server import request
from mulberryway.server import workers

__all__ = ["HttpServer"]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
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
REJECT_READ_BYTES = 262_144
WAKE_TIMEOUT_S = 0.2


class HttpServer(server.HTTPServer):
    """Serves callers on worker threads and hands streams over to the relay.

    :param settings_: the limits and the address
    :param gateway: creates the object that handles a request
    :param relay: forwards the streams that the gateway hands over
    :param port: overrides the port of the settings
    :param threads: overrides the number of worker threads of the settings
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
        self._relay = relay
        self._thread = threading.Thread(
            target=self.serve, name="accept", daemon=True
        )

    def start(self) -> None:
        """Start to serve on the server's own threads."""
        self.prepare()
        self._thread.start()

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
        return bound

    def process_conn(self, conn: request.Connection) -> None:
        """Dispatch a connection to a worker once it is readable.

        cheroot dispatches a new connection at once, so callers that connect
        and send nothing would occupy all worker threads.

        :param conn: the connection
        """
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            self._dispatch(conn)

    def _dispatch(self, conn: request.Connection) -> None:
        try:
            self.requests.put(conn)
        except queue.Full:
            self._reject(conn)

    def _reject(self, conn: request.Connection) -> None:
        """Reply with 503 on the accepting thread if no worker is available.

        cheroot leaves the connection open until Python garbage-collects it,
        so the caller would keep waiting.  The received part of the request is
        read first, because closing a socket with unread input sends a reset,
        which may arrive before the reply.

        :param conn: the connection
        """
        conn.socket.setblocking(False)
        try:
            conn.socket.recv(REJECT_READ_BYTES)
        except OSError:
            LOG.debug("a rejected connection had no data to read")
        request.Request(self, conn).simple_response("503 Service Unavailable")
        conn.has_unread_input = False
        conn.close()

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
        conn.socket.settimeout(self.timeout)
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
