"""CPU, memory and platform calls of routers, idle and by request rate.

``python -m benchmarks.control`` starts real processes: 3, 9 and 27 idle VMs,
then 3 VMs at several request rates.
"""

import asyncio
import itertools
import json
import time
import typing

import aiohttp

from benchmarks import deployment
from benchmarks import series
from benchmarks import usage
from tests import processes

__all__ = ["measure"]

COMMAND = "python -m benchmarks.control"
SIZES = (3, 9, 27)
RATES = (0, 10, 20, 40)
IDLE_S = 15.0
LOAD_S = 15.0
SETTLE_S = 10.0
KEYS = {"tea-estate": ("key-of-the-tea-estate",)}
MAX_TOKENS = 8
MS_IN_S = 1_000
BYTES_IN_MB = 1e6

Figures = dict[str, float]


def measure() -> dict[str, typing.Any]:
    """Measure all fleet sizes and request rates, and store the series.

    :returns: figures by fleet size and by requests per second and VM
    """
    at_rest = {str(size): measure_idle(size) for size in SIZES}
    loaded = measure_rates()
    for name, unit in (
        ("cpu_ms_per_s", "ms of processor a second, each VM at rest"),
        ("memory_mb", "MB resident, each VM at rest"),
        ("platform_calls_per_s", "calls to the platform a second, all VMs"),
    ):
        points = [(int(size), row[name]) for size, row in at_rest.items()]
        _write_series(f"control-{name}", "VMs", unit, points)
    points = [(int(rate), row["cpu_ms_per_s"]) for rate, row in loaded.items()]
    unit = f"ms of processor a second, answers of {MAX_TOKENS} tokens"
    _write_series("request-cpu", "requests a second and VM", unit, points)
    return {"at_rest": at_rest, "requests_per_s_and_vm": loaded}


def _write_series(
    name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
) -> None:
    series.write_series(
        series.Series(name.replace("_", "-"), COMMAND, x_unit, y_unit, points)
    )


def measure_idle(size: int) -> Figures:
    """Measure the resource usage of routers without requests.

    :param size: number of VMs
    :returns: means over all VMs
    """
    with deployment.Deployment(size, 1, accounts=KEYS) as running:
        time.sleep(SETTLE_S)
        return _observe(running, lambda: time.sleep(IDLE_S))


def measure_rates() -> dict[str, Figures]:
    """Return the resource usage of a router by request rate."""
    with deployment.Deployment(
        3, 1, accounts=KEYS, engine_flags=("--token_ms=10",)
    ) as running:
        time.sleep(SETTLE_S)
        return {
            str(rate): _observe(
                running,
                lambda rate=rate: asyncio.run(_send_requests(running, rate)),
            )
            for rate in RATES
        }


def _observe(
    running: deployment.Deployment, act: typing.Callable[[], None]
) -> Figures:
    pids = [router.popen.pid for router in running.routers]
    cpu_s = sum(map(usage.read_cpu_s, pids))
    calls = _count_calls(running)
    began = time.monotonic()
    act()
    length_s = time.monotonic() - began
    used_s = sum(map(usage.read_cpu_s, pids)) - cpu_s
    memory = sum(map(usage.read_resident_bytes, pids))
    return {
        "cpu_ms_per_s": used_s / length_s / len(pids) * MS_IN_S,
        "memory_mb": memory / len(pids) / BYTES_IN_MB,
        "platform_calls_per_s": (_count_calls(running) - calls) / length_s,
    }


def _count_calls(running: deployment.Deployment) -> int:
    counts = processes.call(
        running.platform_port, "GET", "/standin/calls"
    ).json()
    return sum(counts["calls"].values())


async def _send_requests(running: deployment.Deployment, rate: int) -> None:
    """Send prompts to each VM at a constant rate for ``LOAD_S``."""
    total = int(rate * LOAD_S)
    async with aiohttp.ClientSession() as session:
        tasks = []
        began = time.monotonic()
        for number in range(total):
            tasks += [
                asyncio.create_task(_complete(session, port, number))
                for port in running.router_ports
            ]
            scheduled_at = began + (number + 1) / rate
            await asyncio.sleep(max(scheduled_at - time.monotonic(), 0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(began + LOAD_S - time.monotonic(), 0))


async def _complete(
    session: aiohttp.ClientSession, port: int, number: int
) -> None:
    body = {
        "model": deployment.MODEL,
        "prompt": f"log {number} " * 100,
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    (key,) = itertools.chain(*KEYS.values())
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{deployment.HOST}:{port}/v1/completions"
    async with session.post(url, json=body, headers=headers) as reply:
        await reply.read()


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
