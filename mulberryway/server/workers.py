"""Worker threads that are made when connections wait, and end when idle."""

import collections
import logging
import queue
import socket
import threading
import time
import typing

__all__ = ["WorkerPool"]

LOG = logging.getLogger(__name__)

# How long a worker waits for its next connection before it ends.
IDLE_TIMEOUT_S = 2.0
# The longest wait for a worker whose connection was closed under it.
JOIN_TIMEOUT_S = 1.0


class WorkerPool:
    """Serves connections on at most so many threads.

    The worker that became idle last is used first, so that a burst's other
    workers end after it.

    :param server: the HTTP server whose connections these are
    :param max_workers: how many threads there are at most
    :param max_queued: connections that wait for one at most
    """

    # cheroot asks for the number of threads that a pool always keeps.
    min = 0

    def __init__(
        self, server: typing.Any, max_workers: int, max_queued: int
    ) -> None:
        self._server = server
        self._most = max_workers
        self._most_waiting = max_queued
        self._lock = threading.Lock()
        self._workers: set[_Worker] = set()
        self._idle: list[_Worker] = []
        self._waiting: collections.deque[typing.Any] = collections.deque()
        self._is_stopping = False

    @property
    def qsize(self) -> int:
        """How many connections wait for a worker."""
        return len(self._waiting)

    @property
    def idle(self) -> int:
        """How many workers wait for a connection."""
        return len(self._idle)

    def count(self) -> int:
        """Return how many workers there are."""
        return len(self._workers)

    def start(self) -> None:
        """Make no thread yet."""

    def put(self, connection: typing.Any) -> None:
        """Hand a connection to a worker.

        :param connection: it has something to read
        :raises queue.Full: if no worker can take it within its turn
        """
        with self._lock:
            if self._is_stopping:
                raise queue.Full
            if self._idle:
                self._idle.pop().hand(connection)
            elif not self._add_worker(connection):
                if len(self._waiting) >= self._most_waiting:
                    raise queue.Full
                self._waiting.append(connection)

    def release(self, worker: "_Worker") -> None:
        """Give a worker that has served one connection the next.

        :param worker: it is idle from now on if none waits
        """
        with self._lock:
            if self._waiting:
                worker.hand(self._waiting.popleft())
            elif self._is_stopping:
                worker.hand(None)
            else:
                self._idle.append(worker)

    def leave(self, worker: "_Worker") -> bool:
        """Let a worker end unless it was just handed a connection.

        :param worker: it has been idle for long
        :returns: whether it has left
        """
        with self._lock:
            if worker not in self._idle:
                return False
            self._idle.remove(worker)
            self._workers.discard(worker)
            return True

    def stop(self, timeout: float = 5) -> None:
        """End all workers; connections that wait are closed.

        :param timeout: the longest wait for what runs, in seconds
        """
        with self._lock:
            self._is_stopping = True
            workers = list(self._workers)
            waiting, self._waiting = self._waiting, collections.deque()
            for worker in self._idle:
                worker.hand(None)
            self._idle.clear()
        for connection in waiting:
            connection.close()
        end_s = time.monotonic() + max(timeout, 0)
        for worker in workers:
            worker.end(end_s)

    def _add_worker(self, connection: typing.Any) -> bool:
        """Make a thread for a connection, with the lock held.

        :returns: whether it has one
        """
        if len(self._workers) >= self._most:
            return False
        worker = _Worker(self._server, self, connection)
        try:
            worker.start()
        except RuntimeError as failure:
            LOG.warning("no thread for a caller's connection: %s", failure)
            if not self._workers:
                raise queue.Full from failure
            return False
        self._workers.add(worker)
        return True


class _Worker(threading.Thread):
    """Serves one connection after another.

    :param server: the HTTP server
    :param pool: the pool that it belongs to
    :param connection: the first one
    """

    def __init__(
        self, server: typing.Any, pool: WorkerPool, connection: typing.Any
    ) -> None:
        super().__init__(name="worker", daemon=True)
        self._server = server
        self._pool = pool
        self._connection = connection
        self._handed = threading.Event()
        self._handed.set()

    def hand(self, connection: typing.Any) -> None:
        """Let it serve a connection, or end.

        :param connection: the connection; none to end
        """
        self._connection = connection
        self._handed.set()

    def run(self) -> None:
        """Serve until there is nothing to do for long."""
        while self._wait():
            try:
                self._serve(self._connection)
            except Exception:
                LOG.exception("a connection could not be given back")
            # Nobody hands it another connection before its release.
            self._handed.clear()
            self._connection = None
            self._pool.release(self)

    def end(self, end_s: float) -> None:
        """Wait for the end, and bring it about if it does not come.

        :param end_s: the steady time at which its connection is closed
        """
        self.join(max(end_s - time.monotonic(), 0))
        connection = self._connection
        if self.is_alive() and connection is not None:
            try:
                connection.socket.shutdown(socket.SHUT_RD)
            except OSError as error:
                LOG.debug("a connection was closed already: %r", error)
            self.join(JOIN_TIMEOUT_S)

    def _wait(self) -> bool:
        """Wait for a connection; tell whether there is one."""
        while not self._handed.wait(IDLE_TIMEOUT_S):
            if self._pool.leave(self):
                return False
        return self._connection is not None

    def _serve(self, connection: typing.Any) -> None:
        is_kept = False
        try:
            is_kept = connection.communicate()
        except ConnectionError as error:
            LOG.info("a caller's connection failed: %r", error)
        except Exception:
            LOG.exception("a request ended the work on its connection")
        if is_kept:
            self._server.put_conn(connection)
        else:
            connection.close()
