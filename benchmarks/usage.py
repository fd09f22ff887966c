"""Reads CPU time and memory of other processes from /proc."""

import os
import pathlib

__all__ = ["read_cpu_s", "read_resident_bytes"]

PROC = pathlib.Path("/proc")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Field indexes in /proc/PID/stat, counted from the state field, the first
# after the process name.
USER_TICKS = 11
SYSTEM_TICKS = 12


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used.

    :param pid: the process ID
    :returns: user and system time of all its threads in seconds
    """
    text = (PROC / str(pid) / "stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process.

    :param pid: the process ID
    :returns: resident set size in bytes
    """
    text = (PROC / str(pid) / "statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * PAGE_BYTES
