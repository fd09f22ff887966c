"""Checks of VMs that were told to stop, and of what they answer."""

import collections
import collections.abc
import itertools

from soak import history
from soak import stops

__all__ = [
    "check_ends",
    "check_lost_answers",
    "check_refusals",
    "count_outcomes",
]

Violations = collections.abc.Iterator[str]

# What broke off an answer may have begun this long before the request.
SETTLE_MS = 3_000
# A call that waits longer than this for its answer was read by its VM.
LOSS_SLACK_MS = 1_000
# Streams of an engine that stands still in this last part of the grace period
# cannot be complete.
LAST_PART = 1 / 6
# More refusals in a row of one caller are a violation while others serve.
MAX_REFUSED_IN_A_ROW = 3
REFUSED = 503
# What callers send as their deadline.
DEADLINE_MS = 4_000
# Faults of an upstream in which it does not break off answers.
UNBROKEN = (stops.SILENCE, "up_pause", "up_delay", "up_full", "up_error")
# Faults that end a VM, and faults that freeze it.
KILLS = ("vm_kill", "all_kill")
FREEZES = ("vm_pause", "vm_freeze")


def check_lost_answers(recorded: history.History) -> Violations:
    """Check that a VM that was told to stop answers each call wholly."""
    runs = collections.defaultdict(list)
    for run in recorded.runs:
        runs[run.attempt].append(run)
    for attempt, shutdown in itertools.product(
        recorded.attempts, recorded.shutdowns
    ):
        is_incomplete = attempt.status == 0 or attempt.is_cut
        waited_ms = min(attempt.ended_ms, shutdown.ended_ms) - attempt.began_ms
        if (
            not is_incomplete
            or attempt.has_disconnected
            or not _is_at(attempt, shutdown)
            or not (runs[attempt.name] or waited_ms > LOSS_SLACK_MS)
            or is_forced(recorded, shutdown)
            or _is_broken_off(recorded, attempt, runs[attempt.name], shutdown)
        ):
            continue
        yield (
            f"{attempt.name} ({attempt.kind.value}) lost its answer: sent "
            f"{attempt.began_ms - shutdown.signalled_ms} ms after the SIGTERM "
            f"of vm-{shutdown.vm}, ended at "
            f"{attempt.ended_ms - shutdown.signalled_ms} ms, ran "
            f"{len(runs[attempt.name])} times"
        )


def check_ends(recorded: history.History) -> Violations:
    """Check that VMs end by themselves within their grace period."""
    for shutdown in recorded.shutdowns:
        if is_forced(recorded, shutdown):
            continue
        if shutdown.is_killed or shutdown.ended_ms > shutdown.due_ms:
            yield (
                f"vm-{shutdown.vm} did not end by itself in "
                f"{shutdown.grace_ms} ms, SIGTERM at {shutdown.signalled_ms}"
            )
        elif shutdown.status:
            yield (
                f"vm-{shutdown.vm} ended with status {shutdown.status} after "
                f"{shutdown.ended_ms - shutdown.signalled_ms} ms, SIGTERM at "
                f"{shutdown.signalled_ms}"
            )


def check_refusals(recorded: history.History) -> Violations:
    """Check how many calls are refused while VMs shut down."""
    counts = count_outcomes(recorded)
    if counts["refused"] > counts["sent"]:
        yield (
            f"{counts['refused']} calls were refused during shutdowns, only "
            f"{counts['sent']} were sent to the VMs"
        )
    if counts["row"] > MAX_REFUSED_IN_A_ROW:
        yield (
            f"a caller was refused {counts['row']} times in a row while "
            "another VM served"
        )


def count_outcomes(recorded: history.History) -> dict[str, int]:
    """Return what became of calls while VMs shut down.

    :param recorded: history of a run
    :returns: the VMs that were told to stop and those that were killed, the
        calls ``sent`` to them, the calls ``refused`` meanwhile by all VMs and
        ``there``, by these, and how often one caller was so in a ``row``
    """
    sent = [
        attempt
        for attempt in recorded.attempts
        if any(_is_sent_to(attempt, each) for each in recorded.shutdowns)
    ]
    there = [attempt for attempt in sent if attempt.status == REFUSED]
    refused = [
        attempt
        for attempt in recorded.attempts
        if attempt.status == REFUSED
        and any(
            each.signalled_ms <= attempt.began_ms <= each.ended_ms
            for each in recorded.shutdowns
        )
    ]
    return {
        "stops": len(recorded.shutdowns),
        "killed": sum(each.is_killed for each in recorded.shutdowns),
        "sent": len(sent),
        "refused": len(refused),
        "there": len(there),
        "row": _find_longest_row(recorded, there),
    }


