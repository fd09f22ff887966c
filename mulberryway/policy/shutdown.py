"""Plans the shutdown of a VM, and decides which calls it still accepts."""

__all__ = [
    "LATE_ABORT_MS",
    "ShutdownPlan",
    "compute_call_ms",
    "make_plan",
]

# Discovery responses that arrive through a peer or over a slow connection are
# used for a little longer than their TTL.
ENTRY_TTL_MARGIN_MS = 1_000
# No request is accepted later than this before the end of the grace period.
ACCEPT_CUTOFF_MS = 1_000
# Requests that are open this long before the end of the grace period are
# answered by the VM itself.
ABORT_RESERVE_MS = 700
# The VM closes its connections this long before the end of the grace period.
CLOSE_RESERVE_MS = 400
# The process exits this long before the end of the grace period, whatever its
# threads still do.
EXIT_RESERVE_MS = 150
# A VM that was frozen until it should have closed its connections still takes
# this long to answer what is open, and as long again to exit.
LATE_ABORT_MS = 60
# A reserve takes at most this part of a short grace period.
ABORT_PART = 0.15
CLOSE_PART = 0.1
EXIT_PART = 0.04
# A call rarely takes longer than this many times its usual duration.
SLOW_CALL_FACTOR = 4.0
# It rarely takes this much longer than usual either, as what delays calls does
# not grow with their length.
MAX_DELAY_MS = 2_000
# The duration of a call to a server that has not answered yet, on a route
# without a target.
UNKNOWN_CALL_MS = 1_000
# A sound server may stop for a second or so and go on.
MAX_SILENCE_MS = 2_000


class ShutdownPlan:
    """The phases of a shutdown, as times in ms.

    :param since_ms: when the shutdown began
    :param reject_ms: from when on all new requests are rejected
    :param abort_ms: from when on the VM answers open requests itself
    :param close_ms: when it closes all connections
    :param exit_ms: when the process exits at the latest
    """

    __slots__ = ("since_ms", "reject_ms", "abort_ms", "close_ms", "exit_ms")

    def __init__(
        self,
        since_ms: int,
        reject_ms: int,
        abort_ms: int,
        close_ms: int,
        exit_ms: int,
    ) -> None:
        self.since_ms = since_ms
        self.reject_ms = reject_ms
        self.abort_ms = abort_ms
        self.close_ms = close_ms
        self.exit_ms = exit_ms

    def hasten(self, now_ms: int) -> "ShutdownPlan":
        """Return a plan that answers open requests at once.

        :param now_ms: the current time in ms
        """
        saved_ms = max(self.abort_ms - now_ms, 0)
        return ShutdownPlan(
            self.since_ms,
            min(self.reject_ms, now_ms),
            self.abort_ms - saved_ms,
            self.close_ms - saved_ms,
            self.exit_ms - saved_ms,
        )

    def catch_up(self, now_ms: int) -> "ShutdownPlan":
        """Return a plan that leaves time to answer, however late it is.

        :param now_ms: the current time in ms
        """
        if now_ms < self.close_ms:
            return self
        close_ms = now_ms + LATE_ABORT_MS
        return ShutdownPlan(
            self.since_ms,
            self.reject_ms,
            self.abort_ms,
            close_ms,
            max(self.exit_ms, close_ms + LATE_ABORT_MS),
        )


def make_plan(now_ms: int, grace_ms: int, caching_ms: int) -> ShutdownPlan:
    """Return the plan of a shutdown that begins now.

    :param now_ms: the current time in ms
    :param grace_ms: the time after which the process is killed, in ms
    :param caching_ms: how long callers may use a discovery response, in ms
    """
    accepting_ms = min(
        caching_ms + ENTRY_TTL_MARGIN_MS, max(grace_ms - ACCEPT_CUTOFF_MS, 0)
    )
    end_ms = now_ms + grace_ms
    return ShutdownPlan(
        now_ms,
        now_ms + accepting_ms,
        end_ms - _limit(ABORT_RESERVE_MS, ABORT_PART, grace_ms),
        end_ms - _limit(CLOSE_RESERVE_MS, CLOSE_PART, grace_ms),
        end_ms - _limit(EXIT_RESERVE_MS, EXIT_PART, grace_ms),
    )


def compute_call_ms(
    usual_ms: float | None,
    target_ms: int,
    deadline_ms: int,
    is_repeatable: bool,
) -> int:
    """Return the time that a call needs to get an answer from its server.

    If a call may not be repeated, its caller cannot find out whether it has
    run, so it is given the time that a sound server may be silent.  A call
    that may be repeated is sent to another server instead.

    :param usual_ms: the usual duration of calls to the server in ms; none if
        it is unknown
    :param target_ms: the target of the call's route in ms; 0 if it has none
    :param deadline_ms: the time until the call's deadline, in ms
    :param is_repeatable: whether the call may be repeated
    """
    if usual_ms is None:
        needed_ms = float(target_ms or UNKNOWN_CALL_MS)
    else:
        needed_ms = min(SLOW_CALL_FACTOR * usual_ms, usual_ms + MAX_DELAY_MS)
    if not is_repeatable:
        needed_ms += MAX_SILENCE_MS
    return min(int(needed_ms), deadline_ms)


def _limit(reserve_ms: int, part: float, grace_ms: int) -> int:
    return min(reserve_ms, int(part * grace_ms))
