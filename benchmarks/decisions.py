"""Goodput, wasted prefill, fairness and rejections of scheduling under load.

Runs both deployments with 3 and 9 routers under seven workloads.  The
scheduler in both fairness modes and two baselines get the same arrivals.
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
WARMUP_MS = 20_000
FIRST_TOKEN_MS = 1_100
GAP_MS = 63
SEED = 1
ROUTERS = (3, 9)
SCHEDULERS = ("worst_served", "goodput", "first_come", "random_of_two")
BASELINES = SCHEDULERS[2:]
# Less than the number of cores, because the machine may be shared.
WORKERS = 4
OUT = pathlib.Path("out/decisions.json")
TARGETS = {
    "goodput_part": 0.9,
    "wasted_part": 0.01,
    "worst_served_part": 0.95,
    "refused_within_rate": 0,
}


class Case(typing.NamedTuple):
    """One run: a deployment, a number of routers, a workload, a scheduler."""

    deployment: str
    routers: int
    load: str
    rival: str


def measure() -> dict[str, typing.Any]:
    """Run every case.

    :returns: parameters, rows, baseline wins and missed targets
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
    :param length_ms: duration of the arrivals in ms
    :returns: its row
    """
    deployment = next(
        candidate
        for candidate in workloads.DEPLOYMENTS
        if candidate.name == case.deployment
    )
    load = next(
        candidate
        for candidate in workloads.WORKLOADS
        if candidate.name == case.load
    )
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
    :param number: index of the router
    :returns: the scheduler
    """
    if rival == "first_come":
        return baselines.FirstComeScheduler(number)
    if rival == "random_of_two":
        return baselines.RandomOfTwoScheduler(number)
    return scheduler.FairScheduler(
        f"vm{number}",
        fairness_mode=fairness.find_fairness_mode(rival),
        seed=number,
    )


@functools.cache
def _measure_capacity(deployment: str, load: str, length_ms: int) -> float:
    deployment_ = next(
        o for o in workloads.DEPLOYMENTS if o.name == deployment
    )
    workload = next(o for o in workloads.WORKLOADS if o.name == load)
    arrivals = workloads.generate_arrivals(
        deployment_, workload, length_ms, SEED
    )
    engine_limit = limits.measure_decode_limit(arrivals, False, length_ms)
    # No token of the slow engine meets the inter-token gap target.
    return engine_limit * (deployment_.decodes - workload.slow)


