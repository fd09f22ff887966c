"""Small notes that reach all VMs within seconds; hints, never promises."""

import itertools

__all__ = ["Hint", "BroadcastQueue"]

# A board is bounded in number and size, so that no flood of notes eats a
# VM's 15 KB/s or its memory: the oldest are forgotten first.
MOST_HINTS = 256
MOST_PAYLOAD_BYTES = 512
MOST_TTL_MS = 600_000
MOST_IN_MESSAGE = 4


class Hint:
    """One note.

    :param kind: who it is for
    :param key: what it is about; a newer note replaces an older one
    :param payload: at most 512 bytes
    :param number: tells newer from older; a wall time in milliseconds
    :param until_ms: when it is forgotten, by this VM's clock
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
    """The notes that this VM knows, and how often it passed each on."""

    def __init__(self) -> None:
        self._hints: dict[tuple[str, str], Hint] = {}

    def add(self, hint: Hint, now_ms: int) -> bool:
        """Take a note in.

        :param hint: the note
        :param now_ms: the present
        :returns: whether it is news
        """
        known = self._hints.get((hint.kind, hint.key))
        is_known = known is not None and known.number >= hint.number
        is_bad = len(hint.payload) > MOST_PAYLOAD_BYTES
        if is_known or is_bad or hint.until_ms <= now_ms:
            return False
        hint.until_ms = min(hint.until_ms, now_ms + MOST_TTL_MS)
        self._hints.pop((hint.kind, hint.key), None)
        self._hints[(hint.kind, hint.key)] = hint
        self._trim(now_ms)
        return True

    def take(self, most_sends: int, now_ms: int) -> list[Hint]:
        """Choose notes to pass on with the next message.

        :param most_sends: how often one VM passes a note on
        :param now_ms: the present
        :returns: a few notes, the least often sent first
        """
        live = (
            hint
            for hint in self._hints.values()
            if hint.transmissions < most_sends and hint.until_ms > now_ms
        )
        chosen = sorted(live, key=lambda hint: hint.transmissions)[
            :MOST_IN_MESSAGE
        ]
        for hint in chosen:
            hint.transmissions += 1
        return chosen

    def list_kind(self, kind: str, now_ms: int) -> list[Hint]:
        """Return the live notes of a kind.

        :param kind: the kind
        :param now_ms: the present
        :returns: notes
        """
        return [
            hint
            for hint in self._hints.values()
            if hint.kind == kind and hint.until_ms > now_ms
        ]

    def _trim(self, now_ms: int) -> None:
        late = [
            key for key, hint in self._hints.items() if hint.until_ms <= now_ms
        ]
        surplus = len(self._hints) - len(late) - MOST_HINTS
        oldest = itertools.islice(self._hints, max(surplus, 0))
        for key in [*late, *oldest]:
            self._hints.pop(key, None)
