"""Tests of the order of events while a silent engine is replaced.

The steps are: a search begins, engines are chosen, the next engine reserves
room and is connected, the prompt is read, the silent engine is left, the
decode is sent, answered and begun.
"""

import contextlib
import http.client
import socket

from mulberryway.filters import model_engines
from mulberryway.filters import model_run
from mulberryway.policy import prefill_timeouts
from mulberryway.policy import shutdown
from mulberryway.upstreams import decode_call
from tests import gated_engine
from tests import order_fixture
from tests import processes

READY = order_fixture.READY
LEAVING = order_fixture.LEAVING
GONE = order_fixture.GONE
ALL = gated_engine.EVENT_COUNT
# More than the router tries.
OFTEN = 9
SERVICES = ("s0", "s1")
LONG_MS = 10_000
SHORT_MS = 200
START_MARGIN_MS = 10
HEADERS = {
    "Host": "site.example",
    "Attempt-Id": "k",
    "Deadline-Ms": "4000",
    "Authorization": "Token k-large",
}


class SearchTest(order_fixture.OrderTest):
    """Base class: the silent engine goes on when a test lets it."""

    def begin_search(self, *actions, events=order_fixture.FIRST_IDS):
        """Start a stream, and a search that finds the other engine."""
        future = self.begin_stream(events)
        self.other.actions.extend(actions)
        self.change(e2=READY)
        return future

    def begin_gated_search(self, step="prefill", *actions):
        """Start a search that waits at a step."""
        future = self.begin_stream()
        gated = self.prefill if step == "prefill" else self.other
        gate = gated.place_gate(step)
        self.other.actions.extend(actions)
        self.change(e2=READY)
        self.await_gate(gate)
        return future, gate

    def refuse_new_decodes(self):
        """Let the silent engine run its stream, but accept no other."""
        self.silent.actions.extend(["stream", *["refuse"] * OFTEN])

    def continue_after(self, condition):
        """Let the silent engine go on once something has happened."""
        self.await_true(condition)
        self.silent.allow(ALL)

    def is_decode_sent(self):
        return "decode" in self.other.calls

    def find_ended_search(self):
        return self.log.find("a silent engine is waited for")

    def is_left_or_kept(self):
        """Return whether the search has come to a result."""
        return self.silent.is_left() or self.find_ended_search()


