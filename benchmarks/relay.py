"""The relay's cost for each token, and what it adds to callers' waits.

``python -m benchmarks.relay`` runs the same streams straight from the engine
stand-in, through a bare relay with one thread for each stream, and through
the router, one after another.  An engine stamps each event when it sends it,
so what a relay adds to a gap is the change of the lag between two tokens; the
straight run shows how much of that is the measurement's own.
"""

import itertools
import json
import typing

from benchmarks import series
from benchmarks import usage
from mulberryway.load import caller
from mulberryway.load import outcome
from mulberryway.load import plan
from tests import processes

__all__ = ["measure"]

COMMAND = "python -m benchmarks.relay"
STREAMS = (60, 100, 240)
TOKENS = 220
SPREAD_MS = 1_000
BURST_CALLERS = 100
BURST_TOKENS = 3
# Many engines, as behind a VM: one engine of 240 slots would send its events
# all at once, and the measurement's own reading of them would take longer
# than what is measured.
ENGINES = 12
SLOTS = 128
ENGINE_FLAGS = (
    f"--slots={SLOTS}",
    f"--most_prefills={SLOTS}",
    "--total_blocks=100000",
    "--batch_growth=0",
    "--prefill_base_ms=0.1",
    "--prefill_token_ms=0",
    "--stamps",
)


class SystemUnderTest:
    """Something that streams are asked of.

    :param name: for the report
    :param addresses: ``host:port``, one or several
    :param pid: the process whose use is measured; none for the straight run
    :param key: the caller's key
    """

    def __init__(
        self,
        name: str,
        addresses: tuple[str, ...],
        pid: int | None,
        key: str = "k",
    ) -> None:
        self.name = name
        self.addresses = addresses
        self.pid = pid
        self.key = key


def run_streams(
    target: SystemUnderTest, count: int, tokens: int, spread_ms: int = 0
) -> tuple[list[outcome.Outcome], float]:
    """Run streams.

    :param target: whom to ask
    :param count: how many
    :param tokens: how long each is
    :param spread_ms: over how long they begin, in milliseconds
    :returns: what callers got, and how long it took in milliseconds
    """
    row = plan.ClientProfile(
        "bench",
        target.key,
        burst=count,
        burst_ms=spread_ms,
        prompt_tokens=(20, 20),
        output_tokens=(tokens, tokens),
    )
    plan_ = plan.LoadPlan(target.addresses, (row,), repeats=0)
    return caller.run_plan(plan_)


def measure_streams(
    target: SystemUnderTest, count: int
) -> dict[str, typing.Any]:
    """Return tokens a second, cores and the added gaps of many streams.

    :param target: whom to ask
    :param count: how many streams
    :returns: figures by name
    """
    before_s = usage.read_cpu_s(target.pid) if target.pid else 0.0
    outcomes, elapsed_ms = run_streams(target, count, TOKENS, SPREAD_MS)
    used_s = usage.read_cpu_s(target.pid) - before_s if target.pid else 0.0
    tokens = sum(found.tokens for found in outcomes)
    added = [
        max(after - before, 0.0)
        for found in outcomes
        for before, after in itertools.pairwise(found.lags_ms)
    ]
    memory = usage.read_resident_bytes(target.pid) if target.pid else 0
    return {
        "whole": sum(found.is_whole for found in outcomes),
        "tokens_per_s": tokens / elapsed_ms * 1000,
        "cores": used_s / elapsed_ms * 1000,
        "us_per_token": used_s / max(tokens, 1) * 1e6,
        "added_gap_p95_ms": outcome.compute_percentile(added, 0.95),
        "added_gap_p99_ms": outcome.compute_percentile(added, 0.99),
        "resident_mb": memory / 1e6,
    }


def measure_burst(target: SystemUnderTest) -> dict[str, typing.Any]:
    """Return the first tokens of callers who all come at once.

    :param target: whom to ask
    :returns: figures by name
    """
    outcomes, _ = run_streams(target, BURST_CALLERS, BURST_TOKENS)
    firsts = [found.first_ms for found in outcomes if found.tokens]
    return {
        "whole": sum(found.is_whole for found in outcomes),
        "first_p50_ms": outcome.compute_percentile(firsts, 0.5),
        "first_p95_ms": outcome.compute_percentile(firsts, 0.95),
        "first_max_ms": max(firsts, default=0.0),
    }


def measure_target(target: SystemUnderTest) -> dict[str, typing.Any]:
    """Return all figures of one target; a small run warms it up.

    :param target: whom to ask
    :returns: figures by name
    """
    run_streams(target, BURST_CALLERS, 1)
    figures = {"burst": measure_burst(target)}
    for count in STREAMS:
        figures[f"streams_{count}"] = measure_streams(target, count)
    return figures


def start_relay(
    group: processes.Group, name: str, module: str, engines: tuple[str, ...]
) -> SystemUnderTest:
    """Start a relay.

    :param group: the processes to add it to
    :param name: for the report
    :param module: the program
    :param engines: each engine's ``host:port``
    :returns: it, as a target
    """
    (port,) = processes.pick_ports(1)
    process = group.start(
        module,
        f"--port={port}",
        f"--upstream={','.join(engines)}",
        ports=[port],
    )
    address = f"{processes.HOST}:{port}"
    return SystemUnderTest(name, (address,), process.popen.pid)


def measure() -> dict[str, typing.Any]:
    """Return the figures of all targets, one after another."""
    with processes.Group() as group:
        _, ports = processes.start_engines(
            group, ("both",) * ENGINES, *ENGINE_FLAGS
        )
        engines = tuple(f"{processes.HOST}:{port}" for port in ports)
        targets = [
            SystemUnderTest("straight", engines, None),
            start_relay(
                group, "baseline", "benchmarks.baseline_relay", engines
            ),
            start_relay(group, "router", "benchmarks.static_router", engines),
        ]
        found = {target.name: measure_target(target) for target in targets}
    _keep(found["router"])
    return found


def _keep(router: dict[str, typing.Any]) -> None:
    """Keep the router's growth with its load."""
    rows = [router[f"streams_{count}"] for count in STREAMS]
    tokens = [(row["tokens_per_s"], row["cores"] * 1_000) for row in rows]
    memory = [
        (count, row["resident_mb"])
        for count, row in zip(STREAMS, rows, strict=True)
    ]
    for name, x_unit, y_unit, points in (
        ("relay-cpu", "tokens a second", "ms of processor a second", tokens),
        ("relay-memory", "streams", "MB resident", memory),
    ):
        series.write_series(
            series.Series(name, COMMAND, x_unit, y_unit, points)
        )


if __name__ == "__main__":
    print(json.dumps(measure(), indent=2))
