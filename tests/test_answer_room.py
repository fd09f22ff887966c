"""Tests of answers that wait for memory."""

import concurrent.futures
import threading
import unittest

from mulberryway import clock
from mulberryway.relay import loop
from mulberryway.relay import memory
from mulberryway.relay import request_memory
from tests import processes

MB = 1_000_000
BUDGET_BYTES = 40 * MB
MAX_ANSWER_BYTES = 14 * MB
WAIT_S = 10


def never():
    return False


class AnswerRoomTest(unittest.TestCase):
    def setUp(self):
        event_loop = loop.EventLoop("test", clock.SystemClock())
        self.addCleanup(event_loop._epoll.close)
        self.guard = memory.MemoryGuard(event_loop, BUDGET_BYTES)
        self.budget = self.guard._budget
        self.pool = concurrent.futures.ThreadPoolExecutor(32)
        self.addCleanup(self.pool.shutdown)

    def make_request(self):
        request = request_memory.RequestMemory(self.guard)
        return request, request.make_room()

    def reserve(self, room, size, is_cancelled=never):
        return self.pool.submit(room.reserve, size, WAIT_S, is_cancelled)

    def await_waiting(self, count):
        self.assertTrue(
            processes.wait_until(
                lambda: len(self.guard._waiting) == count, WAIT_S
            )
        )

    def test_answers_wait_in_turn(self):
        """Guards against small answers that overtake a large one for ever."""
        (first, held), (_, large), (_, small) = (
            self.make_request() for _ in range(3)
        )
        self.assertTrue(held.reserve(30 * MB, 0, never))
        waiting = self.reserve(large, 20 * MB)
        self.await_waiting(1)
        behind = self.reserve(small, 1 * MB)
        self.await_waiting(2)
        self.assertFalse(behind.done())
        first.release()
        self.assertTrue(waiting.result(WAIT_S))
        self.assertTrue(behind.result(WAIT_S))
        self.assertEqual(self.budget.used_bytes, 21 * MB)

    def test_cancelled_call(self):
        """Guards against a worker that waits for a caller that has gone."""
        (first, held), (_, room) = (self.make_request() for _ in range(2))
        held.reserve(30 * MB, 0, never)
        has_gone = threading.Event()
        waiting = self.reserve(room, 20 * MB, has_gone.is_set)
        self.await_waiting(1)
        has_gone.set()
        self.assertFalse(waiting.result(WAIT_S))
        first.release()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_time_is_over(self):
        """Guards against a call that waits beyond its deadline."""
        (first, held), (_, room) = (self.make_request() for _ in range(2))
        held.reserve(30 * MB, 0, never)
        self.assertFalse(room.reserve(20 * MB, 0.05, never))
        first.release()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_answer_that_never_fits(self):
        """Guards against a call that waits in vain."""
        _, room = self.make_request()
        self.assertFalse(room.reserve(BUDGET_BYTES, WAIT_S, never))

    def test_answers_of_unknown_size(self):
        """Guards against answers that each hold a part and wait for more."""

        def read():
            request, room = self.make_request()
            for size in range(MB // 2, MAX_ANSWER_BYTES, MB // 2):
                if not room.grow(size, MAX_ANSWER_BYTES, WAIT_S, never):
                    return False
            request.release()
            return True

        reads = [self.pool.submit(read) for _ in range(32)]
        self.assertTrue(all(each.result(3 * WAIT_S) for each in reads))
        self.assertEqual(self.budget.used_bytes, 0)
        self.assertEqual(self.budget.requests_bytes, 0)

    def test_answer_after_the_end_of_its_request(self):
        """Guards against memory that a cancelled hedged call keeps."""
        request, room = self.make_request()
        request.release()
        self.assertFalse(room.reserve(MB, WAIT_S, never))
        self.assertFalse(room.grow(MB, MAX_ANSWER_BYTES, WAIT_S, never))
        self.assertEqual(self.budget.used_bytes, 0)
        self.assertEqual(self.budget.requests_bytes, 0)

    def test_answers_beside_full_requests(self):
        """Guards against requests that leave no room for their answers."""
        requests = [
            request_memory.RequestMemory(self.guard) for _ in range(600)
        ]
        while any(request.try_grow(50_000) for request in requests):
            continue
        _, room = self.make_request()
        self.assertTrue(room.reserve(BUDGET_BYTES // 4, 0, never))
