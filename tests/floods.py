"""Crowds of callers that misbehave, and what a process holds for them."""

import os
import pathlib
import socket
import threading
import time

from tests import hosted_fleet
from tests import processes

MIB = 1 << 20
SAMPLE_S = 0.01
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# No caller of a crowd waits longer; no check depends on it.
CALLER_TIMEOUT_S = 60
DEADLINE_MS = 60_000
TCP_TABLE = pathlib.Path("/proc/net/tcp")
READ_BYTES = 65_536


class Usage:
    """Records the most that a process holds, as a context manager.

    Memory is what is resident plus what has been received for the process and
    not been read, which its VM counts too.

    :param pid: the process
    :param ports: the ports that it listens on or connects to
    """

    def __init__(self, pid, ports):
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._ports = frozenset(f"{port:04X}" for port in ports)
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self.memory_bytes = 0
        self.descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._end.set()
        self._thread.join()

    def _sample(self):
        while not self._end.wait(SAMPLE_S):
            try:
                self._measure()
            except FileNotFoundError:
                # The process has ended, which each test checks.
                return

    def _measure(self):
        resident = int((self._folder / "statm").read_text().split()[1])
        self.memory_bytes = max(
            self.memory_bytes, resident * PAGE_BYTES + self._count_unread()
        )
        self.descriptors = max(
            self.descriptors, len(os.listdir(self._folder / "fd"))
        )

    def _count_unread(self):
        """Return the unread bytes of connections that were accepted."""
        rows = (line.split() for line in TCP_TABLE.open(encoding="ascii"))
        next(rows)
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            # Of a listening socket the column is its backlog.
            if row[1].partition(":")[2] in self._ports and row[3] != "0A"
        )


class Crowd:
    """Callers that each send some bytes at once and stay, a context manager.

    :param port: the port that they connect to
    :param requests: what each caller sends, as byte strings in order
    """

    def __init__(self, port, requests):
        self._port = port
        self._threads = [
            threading.Thread(target=self._run, args=(request,), daemon=True)
            for request in requests
        ]
        self._connections = []
        self._left = threading.Semaphore(0)
        # The complete answers, in any order.
        self.answers = []
        self.is_reading = threading.Event()
        self.is_reading.set()

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        for connection in list(self._connections):
            connection.close()

    def wait_sent(self):
        """Wait until each has sent everything, or was refused."""
        for _ in self._threads:
            self._left.acquire()

    def wait_answered(self):
        """Wait until each has its answer, or its connection has ended."""
        for thread in self._threads:
            thread.join(CALLER_TIMEOUT_S)

    def count_statuses(self):
        """Return the number of answers by status."""
        statuses = [int(answer.split(b" ", 2)[1]) for answer in self.answers]
        return {status: statuses.count(status) for status in set(statuses)}

    def _run(self, request):
        try:
            connection = socket.create_connection(
                (processes.HOST, self._port), CALLER_TIMEOUT_S
            )
            self._connections.append(connection)
            for piece in request:
                connection.sendall(piece)
        except OSError:
            # Refused: the answer may be there all the same.
            pass
        finally:
            self._left.release()
        self.is_reading.wait()
        answer = self._read(connection)
        if answer:
            self.answers.append(answer)

    @staticmethod
    def _read(connection):
        answer = b""
        try:
            while piece := connection.recv(READ_BYTES):
                answer += piece
        except OSError:
            return answer
        return answer


def make_head(path, attempt, *lines, key="k-large"):
    """Return the head of a request whose caller closes after the answer."""
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {hosted_fleet.SITE}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {DEADLINE_MS}",
        f"Authorization: Token {key}",
        "Connection: close",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


def make_sized(path, attempt, size, sent=None, **options):
    """Return a request with a length, of whose body a part is sent."""
    head = make_head(path, attempt, f"Content-Length: {size}", **options)
    return [head, b"x" * (size if sent is None else sent)]


def make_chunked(path, attempt, size, piece, is_whole=True, **options):
    """Return a request in equal pieces; the last one may be missing."""
    head = make_head(path, attempt, "Transfer-Encoding: chunked", **options)
    chunk = b"%x\r\n%b\r\n" % (piece, b"x" * piece)
    count = size // piece
    if not is_whole:
        return [head, chunk * (count - 1)]
    return [head, chunk * count, b"0\r\n\r\n"]


def wait_for(condition, timeout_s=CALLER_TIMEOUT_S):
    """Poll a condition until it holds; return whether it does."""
    return processes.wait_until(condition, timeout_s, 0.05)


def settle(duration_s=1.0):
    """Let processes read what has been sent; no check depends on it."""
    time.sleep(duration_s)
