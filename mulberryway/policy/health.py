"""Whether an upstream works, and how fast, judged by what it does."""

import random

__all__ = ["Average", "Floor", "Health"]

# Load: an upstream that fails fast draws new work, since it always has room.
# Harm: it fails all of it.  Three failures in a row are no longer chance when
# one in a hundred requests fails; a broken connection ejects at once, since
# what died needs seconds to start again.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000
MOST_EJECTION_MS = 30_000
# Probes of many routers should not meet.
JITTER = 0.25


class Average:
    """An exponentially weighted mean of what was observed.

    :param value: what is assumed before the first observation
    :param part: the weight of a new observation
    """

    __slots__ = ("value", "part", "count")

    def __init__(self, value: float, part: float = 0.2) -> None:
        self.value = value
        self.part = part
        self.count = 0

    def note(self, observed: float) -> None:
        """Take in an observation.

        :param observed: the observed value
        """
        self.count += 1
        # The first few count in full, so that an assumption fades quickly.
        part = max(self.part, 1.0 / (self.count + 1))
        self.value += part * (observed - self.value)


class Floor:
    """An estimate of a time that others' work can only lengthen.

    Load: several VMs at one engine.  Harm: a mean takes the waits behind the
    others for the engine's own time: reads of 0.19 s were believed to take
    0.35 s, and prompts were sent elsewhere or refused for nothing.  A shorter
    time than was believed is nearly the truth; a longer one says little, but
    many of them show that the engine has become slower.

    :param value: what is assumed before the first observation
    """

    # A shorter time counts half.  A longer one counts for at most half as much
    # again as was believed, and less once some have been seen: one read that
    # got stuck must not make an engine look so slow that it is never asked.
    DOWN_PART = 0.5
    UP_PART = 0.1
    FIRST_UP_PART = 0.5
    FIRSTS = 5
    MOST_GROWTH = 1.5

    __slots__ = ("value", "count")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 0

    def note(self, observed: float) -> None:
        """Take in an observation.

        :param observed: the observed value
        """
        self.count += 1
        part = self.DOWN_PART
        if observed > self.value:
            observed = min(observed, self.value * self.MOST_GROWTH)
            is_first = self.count <= self.FIRSTS
            part = self.FIRST_UP_PART if is_first else self.UP_PART
        self.value += part * (observed - self.value)


class Health:
    """Failures in a row, ejection, and probes after it.

    :param random_: a seeded source for the jitter
    """

    __slots__ = (
        "_random",
        "_failures",
        "_ejections",
        "_until_ms",
        "_is_probing",
    )

    def __init__(self, random_: random.Random) -> None:
        self._random = random_
        self._failures = 0
        self._ejections = 0
        self._until_ms: int | None = None
        self._is_probing = False

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether nothing may be sent now.

        :param now_ms: the present
        :returns: true while ejected, and while one probe is out
        """
        if self._until_ms is None:
            return False
        return now_ms < self._until_ms or self._is_probing

    def note_start(self, now_ms: int) -> None:
        """Tell that a job starts; after an ejection it is the only probe.

        :param now_ms: the present
        """
        if self._until_ms is not None:
            self._is_probing = True

    def note_success(self) -> None:
        """Tell that a job went well."""
        self._failures = 0
        self._ejections = 0
        self._until_ms = None
        self._is_probing = False

    def note_no_verdict(self) -> None:
        """Tell that a job ended without a word about the upstream.

        A probe whose caller has gone proves nothing; without this no other
        probe would ever be sent.
        """
        self._is_probing = False

    def note_failure(self, died: bool, now_ms: int) -> None:
        """Tell that a job failed by the upstream's fault.

        :param died: the connection broke in the middle
        :param now_ms: the present
        """
        was_probing = self._is_probing
        self._is_probing = False
        self._failures += 1
        if self._until_ms is not None and not was_probing:
            # The other requests of a batch that died report one by one; only
            # the first may set the time, or twenty would eject for minutes.
            return
        if died or was_probing or self._failures >= FAILURES_TO_EJECT:
            self._eject(now_ms)

    def _eject(self, now_ms: int) -> None:
        length_ms = min(
            FIRST_EJECTION_MS << min(self._ejections, 10), MOST_EJECTION_MS
        )
        spread = 1.0 + JITTER * self._random.random()
        self._until_ms = now_ms + int(length_ms * spread)
        self._ejections += 1
