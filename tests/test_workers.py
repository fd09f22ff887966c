"""Worker threads of the callers' server: made on demand, ended when idle."""

import queue
import threading
import unittest
from unittest import mock

from mulberryway.server import workers
from tests import hosted_fleet
from tests import processes

# Of the threads that a machine has, two fleets of 195 VMs get half.
MAX_IDLE_THREADS = 30
GUARD_S = 10


class FakeConnection:
    """A connection whose request lasts until a test ends it."""

    def __init__(self, ends=True):
        self.is_head_written = threading.Event()
        self.may_end = threading.Event()
        if ends:
            self.may_end.set()
        self.closed = threading.Event()
        self.error = None
        self.socket = mock.Mock()

    def communicate(self):
        self.is_head_written.set()
        self.may_end.wait(GUARD_S)
        if self.error is not None:
            raise self.error
        return False

    def close(self):
        self.closed.set()


class WorkerPoolTest(unittest.TestCase):
    def make(self, most=2, most_waiting=1):
        pool = workers.WorkerPool(mock.Mock(), most, most_waiting)
        self.addCleanup(pool.stop, 0)
        return pool

    def put(self, pool, ends=True):
        connection = FakeConnection(ends)
        self.addCleanup(connection.may_end.set)
        pool.put(connection)
        return connection

    def test_no_thread_without_a_connection(self):
        pool = self.make()
        pool.start()
        self.assertEqual(pool.count(), 0)

    def test_an_idle_worker_serves_again(self):
        pool = self.make(most=9)
        for _ in range(20):
            self.assertTrue(self.put(pool).closed.wait(GUARD_S))
            processes.wait_until(lambda: pool.idle == 1, GUARD_S)
        self.assertEqual(pool.count(), 1)

    def test_no_more_than_the_bound_and_the_queue(self):
        """Guards against callers that wait where they should be refused."""
        pool = self.make(most=2, most_waiting=1)
        first = [self.put(pool, ends=False) for _ in range(3)]
        with self.assertRaises(queue.Full):
            self.put(pool)
        self.assertEqual(pool.count(), 2)
        self.assertFalse(first[2].is_head_written.is_set())
        first[0].may_end.set()
        self.assertTrue(first[2].is_head_written.wait(GUARD_S))

    def test_idle_workers_end(self):
        """Guards against a burst's threads that are kept for ever."""
        with mock.patch.object(workers, "IDLE_TIMEOUT_S", 0.05):
            pool = self.make(most=5)
            burst = [self.put(pool, ends=False) for _ in range(5)]
            self.assertEqual(pool.count(), 5)
            for one in burst:
                one.may_end.set()
            self.assertTrue(
                processes.wait_until(lambda: pool.count() == 0, GUARD_S)
            )
            self.assertTrue(self.put(pool).closed.wait(GUARD_S))

    def test_many_bursts_lose_no_connection(self):
        """Guards against a connection handed to a worker that is ending."""
        with mock.patch.object(workers, "IDLE_TIMEOUT_S", 0.001):
            pool = self.make(most=4, most_waiting=10_000)
            served = [self.put(pool) for _ in range(2_000)]
            for one in served:
                self.assertTrue(one.closed.wait(GUARD_S))

    def test_a_failure_ends_no_worker(self):
        """Guards against a pool that shrinks with each broken request."""
        pool = self.make(most=1)
        for error in (ConnectionResetError(), ValueError()):
            connection = FakeConnection(ends=False)
            connection.error = error
            pool.put(connection)
            connection.may_end.set()
            self.assertTrue(connection.closed.wait(GUARD_S))
        self.assertTrue(self.put(pool).closed.wait(GUARD_S))

    def test_refused_where_no_thread_can_be_made(self):
        """Guards against callers that wait for a thread that never comes."""
        pool = self.make()
        with (
            mock.patch.object(
                threading.Thread, "start", side_effect=RuntimeError
            ),
            self.assertRaises(queue.Full),
        ):
            self.put(pool)
        self.assertEqual(pool.count(), 0)

    def test_waits_where_only_no_further_thread_can_be_made(self):
        """Guards against refusals while a worker is about to be free."""
        pool = self.make()
        first = self.put(pool, ends=False)
        with mock.patch.object(
            threading.Thread, "start", side_effect=RuntimeError
        ):
            second = self.put(pool)
        first.may_end.set()
        self.assertTrue(second.closed.wait(GUARD_S))

    def test_stop_closes_what_waits(self):
        pool = self.make(most=1)
        running = self.put(pool, ends=False)
        waiting = self.put(pool)
        running.may_end.set()
        pool.stop(GUARD_S)
        self.assertTrue(running.closed.is_set())
        self.assertTrue(waiting.closed.is_set())
        with self.assertRaises(queue.Full):
            self.put(pool)


class RestTest(unittest.TestCase):
    def test_threads_of_a_vm_at_rest(self):
        """Guards against fleets that take all threads of their machine."""
        with hosted_fleet.Fleet() as fleet:
            for number in range(8):
                fleet.send(number % 2, "/plain/x", f"w-{number}")
            for vm in fleet.vms:
                self.assertTrue(
                    processes.wait_until(
                        lambda pid=vm.popen.pid: (
                            processes.count_threads(pid) <= MAX_IDLE_THREADS
                        ),
                        GUARD_S,
                    )
                )