class BeforeLeavingTest(SearchTest):
    """Events up to the moment at which the silent engine is left."""

    def test_resumed_at_the_other_engine(self):
        """Guards against a fixture whose replacement is never used."""
        future = self.begin_search()
        reply = self.check_complete(future)
        self.assertEqual(reply.headers["Server-Seal"], "seal-e1")
        self.assertEqual(self.other.decodes[0]["Last-Event-Id"], "5")
        self.assertTrue(self.silent.is_left())

    def check_kept(self, future, gate):
        """Check a stream whose engine goes on while a search waits."""
        self.silent.allow(ALL)
        self.await_true(lambda: self.silent.has_ended)
        gate.open()
        self.await_true(self.find_ended_search)
        self.check_complete(future)
        self.assertEqual(self.other.decodes, [])

    def test_engine_goes_on_during_the_reservation(self):
        """Guards against a second run after the first engine has ended."""
        self.check_kept(*self.begin_gated_search("reserve"))

    def test_engine_goes_on_while_the_prompt_is_read(self):
        """Guards against leaving an engine that has gone on."""
        self.check_kept(*self.begin_gated_search())

    def test_one_event_while_the_prompt_is_read(self):
        """Guards against resuming a stream at a position that has passed."""
        future, gate = self.begin_gated_search()
        self.silent.allow(6)
        self.await_true(lambda: self.find_progress(6))
        gate.open()
        self.await_true(self.find_ended_search)
        self.silent.allow(ALL)
        self.check_complete(future)

    def find_progress(self, position):
        return [
            stream
            for stream in self.router.relay._streams
            if stream.expected == position
        ]

    def test_engine_closes_while_the_prompt_is_read(self):
        """Guards against dropping the search when the engine breaks off."""
        future, gate = self.begin_gated_search()
        self.silent.stream.abort(False)
        self.await_true(self.has_lost_source)
        gate.open()
        self.check_complete(future)

    def has_lost_source(self):
        return all(
            stream.source is None for stream in self.router.relay._streams
        )

    def test_engine_goes_on_and_closes_while_the_prompt_is_read(self):
        """Guards against forgetting a break-off that a search has hidden."""
        future, gate = self.begin_gated_search()
        self.silent.allow(6)
        self.await_true(lambda: self.find_progress(6))
        self.silent.stream.abort(False)
        self.await_true(self.has_lost_source)
        gate.open()
        self.check_complete(future)

    def test_retry_budget_used_up_before_the_search(self):
        """Guards against an answer that ends with the retry budget."""
        self.budget.left = 0
        future = self.begin_search()
        self.continue_after(self.find_ended_search)
        self.check_complete(future)

    def test_engine_removed_while_the_room_is_reserved(self):
        """Guards against an answer that ends with the other engine's row."""
        future, gate = self.begin_gated_search("reserve")
        self.change(e2=GONE)
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_silent_engine_removed_during_the_search(self):
        """Guards against ending a stream with its engine's row."""
        self.other.refuses_holds = True
        future, gate = self.begin_gated_search("reserve")
        self.change(e1=GONE)
        gate.open()
        self.continue_after(self.find_ended_search)
        self.check_complete(future)

    def test_key_revoked_while_the_prompt_is_read(self):
        """Guards against an answer that ends with its key."""
        future, gate = self.begin_gated_search()
        self.source.change(self.make_tables(keys=("k-new",)))
        gate.open()
        self.check_complete(future)

    def test_route_removed_while_the_prompt_is_read(self):
        """Guards against an answer that ends with its route."""
        future, gate = self.begin_gated_search()
        self.source.change(self.make_tables(routes=False))
        gate.open()
        self.check_complete(future)

    def test_pool_removed_while_the_prompt_is_read(self):
        """Guards against an answer that ends with its pool."""
        future, gate = self.begin_gated_search()
        self.source.change(self.make_tables(pools=("app",), routes=False))
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_prefill_engine_removed_while_the_room_is_reserved(self):
        """Guards against an answer that ends with a closed client."""
        future, gate = self.begin_gated_search("reserve")
        self.change(e0=GONE)
        gate.open()
        self.check_complete(future)

    def test_no_prompt_is_read_for_the_silent_engine(self):
        """Guards against searches that reserve room at the silent engine
        itself and read the prompt for it, because no other one has room.
        """
        self.other.refuses_holds = True
        future = self.begin_search()
        self.continue_after(lambda: len(self.find_ended_search()) > 1)
        self.check_complete(future)
        self.assertEqual(self.prefill.calls.count("prefill"), 1, self.trace())

    def test_silent_engine_is_excluded_after_a_release(self):
        """Guards against a search that chooses the silent engine itself
        because all others have registered since the request arrived.
        """
        self.change(e2=GONE)
        submitted = []
        submit = self.router.scheduling.submit
        self.patch(
            self.router.scheduling,
            "submit",
            lambda job: submitted.append(job) or submit(job),
        )
        future = self.begin_search()
        self.await_true(lambda: len(submitted) > 1)
        self.silent.allow(ALL)
        self.assertIn("e1", submitted[1].excluded_upstreams)
        self.check_complete(future)


