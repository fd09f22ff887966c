"""Compares an engine's decode step with its pool's for as many streams."""

from mulberryway.policy import health

__all__ = ["StepProfile"]

# Numbers of streams in a range of this size count as equal.
STREAMS_PER_RANGE = 4
# An engine that is avoided gets no streams and is not measured.  After this
# time, half of its slowness is forgotten, so that it gets streams again.
HALF_LIFE_MS = 20_000


class StepProfile:
    """The lowest decode steps of a pool's engines by number of streams."""

    __slots__ = ("_floors",)

    def __init__(self) -> None:
        self._floors: dict[int, health.LatencyFloor] = {}

    def note(self, step_ms: float, streams: int) -> None:
        """Add a measured step of any engine.

        :param step_ms: mean inter-token gap, in milliseconds
        :param streams: number of streams that run on the engine
        """
        key = streams // STREAMS_PER_RANGE
        if key not in self._floors:
            self._floors[key] = health.LatencyFloor(step_ms)
        self._floors[key].note(step_ms)

    def compare(self, step_ms: float, streams: int, age_ms: float) -> float:
        """Return how slow an engine is for its number of streams.

        :param step_ms: the engine's step
        :param streams: number of streams that it ran then
        :param age_ms: time since it was measured
        :returns: the ratio of its step to the lowest, at least 1; 1 if it was
            not measured for long
        """
        floor = self._floors.get(streams // STREAMS_PER_RANGE)
        if floor is None or floor.value <= 0:
            return 1.0
        excess = max(step_ms / floor.value - 1.0, 0.0)
        return 1.0 + excess * 0.5 ** (max(age_ms, 0.0) / HALF_LIFE_MS)
