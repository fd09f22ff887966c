"""Sockets that bound the time and the memory of one call."""

import abc
import collections.abc
import socket
import threading
import time
import typing

__all__ = [
    "GUARANTEED_BYTES",
    "AnswerRoom",
    "BoundedSocket",
    "ReceiveBudget",
    "ResponseSizeError",
]

# Each response may have this many bytes; more of it counts against the budget.
GUARANTEED_BYTES = 65_536


class ResponseSizeError(ConnectionError):
    """A response needs more memory than it may have."""


class AnswerRoom(abc.ABC):
    """The memory of one response, counted beside what else a VM holds."""

    __slots__ = ()

    @abc.abstractmethod
    def reserve(
        self,
        size: int,
        duration_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        """Reserve memory for a response of a known size; wait for it.

        :param size: the size in bytes
        :param duration_s: the maximum wait in seconds
        :param is_cancelled: returns whether the response is not needed any
            more
        :returns: whether the memory was reserved
        """

    @abc.abstractmethod
    def grow(
        self,
        size: int,
        max_bytes: int,
        duration_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        """Reserve memory for a response of unknown size; wait for it.

        :param size: the size that it has now, in bytes
        :param max_bytes: the maximum size
        :param duration_s: the maximum wait in seconds
        :param is_cancelled: see :meth:`reserve`
        :returns: whether the memory was reserved
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Release the memory; the room may be used again."""


class ReceiveBudget:
    """Bounds the bytes that all calls of a process receive at a time.

    :param max_bytes: bytes beyond those guaranteed to each response
    """

    def __init__(self, max_bytes: int) -> None:
        self.peak_bytes = 0
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes, if they are left.

        :param size: the number of bytes
        """
        with self._lock:
            if self._used_bytes + size > self._max_bytes:
                return False
            self._used_bytes += size
            self.peak_bytes = max(self.peak_bytes, self._used_bytes)
            return True

    def release(self, size: int) -> None:
        """Release reserved bytes.

        :param size: the number of bytes
        """
        with self._lock:
            self._used_bytes -= size


class BoundedSocket(socket.socket):
    """A socket whose reads are bounded for each response.

    A socket's timeout limits each single read, so a peer that sends a byte now
    and then could keep a call waiting for any time.

    :param connection: the connected socket, which is detached
    :param budget: bounds the bytes of all responses
    """

    def __init__(
        self, connection: socket.socket, budget: ReceiveBudget
    ) -> None:
        timeout_s = connection.gettimeout()
        super().__init__(fileno=connection.detach())
        self.settimeout(timeout_s)
        self._budget = budget
        # Guards the bounds: the next call may have the connection before the
        # last one has ended its response.
        self._lock = threading.Lock()
        self._calls = 0
        self._deadline_s: float | None = None
        self._extend: collections.abc.Callable[[], float] | None = None
        self._max_bytes = 0
        self._received = 0
        self._reserved = 0
        # Whether another budget counts the response.
        self._is_counted = False
        self._has_write_failed = False

    @property
    def received(self) -> int:
        """The number of bytes of the current response."""
        return self._received

    def begin_response(
        self,
        deadline_s: float,
        extend: collections.abc.Callable[[], float] | None = None,
    ) -> int:
        """Bound the response to the request that is sent next.

        Until :meth:`allow_body` it may have the guaranteed size only.

        :param deadline_s: when it must be complete, by ``time.monotonic``
        :param extend: called once when that time is over; returns how much
            longer the response may take, in seconds
        :returns: the number of the call, for :meth:`end_response`
        """
        with self._lock:
            self._release()
            self._calls += 1
            self._deadline_s = deadline_s
            self._extend = extend
            self._max_bytes = GUARANTEED_BYTES
            return self._calls

    def allow_body(self, max_bytes: int, is_counted: bool = False) -> None:
        """Allow a larger response, after its head.

        :param max_bytes: the maximum size in bytes
        :param is_counted: whether another budget counts its bytes
        """
        self._max_bytes = max_bytes
        self._is_counted = is_counted

    def extend_response(
        self, duration_s: float, call: int | None = None
    ) -> None:
        """Allow more time for a response that arrives at a sound rate.

        :param duration_s: the additional time
        :param call: see :meth:`end_response`
        """
        with self._lock:
            if self._deadline_s is not None and call in (None, self._calls):
                self._deadline_s += duration_s

    def shorten_response(self, deadline_s: float) -> None:
        """Bound the rest of a response to a shorter time.

        :param deadline_s: when it must be complete, by ``time.monotonic``
        """
        if self._deadline_s is not None:
            self._deadline_s = min(self._deadline_s, deadline_s)

    def end_response(self, call: int | None = None) -> None:
        """Remove the bounds and release the memory of a response.

        :param call: the number of its call, if the connection may be in use
            by another one already, whose bounds then stay; none otherwise
        """
        with self._lock:
            if call in (None, self._calls):
                self._release()

    def sendall(self, *arguments: typing.Any) -> None:
        """Send bytes within the time of the current call.

        The timeout of a reused connection is what its last response left.

        :raises TimeoutError: if the peer does not read them in time
        """
        if self._deadline_s is not None:
            self.settimeout(self._get_left_s())
        try:
            super().sendall(*arguments)
        except OSError:
            self._has_write_failed = True
            raise

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receive bytes within the bounds of the current response.

        :returns: the number of bytes
        :raises TimeoutError: if its time is over
        :raises ResponseSizeError: if it is too large
        :raises ConnectionResetError: if the connection has failed
        """
        if self._deadline_s is None or self.gettimeout() == 0:
            return super().recv_into(*arguments)
        try:
            size = self._receive(*arguments)
        except TimeoutError:
            if self._extend is None:
                raise
            extend, self._extend = self._extend, None
            self._deadline_s += extend()
            size = self._receive(*arguments)
        self._received += size
        self._reserve()
        return size

    def _receive(self, *arguments: typing.Any) -> int:
        self.settimeout(self._get_left_s())
        size = super().recv_into(*arguments)
        if not size and self._has_write_failed:
            # The kernel reports a reset once, and then an ordinary end.
            raise ConnectionResetError("a write of the request has failed")
        return size

    def _release(self) -> None:
        self._budget.release(self._reserved)
        self._deadline_s = self._extend = None
        self._received = self._reserved = 0
        self._is_counted = False

    def _get_left_s(self) -> float:
        assert self._deadline_s is not None
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the call is incomplete")
        return left_s

    def _reserve(self) -> None:
        if self._received > self._max_bytes:
            raise ResponseSizeError("the response is too large")
        missing = self._received - GUARANTEED_BYTES - self._reserved
        if missing <= 0 or self._is_counted:
            return
        if not self._budget.try_reserve(missing):
            raise ResponseSizeError("too many bytes of responses are held")
        self._reserved += missing
