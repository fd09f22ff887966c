"""A link of limited rate that KV cache imports share evenly."""

import math

from standins import engine_types

__all__ = ["SharedLink"]


class SharedLink:
    """Moves the bytes of all transfers at once, each at an equal part.

    :param shape: the engine's figures
    """

    def __init__(self, shape: engine_types.EngineParameters) -> None:
        self._shape = shape
        self._transfers: list[engine_types.EngineRequest] = []
        self._moved_ms = 0.0

    def add(self, run: engine_types.EngineRequest, now_ms: float) -> None:
        """Begin a run's transfer.

        :param run: the run
        :param now_ms: the present
        """
        self.settle(now_ms)
        run.remaining_bytes = float(
            run.prompt_tokens * self._shape.kv_bytes_per_token
        )
        self._transfers.append(run)

    def remove(self, run: engine_types.EngineRequest, now_ms: float) -> None:
        """Give a run's transfer up, if it has one.

        :param run: the run
        :param now_ms: the present
        """
        self.settle(now_ms)
        if run in self._transfers:
            self._transfers.remove(run)

    def get_next_event_ms(self) -> float:
        """Return when the next transfer ends; infinite if there is none."""
        if not self._transfers:
            return math.inf
        least = min(run.remaining_bytes for run in self._transfers)
        rate = self._bytes_per_ms() / len(self._transfers)
        return self._moved_ms + max(least, 0.0) / rate

    def pop_finished(self, at_ms: float) -> list[engine_types.EngineRequest]:
        """Take out the runs whose transfers have ended.

        :param at_ms: the present
        :returns: the runs
        """
        if self.get_next_event_ms() > at_ms:
            return []
        self.settle(at_ms)
        # Less than a byte is what rounding leaves of a whole transfer.
        ended = [run for run in self._transfers if run.remaining_bytes < 1]
        self._transfers = [
            run for run in self._transfers if run.remaining_bytes >= 1
        ]
        return ended

    def _bytes_per_ms(self) -> float:
        rate = self._shape.link_bytes_per_s / 1000
        return rate / self._shape.slow_factor

    def settle(self, now_ms: float) -> None:
        """Move what the time since the last call allowed.

        :param now_ms: the present
        """
        if self._transfers:
            moved = (now_ms - self._moved_ms) * self._bytes_per_ms()
            for run in self._transfers:
                run.remaining_bytes -= moved / len(self._transfers)
        self._moved_ms = now_ms
