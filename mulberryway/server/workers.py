"""Pool of worker threads that start on demand and exit when idle."""

import logging
import queue
import socket
import threading
import time
import typing

from mulberryway.policy import worker_queue

__all__ = ["WorkerPool"]

LOG = logging.getLogger(__name__)

# Idle time after which a worker thread exits.
IDLE_TIMEOUT_S = 2.0
# Timeout of joining the workers whose connections have no input any more.
JOIN_TIMEOUT_S = 1.0


class WorkerPool:
    """Serves connections on a limited number of threads.

    The worker that became idle last is used first, so the extra workers of a
    burst stay idle and exit.

    :param server: the HTTP server that the connections belong to
    :param max_workers: maximum number of threads
    :param max_queued: maximum number of connections that wait for a thread,
        pipelined requests counted apart
    """

    # cheroot reads this attribute: the number of threads that always exist.
    min = 0

    def __init__(
        self, server: typing.Any, max_workers: int, max_queued: int
    ) -> None:
        self._server = server
        self._max_workers = max_workers
        self._lock = threading.Lock()
        self._workers: set[_Worker] = set()
        self._idle: list[_Worker] = []
        self._queue = worker_queue.WorkerQueue(max_queued)
        self._is_stopping = False

    @property
    def qsize(self) -> int:
        """The number of connections that wait for a worker."""
        return len(self._queue)

    @property
    def idle(self) -> int:
        """The number of idle workers."""
        return len(self._idle)

    def count(self) -> int:
        """Return the number of workers."""
        return len(self._workers)

    def start(self) -> None:
        """Do nothing; threads start with the first connections."""

    def put(self, connection: typing.Any, is_pipelined: bool = False) -> None:
        """Assign a connection to a worker, or queue it.

        :param connection: a connection with a complete request
        :param is_pipelined: whether the request arrived behind another one
        :raises queue.Full: if the queue is full, the pool is stopping, or no
            thread can be started
        """
        with self._lock:
            if self._is_stopping:
                raise queue.Full
            if self._idle:
                self._idle.pop().assign(connection)
            elif not self._add_worker(connection) and not self._queue.try_add(
                connection, is_pipelined
            ):
                raise queue.Full

    def release(self, worker: "_Worker") -> None:
        """Assign the next connection to a worker that has served one.

        :param worker: the worker; it becomes idle if no connection is queued
        """
        with self._lock:
            connection = self._queue.take()
            if connection is not None:
                worker.assign(connection)
            elif self._is_stopping:
                worker.assign(None)
            else:
                self._idle.append(worker)

    def try_remove(self, worker: "_Worker") -> bool:
        """Remove an idle worker unless it was just assigned a connection.

        :param worker: the worker
        :returns: whether it was removed and may exit
        """
        with self._lock:
            if worker not in self._idle:
                return False
            self._idle.remove(worker)
            self._workers.discard(worker)
            return True

    def stop(self, timeout: float = 5) -> None:
        """Stop all workers after they have served the queued connections.

        :param timeout: maximum wait for running requests, in seconds
        """
        with self._lock:
            self._is_stopping = True
            workers = list(self._workers)
            for worker in self._idle:
                worker.assign(None)
            self._idle.clear()
        deadline_s = time.monotonic() + max(timeout, 0)
        for worker in workers:
            worker.join(max(deadline_s - time.monotonic(), 0))
        left = [worker for worker in workers if worker.is_alive()]
        for worker in left:
            worker.end_input()
        deadline_s = time.monotonic() + JOIN_TIMEOUT_S
        for worker in left:
            worker.join(max(deadline_s - time.monotonic(), 0))
        with self._lock:
            waiting = list(iter(self._queue.take, None))
        for connection in waiting:
            connection.close()

    def _add_worker(self, connection: typing.Any) -> bool:
        """Start a worker for a connection; the lock must be held.

        :returns: whether a worker was started
        """
        if len(self._workers) >= self._max_workers:
            return False
        worker = _Worker(self._server, self, connection)
        try:
            worker.start()
        except RuntimeError as failure:
            LOG.warning("starting a worker thread failed: %s", failure)
            if not self._workers:
                raise queue.Full from failure
            return False
        self._workers.add(worker)
        return True


class _Worker(threading.Thread):
    """Worker thread that serves one connection after another.

    :param server: the HTTP server
    :param pool: the worker's pool
    :param connection: the first connection
    """

    def __init__(
        self, server: typing.Any, pool: WorkerPool, connection: typing.Any
    ) -> None:
        super().__init__(name="worker", daemon=True)
        self._server = server
        self._pool = pool
        self._connection = connection
        self._assigned = threading.Event()
        self._assigned.set()

    def assign(self, connection: typing.Any) -> None:
        """Assign a connection, or make the worker exit.

        :param connection: the connection; none to exit
        """
        self._connection = connection
        self._assigned.set()

    def run(self) -> None:
        """Serve connections until the idle timeout or the pool's stop."""
        while self._wait():
            try:
                self._serve(self._connection)
            except Exception:
                LOG.exception("returning a connection to the server failed")
            # The pool assigns no other connection before ``release``, so the
            # event can be cleared here.
            self._assigned.clear()
            self._connection = None
            self._pool.release(self)

    def end_input(self) -> None:
        """End the input of the connection that is being served."""
        connection = self._connection
        if connection is None:
            return
        connection.is_input_ended = True
        try:
            connection.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            LOG.debug("connection was already closed: %r", error)

    def _wait(self) -> bool:
        """Wait for a connection and return whether one was assigned."""
        while not self._assigned.wait(IDLE_TIMEOUT_S):
            if self._pool.try_remove(self):
                return False
        return self._connection is not None

    def _serve(self, connection: typing.Any) -> None:
        is_kept = False
        try:
            is_kept = connection.communicate()
        except ConnectionError as error:
            LOG.info("caller connection failed: %r", error)
        except Exception:
            LOG.exception("unexpected error while serving a connection")
        if is_kept:
            self._server.put_conn(connection)
        else:
            connection.close()
