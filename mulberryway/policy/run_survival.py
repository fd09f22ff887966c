"""Tells which runs an engine has survived; without I/O.

A request that crashes engines does so soon after the engine has begun to
write its answer.  A run is confirmed when its engine is known to be alive
later than that, even if the answer was complete before.
"""

import collections
import itertools

from mulberryway.policy import running_jobs

__all__ = ["SURVIVAL_MS", "Run", "SurvivalTracker"]

# An engine that is alive this long after a run's first output has survived it.
SURVIVAL_MS = 1_000
# A crash is detected up to this long after it happened.
DETECTION_MS = 500
# Without a sign of life or a crash for this long, a run proves nothing.
UNCONFIRMED_TTL_MS = 10_000
# Bound the memory for runs whose engine is not heard of again.
MAX_RUNS_PER_UPSTREAM = 256
MAX_UPSTREAMS = 512


class Run:
    """A run that its engine has not survived yet.

    :param job: the job that runs or ran
    :param began_ms: time of the first output, in ms
    """

    __slots__ = ("job", "began_ms", "has_ended", "is_withdrawn")

    def __init__(self, job: running_jobs.RunningJob, began_ms: int) -> None:
        self.job = job
        self.began_ms = began_ms
        # Whether its answer was complete.
        self.has_ended = False
        # Whether it was cancelled, so that it proves nothing.
        self.is_withdrawn = False


class SurvivalTracker:
    """The unconfirmed runs of one pool by upstream; not thread-safe."""

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[str, list[Run]] = (
            collections.OrderedDict()
        )

    def begin(
        self, upstream: str, job: running_jobs.RunningJob, now_ms: int
    ) -> None:
        """Record a run's first output.

        :param upstream: the engine's name
        :param job: the job
        :param now_ms: current time in ms
        """
        kept = [
            run
            for run in self._runs.pop(upstream, [])
            if now_ms - run.began_ms < UNCONFIRMED_TTL_MS
        ]
        self._runs[upstream] = [
            *kept[1 - MAX_RUNS_PER_UPSTREAM :],
            Run(job, now_ms),
        ]
        while len(self._runs) > MAX_UPSTREAMS:
            self._runs.popitem(last=False)

    def end(
        self, upstream: str, job: running_jobs.RunningJob, is_complete: bool
    ) -> bool:
        """Record the end of a run that its engine has not survived yet.

        :param upstream: the engine's name
        :param job: the job
        :param is_complete: whether its answer is complete; otherwise the
            engine may not have done what would crash it
        :returns: whether the run is unconfirmed
        """
        run = next(
            (run for run in self._runs.get(upstream, ()) if run.job is job),
            None,
        )
        if run is None:
            return False
        run.has_ended = is_complete
        run.is_withdrawn = not is_complete
        return True

    def record_alive(self, upstream: str, at_ms: int) -> list[Run]:
        """Record a sign of life of an engine.

        :param upstream: the engine's name
        :param at_ms: when the engine was alive, in ms
        :returns: the runs that it has survived and that prove it
        """
        survived, unconfirmed = _partition(
            self._runs.get(upstream, []), at_ms - SURVIVAL_MS
        )
        self._store(upstream, unconfirmed)
        return [run for run in survived if not run.is_withdrawn]

    def record_crash(
        self, upstream: str, at_ms: int, is_time_known: bool = True
    ) -> list[Run]:
        """Record that an engine has crashed.

        :param upstream: the engine's name
        :param at_ms: when the crash was detected, in ms
        :param is_time_known: whether it was detected at once; otherwise all
            unconfirmed runs may be its cause
        :returns: the runs that may have crashed it
        """
        window_ms = (
            SURVIVAL_MS + DETECTION_MS if is_time_known else UNCONFIRMED_TTL_MS
        )
        earlier, later = _partition(
            self._runs.get(upstream, []), at_ms + DETECTION_MS
        )
        self._store(upstream, later)
        return [run for run in earlier if run.began_ms > at_ms - window_ms]

    def list_unconfirmed(self, now_ms: int) -> list[tuple[str, list[Run]]]:
        """Return the complete runs whose engine has shown no life since.

        :param now_ms: current time in ms
        :returns: pairs of an engine's name and its runs
        """
        due = [
            (
                upstream,
                [
                    run
                    for run in runs
                    if run.has_ended
                    and SURVIVAL_MS
                    <= now_ms - run.began_ms
                    < UNCONFIRMED_TTL_MS
                ],
            )
            for upstream, runs in self._runs.items()
        ]
        return [(upstream, runs) for upstream, runs in due if runs]

    def _store(self, upstream: str, runs: list[Run]) -> None:
        if runs:
            self._runs[upstream] = runs
        else:
            self._runs.pop(upstream, None)


def _partition(
    runs: list[Run], latest_begin_ms: int
) -> tuple[list[Run], list[Run]]:
    """Return the runs that began by a time, and the others."""
    by_time = {
        is_early: list(group)
        for is_early, group in itertools.groupby(
            sorted(runs, key=lambda run: run.began_ms),
            key=lambda run: run.began_ms <= latest_begin_ms,
        )
    }
    return by_time.get(True, []), by_time.get(False, [])
