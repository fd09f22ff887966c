"""CPU time by thread, which shows how a VM spends it."""

import logging
import pathlib
import re
import threading

from mulberryway import metrics

__all__ = ["read_thread_cpu_ms", "report"]

LOG = logging.getLogger(__name__)

TASKS = pathlib.Path("/proc/self/task")
NS_IN_MS = 1_000_000
# Workers of a pool have numbered names and are reported as one entry.
NUMBER = re.compile(r"[-_ ]*\(?[-_0-9]+\)?$")


def read_thread_cpu_ms(tasks: pathlib.Path = TASKS) -> dict[str, int]:
    """Return the CPU time of all running Python threads.

    :param tasks: the directory of the process's threads in procfs
    :returns: CPU time in ms by thread name; a pool's workers are added up
    """
    totals_ms: dict[str, int] = {}
    for thread in threading.enumerate():
        name = NUMBER.sub("", thread.name)
        try:
            text = (tasks / str(thread.native_id) / "schedstat").read_text()
            cpu_ms = int(text.split()[0]) // NS_IN_MS
        except (OSError, ValueError, IndexError) as error:
            # The thread has just ended, or the kernel has no schedstat.
            LOG.debug("no CPU time of thread %s: %r", name, error)
            continue
        totals_ms[name] = totals_ms.get(name, 0) + cpu_ms
    return totals_ms


def report(metrics_: metrics.Metrics) -> None:
    """Add the CPU time by thread to a process's metrics.

    :param metrics_: the process's instruments
    """
    metrics_.register_counter(
        "threads.cpu_ms",
        "processor time of living threads, in milliseconds, by name",
        lambda: [
            ({"thread": name}, cpu_ms)
            for name, cpu_ms in read_thread_cpu_ms().items()
        ],
    )
