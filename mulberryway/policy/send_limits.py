"""Interface of what bounds the requests to single upstreams."""

import abc
import collections.abc
import typing

__all__ = ["CombinedSendLimits", "SendLimits", "evict_oldest"]

# Bounds the memory; the design load is 4,800 engines, few of them limited.
MAX_UPSTREAMS = 16_384


class SendLimits(abc.ABC):
    """Tells which upstreams may get a request now.

    A request is counted when its upstream is chosen and when it is sent.
    """

    @abc.abstractmethod
    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether this VM may send to an upstream, now or soon.

        :param upstream: its name
        :param now_ms: current time in ms
        """

    @abc.abstractmethod
    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream may be chosen for a request now.

        :param upstream: its name
        :param now_ms: current time in ms
        """

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the time until an upstream may be chosen, in ms.

        :param upstream: its name
        :param now_ms: current time in ms
        :returns: 0 if it may be chosen now or the time is unknown
        """
        return 0

    @abc.abstractmethod
    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a request for which an upstream was chosen.

        :param upstream: its name
        :param now_ms: current time in ms
        """

    @abc.abstractmethod
    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent.

        :param upstream: the upstream's name
        :param now_ms: current time in ms
        :returns: whether it may be sent
        """


class CombinedSendLimits(SendLimits):
    """Several limits, all of which hold.

    :param limits: the limits
    """

    __slots__ = ("_limits",)

    def __init__(self, limits: collections.abc.Iterable[SendLimits]) -> None:
        self._limits = tuple(limits)

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether all limits leave this VM a share."""
        return all(
            limits.has_share(upstream, now_ms) for limits in self._limits
        )

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether all limits allow another request now."""
        return all(
            limits.has_room(upstream, now_ms) for limits in self._limits
        )

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the longest wait of all limits, in ms."""
        return max(
            limits.get_wait_ms(upstream, now_ms) for limits in self._limits
        )

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a choice under all limits."""
        for limits in self._limits:
            limits.record_choice(upstream, now_ms)

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request under the limits until one does not allow it."""
        return all(
            limits.try_send(upstream, now_ms) for limits in self._limits
        )


def evict_oldest(by_upstream: dict[str, typing.Any]) -> None:
    """Remove the oldest entries beyond ``MAX_UPSTREAMS``.

    :param by_upstream: entries by the name of an upstream
    """
    while len(by_upstream) > MAX_UPSTREAMS:
        del by_upstream[next(iter(by_upstream))]
