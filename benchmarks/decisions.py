"""Goodput, waste, fairness and refusals of the decisions under load.

Both deployments, 3 and 9 routers, seven loads; the scheduler with either
weighing against two baselines, all on the same arrivals.
"""

import concurrent.futures
import functools
import itertools
import json
import pathlib
import typing

from benchmarks import decisions_limits as limits
from benchmarks import decisions_simulation as fleet
from benchmarks import decisions_workloads as workloads
from mulberryway.policy import base
from mulberryway.policy import baselines
from mulberryway.policy import fairness
from mulberryway.policy import scheduler

__all__ = ["measure"]

LENGTH_MS = 140_000
WARM_MS = 20_000
FIRST_TOKEN_MS = 1_100
GAP_MS = 63
SEED = 1
ROUTERS = (3, 9)
SCHEDULERS = ("worst_served", "goodput", "first_come", "random_of_two")
BASELINES = SCHEDULERS[2:]
# Others may use the machine, so only some of its cores are taken.
WORKERS = 4
OUT = pathlib.Path("out/decisions.json")
TARGETS = {
    "goodput_part": 0.9,
    "wasted_part": 0.01,
    "worst_served_part": 0.95,
    "refused_within_rate": 0,
}


class Case(typing.NamedTuple):
    """One run: a rival, a load, a deployment and a number of routers."""

    deployment: str
    routers: int
    load: str
    rival: str


