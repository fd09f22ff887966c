"""Runs the test suite in several processes, and adds up what they counted.

``python -m tools.suite`` runs one test module a process, the longest first,
and prints each module's report when it ends.  Tests that start processes
take their ports from their worker's own range, so two never want the same.
"""

import concurrent.futures
import os
import pathlib
import queue
import re
import subprocess
import sys
import time

__all__ = ["main"]

# Most of the time tests wait for processes, so a few workers keep half of a
# small machine busy; more only make timings differ from run to run.
WORKERS = 4
WORKER_VARIABLE = "MULBERRYWAY_TEST_WORKER"
SUMMARY_PATTERN = re.compile(
    r"^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$"
)
# A module that takes longer hangs; the whole suite takes four minutes.
MODULE_TIMEOUT_S = 420.0
LONGEST_FIRST = (
    "test_soak",
    "test_hosted_processes",
    "test_hosted_streams",
    "test_hosted_upstreams",
    "test_admin_processes",
    "test_once_deployment",
    "test_deployment",
    "test_configuration_processes",
    "test_allowance_history",
    "test_configuration_history",
    "test_model_run",
    "test_request_history",
    "test_usage",
)


class ModuleResult:
    """What one module's tests came to.

    :param module: the module's name
    :param text: its report
    :param counts: passed, failed and skipped
    :param took_s: how long it took
    """

    __slots__ = ("module", "text", "counts", "took_s")

    def __init__(
        self, module: str, text: str, counts: list[int], took_s: float
    ) -> None:
        self.module = module
        self.text = text
        self.counts = counts
        self.took_s = took_s


def list_modules() -> list[str]:
    """Return the names of all test modules, the longest first."""
    names = [path.stem for path in pathlib.Path("tests").glob("test_*.py")]

    def rank(name: str) -> tuple[int, str]:
        known = name in LONGEST_FIRST
        place = LONGEST_FIRST.index(name) if known else len(LONGEST_FIRST)
        return place, name

    return sorted(names, key=rank)


def run_module(module: str, workers: "queue.Queue[int]") -> ModuleResult:
    """Run one module's tests.

    :param module: its name
    :param workers: numbers of workers that are free
    :returns: the outcome; a module that hangs or prints no closing line
        counts as one failure
    """
    worker = workers.get()
    began_s = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "nose2", "-v", f"tests.{module}"],
            env=os.environ | {WORKER_VARIABLE: str(worker)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=MODULE_TIMEOUT_S,
            text=True,
            errors="replace",
        )
        text, is_good = done.stdout, done.returncode == 0
    except subprocess.TimeoutExpired as late:
        text, is_good = f"{late.stdout or ''}\n{module} hangs", False
    finally:
        workers.put(worker)
    counts = next(
        (
            [int(number or 0) for number in found.groups()]
            for line in reversed(text.splitlines())
            if (found := SUMMARY_PATTERN.match(line))
        ),
        [0, 0, 0],
    )
    if not is_good and not counts[1]:
        counts[1] = 1
    return ModuleResult(module, text, counts, time.monotonic() - began_s)


def main() -> int:
    """Run all modules, print their reports and the sum.

    :returns: the exit status
    """
    workers: queue.Queue[int] = queue.Queue()
    for number in range(WORKERS):
        workers.put(number)
    totals = [0, 0, 0]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        running = [
            pool.submit(run_module, module, workers)
            for module in list_modules()
        ]
        for one in concurrent.futures.as_completed(running):
            outcome = one.result()
            print(f"== {outcome.module}, {outcome.took_s:.1f} s")
            print(outcome.text, flush=True)
            totals = [
                total + count
                for total, count in zip(totals, outcome.counts, strict=True)
            ]
    closing = f"{totals[0]} passed, {totals[1]} failed"
    print(closing + (f", {totals[2]} skipped" if totals[2] else ""))
    return 1 if totals[1] else 0


if __name__ == "__main__":
    sys.exit(main())
