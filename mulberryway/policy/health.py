"""Whether an upstream works, and how fast, judged by what it does."""

import random

__all__ = ["Ewma", "LatencyFloor", "OutlierDetector", "Outcomes"]

# An upstream that fails fast always has room and draws new work.  Failures
# count in a row and over all VMs; a broken connection ejects at once, since
# what died needs seconds to start again.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000
MOST_EJECTION_MS = 30_000
# Spreads the requests that probe an upstream, should no other probe tell.
JITTER = 0.25
# An upstream that could not be reached is probed soon, as the fault may be
# the reporting VM's own, and then this often until it answers.
FIRST_PROBE_MS = 100
PROBE_PAUSE_MS = 500
# While another VM's request probes an upstream, no second one is sent.
PEER_PROBE_MS = 1_500


class Ewma:
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


class LatencyFloor:
    """An estimate of a time that others' work can only lengthen.

    A mean takes waits behind others for the engine's own time.  A shorter
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


class Outcomes:
    """How the requests and probes of one VM ended at one upstream.

    :param succeeded: requests that went well
    :param failed: requests that failed by the upstream's fault
    :param unreached: requests that did not reach it or under which it died
    :param probes_passed: probes that found it working
    :param probes_failed: probes that did not
    """

    __slots__ = (
        "succeeded",
        "failed",
        "unreached",
        "probes_passed",
        "probes_failed",
    )

    def __init__(
        self,
        succeeded: int = 0,
        failed: int = 0,
        unreached: int = 0,
        probes_passed: int = 0,
        probes_failed: int = 0,
    ) -> None:
        self.succeeded = succeeded
        self.failed = failed
        self.unreached = unreached
        self.probes_passed = probes_passed
        self.probes_failed = probes_failed

    def has_failures(self) -> bool:
        """Tell whether any of them speaks against the upstream."""
        return bool(self.failed or self.unreached or self.probes_failed)


class OutlierDetector:
    """Failures in a row over all VMs, ejection, and probes after it.

    An ejected upstream gets no requests until a time.  After it, or as soon
    as a probe passes where it could not be reached, requests go there again,
    the first of them on trial.

    :param random_: a seeded source for the jitter
    """

    __slots__ = (
        "_news",
        "_random",
        "_failures",
        "_failed_ms",
        "_ejections",
        "_until_ms",
        "_trial_ms",
        "_is_down",
        "_is_probing",
        "_probe_ms",
        "_peer_probe_ms",
    )

    def __init__(self, random_: random.Random) -> None:
        # What the other VMs have not been told yet.
        self._news = Outcomes()
        self._random = random_
        self._failures = 0
        self._failed_ms: int | None = None
        self._ejections = 0
        self._until_ms: int | None = None
        # From when on requests that cannot move may be the trial.
        self._trial_ms = 0
        self._is_down = False
        self._is_probing = False
        self._probe_ms = 0
        self._peer_probe_ms = 0

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether nothing may be sent now.

        :param now_ms: the present
        :returns: true while ejected, and while one probe is out
        """
        if self._until_ms is None:
            return False
        return (
            now_ms < self._until_ms
            or now_ms < self._peer_probe_ms
            or self._is_probing
        )

    def admits(self, may_move: bool, now_ms: int) -> bool:
        """Tell whether a request may be sent now.

        After an ejection for failed requests the first request is a trial.
        One that may move to another upstream loses little by it, so for a
        while the trial is left to those.

        :param may_move: whether the request may move after it may have run
        :param now_ms: the present
        """
        if self.is_ejected(now_ms):
            return False
        return may_move or self._until_ms is None or now_ms >= self._trial_ms

    def needs_probe(self, now_ms: int) -> bool:
        """Tell whether a probe that is no request is due.

        :param now_ms: the present
        """
        return self._until_ms is not None and now_ms >= self._probe_ms

    def next_probe_ms(self) -> int | None:
        """Return when the next probe is due; none while not ejected."""
        return None if self._until_ms is None else self._probe_ms

    def take_news(self) -> Outcomes:
        """Return what this VM has seen since the last call."""
        news, self._news = self._news, Outcomes()
        return news

    def record_start(self, now_ms: int) -> None:
        """Tell that a job starts; after an ejection it is the only probe.

        :param now_ms: the present
        """
        if self._until_ms is not None:
            self._is_probing = True

    def record_peer_start(self, now_ms: int) -> None:
        """Tell that another VM starts a job; it may be its probe.

        :param now_ms: the present
        """
        if self._until_ms is not None:
            self._peer_probe_ms = now_ms + PEER_PROBE_MS

    def record_success(self, started_ms: int | None = None) -> bool:
        """Tell that a job went well.

        :param started_ms: when it started: a job that started before the
            last failure does not speak against that; none if not known
        :returns: whether it ends a row of failures, which is news to others
        """
        failed_ms = self._failed_ms
        if (
            started_ms is not None
            and failed_ms is not None
            and started_ms < failed_ms
        ):
            return False
        self._news.succeeded += 1
        is_news = self._failures > 0
        self._recover()
        return is_news

    def record_inconclusive(self) -> None:
        """Tell that a job ended without a word about the upstream.

        A probe whose caller has gone proves nothing; without this no other
        probe would ever be sent.
        """
        self._is_probing = False

    def record_failure(self, died: bool, now_ms: int) -> None:
        """Tell that a job failed by the upstream's fault.

        :param died: the connection broke in the middle, or was not made
        :param now_ms: the present
        """
        if died:
            self._news.unreached += 1
        else:
            self._news.failed += 1
        was_probing = self._is_probing
        self._is_probing = False
        self._count_failure(died, was_probing, now_ms)

    def record_probe(self, has_passed: bool, now_ms: int) -> None:
        """Take in what this VM's probe found.

        :param has_passed: whether the upstream answered
        :param now_ms: the present
        """
        if has_passed:
            self._news.probes_passed += 1
        else:
            self._news.probes_failed += 1
        self._apply_probe(has_passed, now_ms)

    def note_peer(self, news: Outcomes, now_ms: int) -> None:
        """Take in what another VM's requests and probes found.

        :param news: what has come since its last message
        :param now_ms: the present
        """
        if news.succeeded > 0:
            self._recover()
        for _ in range(min(news.failed, FAILURES_TO_EJECT)):
            self._count_peer_failure(False, now_ms)
        if news.unreached > 0:
            self._count_peer_failure(True, now_ms)
        if news.probes_passed > 0:
            self._apply_probe(True, now_ms)
        elif news.probes_failed > 0:
            self._apply_probe(False, now_ms)

    def _count_peer_failure(self, died: bool, now_ms: int) -> None:
        # After an ejection's end the failure is that of the peer's probe.
        until_ms = self._until_ms
        was_probing = until_ms is not None and now_ms >= until_ms
        self._peer_probe_ms = 0
        self._count_failure(died, was_probing, now_ms)

    def _count_failure(
        self, died: bool, was_probing: bool, now_ms: int
    ) -> None:
        self._failures += 1
        self._failed_ms = now_ms
        # Told after the failure, an earlier success would seem to end it.
        self._news.succeeded = 0
        if self._until_ms is not None and not was_probing:
            # The other requests of a batch that died report one by one; only
            # the first may set the time, or twenty would eject for minutes.
            return
        if died or was_probing or self._failures >= FAILURES_TO_EJECT:
            self._eject(died, now_ms)

    def _recover(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._until_ms = None
        self._is_probing = False
        self._peer_probe_ms = 0

    def _apply_probe(self, has_passed: bool, now_ms: int) -> None:
        if self._until_ms is None:
            return
        self._probe_ms = now_ms + PROBE_PAUSE_MS
        if not has_passed:
            self._until_ms = max(
                self._until_ms, self._spread(FIRST_EJECTION_MS, now_ms)
            )
            self._trial_ms = max(self._trial_ms, self._until_ms)
        elif self._is_down:
            # On trial: the next failure ejects it again, and for longer.
            self._until_ms = None
            self._is_probing = False
            self._failures = FAILURES_TO_EJECT - 1

    def _eject(self, is_down: bool, now_ms: int) -> None:
        length_ms = min(
            FIRST_EJECTION_MS << min(self._ejections, 10), MOST_EJECTION_MS
        )
        self._until_ms = self._spread(length_ms, now_ms)
        self._trial_ms = self._until_ms + (0 if is_down else length_ms)
        self._ejections += 1
        self._is_down = is_down
        self._probe_ms = now_ms + (
            FIRST_PROBE_MS if is_down else PROBE_PAUSE_MS
        )

    def _spread(self, length_ms: int, now_ms: int) -> int:
        spread = 1.0 + JITTER * self._random.random()
        return now_ms + int(length_ms * spread)
