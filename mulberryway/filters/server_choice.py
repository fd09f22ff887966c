"""The choice of a plain service's server for one call."""

import collections.abc

from mulberryway import tables
from mulberryway.policy import server_selection

__all__ = ["ServerChoice"]

# Records the outcome of a call and its duration in ms.
Recorder = collections.abc.Callable[[server_selection.CallOutcome, int], None]


class ServerChoice:
    """A server at which a call counts until the call has ended.

    A context manager, which releases the server if the call ends by an
    exception.  Only the first end counts.

    :param upstream: the server
    :param record: records the end of the call
    """

    __slots__ = ("upstream", "_record", "_has_ended")

    def __init__(self, upstream: tables.Upstream, record: Recorder) -> None:
        self.upstream = upstream
        self._record = record
        self._has_ended = False

    def __enter__(self) -> "ServerChoice":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()

    def finish(
        self, outcome: server_selection.CallOutcome, took_ms: int
    ) -> None:
        """Record the end of the call.

        :param outcome: its outcome
        :param took_ms: its duration in ms
        """
        if not self._has_ended:
            self._has_ended = True
            self._record(outcome, took_ms)

    def release(self) -> None:
        """End a call that proves nothing about its server."""
        self.finish(server_selection.CallOutcome.NO_VERDICT, 0)
