"""Tests of servers that send a part of an answer again before the next one."""

import concurrent.futures
import itertools
import socket
import threading
import unittest

from mulberryway import errors
from tests import copying_server
from tests import test_copied_answers

HOST = copying_server.HOST
FIRST, NEXT = "first", "next"
REASONS = {200: b"OK", 503: b"Service Unavailable"}
STATUSES = ((200, 200), (503, 200), (200, 503))


def make_answer(attempt, status, turn):
    """Return an answer whose body and signature are those of its request.

    :param attempt: the request's id
    :param status: the HTTP status
    :param turn: number of headers that the others are moved in front of
    """
    body = b"body of " + attempt.encode()
    headers = [
        b"Attempt-Id: " + attempt.encode(),
        b"Server-Seal: seal-" + attempt.encode(),
        b"Content-Length: %d" % len(body),
        b"Instance-Id: s0",
    ]
    if status == 503:
        headers.append(b"Not-Executed: 1")
    headers = headers[turn:] + headers[:turn]
    status_line = b"HTTP/1.1 %d %s" % (status, REASONS[status])
    return b"\r\n".join([status_line, *headers, b"", body])


class TornCopyServer:
    """Sends a part of each connection's first answer before the second one.

    :param statuses: statuses of the two answers
    :param turn: order of their headers
    """

    def __init__(self, statuses, turn):
        self.first, self.next = (
            make_answer(attempt, status, turn)
            for attempt, status in zip((FIRST, NEXT), statuses, strict=True)
        )
        self.size = 0
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with connection:
                copying_server.read_request(connection)
                connection.sendall(self.first)
                if copying_server.read_request(connection) is not None:
                    copy = self.first[: self.size]
                    connection.sendall(copy + self.next)


class TornCopyTest(unittest.TestCase):
    def test_every_part(self):
        """Guards against an answer that is put together from a part of
        another request's answer and its own: the first one's status or
        signature beside the own id and body.
        """
        cases = list(itertools.product(STATUSES, range(4)))
        with concurrent.futures.ThreadPoolExecutor(len(cases)) as pool:
            found = pool.map(lambda case: list(self.list_mixed(*case)), cases)
            mixed = list(itertools.chain.from_iterable(found))
        self.assertEqual(
            len(mixed), 0, "\n".join(map(str, [*mixed[:3], *mixed[-3:]]))
        )

    def list_mixed(self, statuses, turn):
        """Yield parts that were sent and answers that were made of them."""
        server = TornCopyServer(statuses, turn)
        self.addCleanup(server.listener.close)
        body = f"body of {NEXT}".encode()
        own = (statuses[1], [f"seal-{NEXT}"], body)
        for size in range(len(server.first)):
            server.size = size
            result = self.play(server)
            if result.is_error():
                run = result.error.run
                self.assertIs(run, errors.ExecutionStatus.MAY_HAVE_RUN)
                continue
            seals = [
                value
                for name, value in result.ok.headers
                if name.lower() == "server-seal"
            ]
            got = (result.ok.status, seals, result.ok.body)
            if got != own:
                yield server.first[:size], got

    def play(self, server):
        """Return the result of the second call on a connection."""
        client = test_copied_answers.make_client(server.address)
        try:
            first = test_copied_answers.call(client, "/", FIRST)
            self.assertTrue(first.is_ok(), first)
            return test_copied_answers.call(client, "/", NEXT)
        finally:
            client.close()
