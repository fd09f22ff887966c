"""Finds started jobs that nothing will ever end."""

import itertools

from mulberryway import clock

__all__ = ["JobLiveness"]

# The relay reports the tokens of each running stream about once a second.  A
# job without a report for this long, and past its deadline for this long, has
# been lost by the code that should end it.
LOST_MS = 60_000


class _StartedJob:
    """A job that holds a decode slot.

    :param deadline: when its caller stops waiting
    :param reported_ms: time of its last report, in ms
    """

    __slots__ = ("deadline", "reported_ms")

    def __init__(self, deadline: clock.Deadline, reported_ms: int) -> None:
        self.deadline = deadline
        self.reported_ms = reported_ms

    def get_silence_ms(self, now_ms: int) -> int:
        return now_ms - max(self.reported_ms, self.deadline.at_ms)


class JobLiveness:
    """The jobs that have started and not ended; not thread-safe."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, _StartedJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def begin(
        self, job_id: str, deadline: clock.Deadline, now_ms: int
    ) -> None:
        """Add a job.

        :param job_id: the job
        :param deadline: when its caller stops waiting
        :param now_ms: current time in ms
        """
        self._jobs[job_id] = _StartedJob(deadline, now_ms)

    def report(self, job_id: str, now_ms: int) -> None:
        """Record a report of a job's progress.

        :param job_id: the job; nothing happens if it has ended
        :param now_ms: current time in ms
        """
        job = self._jobs.get(job_id)
        if job is not None:
            job.reported_ms = now_ms

    def end(self, job_id: str) -> bool:
        """Remove a job.

        :param job_id: the job
        :returns: whether it had not ended before
        """
        return self._jobs.pop(job_id, None) is not None

    def list_lost(self, now_ms: int) -> list[str]:
        """Return the jobs that must be ended because nothing else will.

        :param now_ms: current time in ms
        """
        return [
            job_id
            for job_id, job in self._jobs.items()
            if job.get_silence_ms(now_ms) >= LOST_MS
        ]

    def get_longest_silence_ms(self, now_ms: int) -> int:
        """Return how long the most silent job is past its time, in ms.

        :param now_ms: current time in ms
        :returns: 0 if each job has reported lately or has time left
        """
        silences_ms = (
            job.get_silence_ms(now_ms) for job in self._jobs.values()
        )
        return max(itertools.chain((0,), silences_ms))
