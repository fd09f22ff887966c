"""Pauses that upstreams ask this VM for; without I/O."""

from mulberryway.policy import send_limits

__all__ = ["Pauses"]


class Pauses(send_limits.SendLimits):
    """Until when upstreams want no requests of this VM; not thread-safe."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}

    def record(self, upstream: str, pause_ms: int, now_ms: int) -> bool:
        """Record that an upstream wants no requests for a while.

        :param upstream: its name
        :param pause_ms: for how long, in ms
        :param now_ms: current time in ms
        :returns: whether it wanted some until now
        """
        until_ms = self._until_ms.pop(upstream, 0)
        self._until_ms[upstream] = max(until_ms, now_ms + pause_ms)
        send_limits.evict_oldest(self._until_ms)
        return until_ms <= now_ms

    def forget(self, upstream: str) -> None:
        """Forget the pause of an upstream's previous incarnation.

        :param upstream: its name
        """
        self._until_ms.pop(upstream, None)

    def count(self, now_ms: int) -> int:
        """Return the number of upstreams that want no requests.

        :param now_ms: current time in ms
        """
        return sum(now_ms < until_ms for until_ms in self._until_ms.values())

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return true, because a pause ends."""
        return True

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream may be chosen for a request now."""
        return not self.get_wait_ms(upstream, now_ms)

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the time until an upstream may be chosen, in ms."""
        return max(self._until_ms.get(upstream, 0) - now_ms, 0)

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Do nothing, because requests are not counted."""

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        return self.has_room(upstream, now_ms)
