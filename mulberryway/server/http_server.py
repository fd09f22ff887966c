"""The callers' HTTP server: cheroot with every limit set on purpose."""

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
# Linux ends a connection whose peer confirms nothing for so long; without
# it a caller whose host has vanished looks alive for fifteen minutes.
USER_TIMEOUT_MS = 20_000
# How often idle connections are looked at.
IDLE_CHECK_INTERVAL_S = 1.0
# A queue for a worker thread that is longer than this many per thread only
# makes callers wait for an answer that comes too late.
QUEUE_PER_THREAD = 4
REJECT_READ_BYTES = 262_144


class HttpServer(server.HTTPServer):
    """Serves callers on worker threads and lends streams to the relay.

    :param settings_: limits and the address
    :param gateway: makes an object that answers a request
    :param relay: carries what the gateway lends
    :param port: another port than the settings'
    :param threads: another number of worker threads than the settings'
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
        self._relay = relay
        self._thread = threading.Thread(
            target=self.serve, name="accept", daemon=True
        )

    def start(self) -> None:
        """Begin to serve on threads of the server's own."""
        self.prepare()
        self._thread.start()

    def serve(self) -> None:
        """Accept and hand out connections until the server stops.

        cheroot's own has a thread for refusals besides; see ``_refuse``.
        """
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
            except Exception:
                LOG.exception("connections could not be looked at")

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Bind the listening socket.

        :param family: the address family
        :param type: the socket's type
        :param proto: the protocol
        :returns: the socket
        """
        bound: socket.socket = super().bind(family, type, proto)
        # Accepted connections inherit it.
        bound.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return bound

    def process_conn(self, conn: request.Connection) -> None:
        """Give a connection to a worker once it has something to read.

        cheroot gives a new connection to a worker at once, so callers that
        connect and send nothing would hold every thread.

        :param conn: the connection
        """
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            self._hand_out(conn)

    def _hand_out(self, conn: request.Connection) -> None:
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def _refuse(self, conn: request.Connection) -> None:
        """Answer for a worker that is not there; on the accepting thread.

        cheroot's own way leaves the connection open until Python collects
        it, so that a caller waits on it for nothing.  What has come of the
        request is read first, for a reset would overtake the answer.

        :param conn: the connection
        """
        conn.socket.setblocking(False)
        try:
            conn.socket.recv(REJECT_READ_BYTES)
        except OSError:
            LOG.debug("a refused connection had nothing to read")
        request.Request(self, conn).simple_response("503 Service Unavailable")
        conn.has_unread_input = False
        conn.close()

    def put_conn(self, conn: request.Connection) -> None:
        """Take a connection back from a worker, or from the relay.

        :param conn: the connection
        """
        stream, conn.relayed_stream = conn.relayed_stream, None
        if stream is not None:
            self._relay.lend(stream)
            return
        conn.socket.settimeout(self.timeout)
        super().put_conn(conn)

    def release(self, conn: request.Connection, keep: bool) -> None:
        """Take back a connection whose stream has ended.

        :param conn: the connection
        :param keep: whether it can serve another request
        """
        if keep:
            self.put_conn(conn)
        else:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log what cheroot reports.

        :param msg: the report
        :param level: the logging level
        :param traceback: whether the current exception is added
        """
        LOG.log(level, "%s", msg, exc_info=traceback)