def compute_metrics(
    deployment: workloads.Deployment,
    load: workloads.Workload,
    outcomes: list[fleet.Outcome],
    length_ms: int,
) -> dict[str, typing.Any]:
    """Compute the metrics of one run.

    :param deployment: the deployment
    :param load: the workload
    :param outcomes: outcomes of all requests
    :param length_ms: duration of the arrivals in ms
    :returns: metrics of the requests that arrived after the warm-up
    """
    all_outcomes = outcomes
    outcomes = [o for o in all_outcomes if o.arrival.at_ms >= WARMUP_MS]
    seconds = (length_ms - WARMUP_MS) / 1_000
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
    capacity = _measure_capacity(deployment.name, load.name, length_ms)
    limit = min(capacity, sum(demands.values()))
    fair_shares = limits.compute_max_min_shares(demands, capacity)
    within = {a for a in demands if demands[a] <= fair_shares[a] + 1e-6}
    met_targets = [
        o for o in outcomes if o.meets_targets(FIRST_TOKEN_MS, GAP_MS)
    ]
    # Below the engines' capacity, goodput is the output of the requests that
    # met their targets; above it, the part of it within the measured period.
    goodput = sum(served.values())
    if sum(demands.values()) > capacity:
        goodput = (
            sum(
                count_within(o, WARMUP_MS, length_ms)
                for o in all_outcomes
                if o.meets_targets(FIRST_TOKEN_MS, GAP_MS)
            )
            / seconds
        )
    prefilled = sum(outcome.prefilled for outcome in outcomes)
    return {
        "requests": len(outcomes),
        "good_requests": len(met_targets),
        "goodput_tokens_per_s": round(goodput, 1),
        "limit_tokens_per_s": round(limit, 1),
        "goodput_part": round(goodput / limit, 4),
        "wasted_part": round(
            sum(o.wasted for o in outcomes) / max(prefilled, 1), 5
        ),
        "worst_served_part": round(
            min(served[a] / fair_shares[a] for a in fair_shares), 4
        ),
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
    """Return how many of a response's tokens arrived within a period.

    :param outcome: a complete response; its tokens are assumed to be
        evenly spaced
    :param begin_ms: start of the period in ms
    :param end_ms: end of the period in ms
    :returns: number of tokens
    """
    assert outcome.first_ms is not None
    length_ms = max(outcome.last_ms - outcome.first_ms, 1.0)
    within_ms = min(outcome.last_ms, end_ms) - max(outcome.first_ms, begin_ms)
    return outcome.tokens * max(within_ms, 0.0) / length_ms


def _uses_configured_mode(row: dict[str, typing.Any]) -> bool:
    deployment_ = next(
        o for o in workloads.DEPLOYMENTS if o.name == row["deployment"]
    )
    return row["rival"] == deployment_.weighing


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
    """Return where a baseline beats the scheduler in the configured mode.

    :param rows: all rows
    :returns: one line for each metric that is worse than a baseline's
    """
    higher = {"goodput_part", "worst_served_part"}
    return [
        f"{own['deployment']} r{own['routers']} {own['load']}: {measure}"
        f" {own[measure]} against {row[measure]} ({row['rival']})"
        for own in filter(_uses_configured_mode, rows)
        for row in _find_baselines(rows, own)
        for measure in TARGETS
        if (
            own[measure] < row[measure]
            if measure in higher
            else own[measure] > row[measure]
        )
    ]


def list_missed_targets(rows: list[dict[str, typing.Any]]) -> list[str]:
    """Return where the scheduler in the configured mode misses a target.

    :param rows: all rows
    :returns: one line for each missed target
    """
    missed = []
    for own in filter(_uses_configured_mode, rows):
        name = f"{own['deployment']} r{own['routers']} {own['load']}"
        if own["goodput_part"] < TARGETS["goodput_part"]:
            missed.append(f"{name}: goodput {own['goodput_part']}")
        if own["wasted_part"] >= TARGETS["wasted_part"]:
            missed.append(f"{name}: wasted prefill {own['wasted_part']}")
        if own["worst_served_part"] < TARGETS["worst_served_part"]:
            missed.append(f"{name}: worst served {own['worst_served_part']}")
        if own["load"] == "below" and own["refused_within_rate"]:
            missed.append(f"{name}: refused {own['refused_within_rate']}")
    return missed


def print_table(results: dict[str, typing.Any]) -> None:
    """Print the rows, the missed targets and the baseline wins.

    :param results: the result of :func:`measure`
    """
    print(
        f"{'deployment':10} {'vms':>3} {'load':15} {'scheduler':14}"
        f" {'goodput':>8} {'wasted':>7} {'worst':>6} {'late':>5}"
        f" {'refused':>8} {'within':>7}"
    )
    for row in results["rows"]:
        mark = "*" if _uses_configured_mode(row) else " "
        print(
            f"{row['deployment']:10} {row['routers']:3} {row['load']:15}"
            f" {row['rival']:13}{mark} {row['goodput_part']:8.3f}"
            f" {row['wasted_part']:7.4f} {row['worst_served_part']:6.3f}"
            f" {row['late']:5} {row['refused']:8}"
            f" {row['refused_within_rate']:7}"
        )
    for title in ("short_of_aim", "behind"):
        print(f"{title.replace('_', ' ')}: {len(results[title])}")
        for line in results[title]:
            print("  " + line)


def main() -> None:
    results = measure()
    print_table(results)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(results, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
