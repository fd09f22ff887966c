"""Decides which of the waiting connections is served next."""

import collections
import typing

__all__ = ["WorkerQueue"]


class WorkerQueue:
    """Connections that wait for a worker.

    A pipelined request, which arrived behind another one of its connection,
    lets the requests of other connections pass, so that no caller takes each
    worker again as soon as it is released.  It is served after a full queue
    of others at the latest.

    :param max_queued: maximum number of connections that wait with a
        pipelined request, and of those that wait without
    """

    __slots__ = ("_max_queued", "_first", "_pipelined", "_passed")

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._first: collections.deque[typing.Any] = collections.deque()
        self._pipelined: collections.deque[typing.Any] = collections.deque()
        # How many connections passed the first one with a pipelined request.
        self._passed = 0

    def __len__(self) -> int:
        return len(self._first) + len(self._pipelined)

    def try_add(self, connection: typing.Any, is_pipelined: bool) -> bool:
        """Add a connection at the end.

        :param connection: the connection
        :param is_pipelined: whether its request is pipelined
        :returns: false if too many wait already
        """
        waiting = self._pipelined if is_pipelined else self._first
        if len(waiting) >= self._max_queued:
            return False
        waiting.append(connection)
        return True

    def take(self) -> typing.Any:
        """Remove the connection that is served next.

        :returns: the connection; none if none waits
        """
        if not self._pipelined:
            return self._first.popleft() if self._first else None
        if self._first and self._passed < self._max_queued:
            self._passed += 1
            return self._first.popleft()
        self._passed = 0
        return self._pipelined.popleft()
