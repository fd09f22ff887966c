"""Queue of small hints that gossip sends to all VMs; best effort."""

import itertools

__all__ = ["Hint", "BroadcastQueue"]

# The queue is bounded in number and size, so that a flood of hints cannot
# exhaust a VM's 15 KB/s of bandwidth or its memory; the oldest hints are
# evicted first.
MAX_HINTS = 256
MAX_PAYLOAD_BYTES = 512
MAX_TTL_MS = 600_000
MAX_HINTS_PER_MESSAGE = 4


class Hint:
    """One small message to all VMs.

    :param kind: the component that the hint is for
    :param key: its subject; a newer hint replaces an older one
    :param payload: at most :data:`MAX_PAYLOAD_BYTES`
    :param number: orders hints by age; wall-clock time in ms
    :param until_ms: when it expires, by this VM's clock
    """

    __slots__ = (
        "kind",
        "key",
        "payload",
        "number",
        "until_ms",
        "transmissions",
    )

    def __init__(
        self, kind: str, key: str, payload: bytes, number: int, until_ms: int
    ) -> None:
        self.kind = kind
        self.key = key
        self.payload = payload
        self.number = number
        self.until_ms = until_ms
        self.transmissions = 0


class BroadcastQueue:
    """Hints that this VM holds, with how often it has sent each."""

    def __init__(self) -> None:
        self._hints: dict[tuple[str, str], Hint] = {}

    def add(self, hint: Hint, now_ms: int) -> bool:
        """Add a hint.

        :param hint: the hint
        :param now_ms: current time in ms
        :returns: whether it is new
        """
        known = self._hints.get((hint.kind, hint.key))
        is_known = known is not None and known.number >= hint.number
        is_too_large = len(hint.payload) > MAX_PAYLOAD_BYTES
        if is_known or is_too_large or hint.until_ms <= now_ms:
            return False
        hint.until_ms = min(hint.until_ms, now_ms + MAX_TTL_MS)
        self._hints.pop((hint.kind, hint.key), None)
        self._hints[(hint.kind, hint.key)] = hint
        self._trim(now_ms)
        return True

    def take(self, max_transmissions: int, now_ms: int) -> list[Hint]:
        """Return the hints to piggyback on the next message.

        :param max_transmissions: how often one VM sends a hint
        :param now_ms: current time in ms
        :returns: a few hints, the least often sent first
        """
        live = (
            hint
            for hint in self._hints.values()
            if hint.transmissions < max_transmissions
            and hint.until_ms > now_ms
        )
        chosen = sorted(live, key=lambda hint: hint.transmissions)[
            :MAX_HINTS_PER_MESSAGE
        ]
        for hint in chosen:
            hint.transmissions += 1
        return chosen

    def list_kind(self, kind: str, now_ms: int) -> list[Hint]:
        """Return the unexpired hints of a kind.

        :param kind: the kind
        :param now_ms: current time in ms
        :returns: the hints
        """
        return [
            hint
            for hint in self._hints.values()
            if hint.kind == kind and hint.until_ms > now_ms
        ]

    def _trim(self, now_ms: int) -> None:
        expired = [
            key for key, hint in self._hints.items() if hint.until_ms <= now_ms
        ]
        surplus = len(self._hints) - len(expired) - MAX_HINTS
        oldest = itertools.islice(self._hints, max(surplus, 0))
        for key in [*expired, *oldest]:
            self._hints.pop(key, None)
