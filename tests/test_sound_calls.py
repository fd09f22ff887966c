"""Tests that a sound call is kept until what replaces it is certain."""

import concurrent.futures
import socket
import threading
import unittest

import expression
import urllib3.exceptions

from mulberryway import clock
from mulberryway import errors
from mulberryway import traces
from mulberryway.filters import base
from mulberryway.filters import service_forward
from mulberryway.objects import call_metrics
from mulberryway.platform import store
from mulberryway.policy import server_selection
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import connections
from tests import gated_engine
from tests import order_fixture
from tests import router_fixture

GONE = order_fixture.GONE
HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10
TIMEOUT_MS = 8_000
MS_IN_S = 1_000


def _wait_after(client, gate):
    """Return the client's lookup of its pool, followed by a gate."""
    get_pool = client._get_pool

    def get_and_wait():
        connections = get_pool()
        gate.wait()
        return connections

    return get_and_wait


class PoolChangeTest(unittest.TestCase):
    """A connection pool that is replaced while another thread uses it."""

    def setUp(self):
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.listener.settimeout(TEST_TIMEOUT_S)
        self.client = connections.UpstreamClient(
            f"{HOST}:{self.listener.getsockname()[1]}", clock.SystemClock()
        )
        self.addCleanup(self.client.close)

    def serve(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        connection.close()

    def call_during(self, change):
        """Make a call whose pool another thread changes before its use."""
        get_pool = self.client._get_pool

        def get_and_change():
            pool = get_pool()
            change()
            return pool

        self.client._get_pool = get_and_change
        thread = threading.Thread(target=self.serve)
        thread.start()
        result = self.client.call(
            "POST", "/", {}, b"", 1_000, errors.Step.SERVICE
        )
        if result.is_error():
            # Ends the wait of the server, which no call has reached.
            socket.create_connection(self.listener.getsockname()).close()
        thread.join()
        return result

    def test_call_survives_a_pool_reset(self):
        """Guards against failing a call because another call timed out."""
        result = self.call_during(self.client.reset_pool)
        self.assertTrue(result.is_ok(), result)

    def test_unsent_call_to_a_closed_client_has_not_run(self):
        """Guards against reporting that a call may have run although it was
        never sent, when its server leaves the tables.
        """
        result = self.call_during(self.client.close)
        if result.is_error():
            self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)

    def test_call_of_a_closed_client_is_no_crash(self):
        """Guards against a crash that is assumed for a call which was not
        sent because its server left the tables and has ended.
        """
        self.listener.close()
        self.client.close()
        fault = self.client.call(
            "POST", "/", {}, b"", 1_000, errors.Step.SERVICE
        ).error
        self.assertIs(fault.code, errors.Code.UPSTREAM_UNREACHABLE)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)
        self.assertFalse(fault.has_died)


