"""Network link with limited bandwidth that KV cache imports share."""

import math

from standins import engine_types

__all__ = ["SharedLink"]


class SharedLink:
    """Link whose bandwidth is divided equally among all transfers.

    :param parameters: parameters of the engine
    """

    def __init__(self, parameters: engine_types.EngineParameters) -> None:
        self._parameters = parameters
        self._transfers: list[engine_types.EngineRequest] = []
        self._advanced_ms = 0.0

    def add(self, request: engine_types.EngineRequest, now_ms: float) -> None:
        """Start the transfer of a request's KV cache.

        :param request: request to import
        :param now_ms: current time in ms
        """
        self.advance(now_ms)
        request.remaining_bytes = float(
            request.prompt_tokens * self._parameters.kv_bytes_per_token
        )
        self._transfers.append(request)

    def remove(
        self, request: engine_types.EngineRequest, now_ms: float
    ) -> None:
        """Cancel the transfer of a request, if it has one.

        :param request: request to cancel
        :param now_ms: current time in ms
        """
        self.advance(now_ms)
        if request in self._transfers:
            self._transfers.remove(request)

    def get_next_event_ms(self) -> float:
        """Return the end of the next transfer in ms; infinite if none."""
        if not self._transfers:
            return math.inf
        min_bytes = min(request.remaining_bytes for request in self._transfers)
        bytes_per_ms = self._compute_bytes_per_ms() / len(self._transfers)
        return self._advanced_ms + max(min_bytes, 0.0) / bytes_per_ms

    def pop_finished(self, at_ms: float) -> list[engine_types.EngineRequest]:
        """Remove the requests whose transfers have finished.

        :param at_ms: current time in ms
        :returns: removed requests
        """
        if self.get_next_event_ms() > at_ms:
            return []
        self.advance(at_ms)
        # Rounding may leave less than a byte of a complete transfer.
        finished = [
            request
            for request in self._transfers
            if request.remaining_bytes < 1
        ]
        self._transfers = [
            request
            for request in self._transfers
            if request.remaining_bytes >= 1
        ]
        return finished

    def _compute_bytes_per_ms(self) -> float:
        bytes_per_ms = self._parameters.link_bytes_per_s / 1000
        return bytes_per_ms / self._parameters.slow_factor

    def advance(self, now_ms: float) -> None:
        """Advance all transfers to the current time.

        :param now_ms: current time in ms
        """
        if self._transfers:
            transferred = (
                now_ms - self._advanced_ms
            ) * self._compute_bytes_per_ms()
            for request in self._transfers:
                request.remaining_bytes -= transferred / len(self._transfers)
        self._advanced_ms = now_ms
