"""Decides how much a VM holds for slow readers, and whom it gives up."""

import collections.abc
import typing

__all__ = [
    "MemoryBudget",
    "Reader",
    "choose_slowest",
    "compute_budget_bytes",
    "is_stalled",
]

BYTES_IN_MB = 1_000_000
# What a VM uses without slow callers.
REST_BYTES = 48 * BYTES_IN_MB
# The rest is for responses that arrive, and for the sockets' own buffers.
BUDGET_DIVISOR = 2
# The limit of one reader where the memory is unknown, about five thousand
# tokens.
DEFAULT_LIMIT_BYTES = 262_144
MIN_LIMIT_BYTES = 16_384
# Readers together get this part at most, so that bodies find room.
READERS_PART = (3, 4)
# One reader may get this part of what readers have free.
READER_DIVISOR = 8
# Above this part the slowest readers are given up.
HIGH_PART = (7, 8)
# Requests together get this part at most, so that their answers find room,
# and those that are not small a smaller one, so that others are accepted.
REQUESTS_PART = (5, 8)
LARGE_REQUESTS_PART = (1, 2)
SMALL_REQUEST_BYTES = 65_536
# Large requests and answers leave the rest of the budget free.  Small requests
# are accepted beyond it: slow readers are given up only after a while.
ANSWERS_PART = (7, 8)
SMALL_REQUESTS_TOTAL_PART = (5, 4)
# A reader that fell behind later may only have met a burst.
MIN_BEHIND_MS = 1_000
# An upstream cuts off a response that stays unread for some seconds.
MAX_PAUSE_MS = 2_000


def compute_budget_bytes(memory_mb: int) -> int:
    """Return the bytes that may be held for callers; 0 if unbounded.

    :param memory_mb: the VM's memory in MB; 0 if unknown
    """
    if memory_mb <= 0:
        return 0
    free_bytes = memory_mb * BYTES_IN_MB - REST_BYTES
    return max(free_bytes // BUDGET_DIVISOR, MIN_LIMIT_BYTES)


class Reader:
    """A caller that has not read all bytes that are there for it.

    :param key: identifies it
    :param behind_ms: when it last had nothing to read, in ms
    """

    __slots__ = ("key", "unread_bytes", "behind_ms", "paused_ms")

    def __init__(self, key: typing.Any, behind_ms: int) -> None:
        self.key = key
        self.unread_bytes = 0
        self.behind_ms = behind_ms
        # Since when its upstream is not read; none if it is.
        self.paused_ms: int | None = None


class MemoryBudget:
    """Counts the bytes held for callers.

    :param total_bytes: the maximum; 0 for none
    """

    __slots__ = ("total_bytes", "used_bytes", "requests_bytes")

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        # What is held for requests, of all that is used.
        self.requests_bytes = 0

    def add(self, size: int) -> None:
        """Count bytes that are held already.

        :param size: the number of bytes; negative if they are released
        """
        self.used_bytes += size

    def try_reserve(self, size: int) -> bool:
        """Count bytes if there is room for them.

        :param size: the number of bytes
        """
        if self.total_bytes and self.used_bytes + size > self.total_bytes:
            return False
        self.used_bytes += size
        return True

    def try_reserve_request(self, size: int, held_bytes: int) -> bool:
        """Count bytes of a request if there is room for them.

        :param size: the number of bytes
        :param held_bytes: what is counted for the request already
        """
        if self.total_bytes and not self._has_room(size, held_bytes):
            return False
        self.used_bytes += size
        self.requests_bytes += size
        return True

    def release_request(self, size: int) -> None:
        """Count bytes of a request as released.

        :param size: the number of bytes
        """
        self.used_bytes -= size
        self.requests_bytes -= size

    def can_ever_hold_request(self, size: int) -> bool:
        """Return whether a request fits if nothing else is held.

        :param size: its size in bytes
        """
        return not self.total_bytes or size <= self._compute_part(
            LARGE_REQUESTS_PART
        )

    def try_reserve_answer(self, size: int) -> bool:
        """Count the bytes of an answer if there is room for them.

        :param size: the number of bytes
        """
        if not self.can_ever_hold(size):
            return False
        limit_bytes = self._compute_part(ANSWERS_PART)
        if self.total_bytes and self.used_bytes + size > limit_bytes:
            return False
        self.used_bytes += size
        return True

    def can_ever_hold(self, answer_bytes: int) -> bool:
        """Return whether an answer fits if nothing else is held.

        :param answer_bytes: its size
        """
        return not self.total_bytes or answer_bytes <= self._compute_part(
            ANSWERS_PART
        )

    def _has_room(self, size: int, held_bytes: int) -> bool:
        is_small = held_bytes + size <= SMALL_REQUEST_BYTES
        requests_part = REQUESTS_PART if is_small else LARGE_REQUESTS_PART
        total_part = SMALL_REQUESTS_TOTAL_PART if is_small else ANSWERS_PART
        return self.requests_bytes + size <= self._compute_part(
            requests_part
        ) and self.used_bytes + size <= self._compute_part(total_part)

    def _compute_part(self, fraction: tuple[int, int]) -> int:
        part, whole = fraction
        return self.total_bytes * part // whole

    def compute_limit_bytes(self) -> int:
        """Return how many unread bytes one reader may have now.

        It shrinks as the budget fills, so that many slow readers share it and
        a single one need not be stopped.
        """
        if not self.total_bytes:
            return DEFAULT_LIMIT_BYTES
        free_bytes = self._compute_part(READERS_PART) - self.used_bytes
        return max(free_bytes // READER_DIVISOR, MIN_LIMIT_BYTES)

    def compute_excess_bytes(self, wanted_bytes: int = 0) -> int:
        """Return how many bytes must be freed; 0 if none.

        :param wanted_bytes: bytes that an answer waits for
        """
        if not self.total_bytes:
            return 0
        used_bytes = self.used_bytes + wanted_bytes
        return max(used_bytes - self._compute_part(HIGH_PART), 0)


def is_stalled(reader: Reader, now_ms: int) -> bool:
    """Return whether a reader's upstream will soon cut off its response.

    :param reader: the reader
    :param now_ms: the current time in ms
    """
    return (
        reader.paused_ms is not None
        and now_ms - reader.paused_ms >= MAX_PAUSE_MS
    )


def choose_slowest(
    readers: collections.abc.Iterable[Reader], excess_bytes: int, now_ms: int
) -> list[Reader]:
    """Return the readers to give up, the slowest first.

    :param readers: those with unread bytes
    :param excess_bytes: how many bytes must be freed
    :param now_ms: the current time in ms
    :returns: as few as free the bytes; fewer bytes if the others fell behind
        only just now
    """
    behind = sorted(
        (
            reader
            for reader in readers
            if now_ms - reader.behind_ms >= MIN_BEHIND_MS
        ),
        key=lambda reader: reader.unread_bytes * (now_ms - reader.behind_ms),
        reverse=True,
    )
    chosen = []
    for reader in behind:
        if excess_bytes <= 0:
            break
        excess_bytes -= reader.unread_bytes
        chosen.append(reader)
    return chosen
