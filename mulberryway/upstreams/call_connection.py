"""The connections that carry calls to upstreams."""

import collections.abc
import logging
import socket
import threading
import time
import typing

import urllib3
import urllib3.exceptions

from mulberryway import response_heads
from mulberryway.policy import connection_reuse
from mulberryway.upstreams import bounded_socket
from mulberryway.upstreams import call_details
from mulberryway.upstreams import dialing

__all__ = ["CURRENT", "CallCanceller", "CallConnection", "CurrentCall"]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000


class CallCanceller:
    """Cancels a call that runs on another thread, and bounds it.

    Without it an upstream would continue to work for a caller that has
    disconnected.

    :param extension_ms: how much longer than its timeout the call may take
    :param on_late: called on the call's thread at its timeout, if there is an
        extension; must return quickly
    :param room: the memory of its response; none if the process as a whole
        bounds what it receives
    """

    __slots__ = (
        "extension_ms",
        "room",
        "_on_late",
        "_lock",
        "_socket",
        "_is_cancelled",
    )

    def __init__(
        self,
        extension_ms: int = 0,
        on_late: collections.abc.Callable[[], None] = lambda: None,
        room: bounded_socket.AnswerRoom | None = None,
    ) -> None:
        self.extension_ms = extension_ms
        self.room = room
        self._on_late = on_late
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_cancelled = False

    @property
    def is_cancelled(self) -> bool:
        """Whether the call was cancelled."""
        with self._lock:
            return self._is_cancelled

    def extend(self) -> float:
        """Return the extension in seconds, at the call's timeout."""
        if self.extension_ms:
            self._on_late()
        return self.extension_ms / MS_IN_S

    def attach(self, connection: socket.socket) -> None:
        """Set the socket that carries the call.

        :param connection: the socket
        """
        with self._lock:
            self._socket = connection
            is_cancelled = self._is_cancelled
        if is_cancelled:
            self.cancel()

    def detach(self) -> None:
        """Release the socket and the callback after the end of the call."""
        with self._lock:
            self._socket = None
            self._on_late = _do_nothing

    def cancel(self) -> None:
        """Cancel the call now, or as soon as it starts."""
        with self._lock:
            self._is_cancelled = True
            if self._socket is None:
                return
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                LOG.debug("cancelled call had ended already: %s", error)


def _do_nothing() -> None:
    return None


class CurrentCall(threading.local):
    """Describes the call that runs on this thread.

    ``request_id`` is the id that its response must echo; none if it echoes no
    id.  ``may_reuse`` tells whether it may share a connection.  ``socket``,
    ``history``, ``number`` and ``details.use`` are set when its request is
    sent.
    """

    canceller: CallCanceller | None = None
    deadline_s = 0.0
    request_id: str | None = None
    may_reuse = True
    socket: bounded_socket.BoundedSocket | None = None
    history = connection_reuse.ConnectionHistory()
    number = 0
    details = call_details.CallDetails()


CURRENT = CurrentCall()


class CallConnection(response_heads.StrictConnection):
    """Bounds the call that it carries, and attaches it to its canceller.

    A call whose response could not be told from that of an earlier one is
    sent on a new connection.

    :param address: ``host:port``
    :param dialer: opens the connection
    :param budget: bounds the bytes of all responses
    :param on_unsolicited: called when bytes have arrived that no request has
        asked for
    """

    def __init__(
        self,
        *arguments: typing.Any,
        address: str,
        dialer: dialing.Dialer,
        budget: bounded_socket.ReceiveBudget,
        on_unsolicited: collections.abc.Callable[[], None],
        **keywords: typing.Any,
    ) -> None:
        super().__init__(*arguments, **keywords)
        self._address = address
        self._dialer = dialer
        self._budget = budget
        self._on_unsolicited = on_unsolicited
        self._history = connection_reuse.ConnectionHistory()

    @property
    def is_connected(self) -> bool:
        """Whether it is open and nothing has arrived since it was used.

        The pool asks this too, before it closes a connection by itself.
        """
        if super().is_connected:
            return True
        if self.sock is not None and (
            self.has_surplus or _has_received(self.sock)
        ):
            self._on_unsolicited()
        return False

    def _new_conn(self) -> socket.socket:
        self._history = connection_reuse.ConnectionHistory()
        timeout_ms = int(float(self.timeout) * MS_IN_S)
        canceller = CURRENT.canceller
        try:
            return bounded_socket.BoundedSocket(
                self._dialer.connect(
                    self._address,
                    timeout_ms,
                    lambda: canceller is not None and canceller.is_cancelled,
                ),
                self._budget,
            )
        except (OSError, dialing.CancelledError) as error:
            raise urllib3.exceptions.NewConnectionError(
                self, f"failed to connect: {error!r}"
            ) from error

    def _connect_in_time(self) -> None:
        """Connect, and fail as not sent if no time is left after that."""
        self.connect()
        if time.monotonic() >= CURRENT.deadline_s:
            self.close()
            raise urllib3.exceptions.ConnectTimeoutError(
                self, "connecting took all of the time"
            )

    def prepare(self) -> None:
        """Connect if necessary, and bound the call that is sent next."""
        request_id = CURRENT.request_id
        if self.sock is not None and not (
            CURRENT.may_reuse
            and self._history.may_carry(request_id)
            and self.is_connected
        ):
            self.close()
        if self.sock is None:
            self._connect_in_time()
        assert isinstance(self.sock, bounded_socket.BoundedSocket)
        self._history.begin(request_id)
        CURRENT.history = self._history
        canceller = CURRENT.canceller
        CURRENT.number = self.sock.begin_response(
            CURRENT.deadline_s, canceller.extend if canceller else None
        )
        CURRENT.socket = self.sock
        CURRENT.details.use = CURRENT.number
        if canceller is not None:
            canceller.attach(self.sock)


def _has_received(connection: socket.socket) -> bool:
    """Return whether a readable connection has bytes, not only its end."""
    connection.settimeout(0)
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError as error:
        LOG.debug("an idle connection has failed: %r", error)
        return False
