"""Tests of calls that are cancelled while their response arrives."""

import socket
import threading
import unittest

from mulberryway.upstreams import connections
from tests import copying_server
from tests import hosted_fleet
from tests import order_fixture
from tests import test_copied_answers
from tests import test_replacement_order

HOST = "127.0.0.1"
SERVICES = test_replacement_order.SERVICES
WAIT_S = order_fixture.WAIT_S
HALF = b"the first half"


class HalfAnswer:
    """An answer without a length that stops in the middle of its body."""

    def __init__(self):
        self.is_sent = threading.Event()
        self.may_end = threading.Event()

    def send(self, handler, body):
        handler.send_response(200)
        for name, value in handler.server.engine.list_headers(handler):
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(HALF)
        handler.close_connection = True
        self.is_sent.set()
        self.may_end.wait(WAIT_S)


class CancelledCallTest(unittest.TestCase):
    def test_answer_without_a_length(self):
        """Guards against half an answer that counts as whole for any client
        whose call is cancelled.
        """
        is_sent = threading.Event()
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                copying_server.read_request(connection)
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n" + HALF
                )
                is_sent.set()
                connection.recv(1)

        threading.Thread(target=serve, daemon=True).start()
        client = test_copied_answers.make_client(
            f"{HOST}:{listener.getsockname()[1]}"
        )
        self.addCleanup(client.close)
        canceller = connections.CallCanceller()

        def cancel():
            is_sent.wait(WAIT_S)
            canceller.cancel()

        threading.Thread(target=cancel, daemon=True).start()
        result = test_copied_answers.call(
            client, "/", "a", canceller=canceller
        )
        self.assertEqual(result.error.inputs["failure"], "cancelled")


class OvertakenAnswerTest(test_replacement_order.SearchTest):
    """Two servers are called, and the first one's answer is overtaken."""

    route_ms = 2_000

    def test_overtaken_answer_without_a_length(self):
        """Guards against half an answer that counts as whole because its call
        was cancelled for another server's answer.
        """
        gates = {
            name: self.engines[name].place_gate("call") for name in SERVICES
        }
        half = HalfAnswer()
        self.addCleanup(half.may_end.set)
        future = self.send("/plain/a", headers={})
        self.await_true(
            lambda: any(gate.reached.is_set() for gate in gates.values())
        )
        name = next(n for n in SERVICES if gates[n].reached.is_set())
        (other,) = set(SERVICES) - {name}
        self.engines[name]._call = half.send
        self.await_gate(gates[other])
        gates[name].open()
        self.assertTrue(half.is_sent.wait(WAIT_S))
        gates[other].open()
        reply = future.result(WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
        self.assertEqual(reply.body, other.encode(), self.trace())
        self.assertEqual(reply.headers["Server-Seal"], f"seal-{other}")


class BothAnswerTest(test_replacement_order.SearchTest):
    """Two servers are called, and both answer."""

    route_ms = 2_000

    def test_late_answer_of_the_first_server(self):
        """Guards against two answers to a request, the second of which its
        caller reads as the answer to its next request.
        """
        gates = {
            name: self.engines[name].place_gate("call") for name in SERVICES
        }
        kept = hosted_fleet.connect(self.router.port)
        self.addCleanup(kept.close)
        future = self.send("/plain/a", headers={}, kept=kept)
        self.await_true(
            lambda: any(gate.reached.is_set() for gate in gates.values())
        )
        name = next(n for n in SERVICES if gates[n].reached.is_set())
        (other,) = set(SERVICES) - {name}
        self.await_gate(gates[other])
        gates[other].open()
        self.assertEqual(future.result(WAIT_S).body, other.encode())
        gates[name].open()
        reply = self.send("/plain/b", headers={}, kept=kept).result(WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
        kept.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(kept.sock.recv(65_536), b"")


class LeavingCallerTest(test_replacement_order.SearchTest):
    def test_caller_that_ends_its_side_only(self):
        """Guards against half an answer that looks whole to a caller that has
        ended its side of the connection, which cancels its call.
        """
        half = HalfAnswer()
        self.addCleanup(half.may_end.set)
        for name in SERVICES:
            self.engines[name]._call = half.send
        request = (
            f"GET /plain/a HTTP/1.1\r\nHost: {hosted_fleet.SITE}\r\n"
            "Attempt-Id: a\r\nDeadline-Ms: 3000\r\n"
            f"Authorization: Token {order_fixture.TENANT_KEY}\r\n\r\n"
        )
        with socket.create_connection(
            (HOST, self.router.port), WAIT_S
        ) as caller:
            caller.sendall(request.encode())
            self.assertTrue(half.is_sent.wait(WAIT_S))
            caller.shutdown(socket.SHUT_WR)
            received = b"".join(iter(lambda: caller.recv(65_536), b""))
        self.assertNotIn(b"200 OK", received)
        self.assertNotIn(HALF, received)
