"""Runs the test suite in several processes and sums up the results.

``python -m tools.suite`` runs each test module in its own process, the longest
first, and prints the report of a module when it ends.  Some modules run alone,
after all others.  Tests that start
processes take ports from the range of their worker, so the ranges of two
running modules never overlap.
"""

import concurrent.futures
import itertools
import os
import pathlib
import queue
import re
import subprocess
import sys
import time

__all__ = ["main"]

# Tests mostly wait for processes, so a few workers keep half of a small
# machine busy.  More workers only increase the variation of timings.
WORKER_COUNT = 4
WORKER_VARIABLE = "MULBERRYWAY_TEST_WORKER"
SUMMARY_PATTERN = re.compile(
    r"^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$"
)
# Begins the report of a test that failed.
HEADING_PATTERN = re.compile(r"^(?:FAIL|ERROR): ")
FAILURE_LINES = 40
# A module that takes longer counts as hung; the complete suite takes four
# minutes.
MODULE_TIMEOUT_S = 420.0
# They measure what a process holds, which depends on what else is running.
ALONE = ("test_floods",)
LONGEST_FIRST = (
    "test_crashing_parts",
    "test_crashing_requests",
    "test_crashing_faults",
    "test_store_returns",
    "test_soak",
    "test_server_limits",
    "test_requested_pauses",
    "test_leaving_servers",
    "test_hosted_processes",
    "test_hosted_shutdown",
    "test_hosted_streams",
    "test_stream_versions",
    "test_engine_versions",
    "test_lost_fleet",
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
    """Result of one test module.

    :param module: name of the module
    :param text: report of the test runner
    :param counts: numbers of passed, failed and skipped tests
    :param duration_s: duration in seconds
    :param ending: how its process ended
    """

    __slots__ = ("module", "text", "counts", "duration_s", "ending")

    def __init__(
        self,
        module: str,
        text: str,
        counts: list[int],
        duration_s: float,
        ending: str,
    ) -> None:
        self.module = module
        self.text = text
        self.counts = counts
        self.duration_s = duration_s
        self.ending = ending

    def describe_failure(self) -> str:
        """Return which tests failed, and the end of the module's report."""
        lines = self.text.splitlines()
        headings = filter(HEADING_PATTERN.match, lines)
        return "\n".join(
            [
                f"-- {self.module} {self.ending}, {self.counts[1]} failed",
                *headings,
                *lines[-FAILURE_LINES:],
            ]
        )


def list_modules() -> list[str]:
    """Return the modules that run side by side, the longest first."""
    paths = pathlib.Path("tests").glob("test_*.py")
    names = [path.stem for path in paths if path.stem not in ALONE]

    def get_sort_key(name: str) -> tuple[int, str]:
        is_listed = name in LONGEST_FIRST
        index = LONGEST_FIRST.index(name) if is_listed else len(LONGEST_FIRST)
        return index, name

    return sorted(names, key=get_sort_key)


def run_module(module: str, workers: "queue.Queue[int]") -> ModuleResult:
    """Run one module's tests.

    :param module: name of the module
    :param workers: numbers of the idle workers
    :returns: result; a module that hangs, or whose process fails without a
        counted failure, counts as one failure
    """
    worker = workers.get()
    began_s = time.monotonic()
    try:
        process = subprocess.run(
            [sys.executable, "-m", "nose2", "-v", f"tests.{module}"],
            env=os.environ | {WORKER_VARIABLE: str(worker)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=MODULE_TIMEOUT_S,
            text=True,
            errors="replace",
        )
        text, has_passed = process.stdout, process.returncode == 0
        ending = f"ended with status {process.returncode}"
    except subprocess.TimeoutExpired as timeout:
        # The output is bytes here, also in text mode.
        text = (timeout.stdout or b"").decode(errors="replace")
        has_passed, ending = False, "timed out"
    finally:
        workers.put(worker)
    counts = next(
        (
            [int(number or 0) for number in match.groups()]
            for line in reversed(text.splitlines())
            if (match := SUMMARY_PATTERN.match(line))
        ),
        [0, 0, 0],
    )
    if not has_passed and not counts[1]:
        counts[1] = 1
    duration_s = time.monotonic() - began_s
    return ModuleResult(module, text, counts, duration_s, ending)


def main() -> int:
    """Run all modules, and print their reports and the total counts.

    :returns: exit status
    """
    workers: queue.Queue[int] = queue.Queue()
    for number in range(WORKER_COUNT):
        workers.put(number)
    totals = [0, 0, 0]
    failures = []
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        running = [
            pool.submit(run_module, module, workers)
            for module in list_modules()
        ]
        completed = (
            future.result()
            for future in concurrent.futures.as_completed(running)
        )
        alone = (run_module(module, workers) for module in ALONE)
        for result in itertools.chain(completed, alone):
            print(f"== {result.module}, {result.duration_s:.1f} s")
            print(result.text, flush=True)
            if result.counts[1]:
                failures.append(result.describe_failure())
            totals = [
                total + count
                for total, count in zip(totals, result.counts, strict=True)
            ]
    # Once more at the end, as the reports of all modules are long.
    print("\n".join(failures))
    summary = f"{totals[0]} passed, {totals[1]} failed"
    print(summary + (f", {totals[2]} skipped" if totals[2] else ""))
    return 1 if totals[1] else 0


if __name__ == "__main__":
    sys.exit(main())