class AfterLeavingTest(SearchTest):
    """The next engine fails after the silent one has been left."""

    def test_refused_after_the_grant(self):
        """Guards against leaving an engine for one that refuses the decode
        although it has granted the room.
        """
        future = self.begin_search(*["refuse"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_restarted_under_another_name(self):
        """Guards against leaving an engine for one that has restarted since
        it granted the room.
        """
        future = self.begin_search(*["misdirect"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_reset_instead_of_an_answer(self):
        """Guards against leaving an engine for one that resets the decode."""
        future = self.begin_search(*["reset"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_closed_instead_of_an_answer(self):
        """Guards against leaving an engine for one that closes the decode's
        connection without an answer.
        """
        future = self.begin_search(*["close"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_closed_before_the_first_event(self):
        """Guards against leaving an engine for one that has accepted the
        decode and closes before its first event.
        """
        future = self.begin_search(*["head_close"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_silent_after_its_head(self):
        """Guards against two runs at a time while an engine that has accepted
        the decode sends no event.
        """
        self.other.allow(order_fixture.FIRST_IDS)
        future = self.begin_search()
        self.await_true(self.silent.is_left)
        self.other.allow(ALL)
        reply = self.check_complete(future)
        self.assertEqual(reply.headers["Server-Seal"], "seal-e1")

    def test_events_received_before_the_engine_is_left(self):
        """Guards against leaving an engine whose next events have arrived
        and are read only after the decision.
        """
        future, gate = self.begin_gated_search("prefill", *["refuse"] * OFTEN)
        pause = gated_engine.Gate()
        self.router.loop.post(pause.wait)
        self.await_gate(pause)
        self.silent.allow(ALL)
        self.await_true(lambda: self.silent.has_ended)
        gate.open()
        self.await_true(lambda: self.router.loop._posted)
        pause.open()
        self.check_complete(future)

    def test_half_an_event_before_the_engine_is_left(self):
        """Guards against leaving an engine that has sent a part of its next
        event.
        """
        half = self.silent.place_gate("half")
        future, gate = self.begin_gated_search("prefill", *["refuse"] * OFTEN)
        self.silent.allow(ALL)
        self.await_gate(half)
        self.await_true(
            lambda: all(
                stream._partial_event for stream in self.router.relay._streams
            )
        )
        gate.open()
        self.await_true(self.is_left_or_kept)
        half.open()
        self.check_complete(future)

    def test_connection_closed_while_the_prompt_is_read(self):
        """Guards against leaving an engine before the next one's connection
        has been checked.
        """
        self.refuse_new_decodes()
        future, gate = self.begin_gated_search()
        self.other.close_idle()
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_old_connection_and_no_new_one(self):
        """Guards against leaving an engine before an old connection to the
        next one has been replaced.
        """
        self.patch(decode_call, "MAX_UNUSED_AGE_MS", 0)
        self.refuse_new_decodes()
        future, gate = self.begin_gated_search()
        self.other.stop_listening()
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def check_withdrawn(self, state):
        """Check a stream whose next engine is withdrawn before the send."""
        self.refuse_new_decodes()
        future, gate = self.begin_gated_search()
        self.change(e2=state)
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)
        self.assertEqual(self.other.decodes, [])

    def test_drained_while_the_prompt_is_read(self):
        """Guards against leaving an engine for one that drains."""
        self.check_withdrawn(LEAVING)

    def test_removed_while_the_prompt_is_read(self):
        """Guards against leaving an engine for one that was removed."""
        self.check_withdrawn(GONE)

    def test_withdrawn_engine_is_released(self):
        """Guards against a connection and a reservation that stay open at
        an engine that was withdrawn before the decode was sent.
        """
        future, gate = self.begin_gated_search()
        self.change(e2=LEAVING)
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)
        is_released = processes.wait_until(
            lambda: "drop" in self.other.calls, 1
        )
        self.assertTrue(is_released, self.trace())

    def test_grant_lapsed_while_the_prompt_is_read(self):
        """Guards against leaving an engine for one that is full again since
        its grant has lapsed.
        """
        future, gate = self.begin_gated_search()
        self.other.is_full = True
        self.clock.shift_ms += self.hold_ms + 1
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_handle_lapsed_before_it_is_fetched(self):
        """Guards against an answer that ends with a lapsed prefill result
        although the next engine can read the prompt itself.
        """
        self.patch(model_engines, "DECODE_REASSIGN_TIMEOUT_MS", LONG_MS)
        future, gate = self.begin_gated_search("decode")
        self.handles.clear()
        gate.open()
        self.check_complete(future)

    def test_handle_lapsed_and_retry_budget_used_up(self):
        """Guards against leaving an engine for one that cannot fetch the
        prefill result when no retry is left.
        """
        future, gate = self.begin_gated_search("decode")
        self.handles.clear()
        self.budget.left = 0
        self.silent.allow(ALL)
        gate.open()
        self.check_complete(future)

    def test_pool_removed_before_the_answer(self):
        """Guards against leaving an engine when the pool's removal leaves no
        further attempt after a refusal.
        """
        future, gate = self.begin_gated_search("decode", *["refuse"] * OFTEN)
        self.source.change(self.make_tables(pools=("app",), routes=False))
        self.silent.allow(ALL)
        gate.open()
        self.check_complete(future)

    def test_prompt_not_read_and_refused(self):
        """Guards against leaving an engine for one without the prompt."""
        self.patch(prefill_timeouts, "MIN_TIMEOUT_MS", SHORT_MS)
        future, gate = self.begin_gated_search("prefill", *["refuse"] * OFTEN)
        self.continue_after(self.is_left_or_kept)
        gate.open()
        self.check_complete(future)

    def test_silent_engine_kept_until_the_prompt_is_read(self):
        """Guards against leaving an engine while the next one still reads
        the prompt itself.
        """
        self.patch(prefill_timeouts, "MIN_TIMEOUT_MS", SHORT_MS)
        future, gate = self.begin_gated_search("prefill")
        reading = self.other.place_gate("decode")
        self.await_true(reading.reached.is_set)
        is_left = self.silent.is_left()
        self.silent.allow(ALL)
        reading.open()
        gate.open()
        self.check_complete(future)
        self.assertFalse(is_left, self.trace())

    def test_end_not_received_and_refused(self):
        """Guards against leaving an engine that has sent its last event, but
        not its end, for one that refuses to go on from there.
        """
        gate = self.silent.place_gate("end")
        future = self.begin_search(*["refuse"] * OFTEN, events=ALL)
        self.await_true(self.is_decode_sent)
        gate.open()
        self.check_complete(future)

    def test_end_received_while_the_prompt_is_read(self):
        """Guards against a run of a stream that has ended."""
        end = self.silent.place_gate("end")
        future = self.begin_stream(ALL)
        gate = self.prefill.place_gate("prefill")
        self.change(e2=READY)
        self.await_gate(gate)
        end.open()
        self.await_true(lambda: self.silent.has_ended)
        gate.open()
        self.await_true(self.find_ended_search)
        self.check_complete(future)
        self.assertEqual(self.other.decodes, [])

    def test_end_sent_by_the_other_engine(self):
        """Guards against an answer without its end."""
        self.silent.place_gate("end")
        future = self.begin_search(events=ALL)
        self.check_complete(future)
        self.assertEqual(self.other.decodes[0]["Last-Event-Id"], str(ALL))


class SilentReplacementTest(SearchTest):
    """The next engine does not answer the decode."""

    route_ms = 2_000

    def test_unresponsive_after_the_grant(self):
        """Guards against leaving an engine for one that does not answer."""
        future, gate = self.begin_gated_search("decode")
        self.silent.allow(ALL)
        self.check_complete(future)
        gate.open()


class ManyAttemptsTest(SearchTest):
    """A route that allows more attempts than the retry budget."""

    max_attempts = 4
    hold_ms = 4_000

    def test_retry_budget_used_up_after_a_refusal(self):
        """Guards against leaving an engine when one refusal is final."""
        self.budget.left = 1
        future = self.begin_search(*["refuse"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_retry_budget_used_up_after_an_unsent_decode(self):
        """Guards against a retry that is charged though nothing was sent."""
        self.budget.left = 1
        future, gate = self.begin_gated_search()
        self.other.close_idle()
        self.patch(self.router.scheduling, "reassign_decode", _find_none)
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_start_deadline_passed_while_the_prompt_is_read(self):
        """Guards against leaving an engine when the time for a further
        attempt has passed.
        """
        future, gate = self.begin_gated_search("prefill", *["reset"] * OFTEN)
        # The grant still holds, but no job may start any more.
        self.clock.shift_ms += self.hold_ms - START_MARGIN_MS
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_all_attempts_refused(self):
        """Guards against an answer that ends with its route's attempts."""
        future = self.begin_search(*["refuse"] * OFTEN)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)


class BeforeFirstEventTest(SearchTest):
    """An engine that has sent its head and no event."""

    def setUp(self):
        super().setUp()
        self.patch(
            model_run.ModelRequest,
            "compute_first_token_timeout_ms",
            lambda request: order_fixture.STALL_MS,
        )

    def test_refused_before_the_first_event(self):
        """Guards against an error instead of a late answer."""
        future = self.begin_search(*["refuse"] * OFTEN, events=0)
        self.continue_after(self.is_decode_sent)
        self.check_complete(future)

    def test_key_revoked_before_the_first_event(self):
        """Guards against leaving an engine for a search that is not allowed
        to begin.
        """
        future = self.begin_stream(0)
        self.states["e2"] = READY
        self.source.change(self.make_tables(keys=("k-new",)))
        self.continue_after(self.find_ended_search)
        self.check_complete(future)


def _wait_after(client, gate):
    """Return the client's lookup of its pool, followed by a gate."""
    get_pool = client._get_pool

    def get_and_wait():
        connections = get_pool()
        gate.wait()
        return connections

    return get_and_wait


def _find_none(*_):
    """Find no other engine for a decode."""

    def test_tokens_lapsed_before_the_first_event(self):
        """Guards against leaving an engine for a search that has no tokens."""
        future = self.begin_stream(0)
        self.allowances.has_lapsed = True
        self.change(e2=READY)
        self.continue_after(self.find_ended_search)
        self.check_complete(future)


class StoppingTest(SearchTest):
    """Base class: the VM is stopped."""

    def setUp(self):
        super().setUp()
        self.patch(shutdown, "ENTRY_TTL_MARGIN_MS", 0)

    def stop_router(self):
        """Start a graceful stop; return once new requests are rejected."""
        self.begin_stop()
        self.await_true(lambda: self.router.is_rejecting)

    def connect(self):
        connection = socket.create_connection(
            (gated_engine.HOST, self.router.port), order_fixture.WAIT_S
        )
        self.addCleanup(connection.close)
        return connection

    def send_raw(self, connection, body=b"{}"):
        """Send a request whose body has two bytes, or a part of it."""
        lines = ["POST /plain/a HTTP/1.1", "Content-Length: 2"]
        lines += [f"{name}: {value}" for name, value in HEADERS.items()]
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def read_status(self, connection):
        """Return the status line of an answer; empty if there is none."""
        with contextlib.suppress(ConnectionError):
            return connection.makefile("rb").readline().strip()
        return b""


class StopTest(StoppingTest):
    """The VM is stopped while requests are at some step."""

    def test_search_during_the_stop(self):
        """Guards against a stop that ends a search."""
        future, gate = self.begin_gated_search()
        self.stop_router()
        gate.open()
        self.check_complete(future)

    def test_search_and_refusal_during_the_stop(self):
        """Guards against a stop that leaves no engine to a stream."""
        future, gate = self.begin_gated_search("reserve")
        self.stop_router()
        self.other.stop_listening()
        self.other.close_idle()
        gate.open()
        self.continue_after(self.is_left_or_kept)
        self.check_complete(future)

    def test_stop_before_the_first_event(self):
        """Guards against a stop that ends a request without its answer."""
        gate = self.silent.place_gate("decode")
        future = self.send()
        self.await_gate(gate)
        self.stop_router()
        gate.open()
        self.check_complete(future)

    def test_stop_while_the_prompt_is_read(self):
        """Guards against a stop between the two calls of a request."""
        gate = self.prefill.place_gate("prefill")
        future = self.send()
        self.await_gate(gate)
        self.stop_router()
        gate.open()
        self.check_complete(future)

    def test_stop_before_the_end(self):
        """Guards against a stop between the last event and the end."""
        gate = self.silent.place_gate("end")
        future = self.begin_stream(ALL)
        self.await_gate(gate)
        self.stop_router()
        gate.open()
        self.check_complete(future)

    def test_configuration_during_the_stop(self):
        """Guards against tables that a stopping VM no longer applies."""
        future = self.begin_stream()
        self.stop_router()
        self.change(e2=READY)
        self.check_complete(future)
        self.assertTrue(self.other.decodes, self.trace())

    def test_booking_during_the_stop(self):
        """Guards against a stop that ends a call without its answer."""
        gates = [self.engines[name].place_gate("call") for name in SERVICES]
        future = self.send("/book/a", headers={})
        self.await_true(lambda: any(gate.reached.is_set() for gate in gates))
        self.stop_router()
        for gate in gates:
            gate.open()
        self.assertEqual(future.result(order_fixture.WAIT_S).status, 200)

    def call(self, connection):
        """Send a call on a kept connection and return the status."""
        connection.request("POST", "/plain/a", b"{}", HEADERS)
        reply = connection.getresponse()
        reply.read()
        return reply.status

    def test_kept_connection_after_the_drain(self):
        """Guards against a request that is read and not answered because
        the server stops at that moment.
        """
        connection = http.client.HTTPConnection(
            gated_engine.HOST, self.router.port, order_fixture.WAIT_S
        )
        self.addCleanup(connection.close)
        self.assertEqual(self.call(connection), 200)
        connection.auto_open = 0
        gate = gated_engine.Gate()
        stop = self.router.server.stop
        self.patch(self.router.server, "stop", lambda: (gate.wait(), stop()))
        self.begin_stop()
        self.await_gate(gate)
        self.assertEqual(self.call(connection), 503)
        gate.open()

    def test_body_completed_after_the_server_stops(self):
        """Guards against a request that is read and not answered because
        the server stops while its body arrives.
        """
        connection = self.connect()
        self.send_raw(connection, b"{")
        budget = self.router.relay.guard._budget
        self.await_true(lambda: budget.requests_bytes)
        self.begin_stop()
        self.await_true(lambda: self.router.server.requests._is_stopping)
        with contextlib.suppress(ConnectionError):
            connection.sendall(b"}")
        self.assertIn(b" 503 ", self.read_status(connection))


class FewThreadsTest(StoppingTest):
    """A connection waits for the only worker while the VM stops."""

    threads = 1

    def test_waiting_connection_is_answered(self):
        """Guards against closing a connection that waits for a worker
        without an answer.
        """
        server, chain = self.router.server, self.router.gateway.chain
        stop, handle = server.stop, chain.handle
        stopping, handling = gated_engine.Gate(), gated_engine.Gate()
        self.patch(server, "stop", lambda: (stopping.wait(), stop()))
        self.patch(
            chain,
            "handle",
            lambda exchange: (handling.wait(), handle(exchange))[1],
        )
        self.begin_stop()
        self.await_gate(stopping)
        first, second = self.connect(), self.connect()
        self.send_raw(first)
        self.await_gate(handling)
        self.send_raw(second)
        self.await_true(lambda: server.requests.qsize)
        stopping.open()
        self.await_true(lambda: server.requests._is_stopping)
        handling.open()
        self.assertIn(b" 503 ", self.read_status(first))
        self.assertIn(b"HTTP/1.1 ", self.read_status(second))


class QueuedStopTest(StoppingTest):
    """A stream waits in the queue while the VM stops."""

    slots = 1

    def test_stop_while_a_stream_is_queued(self):
        """Guards against a stop that ends a queued request."""
        first = self.begin_stream()
        second = self.send()
        self.await_true(lambda: self.router.scheduling.waiting)
        self.stop_router()
        self.silent.allow(ALL)
        self.check_complete(first)
        self.check_complete(second)


class ServiceTest(SearchTest):
    """Calls to plain services while tables change."""

    route_ms = 2_000

    def begin_call(self, path):
        """Send a call; return the server that it waits at, and its gate."""
        gates = {
            name: self.engines[name].place_gate("call") for name in SERVICES
        }
        future = self.send(path, headers={})
        self.await_true(
            lambda: any(gate.reached.is_set() for gate in gates.values())
        )
        name = next(n for n in SERVICES if gates[n].reached.is_set())
        return future, name, gates

    def check_kept(self, path, **options):
        """Check a call during which new tables come into force."""
        future, name, gates = self.begin_call(path)
        self.states[name] = GONE
        self.source.change(self.make_tables(**options))
        gates[name].open()
        reply = future.result(order_fixture.WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
        self.assertEqual(reply.body, name.encode())

    def test_booking_whose_server_is_removed(self):
        """Guards against closing a booking's connection with its row."""
        self.check_kept("/book/a")

    def test_booking_whose_pool_and_key_are_removed(self):
        """Guards against ending a booking with its configuration."""
        self.check_kept("/book/a", pools=(), routes=False, keys=("k-new",))

    def test_call_whose_pool_and_key_are_removed(self):
        """Guards against ending a call with its configuration."""
        self.check_kept("/plain/a", pools=(), routes=False, keys=("k-new",))

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

    def test_silent_server_and_refusal(self):
        """Guards against leaving a silent server for one that refuses."""
        future, name, gates = self.begin_call("/plain/a")
        (other,) = set(SERVICES) - {name}
        self.engines[other].actions.extend(["refuse"] * OFTEN)
        gates[other].open()
        self.await_true(lambda: self.engines[other].calls)
        gates[name].open()
        reply = future.result(order_fixture.WAIT_S)
        self.assertEqual(reply.status, 200, self.trace())