class StorePoolTest(unittest.TestCase):
    """The object store's pool, which another call replaces."""

    def setUp(self):
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.listener.settimeout(TEST_TIMEOUT_S)
        self.received = []
        self.store = store.PlatformStore(
            f"http://{HOST}:{self.listener.getsockname()[1]}",
            1_000,
            clock.SystemClock(),
            call_metrics.InMemoryCallCounter(),
        )

    def serve(self):
        """Close the first connection without a reply; answer the second."""
        for reply in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"):
            connection, _ = self.listener.accept()
            self.received.append(connection.recv(65_536).split()[:2])
            connection.sendall(reply)
            connection.close()

    def test_call_survives_another_call_that_fails(self):
        """Guards against a write reported as perhaps executed that was not
        sent because another call's failure had replaced the pool.
        """
        thread = threading.Thread(target=self.serve)
        thread.start()
        pool = self.store._pool
        request = pool.request
        others = []

        def fail_another_call_first(*arguments, **options):
            if not others:
                others.append(None)
                others.append(self.store.delete("k", "other", 1, "test"))
            return request(*arguments, **options)

        pool.request = fail_another_call_first
        result = self.store.delete("k", "one", 1, "test")
        if result.is_error():
            # Ends the wait of the server, which no call has reached.
            socket.create_connection(self.listener.getsockname()).close()
        thread.join()
        self.assertTrue(others[1].is_error())
        self.assertTrue(result.is_ok(), result)
        self.assertEqual(len(self.received), 2)

    def test_calls_that_fail_together_replace_the_pool_once(self):
        """Guards against closing the sound pool that has replaced the one on
        which a call has failed.
        """
        pool = self.store._pool
        replacements = []

        def fail_after_another_call(*_, **__):
            if not replacements:
                replacements.append(None)
                self.assertTrue(self.store.read("k", "other", "t").is_error())
                replacements.append(self.store._pool)
            raise urllib3.exceptions.ProtocolError("lost")

        pool.request = fail_after_another_call
        self.assertTrue(self.store.read("k", "one", "test").is_error())
        self.assertIsNot(replacements[1], pool)
        self.assertIs(self.store._pool, replacements[1])
        self.assertIsNotNone(replacements[1].pool)


