"""Tests of upstreams behind a proxy that drops, stalls and refuses."""

import http.server
import threading
import time
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import claims
from mulberryway.policy import claim_records
from mulberryway.upstreams import http_service
from tests import fakes
from tests import processes
from tests import router_fixture


class ProxiedServiceTest(unittest.TestCase):
    """Two plain services, the first of which is behind a proxy."""

    def setUp(self):
        self.group = processes.Group()
        self.addCleanup(self.group.stop)
        self.services = [
            processes.start_standin(self.group, "service")[1] for _ in range(2)
        ]
        control, front = processes.pick_ports(2)
        self.group.start(
            "standins.faultproxy",
            f"--port={control}",
            f"--pair=s=127.0.0.1:{front}=127.0.0.1:{self.services[0]}",
            ports=[control, front],
        )
        self.control = control
        # The proxied server is chosen first because of its name.
        servers = [
            router_fixture.make_upstream("service", front, "a"),
            router_fixture.make_upstream("service", self.services[1], "b"),
        ]
        self.fixture = router_fixture.RouterFixture(
            router_fixture.make_tables((), servers, timeout_ms=1_500),
            claims=claims.ClaimStore(
                fakes.MemoryStore(), clock.SystemClock(), "a1", 7
            ),
        )
        self.fixture.__enter__()
        self.addCleanup(self.fixture.__exit__)
        self.numbers = iter(range(100))

    def set_faults(self, **faults):
        processes.call(self.control, "POST", "/standin/pairs/s", faults)

    def make_key(self):
        now_ms = int(time.time() * 1000)
        return claim_records.make_uuid7(now_ms, next(self.numbers))

    def book(self, key, body=b'{"pen": 4}'):
        return self.fixture.call(
            "POST", "/bookings", body, Idempotency_Key=key
        )

    def count_bookings(self):
        return sum(
            len(router_fixture.list_runs(port)) for port in self.services
        )

    def test_reply_lost_after_the_effect(self):
        """A booking succeeds and its reply is lost.  The caller must not be
        told that it did not run, and a retry must not book again.
        """
        key = self.make_key()
        self.set_faults(drop_replies=1)
        first = self.book(key)
        self.assertEqual(first.json()["error"]["run"], "may_have_run")
        again = self.book(key)
        self.assertEqual(again.status, 409)
        self.assertEqual(again.json()["error"]["run"], "may_have_run")
        self.assertEqual(self.count_bookings(), 1)

    def test_retry_gets_the_cached_reply(self):
        key = self.make_key()
        first = self.book(key)
        self.assertEqual(first.status, 201)
        again = self.book(key)
        self.assertEqual(again.body, first.body)
        self.assertEqual(again.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.book(key, b"other").status, 422)
        self.assertEqual(self.count_bookings(), 1)

    def test_booking_fails_over_after_a_refused_connection(self):
        """A server is down.  Nothing has run there, so even a booking may be
        sent to the next server.
        """
        (unused,) = processes.pick_ports(1)
        servers = [
            router_fixture.make_upstream("service", port, name)
            for port, name in ((unused, "a"), (self.services[1], "b"))
        ]
        self.fixture.source.change(router_fixture.make_tables((), servers))
        self.assertEqual(self.book(self.make_key()).status, 201)
        self.assertEqual(self.count_bookings(), 1)

    def test_read_is_retried_after_a_lost_reply(self):
        """The reply to a read is lost.  The read must be retried at another
        server without an error for the caller.
        """
        self.set_faults(drop_replies=1)
        reply = self.fixture.call("GET", "/member/1")
        self.assertEqual(reply.json()["target"], "/member/1")

    def test_stalled_connections_are_not_reused(self):
        """A middlebox between router and service drops the state of idle
        connections.  One call may time out, but later calls must not.
        """
        for _ in range(3):
            self.fixture.call("GET", "/member/warm")
        self.set_faults(stall_down=True)
        late = self.book(self.make_key())
        self.assertEqual(late.json()["error"]["code"], "upstream_timeout")
        self.assertEqual(late.json()["error"]["run"], "may_have_run")
        self.set_faults(stall_down=False)
        for number in range(6):
            path = f"/member/after-{number}"
            reply = self.fixture.call("GET", path)
            self.assertEqual(reply.json()["target"], path)


class MismatchedHandler(http.server.BaseHTTPRequestHandler):
    """Answers each call with the reply to another call."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.server.connections.add(self.client_address)
        self.send_response(200)
        self.send_header("X-Request-Id", "another")
        self.send_header("Content-Length", "7")
        self.end_headers()
        self.wfile.write(b"foreign")

    def log_message(self, *_):
        pass


class MismatchedReplyTest(unittest.TestCase):
    def test_mismatched_reply_is_discarded(self):
        """A reply left on a connection, or mixed up on the way, arrives for
        the wrong call.  Its caller would read another caller's booking.
        """
        server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), MismatchedHandler
        )
        server.daemon_threads = True
        server.connections = set()
        threading.Thread(target=server.serve_forever, daemon=True).start()
        address = f"127.0.0.1:{server.server_address[1]}"
        service = http_service.HttpService(address, "", clock.SystemClock())
        for number in range(2):
            result = service.call(f"r{number}", "GET", "/x", [], b"", 5_000)
            self.assertTrue(result.is_error())
            self.assertIs(
                result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN
            )
        self.assertEqual(len(server.connections), 2)
        service.close()
        server.shutdown()
        server.server_close()


class ProxiedEnginesTest(unittest.TestCase):
    def test_unresponsive_prefill_fails_over(self):
        """Connections to one prefill engine stall.  The request must be served
        through the other prefill engine in time.
        """
        with processes.Group() as group:
            roles = ["prefill", "prefill", "decode"]
            _, ports = processes.start_engines(group, roles)
            control, front = processes.pick_ports(2)
            group.start(
                "standins.faultproxy",
                f"--port={control}",
                f"--pair=p=127.0.0.1:{front}=127.0.0.1:{ports[0]}",
                ports=[control, front],
            )
            processes.call(
                control, "POST", "/standin/pairs/p", {"stall_down": True}
            )
            current = router_fixture.make_tables(
                map(router_fixture.make_upstream, roles, [front, *ports[1:]]),
                timeout_ms=2_000,
            )
            with router_fixture.RouterFixture(current) as fixture:
                reply = fixture.complete("silent", max_tokens=5)
                self.assertEqual(reply.status, 200)
                self.assertEqual(
                    reply.json()["choices"][0]["text"],
                    router_fixture.expect_text("silent", 5),
                )
                self.assertTrue(
                    processes.wait_until(
                        lambda: not any(map(router_fixture.list_held, ports))
                    )
                )
