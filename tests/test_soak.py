"""The soak: its checks find what they are for, and short seeds hold."""

import unittest

from soak import checks
from soak import history
from soak import plan
from soak import run

RequestKind = history.RequestKind
QUOTA = run.QUOTA
SHORT = plan.SoakConfig(
    vms=2, decodes=2, services=2, chains=2, length_ms=4_000
)


def make_attempt(name="a", kind=RequestKind.PLAIN, status=200, **values):
    """An attempt that went well, but for what is given."""
    attempt = history.Attempt(name, kind, "k", 0, 10_000)
    attempt.ended_ms = 10_100
    attempt.path = f"/{kind.value}/{name}"
    attempt.status = status
    attempt.seal = "s"
    attempt.echoed_id = name
    attempt.body = f"POST {attempt.path} ".encode()
    if kind.is_stream:
        attempt.body = make_stream(range(1, checks.EVENTS + 1))
    for field, value in values.items():
        setattr(attempt, field, value)
    return attempt


def make_stream(numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def make_run(attempt="a", instance="s0-life1", **values):
    given = {"account": "large", "at_ms": 10_050, "seal": "s", "text": ""}
    return history.Run(attempt, instance, **(given | values))


def make_history(attempts, runs=(), windows=(), edits=()):
    seen = history.History({"k": "large", "k-small": "small"}, 2)
    seen.services = {"s0-life1": "app", "d0-life1": "llm"}
    seen.attempts = list(attempts)
    seen.runs = list(runs)
    seen.fault_windows = list(windows)
    seen.edits = list(edits)
    seen.recovered_ms = 1 << 60
    return seen


class ChecksTest(unittest.TestCase):
    """Each check against a history that breaks just its promise."""

    def check(self, *parts, **more):
        return checks.find_violations(make_history(*parts, **more), QUOTA)

    def find(self, needle, *parts, **more):
        found = self.check(*parts, **more)
        self.assertTrue(any(needle in one for one in found), found)

    def test_sound_history(self):
        stream = make_attempt("b", RequestKind.SINGLE_RUN_STREAM)
        runs = [make_run(), make_run("b", "d0-life1")]
        self.assertEqual(self.check([make_attempt(), stream], runs), [])

    def test_booking_that_runs_twice(self):
        self.find(
            "ran 2 times",
            [make_attempt(kind=RequestKind.NON_IDEMPOTENT)],
            [make_run(), make_run()],
        )

    def test_run_for_another_account(self):
        self.find("for small", [make_attempt()], [make_run(account="small")])

    def test_run_at_another_service(self):
        self.find(
            "where it must not",
            [make_attempt()],
            [make_run(instance="d0-life1")],
        )

    def test_run_that_nobody_sent(self):
        self.find("no caller sent", [], [make_run()])

    def test_key_that_an_upstream_saw(self):
        self.find(
            "showed its key", [make_attempt()], [make_run(text="Token k")]
        )

    def test_refusal_of_what_ran(self):
        refused = make_attempt(status=503, retry_after="1")
        self.find("and ran", [refused], [make_run()])

    def test_refusal_that_does_not_say_when(self):
        self.find("without a time", [make_attempt(status=429)])

    def test_answer_of_another_request(self):
        self.find("not its own", [make_attempt(echoed_id="b")], [make_run()])

    def test_short_answer_that_looks_whole(self):
        body = make_stream(range(1, 9))
        self.find(
            "as whole",
            [make_attempt(kind=RequestKind.SINGLE_RUN_STREAM, body=body)],
            [make_run(instance="d0-life1")],
        )

    def test_event_that_comes_twice(self):
        body = make_stream([1, 2, 2, 3])
        self.find(
            "got events",
            [
                make_attempt(
                    kind=RequestKind.RESUMABLE_STREAM, body=body, is_cut=True
                )
            ],
            [make_run(instance="d0-life1")],
        )

    def test_withdrawn_key_that_still_serves(self):
        edit = history.Edit("withdraw", "k", 5_000)
        self.find("withdrawn", [make_attempt()], [make_run()], edits=[edit])

    def test_key_that_is_denied(self):
        edit = history.Edit("give", "k", 5_000)
        self.find("denied", [make_attempt(status=401)], edits=[edit])

    def test_new_route_that_is_missing(self):
        edit = history.Edit("add", "/late/", 5_000)
        late = make_attempt(kind=RequestKind.ADDED_ROUTE, status=404)
        self.find("no route", [late], edits=[edit])

    def test_route_that_goes_again(self):
        late = make_attempt(kind=RequestKind.ADDED_ROUTE)
        gone = make_attempt(
            "b", RequestKind.ADDED_ROUTE, 404, began_ms=20_000, ended_ms=20_010
        )
        self.find("had shown", [late, gone], [make_run()])

    def test_upstream_that_left(self):
        edit = history.Edit("leave", "s0-life1", 5_000)
        self.find("had left", [make_attempt()], [make_run()], edits=[edit])

    def test_planned_stop_that_cuts(self):
        window = history.FaultWindow("vm_term", "vm-0", 9_900, 12_000)
        lost = make_attempt(status=0)
        self.find("lost its answer", [lost], [make_run()], [window])

    def test_answer_long_after_the_deadline(self):
        late = make_attempt(ended_ms=16_000)
        self.find("after 6000 ms", [late], [make_run()])

    def test_calm_in_which_too_little_is_served(self):
        seen = make_history([make_attempt(status=502)])
        seen.recovered_ms = 0
        found = checks.find_violations(seen, QUOTA)
        self.assertIn("after all faults 0 of 1 were served", found)

    def test_end_of_its_own_and_held_memory(self):
        seen = make_history([])
        seen.unexpected_exits.append("vm-0")
        seen.held = 2
        self.assertEqual(len(checks.find_violations(seen, QUOTA)), 2)

    def test_account_over_its_rate(self):
        count = int(QUOTA.compute_max_tokens() / 200) + 1
        sent = [make_attempt(f"q{n}", key="k-small") for n in range(count)]
        for one in sent:
            one.body = f"POST {one.path} ".encode()
        runs = [make_run(f"q{n}", account="small") for n in range(count)]
        self.find("small used", sent, runs)

    def test_fault_of_the_vm_itself_excuses(self):
        edit = history.Edit("withdraw", "k", 5_000)
        window = history.FaultWindow("vm_pause", "vm-0", 9_000, 10_000)
        found = self.check([make_attempt()], [make_run()], [window], [edit])
        self.assertEqual(found, [])


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_the_same_plan(self):
        shape = plan.SoakConfig()

        def describe():
            return [
                (step.at_ms, step.kind, step.target, step.duration_ms)
                for step in plan.make_fault_schedule(5, shape)
            ]

        self.assertEqual(describe(), describe())

    def test_faults_end_before_the_calm(self):
        shape = plan.SoakConfig()
        for seed in range(200):
            for step in plan.make_fault_schedule(seed, shape):
                self.assertLessEqual(step.at_ms + step.duration_ms, 10_000)

    def test_every_fault_is_drawn(self):
        kinds = {
            step.kind
            for seed in range(400)
            for step in plan.make_fault_schedule(seed, plan.SoakConfig())
        }
        known = {
            kind for kinds_, _ in plan.WEIGHTED_FAULT_GROUPS for kind in kinds_
        }
        self.assertEqual(kinds, known)


class SeedsTest(unittest.TestCase):
    """Real processes under faults."""

    def hold(self, seed, shape):
        outcome = run.run_seed(seed, shape)
        self.assertEqual(outcome.broken, [], outcome.describe())

    def test_short_seeds(self):
        """A few seconds of faults that overlap; every promise holds."""
        for seed in (101, 102):
            with self.subTest(seed=seed):
                self.hold(seed, SHORT)

    def test_prefill_engine_that_became_a_decode_engine(self):
        """Seed 1: after an order an engine's entry still says prefill, and
        each prompt that it drew was refused.  Callers of streams got one
        refusal in seven for as long as the entry was wrong.
        """
        self.hold(1, plan.SoakConfig())
