"""Keeps several calls of one request open and cancels those not needed."""

import collections.abc
import logging
import threading

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import connections

__all__ = ["Hedge", "OpenCalls"]

LOG = logging.getLogger(__name__)

Result = expression.Result[upstreams.ServiceReply, errors.Fault]


class OpenCalls:
    """The open calls of one request, which end if its caller disconnects.

    A context manager, which cancels those that an exception leaves open.
    """

    __slots__ = ("_lock", "_cancellers", "_is_cancelled")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cancellers: list[connections.CallCanceller] = []
        self._is_cancelled = False

    def __enter__(self) -> "OpenCalls":
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        if kind is not None:
            self.cancel()

    def add(self, canceller: connections.CallCanceller) -> None:
        """Add a call; it is cancelled at once if the caller has gone.

        :param canceller: cancels the call
        """
        with self._lock:
            self._cancellers.append(canceller)
            is_cancelled = self._is_cancelled
        if is_cancelled:
            canceller.cancel()

    def cancel(self) -> None:
        """Cancel all calls, and those that are added later."""
        with self._lock:
            self._is_cancelled = True
            cancellers = list(self._cancellers)
        for canceller in cancellers:
            canceller.cancel()


class Hedge:
    """A second call, made on its own thread while the first one is open.

    :param upstream: its server, which changes if it turns the call away
    :param canceller: cancels this call
    :param call: makes the call
    :param on_success: called if it succeeds
    """

    __slots__ = ("upstream", "_canceller", "_result", "_thread")

    def __init__(
        self,
        upstream: tables.Upstream,
        canceller: connections.CallCanceller,
        call: collections.abc.Callable[[], Result],
        on_success: collections.abc.Callable[[], None],
    ) -> None:
        self.upstream = upstream
        self._canceller = canceller
        self._result: Result | None = None

        def run() -> None:
            try:
                self._result = call()
            except Exception:
                LOG.exception("a hedged call failed: %s", self.upstream.name)
                return
            if self._result.is_ok():
                on_success()

        self._thread = threading.Thread(target=run, name="hedge", daemon=True)

    def start(self) -> bool:
        """Start the call; returns at once.

        :returns: false if no thread can be started
        """
        try:
            self._thread.start()
        except RuntimeError:
            LOG.exception("no hedged call: %s", self.upstream.name)
            return False
        return True

    def cancel(self) -> None:
        """Cancel the call without waiting for its end."""
        self._canceller.cancel()

    def wait(self) -> Result | None:
        """Return the result, which its timeout bounds.

        :returns: none if the call ended by an exception
        """
        self._thread.join()
        return self._result
