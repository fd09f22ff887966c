"""Whatever happens, each job has one end and each slot is given back."""

import unittest

import hypothesis
from hypothesis import strategies

from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import scheduler
from tests import policy_cases as cases

ENDS = list(jobs.JobOutcome)
UPSTREAMS = ("p0", "p1", "d0", "d1", "")
POOLS = (
    {"lm": cases.make_pool()},
    {"lm": cases.make_pool(decodes=1, slots=2)},
    {"lm": cases.make_pool(leaving=("p0", "d1"))},
    {},
)
ACTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "submit",
                "submit",
                "dispatch",
                "dispatch",
                "prefilled",
                "first",
                "finish",
                "cancel",
                "pools",
                "load",
                "note",
            )
        ),
        strategies.integers(0, 40),
        strategies.integers(0, 200),
    ),
    max_size=80,
)


class Ledger:
    """Plays acts against a scheduler and keeps each job's end."""

    def __init__(self):
        self.scheduler = scheduler.FairScheduler("vm1", seed=3)
        self.now_ms = 0
        self.pools = POOLS[0]
        self.scheduler.change_pools(self.pools, 0)
        self.ends = {}
        self.running = {}
        self.sequence = 0

    def end(self, job_id, how):
        assert job_id not in self.ends, (job_id, how, self.ends[job_id])
        self.ends[job_id] = how

    def inject_all(self, act, number, later_ms):
        self.now_ms += later_ms
        getattr(self, f"do_{act}")(number)

    def do_submit(self, number):
        job_id = f"j{len(self.ends) + self.sequence}"
        self.sequence += 1
        job_id = f"{job_id}-{self.sequence}"
        job = cases.make_job(
            job_id,
            account="abc"[number % 3],
            now_ms=self.now_ms,
            prompt_tokens=(50, 2_000, 9_000)[number % 3],
            attempt=number % 4 == 0,
            digest=f"x{number % 5}",
        )
        if self.scheduler.submit(job, self.now_ms).is_error():
            self.end(job_id, "refused")

    def do_dispatch(self, number):
        decided = self.scheduler.dispatch(self.now_ms)
        for refusal in decided.refusals:
            self.end(refusal.job_id, "given up")
        for assignment in decided.assignments:
            rows = {row.name: row for row in self.pools["lm"].upstreams}
            assert not rows[assignment.prefill].leaving
            assert not rows[assignment.decode].leaving
            self.running[assignment.job_id] = assignment
        self.check_slots()

    def check_slots(self):
        for name, pool in self.pools.items():
            for row in pool.upstreams:
                view = self.scheduler._pools[name].members.find(row.name)
                mine = [
                    a for a in self.running.values() if a.decode == row.name
                ]
                assert view.own_decodes == len(mine), (
                    row.name,
                    view.own_decodes,
                    mine,
                )

    def pick(self, number):
        names = sorted(self.running)
        return names[number % len(names)] if names else "nobody"

    def do_prefilled(self, number):
        self.scheduler.record_prefilled(self.pick(number), self.now_ms)

    def do_first(self, number):
        self.scheduler.record_first_token(self.pick(number), self.now_ms)

    def do_finish(self, number):
        job_id = self.pick(number)
        end = ENDS[number % len(ENDS)]
        blamed = UPSTREAMS[number % len(UPSTREAMS)]
        self.scheduler.finish(job_id, end, blamed, self.now_ms)
        if self.running.pop(job_id, None) is not None:
            self.end(job_id, "finished")

    def do_cancel(self, number):
        waiting = sorted(self.scheduler._waiting)
        if waiting:
            job_id = waiting[number % len(waiting)]
            assert self.scheduler.cancel(job_id, self.now_ms)
            self.end(job_id, "cancelled")
            assert not self.scheduler.cancel(job_id, self.now_ms)

    def do_pools(self, number):
        self.pools = POOLS[number % len(POOLS)]
        self.scheduler.change_pools(self.pools, self.now_ms)

    def do_load(self, number):
        load = cases.make_load(running=number % 6, waiting=number % 2)
        self.scheduler.record_load("lm", "d0", load, self.now_ms)

    def do_note(self, number):
        self.sequence += 1
        note = hints.Note(
            f"vm{2 + number % 2}",
            number // 10,
            self.sequence,
            [hints.Holding("lm", "d0", number % 5, number * 10, number % 2)],
            [hints.AccountNote("lm", "b", 1, number, number % 3, 10)],
            [],
        )
        self.scheduler.apply_hints(note, self.now_ms)
        self.scheduler.drain_hints(self.now_ms)

    def settle(self):
        self.pools = POOLS[0]
        self.scheduler.change_pools(self.pools, self.now_ms)
        while self.running or self.scheduler._waiting:
            self.now_ms += 300
            self.do_dispatch(0)
            self.do_finish(0)


class PropertiesTest(unittest.TestCase):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(acts=ACTS)
    def test_every_slot_returns_and_every_job_ends_once(self, acts):
        """Upstreams refuse, fail and die, callers cancel, pools change in
        any order.  A slot that is not given back is lost for good: after
        some days the engine looks full and callers are refused while it
        idles.  A job without an end leaves its caller waiting for ever.
        """
        ledger = Ledger()
        for act, number, later_ms in acts:
            ledger.inject_all(act, number, later_ms)
        ledger.settle()
        for view in ledger.scheduler._pools["lm"].members.list_all():
            self.assertEqual(
                (view.own_decodes, view.own_suspects, view.own_blocks),
                (0, 0, 0),
            )
            self.assertEqual(view.own_prefills, 0)
        self.assertEqual(len(ledger.scheduler._pools["lm"].queue), 0)
        self.assertEqual(ledger.scheduler._pools["lm"].queue.bytes, 0)
