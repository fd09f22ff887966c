"""Tests of servers that answer a request twice."""

import itertools
import time
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.policy import connection_reuse
from mulberryway.upstreams import connections
from tests import copying_server

Moment, Shape = copying_server.Moment, copying_server.Shape
# A connect whose first packet is lost takes a second longer.
TIMEOUT_MS = 5_000
WAIT_S = 5
STATUSES = (200, 500, 503)
CASES = tuple(itertools.product(Moment, Shape, STATUSES))


def make_client(address):
    return connections.UpstreamClient(
        address, clock.SystemClock(), wire.ATTEMPT_ID
    )


def call(client, target, attempt=None, **options):
    headers = {} if attempt is None else {"Attempt-Id": attempt}
    return client.call(
        options.pop("method", "GET"),
        target,
        headers,
        options.pop("body", None),
        TIMEOUT_MS,
        errors.Step.SERVICE,
        **options,
    )


class CopiedAnswerTest(unittest.TestCase):
    def play(self, case, first_id, next_id):
        """Call a server twice, and return it with the second result."""
        server = copying_server.CopyingServer(*case)
        self.addCleanup(server.close)
        client = make_client(server.address)
        self.addCleanup(client.close)
        first = call(client, "/first", first_id)
        self.assertEqual(first.ok.body, b"/first")
        if case[0] is Moment.AT_REST:
            self.assertTrue(server.has_copied.wait(WAIT_S))
            time.sleep(copying_server.PAUSE_S)
        return server, call(client, "/next", next_id)

    def check(self, first_id, next_id):
        """Check that no request gets the copy of another one's answer."""
        for case in CASES:
            with self.subTest(" ".join(map(str, case))):
                _, second = self.play(case, first_id, next_id)
                if second.is_ok():
                    self.assertEqual(second.ok.body, b"/next")
                    self.assertEqual(second.ok.status, 200)
                else:
                    # A copy that arrives during the next request takes the
                    # place of its response.
                    self.assertIs(case[0], Moment.DURING_NEXT)
                    self.assertIs(
                        second.error.run, errors.ExecutionStatus.MAY_HAVE_RUN
                    )

    def test_other_id(self):
        """Guards against copies that callers get as their own answer, and
        against calls that fail for a copy which was there before them.
        """
        self.check("a", "b")

    def test_same_id(self):
        """Guards against the copy of a rejection that is taken for the
        rejection of a second try, which has run.
        """
        self.check("a", "a")

    def test_without_an_id(self):
        """Guards against the copy of a control call's or a prefill's answer
        that is read as the answer of the next control call.
        """
        self.check("a", None)
        self.check(None, None)
        self.check(None, "b")

    def test_id_in_other_case(self):
        """Guards against answers that are not compared because the caller
        spells the header in its own way.
        """
        server = copying_server.CopyingServer(Moment.DURING_NEXT, Shape.LENGTH)
        self.addCleanup(server.close)
        client = make_client(server.address)
        self.addCleanup(client.close)
        for attempt, target in (("a", "/first"), ("b", "/next")):
            result = client.call(
                "GET",
                target,
                {"attempt-ID": attempt},
                None,
                TIMEOUT_MS,
                errors.Step.SERVICE,
            )
            if result.is_ok():
                self.assertEqual(result.ok.body, target.encode())

    def test_connections_are_not_reused_after_a_copy(self):
        """Guards against a server that goes on answering twice, and whose
        copies make one call after another fail.
        """
        server = copying_server.CopyingServer(Moment.DURING_NEXT, Shape.LENGTH)
        self.addCleanup(server.close)
        client = make_client(server.address)
        self.addCleanup(client.close)
        results = [
            call(client, f"/{number}", f"id-{number}") for number in range(20)
        ]
        failed = [result for result in results if result.is_error()]
        self.assertLessEqual(len(failed), 1)
        for number, result in enumerate(results):
            if result.is_ok():
                self.assertEqual(result.ok.body, f"/{number}".encode())

    def test_sound_server_keeps_its_connection(self):
        server = copying_server.CopyingServer(Moment.DURING_NEXT, Shape.LENGTH)
        self.addCleanup(server.close)
        client = make_client(server.address)
        self.addCleanup(client.close)
        self.assertTrue(call(client, "/first", "a").is_ok())
        call(client, "/next", "b")
        self.assertEqual(server.uses, [1, 1])


class ConnectionHistoryTest(unittest.TestCase):
    def test_new_connection(self):
        history = connection_reuse.ConnectionHistory()
        self.assertTrue(history.may_carry("a"))

    def test_each_id_once(self):
        history = connection_reuse.ConnectionHistory()
        history.begin("a")
        history.settle()
        self.assertFalse(history.may_carry("a"))
        self.assertFalse(history.may_carry(None))
        self.assertTrue(history.may_carry("b"))

    def test_no_reuse_before_its_answer(self):
        history = connection_reuse.ConnectionHistory()
        history.begin("a")
        self.assertFalse(history.may_carry("b"))

    def test_number_of_ids_is_bounded(self):
        history = connection_reuse.ConnectionHistory()
        for number in range(connection_reuse.MAX_REQUESTS):
            self.assertTrue(history.may_carry(str(number)))
            history.begin(str(number))
            history.settle()
        self.assertFalse(history.may_carry("new"))

    def test_no_reuse_for_a_while(self):
        policy = connection_reuse.ReusePolicy()
        self.assertTrue(policy.may_reuse(0))
        self.assertTrue(policy.record_unsolicited(5))
        self.assertFalse(policy.record_unsolicited(6))
        self.assertFalse(policy.may_reuse(5 + connection_reuse.NO_REUSE_MS))
        self.assertTrue(policy.may_reuse(6 + connection_reuse.NO_REUSE_MS))