class RemovedServerTest(order_fixture.OrderTest):
    """Calls to plain services whose server or pool changes before they are
    sent.
    """

    route_ms = 2_000

    def begin_unsent_call(self):
        """Send a call; return the name of its server once its client is
        found, and the gate at which the call waits.
        """
        found = []
        gate = gated_engine.Gate()
        find = self.router.directory.find_service

        def find_and_wait(pool, upstream):
            service = find(pool, upstream)
            found.append(upstream.name)
            if len(found) == 1:
                gate.wait()
            return service

        self.patch(self.router.directory, "find_service", find_and_wait)
        future = self.send("/plain/a", headers={})
        self.await_gate(gate)
        return future, found[0], gate

    def test_client_closed_before_the_call(self):
        """Guards against a failed call to a server that was removed between
        its choice and the sending, although nothing was sent.
        """
        future, name, gate = self.begin_unsent_call()
        self.budget.left = 0
        self.change(**{name: GONE})
        gate.open()
        reply = future.result(order_fixture.WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())

    def test_unsent_call_is_no_crash(self):
        """Guards against a crash that is recorded for a call which was not
        sent because its server was removed and has ended.
        """
        crashes = []
        self.patch(
            self.router.scheduling,
            "record_crash",
            lambda *arguments: crashes.append(arguments),
        )
        future, name, gate = self.begin_unsent_call()
        self.change(**{name: GONE})
        self.engines[name].stop_listening()
        gate.open()
        reply = future.result(order_fixture.WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
        self.assertEqual(crashes, [], self.trace())

    def test_pool_reset_before_the_call(self):
        """Guards against a failed call whose connection pool another call's
        timeout has replaced, although nothing was sent.
        """
        gate = gated_engine.Gate()
        pool = self.source.get_tables().pools["app"]
        clients = [
            self.router.directory.find_service(pool, row)._client
            for row in pool.upstreams
        ]
        for client in clients:
            self.patch(client, "_get_pool", _wait_after(client, gate))
        self.budget.left = 0
        future = self.send("/plain/a", headers={})
        self.await_gate(gate)
        for client in clients:
            client.reset_pool()
        gate.open()
        reply = future.result(order_fixture.WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())


class LateService:
    """Servers of which the first one answers late.

    Like the real client it keeps a call open at its timeout if that may be
    extended.

    :param may_retry: whether a second call is expected meanwhile
    """

    def __init__(self, clock_, late_ms, may_retry):
        self.clock = clock_
        self.late_ms = late_ms
        self.may_retry = may_retry
        self.second = threading.Event()
        self.calls = 0

    def find_service(self, pool, upstream):
        return self

    def call(
        self, request_id, method, target, headers, body, timeout_ms, *options
    ):
        self.calls += 1
        if self.calls > 1:
            self.second.set()
            code, run = (
                errors.Code.UPSTREAM_REFUSED,
                errors.ExecutionStatus.NOT_RUN,
            )
        elif timeout_ms >= self.late_ms:
            self.clock.advance_ms(self.late_ms)
            return expression.Ok(upstreams.ServiceReply(200, [], b"{}"))
        else:
            self.clock.advance_ms(timeout_ms)
            _, canceller = options
            extended_ms = timeout_ms + canceller.extend() * MS_IN_S
            if self.may_retry:
                self.second.wait(TEST_TIMEOUT_S)
            if extended_ms >= self.late_ms:
                self.clock.advance_ms(self.late_ms - timeout_ms)
                return expression.Ok(upstreams.ServiceReply(200, [], b"{}"))
            code, run = (
                errors.Code.UPSTREAM_TIMEOUT,
                errors.ExecutionStatus.MAY_HAVE_RUN,
            )
        return expression.Error(
            errors.Fault(code, errors.Step.SERVICE, run=run)
        )


class LateServiceTest(unittest.TestCase):
    """Plain calls to a server that answers late, but in time."""

    def send(self, names, may_retry=True, leaving=()):
        clock_ = clock.ManualClock()
        source = router_fixture.StaticTables(
            router_fixture.make_tables(
                (),
                [
                    router_fixture.make_upstream("service", 9, name)
                    for name in names
                ],
            )
        )
        for upstream in source.current.pools["member-api"].upstreams:
            upstream.leaving = upstream.name in leaving
        self.servers = LateService(clock_, TIMEOUT_MS * 6 // 10, may_retry)
        forward = service_forward.ServiceForward(
            self.servers,
            server_selection.ServerSelector("kandy-a"),
            traces.Tracer("a1"),
            clock_,
            source,
            try_withdraw_retry=lambda pool: may_retry,
        )
        exchange = base.Exchange(
            "r", "GET", "/member", "/member", [], b"", None, None, None, 0
        )
        exchange.tables = source.current
        exchange.account = next(iter(exchange.tables.accounts.values()))
        exchange.route = exchange.tables.find_route("/member", "")
        exchange.pool = exchange.tables.pools["member-api"]
        exchange.deadline.at_ms = TIMEOUT_MS
        return forward.handle(exchange, lambda one: None)

    def test_kept_without_another_server(self):
        """Guards against leaving the only server at half of the time."""
        self.assertTrue(self.send(["s1"]).is_ok())

    def test_kept_if_the_retry_budget_is_spent(self):
        """Guards against leaving a server that no other may follow."""
        self.assertTrue(self.send(["s1", "s2"], may_retry=False).is_ok())

    def test_kept_if_all_other_servers_drain(self):
        """Guards against leaving a server for one that may not be chosen."""
        result = self.send(["s1", "s2"], leaving=["s2"])
        self.assertTrue(result.is_ok())

    def test_left_in_time_for_another_server(self):
        """Guards against an unresponsive server that uses up the time in
        which another one could be called.
        """
        self.send(["s1", "s2"])
        self.assertEqual(self.servers.calls, 2)


class BeforeHeadTest(order_fixture.OrderTest):
    """The only engine sends its head late."""

    max_attempts = 1
    route_ms = 2_000

    def test_engine_kept_until_the_deadline(self):
        """Guards against an error at half of the time, although no other
        engine may be tried and the first one answers later.
        """
        gate = self.silent.place_gate("decode")
        future = self.send()
        self.await_gate(gate)
        concurrent.futures.wait([future], self.route_ms * 0.7 / 1_000)
        gate.open()
        self.check_complete(future)


class BeforeOnlyHeadTest(BeforeHeadTest):
    """The same for requests that may run once only."""

    max_attempts = 2

    def make_routes(self):
        routes = super().make_routes()
        routes[0].idempotent = False
        return routes
