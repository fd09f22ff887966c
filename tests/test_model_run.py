"""Model requests whose engines, connections or callers fail."""

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
    """Ask for a stream and return the socket, its reply unread."""
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
    """One router before engines that are processes of their own."""

    roles = ("prefill", "decode", "decode")
    flags = ("--token_ms=10",)
    cuts_withdrawn = True

    def setUp(self):
        self.group = processes.Group()
        self.addCleanup(self.group.stop)
        # All at once: each takes most of a second to start.
        self.ports = processes.pick_ports(len(self.roles))
        self.processes = {
            port: processes.Process(
                "standins.engine",
                (f"--port={port}", f"--role={role}", *self.flags),
                [port],
            )
            for port, role in zip(self.ports, self.roles, strict=True)
        }
        self.group.processes += self.processes.values()
        for process in self.processes.values():
            process.wait_ready()
        self.rig = router_fixture.RouterFixture(
            self.make_tables(),
            self.make_settings(),
            may_repeat=self.try_withdraw_retry,
            cuts_withdrawn=self.cuts_withdrawn,
        )
        self.rig.__enter__()
        self.addCleanup(self.rig.__exit__)

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
        """Return the port of the engine that decodes, once one does."""

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

    def check_free(self, *without):
        """Check that no engine holds anything, nor the router."""
        ports = [port for port in self.ports if port not in without]
        self.assertTrue(
            processes.wait_until(
                lambda: not any(map(router_fixture.list_held, ports))
            )
        )
        # A dead engine confirms no cancel, and holds nothing either.
        self.assertTrue(self.rig.wait_idle(cancels=not without))
        self.assertEqual(
            len({id(one) for one in self.rig.allowances.settled}),
            len(self.rig.allowances.settled),
        )


class FailingEngineTest(EnginesTest):
    def test_resumed_after_a_kill(self):
        """The engine that decodes dies.  The caller must get the rest from
        another engine, no token twice and none missing.
        """
        stream = router_fixture.OpenStream(self.rig, "killed", LONG)
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
        self.check_free(killed)

    def test_resumed_after_silence(self):
        """The engine that decodes stops without closing its connections.
        After the limit on a gap the answer must go on elsewhere.
        """
        stream = router_fixture.OpenStream(self.rig, "paused", LONG)
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
        self.check_free()

    def test_cut_answer_looks_cut(self):
        """Every engine that could go on dies.  The caller must see an error
        event, no closing event, and a body without its last chunk.
        """
        connection = send_raw(self.rig.port, "cut", LONG)
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
        self.check_free(*self.ports[1:])

    def test_dead_prefill(self):
        """The only prefill engine is down: nothing can have run, and the
        refusal must say so.
        """
        self.processes[self.ports[0]].kill()
        reply = self.rig.complete()
        self.assertEqual(reply.status, 502)
        error = reply.json()["error"]
        self.assertEqual(error["run"], errors.ExecutionStatus.NOT_RUN.value)
        self.assertEqual(error["step"], "prefill")
        self.assertEqual(error["peer"], f"127.0.0.1:{self.ports[0]}")
        self.check_free(self.ports[0])


class LateRecoveryTest(EnginesTest):
    """Streams with a target whose engine fails long after they began."""

    def make_tables(self):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, self.ports),
            timeout_ms=8_000,
            is_streaming=True,
            target_ms=300,
            target_gap_ms=100,
        )

    def test_resumed_after_the_time_in_which_streams_have_to_begin(self):
        """Guards against a limit for first tokens that ends later ones."""
        stream = router_fixture.OpenStream(self.rig, "late", LONG)
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
        self.check_free(killed)


class SpentTriesTest(EnginesTest):
    """Streams that begin only after several engines could not be reached."""

    roles = ("prefill", *["decode"] * 5)

    def test_resumed_although_many_tries_came_before_it_began(self):
        """Guards against answers cut by a limit on tries that the beginning
        of the request has used up.
        """
        for port in self.ports[1:4]:
            self.processes[port].kill()
        stream = router_fixture.OpenStream(self.rig, "tried", LONG)
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


