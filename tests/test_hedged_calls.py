"""Tests of calls that stay open while a second server is asked."""

import concurrent.futures
import unittest

from mulberryway.filters import hedging
from mulberryway.upstreams import connections
from tests import order_fixture
from tests import router_fixture
from tests import test_replacement_order

SERVICES = test_replacement_order.SERVICES
WAIT_S = order_fixture.WAIT_S


class SilentServerTest(test_replacement_order.SearchTest):
    """One of two plain servers is silent for more than half of the time."""

    route_ms = 2_000

    def begin_call(self, path="/plain/a"):
        """Send a call; return the server that it waits at, and its gates."""
        gates = {
            name: self.engines[name].place_gate("call") for name in SERVICES
        }
        future = self.send(path, headers={})
        self.await_true(
            lambda: any(gate.reached.is_set() for gate in gates.values())
        )
        name = next(n for n in SERVICES if gates[n].reached.is_set())
        (other,) = set(SERVICES) - {name}
        return future, name, other, gates

    def check_answer(self, future, name):
        reply = future.result(WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
        self.assertEqual(reply.body, name.encode())

    def test_second_server_answers(self):
        """Guards against waiting for a silent server until the deadline."""
        future, _, other, gates = self.begin_call()
        gates[other].open()
        self.check_answer(future, other)
        self.assertEqual(self.budget.withdrawn, 1)

    def test_first_server_answers_after_all(self):
        """Guards against losing the late answer of a silent server."""
        future, name, other, gates = self.begin_call()
        self.await_true(lambda: self.engines[other].calls)
        gates[name].open()
        self.check_answer(future, name)

    def test_spent_budget(self):
        """Guards against leaving a server that no other may follow."""
        self.budget.left = 0
        future, name, other, gates = self.begin_call()
        concurrent.futures.wait([future], 0.7 * self.route_ms / 1_000)
        gates[name].open()
        self.check_answer(future, name)
        self.assertEqual(self.engines[other].calls, [])

    def test_call_that_may_run_once(self):
        """Guards against two runs of a call that may run once."""
        future, name, other, gates = self.begin_call("/book/a")
        concurrent.futures.wait([future], 0.7 * self.route_ms / 1_000)
        gates[name].open()
        self.check_answer(future, name)
        self.assertEqual(self.engines[other].calls, [])

    def test_both_servers_silent(self):
        """Guards against a call that outlasts its deadline."""
        started_ms = self.clock.now_ms()
        future, *_ = self.begin_call()
        reply = future.result(WAIT_S)
        self.assertEqual(reply.status, 504, self.trace())
        took_ms = self.clock.now_ms() - started_ms
        self.assertLess(took_ms, self.route_ms + 500)


class OpenCallsTest(unittest.TestCase):
    def test_caller_has_gone_before_the_second_call(self):
        """Guards against a second call for a caller that has gone."""
        open_calls = hedging.OpenCalls()
        open_calls.cancel()
        canceller = connections.CallCanceller()
        open_calls.add(canceller)
        self.assertTrue(canceller.is_cancelled)

    def test_second_call_crashes(self):
        """Guards against waiting for ever for a call that raised."""

        def call():
            raise ValueError("unexpected")

        upstream = router_fixture.make_upstream("service", 9, "s1")
        hedge = hedging.Hedge(
            upstream, connections.CallCanceller(), call, lambda: None
        )
        with self.assertLogs(hedging.LOG, "ERROR"):
            hedge.start()
            self.assertIsNone(hedge.wait())
