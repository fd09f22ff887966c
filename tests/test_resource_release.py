"""Tests that requests which fail by an exception leave nothing behind."""

import contextlib
import http.client
import time
import unittest
from unittest import mock

from mulberryway.controllers import scheduling
from mulberryway.filters import attempt
from mulberryway.filters import authentication
from mulberryway.filters import base
from mulberryway.filters import model_engines
from mulberryway.filters import model_forward
from mulberryway.filters import model_job
from mulberryway.filters import model_run
from mulberryway.filters import service_forward
from mulberryway.policy import server_selection
from mulberryway.upstreams import directory
from mulberryway.upstreams import http_engine
from mulberryway.upstreams import http_service
from tests import processes
from tests import router_fixture

# Well below the timeout of a test's caller.
MAX_WAIT_S = 10.0
# Each step of a model request from the queue to the hand-over to the relay.
MODEL_STEPS = (
    (scheduling.SchedulingController, "submit"),
    (scheduling.SchedulingController, "wait"),
    (model_job.JobBuilder, "log_decision"),
    (authentication, "revalidate_key"),
    (directory.HttpDirectory, "find_engine"),
    (model_engines.EngineCalls, "find_engine"),
    (model_engines.EngineCalls, "find_version"),
    (attempt, "Attempt"),
    (model_engines.EngineCalls, "run"),
    (http_engine.HttpEngine, "prepare_decode"),
    (scheduling.SchedulingController, "check_running"),
    (scheduling.SchedulingController, "try_send"),
    (http_engine.HttpEngine, "prefill"),
    (scheduling.SchedulingController, "record_prefilled"),
    (http_engine.HttpEngine, "decode"),
    (model_run.ModelRequest, "compute_token_timeout_ms"),
    (model_forward, "_choose_writer"),
    (model_forward.ModelForward, "handle"),
)
PLAIN_STEPS = (
    (directory.HttpDirectory, "find_service"),
    (service_forward.ServiceForward, "_compute_timeouts_ms"),
    (http_service.HttpService, "call"),
)


class InjectedError(Exception):
    """Raised in place of a step."""


class RaisingStep:
    """Replaces a step by an exception, once.

    :param owner: the class or module of the step
    :param name: the step's name
    :param after: whether the step is run before the exception
    """

    def __init__(self, owner, name, after=False):
        self.calls = 0
        original = getattr(owner, name)

        def run(*arguments, **keywords):
            self.calls += 1
            if self.calls > 1:
                return original(*arguments, **keywords)
            if after:
                original(*arguments, **keywords)
            raise InjectedError(name)

        self.patch = mock.patch.object(owner, name, run)

    def __enter__(self):
        self.patch.start()
        return self

    def __exit__(self, *_):
        self.patch.stop()


class ReleaseTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.group = processes.Group()
        cls.addClassCleanup(cls.group.stop)
        engines = [
            router_fixture.make_upstream(role, port)
            for role in ("prefill", "decode")
            for _, port in [
                processes.start_standin(cls.group, "engine", f"--role={role}")
            ]
        ]
        _, port = processes.start_standin(cls.group, "service")
        services = [router_fixture.make_upstream("service", port)]
        cls.fixture = router_fixture.RouterFixture(
            router_fixture.make_tables(engines, services)
        )
        cls.fixture.__enter__()
        cls.addClassCleanup(cls.fixture.__exit__)

    def test_model_request_fails_at_each_step(self):
        """Guards against slots and KV cache that stay taken after an
        exception between the assignment and the end of a request.
        """
        for owner, name in MODEL_STEPS:
            for after in (False, True):
                with (
                    self.subTest(step=name, after=after),
                    RaisingStep(owner, name, after) as step,
                ):
                    reply = self.fixture.complete()
                    self.assertEqual(step.calls, 1)
                    self.assertEqual(reply.status, 500)
                    self.assertTrue(self.fixture.wait_idle())
                    self.assertEqual(self.fixture.complete().status, 200)

    def test_plain_call_fails_at_each_step(self):
        """Guards against calls that count at a server for good after an
        exception between its choice and the end of the call.
        """
        for owner, name in PLAIN_STEPS:
            for after in (False, True):
                counts = {}
                with (
                    self.subTest(step=name, after=after),
                    RaisingStep(owner, name, after) as step,
                    _count_calls(counts, "choose"),
                    _count_calls(counts, "finish"),
                ):
                    reply = self.fixture.call("GET", "/member/a")
                    self.assertEqual(step.calls, 1)
                    self.assertEqual(reply.status, 500)
                    self.assertEqual(counts, {"choose": 1, "finish": 1})
                    self.assertTrue(self.fixture.wait_idle())

    def test_callback_on_the_event_loop_fails(self):
        """Guards against callers that wait for the rest of a stream which an
        exception on the event loop has left open.
        """
        started_s = time.monotonic()
        with (
            RaisingStep(scheduling.SchedulingController, "finish"),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            self.fixture.complete()
        self.assertLess(time.monotonic() - started_s, MAX_WAIT_S)
        self.assertTrue(self.fixture.wait_idle())

    def test_completion_callback_fails(self):
        """Guards against reservations that one failing completion callback
        keeps from being released.
        """
        exchange = base.Exchange(
            "r-1", "GET", "/", "/", [], b"", None, None, None, 0
        )
        released = []
        exchange.add_completion_callback(released.append)
        exchange.add_completion_callback(lambda outcome: 1 // 0)
        outcome = base.Outcome(None, 0, 0)
        exchange.finish(outcome)
        self.assertEqual(released, [outcome])


def _count_calls(counts, name):
    original = getattr(server_selection.ServerSelector, name)

    def run(*arguments, **keywords):
        counts[name] = counts.get(name, 0) + 1
        return original(*arguments, **keywords)

    return mock.patch.object(server_selection.ServerSelector, name, run)