def measure() -> dict[str, typing.Any]:
    """Run every case.

    :returns: rows, and what each weighing costs
    """
    cases = [
        Case(deployment.name, routers, load.name, rival)
        for deployment, routers, load, rival in itertools.product(
            workloads.DEPLOYMENTS, ROUTERS, workloads.WORKLOADS, SCHEDULERS
        )
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as executor:
        rows = list(executor.map(run_case, cases, chunksize=4))
    return {
        "length_ms": LENGTH_MS,
        "seed": SEED,
        "aims": TARGETS,
        "rows": rows,
        "behind": list_baseline_wins(rows),
        "short_of_aim": list_missed_targets(rows),
    }


def run_case(case: Case, length_ms: int = LENGTH_MS) -> dict[str, typing.Any]:
    """Run one case.

    :param case: the case
    :param length_ms: for how long requests come
    :returns: its row
    """
    deployment = next(
        one for one in workloads.DEPLOYMENTS if one.name == case.deployment
    )
    load = next(one for one in workloads.WORKLOADS if one.name == case.load)
    arrivals = workloads.generate_arrivals(deployment, load, length_ms, SEED)
    schedulers = [
        make_scheduler(case.rival, number) for number in range(case.routers)
    ]
    run = fleet.Simulation(deployment, schedulers, load.slow)
    outcomes = run.run(arrivals, length_ms)
    return case._asdict() | compute_metrics(
        deployment, load, outcomes, length_ms
    )


def make_scheduler(rival: str, number: int) -> base.Scheduler:
    """Return one router's scheduler.

    :param rival: one of ``SCHEDULERS``
    :param number: which router
    :returns: the scheduler
    """
    if rival == "first_come":
        return baselines.FirstComeScheduler(number)
    if rival == "random_of_two":
        return baselines.RandomOfTwoScheduler(number)
    return scheduler.FairScheduler(
        f"vm{number}", weighed=fairness.find_fairness_mode(rival), seed=number
    )


@functools.cache
def _read_capacity(deployment: str, load: str, length_ms: int) -> float:
    owner = next(o for o in workloads.DEPLOYMENTS if o.name == deployment)
    kind = next(o for o in workloads.WORKLOADS if o.name == load)
    arrivals = workloads.generate_arrivals(owner, kind, length_ms, SEED)
    engine = limits.measure_decode_limit(arrivals, False, length_ms)
    # No token of the slow engine meets the target between tokens.
    return engine * (owner.decodes - kind.slow)


def compute_metrics(
    deployment: workloads.Deployment,
    load: workloads.Workload,
    outcomes: list[fleet.Outcome],
    length_ms: int,
) -> dict[str, typing.Any]:
    """Work out the measures of one run.

    :param deployment: the firm
    :param load: the kind of demand
    :param outcomes: what each caller got
    :param length_ms: for how long requests came
    :returns: the measures, of requests that came after the warming up
    """
    everything = outcomes
    outcomes = [o for o in everything if o.arrival.at_ms >= WARM_MS]
    seconds = (length_ms - WARM_MS) / 1_000
    demands: dict[str, float] = {}
    served: dict[str, float] = {}
    for outcome in outcomes:
        account = outcome.arrival.account
        demands[account] = demands.get(account, 0.0) + (
            outcome.arrival.output_tokens / seconds
        )
        served.setdefault(account, 0.0)
        if outcome.meets_targets(FIRST_TOKEN_MS, GAP_MS):
            served[account] += outcome.tokens / seconds
    capacity = _read_capacity(deployment.name, load.name, length_ms)
    limit = min(capacity, sum(demands.values()))
    dues = limits.compute_max_min_shares(demands, capacity)
    within = {a for a in demands if demands[a] <= dues[a] + 1e-6}
    good = [o for o in outcomes if o.meets_targets(FIRST_TOKEN_MS, GAP_MS)]
    # Below the engines' limit what counts is which requests were served well;
    # above it, how much good work the engines did within the time.
    goodput = sum(served.values())
    if sum(demands.values()) > capacity:
        goodput = (
            sum(
                count_within(o, WARM_MS, length_ms)
                for o in everything
                if o.meets_targets(FIRST_TOKEN_MS, GAP_MS)
            )
            / seconds
        )
    prefilled = sum(outcome.prefilled for outcome in outcomes)
    return {
        "requests": len(outcomes),
        "good_requests": len(good),
        "goodput_tokens_per_s": round(goodput, 1),
        "limit_tokens_per_s": round(limit, 1),
        "goodput_part": round(goodput / limit, 4),
        "wasted_part": round(
            sum(o.wasted for o in outcomes) / max(prefilled, 1), 5
        ),
        "worst_served_part": round(min(served[a] / dues[a] for a in dues), 4),
        "late": sum(
            o.first_ms is not None
            and o.first_ms - o.arrival.at_ms > FIRST_TOKEN_MS
            for o in outcomes
        ),
        "refused": sum(o.refused_ms is not None for o in outcomes),
        "refused_within_rate": sum(
            o.refused_ms is not None and o.arrival.account in within
            for o in outcomes
        ),
    }


def count_within(
    outcome: fleet.Outcome, begin_ms: float, end_ms: float
) -> float:
    """Return how many of an answer's tokens came within a time.

    :param outcome: a whole answer, its tokens evenly spaced
    :param begin_ms: the time's begin
    :param end_ms: the time's end
    :returns: tokens
    """
    assert outcome.first_ms is not None
    length_ms = max(outcome.last_ms - outcome.first_ms, 1.0)
    within_ms = min(outcome.last_ms, end_ms) - max(outcome.first_ms, begin_ms)
    return outcome.tokens * max(within_ms, 0.0) / length_ms


def _is_own(row: dict[str, typing.Any]) -> bool:
    owner = next(
        o for o in workloads.DEPLOYMENTS if o.name == row["deployment"]
    )
    return row["rival"] == owner.weighing


def _find_baselines(
    rows: list[dict[str, typing.Any]], own: dict[str, typing.Any]
) -> list[dict[str, typing.Any]]:
    keys = ("deployment", "routers", "load")
    return [
        row
        for row in rows
        if row["rival"] in BASELINES and all(row[k] == own[k] for k in keys)
    ]


def list_baseline_wins(rows: list[dict[str, typing.Any]]) -> list[str]:
    """Return where a baseline does better than the deployment's scheduler.

    :param rows: all rows
    :returns: one line for each measure that is behind
    """
    higher = {"goodput_part", "worst_served_part"}
    return [
        f"{own['deployment']} r{own['routers']} {own['load']}: {measure}"
        f" {own[measure]} against {row[measure]} ({row['rival']})"
        for own in filter(_is_own, rows)
        for row in _find_baselines(rows, own)
        for measure in TARGETS
        if (
            own[measure] < row[measure]
            if measure in higher
            else own[measure] > row[measure]
        )
    ]


def list_missed_targets(rows: list[dict[str, typing.Any]]) -> list[str]:
    """Return where the deployment's scheduler falls short of an aim.

    :param rows: all rows
    :returns: one line for each aim missed
    """
    found = []
    for own in filter(_is_own, rows):
        name = f"{own['deployment']} r{own['routers']} {own['load']}"
        if own["goodput_part"] < TARGETS["goodput_part"]:
            found.append(f"{name}: goodput {own['goodput_part']}")
        if own["wasted_part"] >= TARGETS["wasted_part"]:
            found.append(f"{name}: wasted prefill {own['wasted_part']}")
        if own["worst_served_part"] < TARGETS["worst_served_part"]:
            found.append(f"{name}: worst served {own['worst_served_part']}")
        if own["load"] == "below" and own["refused_within_rate"]:
            found.append(f"{name}: refused {own['refused_within_rate']}")
    return found


def print_table(found: dict[str, typing.Any]) -> None:
    """Print the rows, and where they fall short.

    :param found: what :func:`measure` returned
    """
    print(
        f"{'deployment':10} {'vms':>3} {'load':15} {'scheduler':14}"
        f" {'goodput':>8} {'wasted':>7} {'worst':>6} {'late':>5}"
        f" {'refused':>8} {'within':>7}"
    )
    for row in found["rows"]:
        mark = "*" if _is_own(row) else " "
        print(
            f"{row['deployment']:10} {row['routers']:3} {row['load']:15}"
            f" {row['rival']:13}{mark} {row['goodput_part']:8.3f}"
            f" {row['wasted_part']:7.4f} {row['worst_served_part']:6.3f}"
            f" {row['late']:5} {row['refused']:8}"
            f" {row['refused_within_rate']:7}"
        )
    for title in ("short_of_aim", "behind"):
        print(f"{title.replace('_', ' ')}: {len(found[title])}")
        for line in found[title]:
            print("  " + line)


def main() -> None:
    found = measure()
    print_table(found)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(found, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
