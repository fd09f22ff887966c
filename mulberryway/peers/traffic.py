"""Counts messages and bytes between peers, by kind."""

import threading

__all__ = ["Traffic", "TrafficCount"]


class TrafficCount:
    """Messages and bytes of one kind in one direction.

    :param kind: ``Service:method``
    :param is_sent: whether this process sent them
    :param messages: the number of messages
    :param payload_bytes: their bytes, including frames, excluding TCP
    """

    __slots__ = ("kind", "is_sent", "messages", "payload_bytes")

    def __init__(
        self, kind: str, is_sent: bool, messages: int, payload_bytes: int
    ) -> None:
        self.kind = kind
        self.is_sent = is_sent
        self.messages = messages
        self.payload_bytes = payload_bytes


class Traffic:
    """Thread-safe traffic counters for metrics."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, bool], TrafficCount] = {}

    def count(self, kind: str, is_sent: bool, payload_bytes: int) -> None:
        """Count one message.

        :param kind: ``Service:method``
        :param is_sent: whether this process sent it
        :param payload_bytes: its bytes
        """
        with self._lock:
            key = (kind, is_sent)
            count = self._counts.get(key)
            if count is None:
                count = TrafficCount(kind, is_sent, 0, 0)
                self._counts[key] = count
            count.messages += 1
            count.payload_bytes += payload_bytes

    def get_counts(self) -> list[TrafficCount]:
        """Return a copy of all counters."""
        with self._lock:
            return [
                TrafficCount(
                    count.kind,
                    count.is_sent,
                    count.messages,
                    count.payload_bytes,
                )
                for count in self._counts.values()
            ]
