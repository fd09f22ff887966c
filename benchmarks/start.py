"""Measures the CPU time that an entry VM's process takes without a VM."""

import os
import statistics
import subprocess
import sys

__all__ = ["measure"]

STARTS = 20
# The program loads all its modules and ends at the missing settings file.
COMMAND = (
    sys.executable,
    "-m",
    "mulberryway.commands.entry",
    f"--settings={os.devnull}/missing",
)
BAD_SETTINGS_STATUS = 2


def measure() -> dict[str, float]:
    """Return the CPU time in ms of loading the program and ending.

    :returns: mean, median and standard deviation of some starts
    """
    # The first start writes byte code, as one of a deployed VM would.
    _, *times_ms = [_measure_start_ms() for _ in range(STARTS + 1)]
    return {
        "start_cpu_ms_mean": statistics.mean(times_ms),
        "start_cpu_ms_median": statistics.median(times_ms),
        "start_cpu_ms_stdev": statistics.stdev(times_ms),
    }


def _measure_start_ms() -> float:
    environment = dict(os.environ)
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    process = subprocess.Popen(
        COMMAND, stderr=subprocess.DEVNULL, env=environment
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != BAD_SETTINGS_STATUS:
        raise RuntimeError(f"a start ended with {process.returncode}")
    return (usage.ru_utime + usage.ru_stime) * 1_000
