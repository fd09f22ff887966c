"""CPU cost per relayed token, and the latency that relaying adds.

``python -m benchmarks.relay`` runs the same streams directly against the
engine stand-in, through a minimal reverse proxy with one thread per stream,
and through the router.  The engine puts a timestamp on each event, so the
latency added to an inter-token gap is the change in lag between two tokens.
The direct run shows the error of the measurement itself.
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
# Several engines, as in production.  A single engine with 240 slots would
# send all its events at once, and reading them in the benchmark would take
# longer than the latency to be measured.
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
    """A server that the streams are requested from.

    :param name: name in the report
    :param addresses: one or more ``host:port``
    :param pid: the process whose resource usage is measured; none for the
        direct run
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
    """Run concurrent streams.

    :param target: the server under test
    :param count: number of streams
    :param tokens: length of each stream in tokens
    :param spread_ms: period in ms over which the streams start
    :returns: outcomes of the streams, and the elapsed time in ms
    """
    row = plan.ClientProfile(
        "bench",
        target.key,
        burst=count,
        burst_ms=spread_ms,
        prompt_tokens=(20, 20),
        output_tokens=(tokens, tokens),
    )
    load_plan = plan.LoadPlan(target.addresses, (row,), repeats=0)
    return caller.run_plan(load_plan)


def measure_streams(
    target: SystemUnderTest, count: int
) -> dict[str, typing.Any]:
    """Measure throughput, CPU usage and added latency of many streams.

    :param target: the server under test
    :param count: number of streams
    :returns: figures by name
    """
    before_s = usage.read_cpu_s(target.pid) if target.pid else 0.0
    outcomes, elapsed_ms = run_streams(target, count, TOKENS, SPREAD_MS)
    used_s = usage.read_cpu_s(target.pid) - before_s if target.pid else 0.0
    tokens = sum(stream.tokens for stream in outcomes)
    added = [
        max(after - before, 0.0)
        for stream in outcomes
        for before, after in itertools.pairwise(stream.lags_ms)
    ]
    memory = usage.read_resident_bytes(target.pid) if target.pid else 0
    return {
        "whole": sum(stream.is_whole for stream in outcomes),
        "tokens_per_s": tokens / elapsed_ms * 1000,
        "cores": used_s / elapsed_ms * 1000,
        "us_per_token": used_s / max(tokens, 1) * 1e6,
        "added_gap_p95_ms": outcome.compute_percentile(added, 0.95),
        "added_gap_p99_ms": outcome.compute_percentile(added, 0.99),
        "resident_mb": memory / 1e6,
    }


def measure_burst(target: SystemUnderTest) -> dict[str, typing.Any]:
    """Measure the time to first token of callers that start together.

    :param target: the server under test
    :returns: figures by name
    """
    outcomes, _ = run_streams(target, BURST_CALLERS, BURST_TOKENS)
    first_token_times = [
        stream.first_ms for stream in outcomes if stream.tokens
    ]
    return {
        "whole": sum(stream.is_whole for stream in outcomes),
        "first_p50_ms": outcome.compute_percentile(first_token_times, 0.5),
        "first_p95_ms": outcome.compute_percentile(first_token_times, 0.95),
        "first_max_ms": max(first_token_times, default=0.0),
    }


def measure_target(target: SystemUnderTest) -> dict[str, typing.Any]:
    """Measure one server, after a short warm-up run.

    :param target: the server under test
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
    """Start a proxy in front of the engines.

    :param group: the process group to add it to
    :param name: name in the report
    :param module: Python module to run
    :param engines: each engine's ``host:port``
    :returns: the proxy as a server under test
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
    """Measure all servers one after another.

    :returns: figures by the server's name
    """
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
        results = {target.name: measure_target(target) for target in targets}
    _write_series(results["router"])
    return results


def _write_series(router: dict[str, typing.Any]) -> None:
    """Store the router's CPU and memory usage by load."""
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
