"""Tests of model requests with failing engines, connections or callers."""

import json
import signal
import socket
import threading
import time
import unittest

from mulberryway import errors
from tests import processes
from tests import router_fixture

LONG = 400


def send_raw(port, prompt, max_tokens, buffer_bytes=1 << 20):
    """Request a stream and return the socket without reading the reply."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    connection.settimeout(router_fixture.TEST_TIMEOUT_S)
    connection.connect(("127.0.0.1", port))
    body = json.dumps(
        {
            "model": "m",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
    )
    connection.sendall(
        (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {router_fixture.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
    )
    return connection


class EnginesTest(unittest.TestCase):
    """Base class: one router with engines in separate processes."""

    roles = ("prefill", "decode", "decode")
    flags = ("--token_ms=10",)
    closes_revoked_streams = True

    def setUp(self):
        self.process_group = processes.Group()
        self.addCleanup(self.process_group.stop)
        # In parallel: each takes almost a second to start.
        self.ports = processes.pick_ports(len(self.roles))
        self.processes = {
            port: processes.Process(
                "standins.engine",
                (f"--port={port}", f"--role={role}", *self.flags),
                [port],
            )
            for port, role in zip(self.ports, self.roles, strict=True)
        }
        self.process_group.processes += self.processes.values()
        for process in self.processes.values():
            process.wait_ready()
        self.fixture = router_fixture.RouterFixture(
            self.make_tables(),
            self.make_settings(),
            try_withdraw_retry=self.try_withdraw_retry,
            closes_revoked_streams=self.closes_revoked_streams,
        )
        self.fixture.__enter__()
        self.addCleanup(self.fixture.__exit__)

    def try_withdraw_retry(self, pool):
        return True

    def make_settings(self):
        settings_ = router_fixture.make_settings()
        settings_.router_token_gap_ms = 1_000
        return settings_

    def make_tables(self, ports=None):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, ports or self.ports),
            timeout_ms=3_000,
        )

    def find_decoding(self):
        """Wait until an engine decodes and return its port."""

        def find():
            return [
                port
                for port in self.ports
                if self.processes[port].popen.poll() is None
                and any(
                    held["phase"] == "decode"
                    for held in router_fixture.list_held(port)
                )
            ]

        return processes.wait_until(find)[0]

    def check_resources_released(self, *killed_ports):
        """Check that neither the engines nor the router hold resources."""
        ports = [port for port in self.ports if port not in killed_ports]
        self.assertTrue(
            processes.wait_until(
                lambda: not any(map(router_fixture.list_held, ports))
            )
        )
        # A killed engine confirms no cancellation, and holds nothing either.
        self.assertTrue(self.fixture.wait_idle(cancels=not killed_ports))
        self.assertEqual(
            len(
                {
                    id(reservation)
                    for reservation in self.fixture.allowances.settled
                }
            ),
            len(self.fixture.allowances.settled),
        )


class FailingEngineTest(EnginesTest):
    def test_resumed_after_a_kill(self):
        """The decode engine crashes.  The caller must get the rest from
        another engine, with no token duplicated or missing.
        """
        stream = router_fixture.OpenStream(self.fixture, "killed", LONG)
        first = stream.read_event()
        killed = self.find_decoding()
        self.processes[killed].kill()
        events = [first, *stream.read_all()]
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("killed", LONG),
        )
        self.assertEqual(len({event["id"] for event in events[:-1]}), 1)
        stream.close()
        self.check_resources_released(killed)

    def test_resumed_after_a_stall(self):
        """The decode engine stalls without closing its connections.  After
        the token timeout the stream must resume at another engine.
        """
        stream = router_fixture.OpenStream(self.fixture, "paused", LONG)
        first = stream.read_event()
        paused = self.find_decoding()
        self.processes[paused].send_signal(19)
        try:
            events = [first, *stream.read_all()]
        finally:
            self.processes[paused].send_signal(18)
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("paused", LONG),
        )
        stream.close()
        self.check_resources_released()

    def test_cut_answer_looks_cut(self):
        """Every engine that could resume the stream crashes.  The caller must
        see an error event, no final event, and a body without its last chunk.
        """
        connection = send_raw(self.fixture.port, "cut", LONG)
        data = connection.recv(65_536)
        for port in self.ports[1:]:
            self.processes[port].kill()
        while piece := connection.recv(65_536):
            data += piece
        connection.close()
        last = data.rpartition(b"data: ")[2].partition(b"\n")[0]
        self.assertNotEqual(json.loads(last)["error"]["run"], "not_run")
        self.assertNotIn(b"[DONE]", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))
        self.check_resources_released(*self.ports[1:])

    def test_dead_prefill(self):
        """The only prefill engine is down.  Nothing can have run, and the
        rejection must say so.
        """
        self.processes[self.ports[0]].kill()
        reply = self.fixture.complete()
        self.assertEqual(reply.status, 502)
        error = reply.json()["error"]
        self.assertEqual(error["run"], errors.ExecutionStatus.NOT_RUN.value)
        self.assertEqual(error["step"], "prefill")
        self.assertEqual(error["peer"], f"127.0.0.1:{self.ports[0]}")
        self.check_resources_released(self.ports[0])


class LateRecoveryTest(EnginesTest):
    """Streams with latency targets whose engine fails late."""

    def make_tables(self):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, self.ports),
            timeout_ms=8_000,
            is_streaming=True,
            target_ms=300,
            target_gap_ms=100,
        )

    def test_resumed_after_the_first_token_deadline(self):
        """Guards against a first-token deadline applied to resumed streams."""
        stream = router_fixture.OpenStream(self.fixture, "late", LONG)
        events = [stream.read_event()]
        killed = self.find_decoding()
        began_s = time.monotonic()
        while time.monotonic() - began_s < 2:
            events.append(stream.read_event())
        self.processes[killed].kill()
        events += stream.read_all()
        stream.close()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("late", LONG),
        )
        self.check_resources_released(killed)


class SpentTriesTest(EnginesTest):
    """Streams that begin only after several connect failures."""

    roles = ("prefill", *["decode"] * 5)

    def test_resumed_after_many_attempts_before_the_first_token(self):
        """Guards against streams that cannot be resumed because the attempts
        before the first token have used up the limit.
        """
        for port in self.ports[1:4]:
            self.processes[port].kill()
        stream = router_fixture.OpenStream(self.fixture, "tried", LONG)
        events = [stream.read_event()]
        killed = self.find_decoding()
        self.processes[killed].kill()
        events += stream.read_all()
        stream.close()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("tried", LONG),
        )


class UnsentAttemptTest(EnginesTest):
    """Requests whose first engine cannot be reached."""

    roles = ("prefill", "prefill", "decode")

    def try_withdraw_retry(self, pool):
        return False

    def test_retry_budget_is_not_needed_if_nothing_was_sent(self):
        """Guards against rejecting a request that no engine has received."""
        self.processes[self.ports[0]].kill()
        statuses = [self.fixture.complete(f"p{n}").status for n in range(4)]
        self.assertEqual(statuses, [200] * 4)


class UnusedReplacementTest(EnginesTest):
    """An engine that stalls, continues before it is replaced, and crashes."""

    flags = ("--token_ms=10", "--prefill_base_ms=900")
    pause_s = 1.5

    def make_tables(self):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, self.ports),
            timeout_ms=8_000,
            max_attempts=2,
        )

    def test_resumed_after_an_unused_replacement(self):
        """Guards against streams that cannot be resumed because an attempt
        that reached no engine counts towards the route's limit.
        """
        stream = router_fixture.OpenStream(self.fixture, "twice", LONG)
        events = [stream.read_event()]
        decoding = self.processes[self.find_decoding()]
        decoding.send_signal(signal.SIGSTOP)
        time.sleep(self.pause_s)
        decoding.send_signal(signal.SIGCONT)
        self.assertTrue(
            processes.wait_until(lambda: self.count_prompts() == 2)
        )
        events += [stream.read_event() for _ in range(LONG // 2)]
        decoding.kill()
        events += stream.read_all()
        stream.close()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("twice", LONG),
        )

    def count_prompts(self):
        return len(router_fixture.list_runs(self.ports[0]))


class GrantedStreamTest(EnginesTest):
    """Streams whose key or tokens expire before their engine crashes."""

    closes_revoked_streams = False

    def read_after_kill(self, prompt, change):
        """Return a stream's events; its engine crashes after the change."""
        stream = router_fixture.OpenStream(
            self.fixture, prompt, LONG, router_fixture.OTHER_KEY
        )
        first = stream.read_event()
        change()
        self.processes[self.find_decoding()].kill()
        events = [first, *stream.read_all()]
        stream.close()
        return events

    def check_complete(self, events, prompt):
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text(prompt, LONG),
        )

    def revoke_key(self):
        accounts = (
            router_fixture.make_account("tea-estate", router_fixture.KEY),
        )
        self.fixture.source.change(
            router_fixture.make_tables(
                self.fixture.source.current.pools["lm-pool"].upstreams,
                accounts=accounts,
                timeout_ms=3_000,
            )
        )

    def test_resumed_after_its_key_was_revoked(self):
        """Guards against streams that cannot be resumed after their key was
        revoked, where a revoked key does not end running streams.
        """
        self.check_complete(
            self.read_after_kill("key", self.revoke_key), "key"
        )

    def expire_tokens(self):
        self.fixture.allowances.has_lapsed = True

    def test_resumed_after_its_tokens_expired(self):
        """Guards against streams that cannot be resumed because the tokens
        reserved for them have expired.
        """
        self.check_complete(
            self.read_after_kill("tokens", self.expire_tokens), "tokens"
        )