class UnusedReplacementTest(EnginesTest):
    """An engine that pauses, goes on before another has begun, and dies."""

    flags = ("--token_ms=10", "--prefill_base_ms=900")
    pause_s = 1.5

    def make_tables(self):
        return router_fixture.make_tables(
            map(router_fixture.make_upstream, self.roles, self.ports),
            timeout_ms=8_000,
            max_attempts=2,
        )

    def test_resumed_although_a_replacement_was_sought_before(self):
        """Guards against answers cut because an attempt that was sent to no
        engine counts among those that the route allows.
        """
        stream = router_fixture.OpenStream(self.rig, "twice", LONG)
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
    """Streams whose engine dies after what they were granted has changed."""

    cuts_withdrawn = False

    def read_killed(self, prompt, change):
        """Return a stream's events whose engine dies after a change."""
        stream = router_fixture.OpenStream(
            self.rig, prompt, LONG, router_fixture.OTHER_KEY
        )
        first = stream.read_event()
        change()
        self.processes[self.find_decoding()].kill()
        events = [first, *stream.read_all()]
        stream.close()
        return events

    def check_whole(self, events, prompt):
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text(prompt, LONG),
        )

    def revoke_key(self):
        accounts = (
            router_fixture.make_account("tea-estate", router_fixture.KEY),
        )
        self.rig.source.change(
            router_fixture.make_tables(
                self.rig.source.current.pools["lm-pool"].upstreams,
                accounts=accounts,
                timeout_ms=3_000,
            )
        )

    def test_resumed_after_its_key_was_withdrawn(self):
        """Guards against answers cut for a key that held when they began,
        where a withdrawn key ends no running stream.
        """
        self.check_whole(self.read_killed("key", self.revoke_key), "key")

    def lapse(self):
        self.rig.allowances.has_lapsed = True

    def test_resumed_after_its_tokens_lapsed(self):
        """Guards against answers cut for tokens that were taken when they
        began.
        """
        self.check_whole(self.read_killed("tokens", self.lapse), "tokens")


class LeavingEngineTest(EnginesTest):
    """A decode engine that leaves while a long prompt is being read."""

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

    def leave(self, port):
        """Take an engine out of the tables."""
        engines = [
            router_fixture.make_upstream(role, one)
            for role, one in zip(self.roles, self.ports, strict=True)
            if one != port
        ]
        self.rig.source.change(
            router_fixture.make_tables(engines, timeout_ms=8_000)
        )

    def test_no_stream_is_sent_to_an_engine_that_has_left(self):
        """Guards against a decode by a choice that is older than the time for
        which a leaving engine serves on.
        """
        stream = router_fixture.OpenStream(self.rig, "leaves", 40)
        processes.wait_until(lambda: router_fixture.list_held(self.ports[0]))
        chosen = self.ports[1]
        self.leave(chosen)
        events = stream.read_all()
        stream.close()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(router_fixture.list_runs(chosen), [])
        self.assertTrue(router_fixture.list_runs(self.ports[2]))


class PausedEngineTest(EnginesTest):
    """An engine that pauses for longer than the limit, and then goes on."""

    pause_s = 2.5
    is_budget_spent = False

    def setUp(self):
        super().setUp()
        self.repeats = []

    def try_withdraw_retry(self, pool):
        self.repeats.append(pool)
        return not self.is_budget_spent

    def read_paused(self, prompt, *killed):
        """Return a stream's events whose engine pauses after the first."""
        stream = router_fixture.OpenStream(self.rig, prompt, LONG)
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

    def check_whole(self, events, prompt):
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text(prompt, LONG),
        )

    def test_kept_where_no_repeat_is_left(self):
        """Guards against answers cut because the retry budget is spent."""
        self.is_budget_spent = True
        events = self.read_paused("no budget")
        self.check_whole(events, "no budget")
        self.assertTrue(self.repeats, "the engine was never silent enough")
        self.check_free()

    def test_kept_where_the_prompt_cannot_be_read_again(self):
        """Guards against answers cut because the next attempt failed."""
        events = self.read_paused("unread", self.ports[0])
        self.check_whole(events, "unread")
        self.assertTrue(self.repeats, "no other engine was sought")
        self.check_free(self.ports[0])


