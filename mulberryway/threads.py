"""Processor time by thread, which tells what a VM spends it on."""

import logging
import pathlib
import re
import threading

from mulberryway import metrics

__all__ = ["read_thread_cpu_ms", "report"]

LOG = logging.getLogger(__name__)

TASKS = pathlib.Path("/proc/self/task")
NS_IN_MS = 1_000_000
# Workers of one pool are numbered; together they are one entry.
NUMBER = re.compile(r"[-_ ]*\(?[-_0-9]+\)?$")


def read_thread_cpu_ms(tasks: pathlib.Path = TASKS) -> dict[str, int]:
    """Return the processor time of the threads that live now.

    :param tasks: where the kernel tells of this process's threads
    :returns: milliseconds by thread name; workers of a pool are added up
    """
    found: dict[str, int] = {}
    for thread in threading.enumerate():
        name = NUMBER.sub("", thread.name)
        try:
            text = (tasks / str(thread.native_id) / "schedstat").read_text()
            spent_ms = int(text.split()[0]) // NS_IN_MS
        except (OSError, ValueError, IndexError) as error:
            # A thread that has just ended, or a kernel without the figures.
            LOG.debug("no processor time of thread %s: %r", name, error)
            continue
        found[name] = found.get(name, 0) + spent_ms
    return found


def report(metrics_: metrics.Metrics) -> None:
    """Let processor time by thread appear among a process's metrics.

    :param metrics_: the process's instruments
    """
    metrics_.register_counter(
        "threads.cpu_ms",
        "processor time of living threads, in milliseconds, by name",
        lambda: [
            ({"thread": name}, spent_ms)
            for name, spent_ms in read_thread_cpu_ms().items()
        ],
    )