def is_forced(recorded: history.History, shutdown: history.Shutdown) -> bool:
    """Return whether another fault ended a VM, or froze it over its end.

    :param recorded: history of a run
    :param shutdown: the VM's shutdown
    """
    windows = [
        window
        for window in recorded.fault_windows
        if (window.target == f"vm-{shutdown.vm}" or window.kind == "all_kill")
        and window.overlaps(shutdown.signalled_ms, shutdown.ended_ms)
    ]
    thawed_ms = shutdown.due_ms - stops.THAW_MARGIN_MS
    return any(
        window.kind in KILLS
        or (window.kind in FREEZES and window.to_ms > thawed_ms)
        for window in windows
    )


def _is_sent_to(attempt: history.Attempt, shutdown: history.Shutdown) -> bool:
    return (
        attempt.vm == shutdown.vm
        and shutdown.signalled_ms <= attempt.began_ms <= shutdown.ended_ms
    )


def _is_at(attempt: history.Attempt, shutdown: history.Shutdown) -> bool:
    """Return whether an attempt was open at a VM that shut down."""
    return (
        attempt.vm == shutdown.vm
        and attempt.began_ms <= shutdown.ended_ms
        and attempt.ended_ms >= shutdown.signalled_ms
    )


def _is_broken_off(
    recorded: history.History,
    attempt: history.Attempt,
    runs: list[history.Run],
    shutdown: history.Shutdown,
) -> bool:
    """Return whether another fault than the stop broke an answer off."""
    names = {run.instance.partition("-")[0] for run in runs}
    span = (attempt.began_ms - SETTLE_MS, attempt.ended_ms)
    broken = {"up-any", *(f"up-{name}" for name in names)}
    if any(
        window.overlaps(*span)
        and (
            (window.target in broken and window.kind not in UNBROKEN)
            or window.target in (f"front-{attempt.vm}", f"path-{attempt.vm}")
        )
        for window in recorded.fault_windows
    ):
        return True
    if not attempt.kind.is_stream or attempt.status != 200:
        return False
    # A stream that has begun ends at its deadline, and cannot go on if its
    # engine stands still.
    last_ms = shutdown.due_ms - int(LAST_PART * shutdown.grace_ms)
    has_time = attempt.ended_ms < attempt.began_ms + DEADLINE_MS
    return not has_time or (
        attempt.ended_ms >= last_ms
        and any(
            window.kind == stops.SILENCE
            and window.target in broken
            and window.overlaps(last_ms, shutdown.due_ms)
            for window in recorded.fault_windows
        )
    )


def _find_longest_row(
    recorded: history.History, refused: list[history.Attempt]
) -> int:
    """Return how often a caller was refused in a row by VMs that shut down.

    Refusals of other VMs, as for a server that refused, neither count nor end
    a row.
    """
    counted = {
        attempt.name
        for attempt in refused
        if _is_served_elsewhere(recorded, attempt)
    }
    by_caller = collections.defaultdict(list)
    for attempt in recorded.attempts:
        by_caller[attempt.name.partition("-")[0]].append(attempt)
    return max(
        (
            sum(attempt.name in counted for attempt in row)
            for attempts in by_caller.values()
            for status, row in itertools.groupby(
                attempts, lambda attempt: attempt.status
            )
            if status == REFUSED
        ),
        default=0,
    )


def _is_served_elsewhere(
    recorded: history.History, refused: history.Attempt
) -> bool:
    """Return whether another VM already served like calls.

    A VM that shuts down itself serves only callers that know its address.
    """
    stopping = {
        shutdown.vm
        for shutdown in recorded.shutdowns
        if shutdown.signalled_ms <= refused.ended_ms
        and refused.began_ms <= shutdown.ended_ms
    }
    return any(
        other.status == 200
        and other.vm not in (refused.vm, *stopping)
        and other.kind is refused.kind
        and other.began_ms <= refused.began_ms
        and abs(other.ended_ms - refused.began_ms) <= LOSS_SLACK_MS
        for other in recorded.attempts
    )
