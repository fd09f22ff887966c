"""The memory that one request and its answers may use."""

import collections.abc
import threading

from mulberryway.policy import memory_budget
from mulberryway.relay import memory
from mulberryway.upstreams import bounded_socket

__all__ = ["UNBOUNDED", "AnswerRoom", "RequestMemory"]

# An answer whose size is unknown grows by this, while there is much room.
GROWTH_BYTES = 1_048_576


class RequestMemory:
    """What is reserved for one request and its answers, until it has ended.

    May be used on any thread, by one at a time but for :meth:`make_room`.

    :param guard: bounds the memory of callers
    """

    __slots__ = ("held_bytes", "_guard", "_rooms")

    def __init__(self, guard: memory.MemoryGuard) -> None:
        self.held_bytes = 0
        self._guard = guard
        self._rooms: list[AnswerRoom] = []

    def try_grow(self, size: int) -> bool:
        """Reserve more, before it is held.

        :param size: the number of bytes
        :returns: whether there is room
        """
        if not self._guard.try_reserve_request(size, self.held_bytes):
            return False
        self.held_bytes += size
        return True

    def can_ever_hold(self, size: int) -> bool:
        """Return whether it could grow so much if nothing else were held.

        :param size: the number of bytes
        """
        return self._guard.can_ever_hold_request(self.held_bytes + size)

    def shrink(self, size: int) -> None:
        """Release a part of it.

        :param size: the number of bytes
        """
        self._guard.release_request(size)
        self.held_bytes -= size

    def report_refusal(self, size: int) -> None:
        """Report that the request is refused.

        :param size: the number of bytes that were missing
        """
        self._guard.report_refusal(size)

    def make_room(self) -> "AnswerRoom | None":
        """Return the memory of the answer to one call for the request.

        :returns: none if the memory of callers has no bound
        """
        if not self._guard.is_bounded:
            return None
        room = AnswerRoom(self._guard)
        self._rooms.append(room)
        return room

    def release_answers(self) -> None:
        """Release what is reserved for answers."""
        for room in self._rooms:
            room.release()

    def release(self) -> None:
        """Release all of it."""
        self.shrink(self.held_bytes)
        for room in self._rooms:
            room.close()


class _UnboundedMemory(RequestMemory):
    """The memory of a request that nobody bounds."""

    __slots__ = ()

    def __init__(self) -> None:
        return None

    def try_grow(self, size: int) -> bool:
        return True

    def can_ever_hold(self, size: int) -> bool:
        return True

    def report_refusal(self, size: int) -> None:
        return None

    def shrink(self, size: int) -> None:
        return None

    def make_room(self) -> "AnswerRoom | None":
        return None

    def release_answers(self) -> None:
        return None

    def release(self) -> None:
        return None


UNBOUNDED = _UnboundedMemory()


class AnswerRoom(bounded_socket.AnswerRoom):
    """The memory of one answer, within the budget of all callers.

    :param guard: bounds the memory of callers
    """

    __slots__ = ("_guard", "_lock", "_size", "_growth", "_is_closed")

    def __init__(self, guard: memory.MemoryGuard) -> None:
        self._guard = guard
        # A hedged call may go on after its request has ended.
        self._lock = threading.Lock()
        self._size = 0
        # The part of it that is counted for requests.
        self._growth = 0
        self._is_closed = False

    def reserve(
        self,
        size: int,
        duration_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        """Reserve memory for an answer of a known size.

        :param size: see :meth:`memory.MemoryGuard.reserve_answer`
        :param duration_s: see there
        :param is_cancelled: see there
        :returns: whether the memory was reserved
        """
        missing = size - self._size - self._growth
        if missing <= 0:
            return True
        if not self._guard.reserve_answer(missing, duration_s, is_cancelled):
            return False
        with self._lock:
            self._size += missing
        return self._is_kept()

    def grow(
        self,
        size: int,
        max_bytes: int,
        duration_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        """Reserve memory for an answer of unknown size.

        Steps are taken only as far as requests may fill the budget; beyond
        that the largest answer is reserved, since answers that each hold a
        part and wait for more would block one another.

        :param size: the size that is needed now
        :param max_bytes: the maximum size
        :param duration_s: see :meth:`memory.MemoryGuard.reserve_answer`
        :param is_cancelled: see there
        :returns: whether the memory was reserved
        """
        if size <= self._size + self._growth:
            return True
        if not self._size and self._guard.try_reserve_request(
            GROWTH_BYTES, memory_budget.SMALL_REQUEST_BYTES
        ):
            with self._lock:
                self._growth += GROWTH_BYTES
            return self._is_kept() and self.grow(
                size, max_bytes, duration_s, is_cancelled
            )
        return self.reserve(max_bytes, duration_s, is_cancelled)

    def release(self) -> None:
        """Release all of it; the room may be used again."""
        with self._lock:
            size, self._size = self._size, 0
            growth, self._growth = self._growth, 0
        if size:
            self._guard.release_answer(size)
        if growth:
            self._guard.release_request(growth)

    def close(self) -> None:
        """Release all of it, and what is reserved later."""
        self._is_closed = True
        self.release()

    def _is_kept(self) -> bool:
        """Return whether what was reserved just now is needed."""
        if self._is_closed:
            self.release()
        return not self._is_closed