class LeavingEngineTest(EnginesTest):
    """A decode engine that is removed during a long prefill."""

    flags = ("--token_ms=10", "--prefill_base_ms=900")

    def make_settings(self):
        settings_ = super().make_settings()
        settings_.upstreams_drain_ms = 300
        return settings_

    def make_tables(self):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, self.ports),
            timeout_ms=8_000,
        )

    def remove_engine(self, port):
        """Remove an engine from the tables."""
        engines = [
            router_fixture.make_upstream(role, engine_port)
            for role, engine_port in zip(self.roles, self.ports, strict=True)
            if engine_port != port
        ]
        self.fixture.source.change(
            router_fixture.make_tables(engines, timeout_ms=8_000)
        )

    def test_no_stream_is_sent_to_a_removed_engine(self):
        """Guards against a decode at an engine that was chosen longer ago than
        a draining engine still serves.
        """
        stream = router_fixture.OpenStream(self.fixture, "leaves", 40)
        processes.wait_until(lambda: router_fixture.list_held(self.ports[0]))
        chosen = self.ports[1]
        self.remove_engine(chosen)
        events = stream.read_all()
        stream.close()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(router_fixture.list_runs(chosen), [])
        self.assertTrue(router_fixture.list_runs(self.ports[2]))


class PausedEngineTest(EnginesTest):
    """An engine that stalls for longer than the timeout, then continues."""

    pause_s = 2.5
    is_budget_spent = False

    def setUp(self):
        super().setUp()
        self.withdrawn_retries = []

    def try_withdraw_retry(self, pool):
        self.withdrawn_retries.append(pool)
        return not self.is_budget_spent

    def read_with_pause(self, prompt, *killed):
        """Return the events of a stream that stalls after the first event."""
        stream = router_fixture.OpenStream(self.fixture, prompt, LONG)
        first = stream.read_event()
        paused = self.find_decoding()
        for port in killed:
            self.processes[port].kill()
        self.processes[paused].send_signal(signal.SIGSTOP)
        timer = threading.Timer(
            self.pause_s,
            self.processes[paused].send_signal,
            (signal.SIGCONT,),
        )
        timer.start()
        try:
            return [first, *stream.read_all()]
        finally:
            timer.join()
            stream.close()

    def check_complete(self, events, prompt):
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text(prompt, LONG),
        )

    def test_kept_if_the_retry_budget_is_spent(self):
        """Guards against streams cut off because the retry budget is spent."""
        self.is_budget_spent = True
        events = self.read_with_pause("no budget")
        self.check_complete(events, "no budget")
        self.assertTrue(self.withdrawn_retries, "the stall was never detected")
        self.check_resources_released()

    def test_kept_if_no_prefill_is_possible(self):
        """Guards against streams cut off because the next attempt failed."""
        events = self.read_with_pause("unread", self.ports[0])
        self.check_complete(events, "unread")
        self.assertTrue(
            self.withdrawn_retries, "no other engine was requested"
        )
        self.check_resources_released(self.ports[0])


