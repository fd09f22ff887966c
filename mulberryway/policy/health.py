"""Passive health checks and latency estimates of upstreams."""

import random

__all__ = ["Ewma", "LatencyFloor", "OutlierDetector", "Outcomes"]

# An upstream that fails fast always has free capacity and attracts new
# requests. Consecutive failures are counted over all VMs. A broken connection
# ejects at once, because a crashed upstream needs seconds to restart.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
# Spreads the trial requests to an upstream in case no other probe is sent.
JITTER = 0.25
# An unreachable upstream is probed soon, since the fault may be on the
# reporting VM's side, and then at this interval until it responds.
FIRST_PROBE_MS = 100
PROBE_INTERVAL_MS = 500
# While a peer's trial request is in flight, no second one is sent.
PEER_PROBE_MS = 1_500


class Ewma:
    """An exponentially weighted moving average.

    :param value: the estimate before the first observation
    :param part: weight of a new observation, from 0 to 1
    """

    __slots__ = ("value", "part", "count")

    def __init__(self, value: float, part: float = 0.2) -> None:
        self.value = value
        self.part = part
        self.count = 0

    def note(self, observed: float) -> None:
        """Add an observation.

        :param observed: the observed value
        """
        self.count += 1
        # Weigh the first observations more; the initial value fades quickly.
        part = max(self.part, 1.0 / (self.count + 1))
        self.value += part * (observed - self.value)


class LatencyFloor:
    """Estimate of the uncontended latency, which load can only increase.

    An average would include the time that requests wait for others. An
    observation below the estimate is close to the true value; one above it
    says little, but many of them show that the engine has become slower.

    :param value: the estimate before the first observation
    """

    # A lower observation has a weight of 0.5. A higher one is capped at 1.5
    # times the estimate, and weighs less after the first ones: a single
    # stalled prefill must not make an engine look so slow that it gets
    # no more requests.
    DECREASE_WEIGHT = 0.5
    INCREASE_WEIGHT = 0.1
    FIRST_INCREASE_WEIGHT = 0.5
    FIRST_OBSERVATIONS = 5
    MAX_GROWTH = 1.5

    __slots__ = ("value", "count")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 0

    def note(self, observed: float) -> None:
        """Add an observation.

        :param observed: the observed value
        """
        self.count += 1
        part = self.DECREASE_WEIGHT
        if observed > self.value:
            observed = min(observed, self.value * self.MAX_GROWTH)
            is_first = self.count <= self.FIRST_OBSERVATIONS
            part = (
                self.FIRST_INCREASE_WEIGHT
                if is_first
                else self.INCREASE_WEIGHT
            )
        self.value += part * (observed - self.value)


