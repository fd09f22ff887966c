"""Tests of the load generator: plans, calls and report."""

import json
import pathlib
import tempfile
import unittest

from mulberryway import errors
from mulberryway.load import caller
from mulberryway.load import outcome
from mulberryway.load import plan
from mulberryway.load import report
from standins import answers
from tests import processes

GOOD = """
[load]
addresses = ["127.0.0.1:1"]
seed = 3
[[caller]]
account = "a"
key = "k"
rate = 20.0
"""


def make_caller(**values):
    return plan.ClientProfile("a", "k", **values)


class PlanTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "load.toml"
            file.write_text(text, encoding="utf-8")
            return plan.read_plan(str(file))

    def test_calls_depend_only_on_the_seed(self):
        calls = [
            [
                (call.at_ms, call.prompt, call.max_tokens)
                for call in plan.plan_calls(self.read(text))
            ]
            for text in (GOOD, GOOD, GOOD.replace("seed = 3", "seed = 4"))
        ]
        self.assertEqual(calls[0], calls[1])
        self.assertNotEqual(calls[0], calls[2])
        self.assertTrue(100 < len(calls[0]) < 300)

    def test_prompts_share_their_account_prefix(self):
        row = make_caller(burst=2, prefix_tokens=50, prompt_tokens=(100, 101))
        first, second = plan.plan_calls(plan.LoadPlan(("x",), (row,)))
        self.assertEqual(first.prompt[:200], second.prompt[:200])
        self.assertNotEqual(first.prompt, second.prompt)
        self.assertIn(answers.count_prompt_tokens(first.prompt), (100, 101))

    def test_invalid_plans(self):
        for text, key in (
            (GOOD + "rat = 1", "caller[0].rat"),
            (GOOD.replace('key = "k"', ""), "caller[0]"),
            (GOOD.replace("seed", "sed"), "load.sed"),
            ("[load", "file"),
        ):
            with (
                self.subTest(key=key),
                self.assertRaises(errors.SettingsError) as caught,
            ):
                self.read(text)
            self.assertEqual(caught.exception.key, key)


class OutcomeTest(unittest.TestCase):
    def test_complete_stream_meets_both_targets(self):
        result = outcome.Outcome(0, "a", "stream")
        result.first_ms = 1_100
        result.gaps_ms = [63.0] * 95 + [500.0] * 5
        self.assertFalse(result.meets_targets())
        result.is_whole = True
        self.assertTrue(result.meets_targets())
        result.gaps_ms[0] = 64.0
        self.assertFalse(result.meets_targets())


class CallerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = processes.Group()
        cls.addClassCleanup(group.stop)
        _, ports = processes.start_engines(group, ("both",), "--token_ms=5")
        cls.engine = f"{processes.HOST}:{ports[0]}"
        cls.engine_port = ports[0]
        _, cls.service_port = processes.start_standin(group, "service")

    def run_calls(self, address, row, **values):
        plan_ = plan.LoadPlan((address,), (row,), **values)
        outcomes, elapsed_ms = caller.run_plan(plan_)
        summary = report.summarise(outcomes, elapsed_ms)
        self.assertIn("all", report.format_table(summary))
        json.dumps([item.to_json() for item in outcomes])
        return plan.plan_calls(plan_), outcomes, summary

    def test_completions_arrive_as_generated(self):
        for kind in ("stream", "whole"):
            row = make_caller(
                kind=kind,
                burst=8,
                output_tokens=(5, 9),
                prompt_tokens=(20, 40),
            )
            calls, outcomes, summary = self.run_calls(self.engine, row)
            for call, result in zip(calls, outcomes, strict=True):
                expected = answers.Answer("m", call.prompt, call.max_tokens)
                self.assertEqual(result.text, expected.text())
                self.assertTrue(result.is_whole and result.in_order)
            self.assertEqual(summary["all"]["whole"], 8)

    def test_rejections_are_counted_by_code(self):
        row = make_caller(burst=3, model="unknown")
        _, _, summary = self.run_calls(self.engine, row)
        self.assertEqual(summary["all"]["refused"], 3)
        self.assertEqual(sum(summary["all"]["refusals"].values()), 3)

    def test_plain_call_is_retried_only_if_idempotent(self):
        """Guards against a duplicate booking: its response is lost, and the
        call has no idempotency key, so it must not be retried.
        """
        for once, whole in ((False, 0), (True, 1)):
            processes.call(
                self.service_port,
                "POST",
                "/standin/faults",
                {"lost_replies": 1},
            )
            row = make_caller(
                kind="plain",
                burst=1,
                path="/bookings",
                body="pen {number}",
                once=once,
            )
            address = f"{processes.HOST}:{self.service_port}"
            _, outcomes, summary = self.run_calls(address, row)
            self.assertEqual(summary["all"]["whole"], whole)
            self.assertEqual(outcomes[0].attempts, 1 + once)


if __name__ == "__main__":
    unittest.main()