class GoingCallerTest(EnginesTest):
    """Callers disconnect; engines must then free their memory."""

    roles = ("prefill", "decode")

    def test_between_tokens(self):
        """A caller disconnects during a stream.  Without a cancellation the
        engine would generate the whole answer.
        """
        stream = router_fixture.OpenStream(self.fixture, "gone", 5_000)
        stream.read_event()
        stream.reply.close()
        stream.close()
        self.check_resources_released()

    def test_in_prefill(self):
        """A caller disconnects during a long prefill."""
        prompt = "x" * 100_000
        stream = router_fixture.OpenStream(self.fixture, prompt, 50)
        self.assertTrue(
            processes.wait_until(
                lambda: router_fixture.list_held(self.ports[0])
            )
        )
        stream.close()
        self.check_resources_released()
        runs = router_fixture.list_runs(self.ports[0])
        self.assertEqual(runs[-1]["outcome"], "cancelled")

    def test_while_queued(self):
        """All decode slots are taken, and a queued caller disconnects.  Its
        request must not reach an engine.
        """
        self.fixture.source.change(self.make_tables())
        pool = self.fixture.source.current.pools["lm-pool"]
        pool.slots = 1
        self.fixture.router.scheduling.update_tables(
            self.fixture.source.current
        )
        first = router_fixture.OpenStream(self.fixture, "first", 200)
        first.read_event()
        second = router_fixture.OpenStream(self.fixture, "second", 5)
        self.assertTrue(
            processes.wait_until(
                lambda: self.fixture.router.scheduling.waiting == 1
            )
        )
        second.close()
        self.assertTrue(
            processes.wait_until(
                lambda: not self.fixture.router.scheduling.waiting
            )
        )
        first.read_all()
        first.close()
        self.check_resources_released()
        self.assertEqual(len(router_fixture.list_runs(self.ports[0])), 1)

    def test_key_revoked_while_queued(self):
        """A key is revoked while its request is queued.  The request must not
        run when a slot is free.
        """
        pool = self.fixture.source.current.pools["lm-pool"]
        pool.slots = 1
        self.fixture.router.scheduling.update_tables(
            self.fixture.source.current
        )
        first = router_fixture.OpenStream(self.fixture, "first", 200)
        first.read_event()
        second = router_fixture.OpenStream(
            self.fixture, "second", 5, router_fixture.OTHER_KEY
        )
        self.assertTrue(
            processes.wait_until(
                lambda: self.fixture.router.scheduling.waiting == 1
            )
        )
        accounts = (
            router_fixture.make_account("tea-estate", router_fixture.KEY),
        )
        changed = router_fixture.make_tables(
            self.fixture.source.current.pools["lm-pool"].upstreams,
            accounts=accounts,
        )
        changed.pools["lm-pool"].slots = 1
        self.fixture.source.change(changed)
        reply = second.connection.getresponse()
        self.assertEqual(reply.status, 401)
        self.assertEqual(json.loads(reply.read())["error"]["run"], "not_run")
        self.assertEqual(first.read_all()[-1], "[DONE]")
        self.assertEqual(len(router_fixture.list_runs(self.ports[0])), 1)

    def test_slow_caller(self):
        """A caller reads slowly.  It must still get every token, and the
        router must not buffer the whole answer in memory.
        """
        connection = send_raw(self.fixture.port, "slow", 300, 4_096)
        router_fixture.pause(0.5)
        data = b""
        while b"[DONE]" not in data:
            data += connection.recv(256)
        connection.close()
        self.assertEqual(data.count(b'"text"'), 300)
        self.check_resources_released()
