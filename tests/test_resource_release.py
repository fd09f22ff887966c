"""Tests that requests which fail by an exception leave nothing behind."""

import unittest
from unittest import mock

from mulberryway.controllers import scheduling
from mulberryway.filters import attempt
from mulberryway.filters import authentication
from mulberryway.filters import model_engines
from mulberryway.filters import model_forward
from mulberryway.filters import model_job
from mulberryway.filters import model_run
from mulberryway.upstreams import directory
from mulberryway.upstreams import http_engine
from tests import processes
from tests import router_fixture

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
