"""Wrong rejections, messages and platform calls of allowances.

``python -m benchmarks.allowances`` runs the real controllers in one process
on a manual clock, with a platform and a network without faults.  Each request
is also checked against one token bucket for the whole fleet: a request that
this bucket grants and the VMs reject counts as wrongly rejected.
"""

import collections
import heapq
import json
import random
import time
import typing

from benchmarks import series
from mulberryway import tables
from mulberryway.policy import allowance
from tests import allowance_fleet
from tests import allowance_simulation

__all__ = ["measure"]

RATE = 4_000
BURST = 40_000
PROMPT = 200
MAX_TOKENS = 1_024
MEAN_TOKENS = 292
TOKEN_MS = 37
# Average demand as a fraction of the accounts' rate.
LOAD = 0.85
WARMUP_MS = 40_000
COMMAND = "python -m benchmarks.allowances"
RUN_MS = 120_000
STEP_MS = 250


class AllowanceSimulation:
    """Simulates callers of a fleet with shared or statically split limits."""

    def __init__(
        self,
        vms: int,
        accounts: int,
        skew: float,
        seed: int = 1,
        is_split: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.accounts = [
            tables.ClientAccount(f"account{n}", (), RATE, BURST)
            for n in range(accounts)
        ]
        current = tables.Tables(1, (), (), tuple(self.accounts))
        self.fleet = allowance_fleet.Fleet(
            vms, allowance_simulation.SimSource(current), is_split
        )
        self.ideal = allowance_fleet.IdealAllowances(
            self.accounts, self.fleet.clock
        )
        self.vms = vms
        self.skew = skew
        self.ends: list[typing.Any] = []
        self.grants: list[tuple[int, str, int]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def run(self) -> dict[str, typing.Any]:
        """Simulate all requests for ``RUN_MS`` and return the figures."""
        arrivals = [(WARMUP_MS, n) for n in range(len(self.accounts))]
        heapq.heapify(arrivals)
        self.warm_up()
        calls = collections.Counter(self.fleet.store.calls)
        start = (self.fleet.count_messages(), time.process_time())
        for now_ms in range(WARMUP_MS, WARMUP_MS + RUN_MS, STEP_MS):
            self.fleet.step(now_ms)
            while arrivals[0][0] < now_ms + STEP_MS:
                at_ms, number = heapq.heappop(arrivals)
                self.finish(at_ms)
                self.submit_request(at_ms, number)
                heapq.heappush(arrivals, (at_ms + self.wait(), number))
        return self.report(calls, start)

    def warm_up(self) -> None:
        """Step the fleet without requests until ``WARMUP_MS``."""
        for now_ms in range(1_000, WARMUP_MS, STEP_MS):
            self.fleet.step(now_ms)

    def wait(self) -> int:
        """Return the time until an account's next request, in ms."""
        tokens_per_request = PROMPT + MEAN_TOKENS
        mean_ms = 1_000 * tokens_per_request / (RATE * LOAD)
        return max(round(self.random.expovariate(1 / mean_ms)), 1)

    def submit_request(self, at_ms: int, number: int) -> None:
        """Submit one request to a VM and to the ideal bucket.

        :param at_ms: time of the request in ms
        :param number: index of the account
        """
        self.set_clock(at_ms)
        account = self.accounts[number].name
        is_home = self.random.random() < self.skew
        vm = number if is_home else self.random.randrange(self.vms)
        drawn = round(self.random.expovariate(1 / MEAN_TOKENS))
        generated = min(max(drawn, 1), MAX_TOKENS)
        requested, used = PROMPT + MAX_TOKENS, PROMPT + generated
        end_ms = at_ms + generated * TOKEN_MS
        ideal = self.ideal.reserve(account, requested)
        if ideal.is_ok():
            self.push(end_ms, self.ideal, ideal.ok, used)
        allowances = self.fleet.books[vm % self.vms]
        result = allowances.reserve(account, requested)
        self.counts["asked"] += 1
        self.counts["ideal refused"] += not ideal.is_ok()
        if result.is_ok():
            allowances.commit(result.ok)
            self.grants.append((at_ms, account, used))
            self.push(end_ms, allowances, result.ok, used)
        else:
            self.counts["refused"] += 1
            self.counts["wrongly refused"] += ideal.is_ok()

    def push(
        self,
        end_ms: int,
        allowances: allowance.Allowances,
        reservation: typing.Any,
        used: int,
    ) -> None:
        entry = (end_ms, len(self.grants), self.random.random())
        heapq.heappush(self.ends, (*entry, allowances, reservation, used))

    def finish(self, now_ms: int) -> None:
        """Settle the reservations of requests that have ended.

        :param now_ms: current time in ms
        """
        while self.ends and self.ends[0][0] <= now_ms:
            end_ms, _, _, allowances, reservation, used = heapq.heappop(
                self.ends
            )
            self.set_clock(end_ms)
            allowances.settle(reservation, used)

    def set_clock(self, at_ms: int) -> None:
        self.fleet.clock.advance_ms(max(at_ms - self.fleet.clock.now_ms(), 0))

    def report(
        self, calls: collections.Counter[str], start: typing.Any
    ) -> dict[str, typing.Any]:
        (messages, sent_bytes), cpu_s = start
        now_messages, now_bytes = self.fleet.count_messages()
        limits = {account.name: (RATE, BURST) for account in self.accounts}
        request_count = self.counts["asked"]
        per_vm_s = self.vms * RUN_MS / 1_000
        return {
            "vms": self.vms,
            "accounts": len(self.accounts),
            "skew": self.skew,
            "asked": request_count,
            "refused_wrongly_percent": round(
                100 * self.counts["wrongly refused"] / request_count, 3
            ),
            "one_bucket_refused_percent": round(
                100 * self.counts["ideal refused"] / request_count, 3
            ),
            "overrun_tokens": max(
                allowance_simulation.find_overrun(self.grants, limits) / 1_000,
                0,
            ),
            "peer_calls_per_request": round(
                (now_messages - messages) / request_count, 3
            ),
            "bytes_per_vm_s": round((now_bytes - sent_bytes) / per_vm_s),
            "cpu_ms_per_vm_s": round(
                1_000 * (time.process_time() - cpu_s) / per_vm_s, 3
            ),
            "platform_calls_per_s": round(
                sum((self.fleet.store.calls - calls).values())
                / (RUN_MS / 1_000),
                3,
            ),
        }


def measure() -> dict[str, typing.Any]:
    """Run all configurations.

    :returns: reports by configuration name
    """
    runs = {
        "split, even, 9 VMs": AllowanceSimulation(9, 5, 0.0, is_split=True),
        "shares, even, 9 VMs": AllowanceSimulation(9, 5, 0.0),
        "split, skewed, 9 VMs": AllowanceSimulation(9, 5, 0.9, is_split=True),
        "shares, skewed, 9 VMs": AllowanceSimulation(9, 5, 0.9),
        "shares, even, 3 VMs": AllowanceSimulation(3, 5, 0.0),
        "shares, even, 27 VMs, 15 accounts": AllowanceSimulation(27, 15, 0.0),
        "shares, even, 81 VMs, 45 accounts": AllowanceSimulation(81, 45, 0.0),
        "shares, skewed, 81 VMs, 45 accounts": AllowanceSimulation(
            81, 45, 0.9
        ),
    }
    reports = {name: run.run() for name, run in runs.items()}
    _write_series(reports)
    return reports


def _write_series(reports: dict[str, typing.Any]) -> None:
    """Store the figures that depend on fleet size, for even load only."""
    rows = [
        row for name, row in reports.items() if name.startswith("shares, even")
    ]
    for name, key, unit in (
        ("allowances-bytes", "bytes_per_vm_s", "bytes a second, each VM"),
        ("allowances-cpu", "cpu_ms_per_vm_s", "ms of processor a second"),
        ("allowances-calls", "peer_calls_per_request", "peer calls a request"),
    ):
        points = sorted((row["vms"], row[key]) for row in rows)
        series.write_series(series.Series(name, COMMAND, "VMs", unit, points))


if __name__ == "__main__":
    for label, result in measure().items():
        print(label, json.dumps(result), flush=True)
