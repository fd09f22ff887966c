"""Counts one VM's requests to an upstream in a sliding window."""

import collections

__all__ = ["RequestWindow"]


class RequestWindow:
    """The times of recent requests to one upstream.

    A request is counted when its upstream is chosen, and again when it is
    sent: a decode follows its choice by the time of a prefill.

    :param window_ms: the window's length in ms
    """

    __slots__ = ("_window_ms", "_chosen", "_sent")

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._chosen: collections.deque[int] = collections.deque()
        self._sent: collections.deque[int] = collections.deque()

    def count(self, now_ms: int) -> int:
        """Return the number of requests, sent or only chosen.

        :param now_ms: current time in ms
        """
        return max(
            self._count_recent(self._chosen, now_ms),
            self._count_recent(self._sent, now_ms),
        )

    def count_sent(self, now_ms: int) -> int:
        """Return the number of requests that were sent.

        :param now_ms: current time in ms
        """
        return self._count_recent(self._sent, now_ms)

    def record_choice(self, now_ms: int) -> None:
        """Count a request for which the upstream was chosen.

        :param now_ms: current time in ms
        """
        self._count_recent(self._chosen, now_ms)
        self._chosen.append(now_ms)

    def record_send(self, now_ms: int) -> None:
        """Count a request that is sent.

        :param now_ms: current time in ms
        """
        self._count_recent(self._sent, now_ms)
        self._sent.append(now_ms)

    def get_wait_ms(self, limit: int, now_ms: int) -> int:
        """Return the time in ms until a further request is within a limit.

        :param limit: requests within the window, at least one
        :param now_ms: current time in ms
        """
        if self.count(now_ms) < limit:
            return 0
        return max(
            times[-limit] + self._window_ms - now_ms
            for times in (self._chosen, self._sent)
            if len(times) >= limit
        )

    def _count_recent(self, times: collections.deque[int], now_ms: int) -> int:
        """Return the number of times in the window; remove the others."""
        while times and now_ms - times[0] >= self._window_ms:
            times.popleft()
        return len(times)