class Outcomes:
    """Results of one VM's requests and probes at one upstream.

    :param succeeded: requests that succeeded
    :param failed: requests that failed through the upstream's fault
    :param unreached: requests that did not reach the upstream, or during which
        it crashed
    :param probes_passed: probes that the upstream answered
    :param probes_failed: probes that failed
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
        """Return whether any outcome counts against the upstream."""
        return bool(self.failed or self.unreached or self.probes_failed)


class OutlierDetector:
    """Outlier detection by consecutive failures over all VMs, with ejection.

    An ejected upstream gets no requests for some time. After that it is
    half-open: the first request is a trial. If it was ejected as unreachable,
    a passed probe makes it half-open early.

    :param random_: seeded random generator for the jitter
    """

    __slots__ = (
        "_unsent",
        "_random",
        "_failures",
        "_failed_ms",
        "_ejections",
        "_ejected_until_ms",
        "_trial_ms",
        "_is_down",
        "_is_probing",
        "_probe_ms",
        "_peer_probe_ms",
    )

    def __init__(self, random_: random.Random) -> None:
        # Outcomes not yet sent to the other VMs.
        self._unsent = Outcomes()
        self._random = random_
        self._failures = 0
        self._failed_ms: int | None = None
        self._ejections = 0
        self._ejected_until_ms: int | None = None
        # From this time, requests that cannot move may be the trial as well.
        self._trial_ms = 0
        self._is_down = False
        self._is_probing = False
        self._probe_ms = 0
        self._peer_probe_ms = 0

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether no request may be sent now.

        :param now_ms: current time in ms
        :returns: true while ejected, and while a trial request is in flight
        """
        if self._ejected_until_ms is None:
            return False
        return (
            now_ms < self._ejected_until_ms
            or now_ms < self._peer_probe_ms
            or self._is_probing
        )

    def admits(self, may_move: bool, now_ms: int) -> bool:
        """Return whether a request may be sent now.

        After an ejection for failed requests, the first request is a trial. A
        request that can move to another upstream loses little if the trial
        fails, so for some time only such requests are admitted.

        :param may_move: whether the request may move to another upstream after
            it may have run
        :param now_ms: current time in ms
        """
        if self.is_ejected(now_ms):
            return False
        return (
            may_move
            or self._ejected_until_ms is None
            or now_ms >= self._trial_ms
        )

    def needs_probe(self, now_ms: int) -> bool:
        """Return whether an active probe, which is not a request, is due.

        :param now_ms: current time in ms
        """
        return self._ejected_until_ms is not None and now_ms >= self._probe_ms

    def next_probe_ms(self) -> int | None:
        """Return when the next probe is due, in ms; none while not ejected."""
        return None if self._ejected_until_ms is None else self._probe_ms

    def drain_outcomes(self) -> Outcomes:
        """Return the outcomes recorded since the last call, and clear them."""
        outcomes, self._unsent = self._unsent, Outcomes()
        return outcomes

    def record_start(self, now_ms: int) -> None:
        """Record that a job starts; after an ejection it is the trial.

        :param now_ms: current time in ms
        """
        if self._ejected_until_ms is not None:
            self._is_probing = True

    def record_peer_start(self, now_ms: int) -> None:
        """Record that a peer starts a job; it may be the peer's trial.

        :param now_ms: current time in ms
        """
        if self._ejected_until_ms is not None:
            self._peer_probe_ms = now_ms + PEER_PROBE_MS

    def record_success(self, started_ms: int | None = None) -> bool:
        """Record that a job succeeded.

        :param started_ms: when the job started, in ms; a job that started
            before the last failure does not reset it; none if not known
        :returns: whether it ends a run of consecutive failures, a state change
            that other VMs need
        """
        failed_ms = self._failed_ms
        if (
            started_ms is not None
            and failed_ms is not None
            and started_ms < failed_ms
        ):
            return False
        self._unsent.succeeded += 1
        is_state_change = self._failures > 0
        self._recover()
        return is_state_change

    def record_inconclusive(self) -> None:
        """Record that a job ended without evidence about the upstream.

        A trial whose caller has disconnected proves nothing. Without this
        call, no other trial would ever be sent.
        """
        self._is_probing = False

    def record_failure(self, crashed: bool, now_ms: int) -> None:
        """Record that a job failed through the upstream's fault.

        :param crashed: whether the connection broke or could not be opened
        :param now_ms: current time in ms
        """
        if crashed:
            self._unsent.unreached += 1
        else:
            self._unsent.failed += 1
        was_probing = self._is_probing
        self._is_probing = False
        self._count_failure(crashed, was_probing, now_ms)

    def record_probe(self, has_passed: bool, now_ms: int) -> None:
        """Record the result of this VM's active probe.

        :param has_passed: whether the upstream responded
        :param now_ms: current time in ms
        """
        if has_passed:
            self._unsent.probes_passed += 1
        else:
            self._unsent.probes_failed += 1
        self._apply_probe(has_passed, now_ms)

    def apply_peer_outcomes(self, outcomes: Outcomes, now_ms: int) -> None:
        """Apply outcomes reported by a peer.

        :param outcomes: the peer's outcomes since its last gossip message
        :param now_ms: current time in ms
        """
        if outcomes.succeeded > 0:
            self._recover()
        for _ in range(min(outcomes.failed, FAILURES_TO_EJECT)):
            self._count_peer_failure(False, now_ms)
        if outcomes.unreached > 0:
            self._count_peer_failure(True, now_ms)
        if outcomes.probes_passed > 0:
            self._apply_probe(True, now_ms)
        elif outcomes.probes_failed > 0:
            self._apply_probe(False, now_ms)

    def _count_peer_failure(self, crashed: bool, now_ms: int) -> None:
        # After an ejection has expired, the failure is that of the peer's
        # trial.
        until_ms = self._ejected_until_ms
        was_probing = until_ms is not None and now_ms >= until_ms
        self._peer_probe_ms = 0
        self._count_failure(crashed, was_probing, now_ms)

    def _count_failure(
        self, crashed: bool, was_probing: bool, now_ms: int
    ) -> None:
        self._failures += 1
        self._failed_ms = now_ms
        # An earlier success that is sent after this failure would seem to end
        # it.
        self._unsent.succeeded = 0
        if self._ejected_until_ms is not None and not was_probing:
            # The other requests of a crashed batch are reported one by one.
            # Only the first sets the time; otherwise twenty reports would
            # eject the upstream for minutes.
            return
        if crashed or was_probing or self._failures >= FAILURES_TO_EJECT:
            self._eject(crashed, now_ms)

    def _recover(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until_ms = None
        self._is_probing = False
        self._peer_probe_ms = 0

    def _apply_probe(self, has_passed: bool, now_ms: int) -> None:
        if self._ejected_until_ms is None:
            return
        self._probe_ms = now_ms + PROBE_INTERVAL_MS
        if not has_passed:
            self._ejected_until_ms = max(
                self._ejected_until_ms,
                self._add_jitter(FIRST_EJECTION_MS, now_ms),
            )
            self._trial_ms = max(self._trial_ms, self._ejected_until_ms)
        elif self._is_down:
            # Half-open: the next failure ejects it again, and for longer.
            self._ejected_until_ms = None
            self._is_probing = False
            self._failures = FAILURES_TO_EJECT - 1

    def _eject(self, is_down: bool, now_ms: int) -> None:
        length_ms = min(
            FIRST_EJECTION_MS << min(self._ejections, 10), MAX_EJECTION_MS
        )
        self._ejected_until_ms = self._add_jitter(length_ms, now_ms)
        self._trial_ms = self._ejected_until_ms + (0 if is_down else length_ms)
        self._ejections += 1
        self._is_down = is_down
        self._probe_ms = now_ms + (
            FIRST_PROBE_MS if is_down else PROBE_INTERVAL_MS
        )

    def _add_jitter(self, length_ms: int, now_ms: int) -> int:
        factor = 1.0 + JITTER * self._random.random()
        return now_ms + int(length_ms * factor)
