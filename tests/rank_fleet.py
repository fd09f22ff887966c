"""A fleet's schedulers that exchange notes by hand, for tests of ranks."""

import heapq
import itertools
import random

from mulberryway.policy import jobs
from mulberryway.policy import ranks
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases

PROMPT, RESPONSE = 5_200, 5_400
ENGINE_TOKENS = 75_635
GAP_MS = 300
RUN_MS = 3_300
READ_MS = 94
RATE = 0.018
NOTE_MS = 3
STEP_MS = 5
# Refusals with fewer streams than this count as beside free room.
BUSY_FRACTION = 0.8
# Targets of the two kinds until the first token, and how long a job may wait.
TARGETS = {0: 820, 2: 2_020}
WITHIN = {0: 1_804, 2: 4_444}


class Kind:
    """Arrivals of one kind, and what became of them."""

    def __init__(self, rank, per_s, from_ms=0, until_ms=10**9):
        self.rank, self.per_s = rank, per_s
        self.from_ms, self.until_ms = from_ms, until_ms
        self.asked = self.on_time = self.late = self.refused = 0
        self.refused_ms = []
        self.refused_beside_room = 0

    @property
    def served(self):
        return (self.on_time + self.late) / max(self.asked, 1)

    @property
    def in_time(self):
        return self.on_time / max(self.asked, 1)


class Fleet:
    """VMs that share a pool; callers choose a VM at random."""

    def __init__(self, vms, prefills, decodes, has_ranks=True, seed=5):
        self.random = random.Random(seed)
        pool = cases.make_reading_pool(
            prefills,
            decodes,
            kv_bytes_per_token=163_840,
            link_bytes_per_s=1_100_000_000_000,
            kv_capacity_tokens=ENGINE_TOKENS,
            pause_ms=GAP_MS,
        )
        self.slots = decodes * int(ENGINE_TOKENS / (PROMPT + RESPONSE))
        names = tuple(f"vm{number}" for number in range(vms))
        self.vms = {
            name: self._make_vm(name, number, names, pool)
            for number, name in enumerate(names)
        }
        self.pool_ranks = (
            ranks.PoolRanks(0, 2) if has_ranks else ranks.SINGLE_RANK
        )
        self.now_ms = 0
        self.jobs = {}
        self.running = 0
        self._events = []
        self._numbers = itertools.count()
        self._due = dict.fromkeys(names, 0)

    @staticmethod
    def _make_vm(name, number, names, pool):
        made = scheduler.FairScheduler(
            name,
            seed=number,
            token_gap_ms=GAP_MS,
            budget=retries.UnlimitedRetryBudget,
            prefill_rate=RATE,
        )
        made.update_vms(names, 0)
        made.change_pools({"lm": pool}, 0)
        return made

    def submit(self, kind, vm, account):
        """Submit a job of a kind."""
        number = next(self._numbers)
        now_ms = self.now_ms
        job = cases.make_job(
            f"r{number}-0",
            account,
            now_ms,
            WITHIN[kind.rank],
            prompt_tokens=PROMPT,
            max_tokens=9_620,
            expected_tokens=RESPONSE,
            first_token_target_ms=now_ms + TARGETS[kind.rank],
            rank=kind.rank if self.pool_ranks.differ else 0,
            pool_ranks=self.pool_ranks,
        )
        kind.asked += 1
        taken = self.vms[vm].submit(job, now_ms)
        if taken.is_error():
            self._refuse(kind, now_ms, now_ms)
            return
        self.jobs[job.job_id] = kind, now_ms
        self._dispatch(vm)

    def run(self, kinds, until_ms, accounts=16):
        """Play arrivals of kinds until a time."""
        names = list(self.vms)
        arrivals = []
        for kind in kinds:
            at_ms = float(kind.from_ms)
            while (
                at_ms := at_ms + self.random.expovariate(kind.per_s / 1_000)
            ) < min(kind.until_ms, until_ms):
                arrivals.append((at_ms, next(self._numbers), kind))
        arrivals.sort()
        while self.now_ms < until_ms:
            while arrivals and arrivals[0][0] <= self.now_ms:
                kind = arrivals.pop(0)[2]
                account = f"t{self.random.randrange(accounts)}"
                self.submit(kind, self.random.choice(names), account)
            self.step()

    def step(self):
        """Play what is due now, and advance the time."""
        while self._events and self._events[0][0] <= self.now_ms:
            _, _, action, *args = heapq.heappop(self._events)
            action(*args)
        for vm, due_ms in self._due.items():
            if due_ms <= self.now_ms:
                self._dispatch(vm)
        self._send_notes()
        self.now_ms += STEP_MS

    def _dispatch(self, vm):
        found = self.vms[vm].dispatch(self.now_ms)
        for one in found.assignments:
            self._start(vm, one)
        for one in found.refusals:
            kind, since_ms = self.jobs.pop(one.job_id)
            self._refuse(kind, since_ms, self.now_ms)
        self._due[vm] = found.wake_ms or self.now_ms + 1_000

    def _start(self, vm, one):
        kind, since_ms = self.jobs.pop(one.job_id)
        first_ms = self.now_ms + READ_MS
        if first_ms - since_ms <= TARGETS[kind.rank]:
            kind.on_time += 1
        else:
            kind.late += 1
        self.running += 1
        self._plan(
            READ_MS, self.vms[vm].record_prefilled, one.job_id, first_ms
        )
        self._plan(READ_MS + RUN_MS, self._finish, vm, one.job_id)

    def _finish(self, vm, job_id):
        self.running -= 1
        self.vms[vm].finish(job_id, jobs.JobOutcome.DONE, "", self.now_ms)
        self._dispatch(vm)

    def _refuse(self, kind, since_ms, now_ms):
        kind.refused += 1
        kind.refused_ms.append(now_ms - since_ms)
        kind.refused_beside_room += self.running < self.slots * BUSY_FRACTION

    def _send_notes(self):
        for vm, sender in self.vms.items():
            note = sender.drain_hints(self.now_ms)
            if note is None:
                continue
            for name, receiver in self.vms.items():
                if name != vm:
                    self._plan(NOTE_MS, self._receive, name, receiver, note)

    def _receive(self, name, receiver, note):
        receiver.apply_hints(note, self.now_ms)
        if receiver._waiting:
            self._due[name] = self.now_ms

    def _plan(self, delay_ms, action, *args):
        at_ms = self.now_ms + delay_ms
        heapq.heappush(
            self._events, (at_ms, next(self._numbers), action, *args)
        )
