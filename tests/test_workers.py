"""Tests of worker threads, which start on demand and exit when idle."""

import queue
import threading
import unittest
from unittest import mock

from mulberryway.server import workers
from tests import hosted_fleet
from tests import processes

# Thread limit of an idle VM.  Two fleets of 195 VMs may use at most half of
# the threads that a machine allows.
MAX_IDLE_THREADS = 30
TEST_TIMEOUT_S = 10


class FakeConnection:
    """A connection whose request lasts until the test ends it."""

    def __init__(self, is_finished=True):
        self.started = threading.Event()
        self.may_finish = threading.Event()
        if is_finished:
            self.may_finish.set()
        self.closed = threading.Event()
        self.error = None
        self.socket = mock.Mock()

    def communicate(self):
        self.started.set()
        self.may_finish.wait(TEST_TIMEOUT_S)
        if self.error is not None:
            raise self.error
        return False

    def close(self):
        self.closed.set()


class WorkerPoolTest(unittest.TestCase):
    def make(self, max_workers=2, max_queued=1):
        pool = workers.WorkerPool(mock.Mock(), max_workers, max_queued)
        self.addCleanup(pool.stop, 0)
        return pool

    def put(self, pool, is_finished=True):
        connection = FakeConnection(is_finished)
        self.addCleanup(connection.may_finish.set)
        pool.put(connection)
        return connection

    def test_no_thread_without_a_connection(self):
        pool = self.make()
        pool.start()
        self.assertEqual(pool.count(), 0)

    def test_idle_worker_is_reused(self):
        pool = self.make(max_workers=9)
        for _ in range(20):
            self.assertTrue(self.put(pool).closed.wait(TEST_TIMEOUT_S))
            processes.wait_until(lambda: pool.idle == 1, TEST_TIMEOUT_S)
        self.assertEqual(pool.count(), 1)

    def test_limits_of_threads_and_queue(self):
        """Guards against queueing callers that should be rejected."""
        pool = self.make(max_workers=2, max_queued=1)
        first = [self.put(pool, is_finished=False) for _ in range(3)]
        with self.assertRaises(queue.Full):
            self.put(pool)
        self.assertEqual(pool.count(), 2)
        self.assertFalse(first[2].started.is_set())
        first[0].may_finish.set()
        self.assertTrue(first[2].started.wait(TEST_TIMEOUT_S))

    def test_idle_workers_exit(self):
        """Guards against threads that never exit after a burst."""
        with mock.patch.object(workers, "IDLE_TIMEOUT_S", 0.05):
            pool = self.make(max_workers=5)
            burst = [self.put(pool, is_finished=False) for _ in range(5)]
            self.assertEqual(pool.count(), 5)
            for connection in burst:
                connection.may_finish.set()
            self.assertTrue(
                processes.wait_until(lambda: pool.count() == 0, TEST_TIMEOUT_S)
            )
            self.assertTrue(self.put(pool).closed.wait(TEST_TIMEOUT_S))

    def test_many_bursts_lose_no_connection(self):
        """Guards against assigning a connection to a worker that exits."""
        with mock.patch.object(workers, "IDLE_TIMEOUT_S", 0.001):
            pool = self.make(max_workers=4, max_queued=10_000)
            served = [self.put(pool) for _ in range(2_000)]
            for connection in served:
                self.assertTrue(connection.closed.wait(TEST_TIMEOUT_S))

    def test_error_does_not_stop_a_worker(self):
        """Guards against a pool that loses a worker with each error."""
        pool = self.make(max_workers=1)
        for error in (ConnectionResetError(), ValueError()):
            connection = FakeConnection(is_finished=False)
            connection.error = error
            pool.put(connection)
            connection.may_finish.set()
            self.assertTrue(connection.closed.wait(TEST_TIMEOUT_S))
        self.assertTrue(self.put(pool).closed.wait(TEST_TIMEOUT_S))

    def test_rejects_if_no_thread_can_be_started(self):
        """Guards against queueing callers if no thread can be started."""
        pool = self.make()
        with (
            mock.patch.object(
                threading.Thread, "start", side_effect=RuntimeError
            ),
            self.assertRaises(queue.Full),
        ):
            self.put(pool)
        self.assertEqual(pool.count(), 0)

    def test_queues_if_no_further_thread_can_be_started(self):
        """Guards against rejecting callers that a busy worker can serve
        later.
        """
        pool = self.make()
        first = self.put(pool, is_finished=False)
        with mock.patch.object(
            threading.Thread, "start", side_effect=RuntimeError
        ):
            second = self.put(pool)
        first.may_finish.set()
        self.assertTrue(second.closed.wait(TEST_TIMEOUT_S))

    def test_stop_closes_queued_connections(self):
        pool = self.make(max_workers=1)
        running = self.put(pool, is_finished=False)
        waiting = self.put(pool)
        running.may_finish.set()
        pool.stop(TEST_TIMEOUT_S)
        self.assertTrue(running.closed.is_set())
        self.assertTrue(waiting.closed.is_set())
        with self.assertRaises(queue.Full):
            self.put(pool)


class IdleVmTest(unittest.TestCase):
    def test_threads_of_an_idle_vm(self):
        """Guards against fleets that exhaust the machine's thread limit."""
        with hosted_fleet.Fleet() as fleet:
            for number in range(8):
                fleet.send(number % 2, "/plain/x", f"w-{number}")
            for vm in fleet.vms:
                self.assertTrue(
                    processes.wait_until(
                        lambda pid=vm.popen.pid: (
                            processes.count_threads(pid) <= MAX_IDLE_THREADS
                        ),
                        TEST_TIMEOUT_S,
                    )
                )