class GoingCallerTest(EnginesTest):
    """Callers go; engine memory must be free soon after."""

    roles = ("prefill", "decode")

    def test_between_tokens(self):
        """A caller closes its connection in mid-answer.  The engine would
        generate to the end for nobody.
        """
        stream = router_fixture.OpenStream(self.rig, "gone", 5_000)
        stream.read_event()
        stream.reply.close()
        stream.close()
        self.check_free()

    def test_in_prefill(self):
        """A caller goes while a long prompt is computed."""
        prompt = "x" * 100_000
        stream = router_fixture.OpenStream(self.rig, prompt, 50)
        self.assertTrue(
            processes.wait_until(
                lambda: router_fixture.list_held(self.ports[0])
            )
        )
        stream.close()
        self.check_free()
        runs = router_fixture.list_runs(self.ports[0])
        self.assertEqual(runs[-1]["outcome"], "cancelled")

    def test_while_queued(self):
        """All decode slots are taken, and a caller who waits for one goes.
        Its request must never reach an engine.
        """
        self.rig.source.change(self.make_tables())
        pool = self.rig.source.current.pools["lm-pool"]
        pool.slots = 1
        self.rig.router.scheduling.update_tables(self.rig.source.current)
        first = router_fixture.OpenStream(self.rig, "first", 200)
        first.read_event()
        second = router_fixture.OpenStream(self.rig, "second", 5)
        self.assertTrue(
            processes.wait_until(
                lambda: self.rig.router.scheduling.waiting == 1
            )
        )
        second.close()
        self.assertTrue(
            processes.wait_until(
                lambda: not self.rig.router.scheduling.waiting
            )
        )
        first.read_all()
        first.close()
        self.check_free()
        self.assertEqual(len(router_fixture.list_runs(self.ports[0])), 1)

    def test_key_withdrawn_while_queued(self):
        """A key is withdrawn while its request waits for a slot.  When the
        slot comes the request must not run.
        """
        pool = self.rig.source.current.pools["lm-pool"]
        pool.slots = 1
        self.rig.router.scheduling.update_tables(self.rig.source.current)
        first = router_fixture.OpenStream(self.rig, "first", 200)
        first.read_event()
        second = router_fixture.OpenStream(
            self.rig, "second", 5, router_fixture.OTHER_KEY
        )
        self.assertTrue(
            processes.wait_until(
                lambda: self.rig.router.scheduling.waiting == 1
            )
        )
        accounts = (
            router_fixture.make_account("tea-estate", router_fixture.KEY),
        )
        changed = router_fixture.make_tables(
            self.rig.source.current.pools["lm-pool"].upstreams,
            accounts=accounts,
        )
        changed.pools["lm-pool"].slots = 1
        self.rig.source.change(changed)
        reply = second.connection.getresponse()
        self.assertEqual(reply.status, 401)
        self.assertEqual(json.loads(reply.read())["error"]["run"], "not_run")
        self.assertEqual(first.read_all()[-1], "[DONE]")
        self.assertEqual(len(router_fixture.list_runs(self.ports[0])), 1)

    def test_slow_caller(self):
        """A caller reads slowly.  It must still get every token, and the
        router must not keep the whole answer in its memory for it.
        """
        connection = send_raw(self.rig.port, "slow", 300, 4_096)
        router_fixture.pause(0.5)
        data = b""
        while b"[DONE]" not in data:
            data += connection.recv(256)
        connection.close()
        self.assertEqual(data.count(b'"text"'), 300)
        self.check_free()
