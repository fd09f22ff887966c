"""The promises that a history is held against.

Each check returns sentences, one for each promise that it finds broken.
"""

import collections
import collections.abc
import itertools

from soak import history

__all__ = ["CHECKS", "find_violations"]

Violations = collections.abc.Iterator[str]

# What a fault does to a VM may show for so long after it.
SETTLE_MS = 3_000
# How soon an edit has to be in force, and how soon an upstream that leaves
# gets nothing new; both are what the entry VMs' settings promise.
EDIT_PROPAGATION_MS = 2_000
DRAIN_PROPAGATION_MS = 2_000
# A VM that has shown a route may not lose it again; requests that were
# already on their way when it came may be answered by the tables before.
REGRESS_MS = 250
# An answer that comes so long after the deadline was forgotten, not late:
# the machine itself is busy during a soak.
DEADLINE_SLACK_MS = 1_500
DEADLINE_MS = 4_000
WINDOW_MS = 8_000
EVENTS = 20
REFUSALS = (408, 421, 429, 503)
# Of the requests of the calm at the end so many have to be served.
MIN_SERVED_FRACTION = 0.95


class Quota:
    """What one account may use, in tokens.

    :param account: its name
    :param rate: tokens a second
    :param burst: tokens at once
    :param over_part: the part of both that may go beyond
    :param over_tokens: what may go beyond besides
    """

    __slots__ = ("account", "rate", "burst", "over_part", "over_tokens")

    def __init__(
        self,
        account: str,
        rate: int,
        burst: int,
        over_part: float,
        over_tokens: int,
    ) -> None:
        self.account = account
        self.rate = rate
        self.burst = burst
        self.over_part = over_part
        self.over_tokens = over_tokens

    def compute_max_tokens(self) -> float:
        """Return the most that may run in one window."""
        due = self.rate * WINDOW_MS / 1_000 + self.burst
        return due * (1 + self.over_part) + self.over_tokens


def check_runs(seen: history.History) -> Violations:
    """No attempt runs more often, elsewhere or for another than it may."""
    sent = {one.name: one for one in seen.attempts}
    for name, runs in _group_runs(seen).items():
        attempt = sent.get(name)
        if attempt is None:
            yield f"{name} ran, and no caller sent it"
            continue
        if len(runs) > attempt.kind.max_runs:
            yield f"{name} ran {len(runs)} times: {attempt.kind.value}"
        for run in runs:
            if run.account != seen.keys[attempt.key]:
                yield f"{name} ran for {run.account}, not its key's account"
            if seen.services.get(run.instance) != attempt.kind.service:
                yield f"{name} ran at {run.instance}, where it must not"


def check_keys(seen: history.History) -> Violations:
    """No upstream sees a caller's key."""
    for run in seen.runs:
        if any(key in run.text for key in seen.keys):
            yield f"{run.attempt} showed its key to {run.instance}"


def check_refusals(seen: history.History) -> Violations:
    """A refusal tells the truth, and when to come again."""
    ran = _group_runs(seen)
    for one in seen.attempts:
        if one.status not in REFUSALS:
            continue
        if one.name in ran:
            yield f"{one.name} was refused with {one.status}, and ran"
        if one.status in (429, 503) and not one.retry_after:
            yield f"{one.name} was refused without a time to come again"


def check_answers(seen: history.History) -> Violations:
    """A success is its own upstream's whole answer; a cut one looks cut."""
    seals = collections.defaultdict(set)
    for run in seen.runs:
        seals[run.attempt].add(run.seal)
    for one in seen.attempts:
        if one.status != 200:
            continue
        if one.seal not in seals[one.name] or one.echoed_id != one.name:
            yield f"{one.name} got an answer that is not its own"
        if one.kind.is_stream:
            yield from _check_stream(one)
        elif not one.is_cut and one.body != _expect_body(one):
            yield f"{one.name} got {one.body[:60]!r}"


def check_edit_propagation(seen: history.History) -> Violations:
    """An edit is in force on every sound VM in time, and stays so."""
    for edit in seen.edits:
        due_ms = edit.at_ms + EDIT_PROPAGATION_MS
        again = _find_opposite(seen, edit)
        for one in seen.attempts:
            if one.began_ms < due_ms or one.ended_ms >= again:
                continue
            if not seen.is_vm_healthy(
                one.vm, one.began_ms - SETTLE_MS, one.ended_ms
            ):
                continue
            if edit.action == "withdraw" and one.key == edit.name:
                if one.status == 200:
                    yield f"{one.name} was served with a withdrawn key"
            if edit.action == "give" and one.key == edit.name:
                if one.status == 401:
                    yield f"{one.name} was denied with a key that holds"
            if (
                edit.action == "add"
                and one.kind is history.RequestKind.ADDED_ROUTE
            ):
                if one.status == 404:
                    yield f"{one.name} found no route after it was added"


def check_route_regression(seen: history.History) -> Violations:
    """A VM that has shown a route goes on to have it."""
    first: dict[int, int] = {}
    late = [
        one
        for one in seen.attempts
        if one.kind is history.RequestKind.ADDED_ROUTE
    ]
    for one in sorted(late, key=lambda one: one.ended_ms):
        shown_ms = first.get(one.vm)
        if one.status == 200 and shown_ms is None:
            first[one.vm] = one.ended_ms
        if one.status == 404 and shown_ms is not None:
            since_ms = shown_ms + REGRESS_MS
            if one.began_ms > since_ms and not _was_restarted(
                seen, one.vm, shown_ms, one.ended_ms
            ):
                yield f"{one.name} found no route that vm-{one.vm} had shown"


def check_draining(seen: history.History) -> Violations:
    """An upstream that leaves gets no new work from sound VMs."""
    sent = {one.name: one for one in seen.attempts}
    left = {one.name: one.at_ms for one in seen.edits if one.action == "leave"}
    for run in seen.runs:
        attempt, left_ms = sent.get(run.attempt), left.get(run.instance)
        if attempt is None or left_ms is None:
            continue
        if (
            run.at_ms <= left_ms + DRAIN_PROPAGATION_MS
            or attempt.began_ms < left_ms
        ):
            continue
        if seen.is_vm_healthy(attempt.vm, left_ms - SETTLE_MS, run.at_ms):
            yield f"{run.attempt} ran at {run.instance}, which had left"


def check_graceful_shutdown(seen: history.History) -> Violations:
    """A planned stop of a VM cuts nothing that an upstream had begun."""
    ran = _group_runs(seen)
    for one in seen.attempts:
        is_lost = one.status == 0 or one.is_cut
        if not is_lost or one.has_disconnected or one.name not in ran:
            continue
        span = (one.began_ms - SETTLE_MS, one.ended_ms)
        if not seen.are_upstreams_healthy(*span):
            continue
        kinds = {
            window.kind
            for window in seen.fault_windows
            if window.target in (f"vm-{one.vm}", f"front-{one.vm}", "store")
            and window.overlaps(*span)
        }
        if kinds <= {"vm_term", "vm_reload"}:
            yield f"{one.name} lost its answer, faults: {sorted(kinds)}"


def check_deadlines(seen: history.History) -> Violations:
    """Nobody waits long after the deadline for a final answer."""
    for one in seen.attempts:
        took_ms = one.ended_ms - one.began_ms
        if one.has_disconnected or took_ms <= DEADLINE_MS + DEADLINE_SLACK_MS:
            continue
        if seen.is_vm_healthy(one.vm, one.began_ms - SETTLE_MS, one.ended_ms):
            yield f"{one.name} was answered after {took_ms} ms"


def check_recovery(seen: history.History) -> Violations:
    """Nothing ends by itself, nothing is held, and all is well again."""
    for vm in seen.unexpected_exits:
        yield f"{vm} ended by itself"
    if seen.held:
        yield f"engines still hold {seen.held} runs or KV caches"
    calm = [
        one
        for one in seen.attempts
        if one.began_ms >= seen.recovered_ms
        and not one.has_disconnected
        and _is_owed(seen, one)
    ]
    served = sum(one.status == 200 and not one.is_cut for one in calm)
    if served < len(calm) * MIN_SERVED_FRACTION:
        yield f"after all faults {served} of {len(calm)} were served"


def check_quota(seen: history.History, quota: Quota) -> Violations:
    """An account gets no more than its rate and burst from all VMs."""
    sent = {one.name: one for one in seen.attempts}
    starts = sorted(
        (min(run.at_ms for run in runs), _count_tokens(sent[name]))
        for name, runs in _group_runs(seen).items()
        if name in sent and seen.keys[sent[name].key] == quota.account
    )
    for first_ms, _ in starts:
        used = sum(
            tokens
            for at_ms, tokens in starts
            if first_ms <= at_ms < first_ms + WINDOW_MS
        )
        if used > quota.compute_max_tokens():
            yield (
                f"{quota.account} used {used}"
                f" of {quota.compute_max_tokens():.0f}"
            )
            return


CHECKS = (
    check_runs,
    check_keys,
    check_refusals,
    check_answers,
    check_edit_propagation,
    check_route_regression,
    check_draining,
    check_graceful_shutdown,
    check_deadlines,
    check_recovery,
)


def find_violations(recorded: history.History, quota: Quota) -> list[str]:
    """Hold a history against all promises.

    :param recorded: the history
    :param quota: the account with a limit
    :returns: one sentence for each broken promise
    """
    found = itertools.chain.from_iterable(one(recorded) for one in CHECKS)
    return [*found, *check_quota(recorded, quota)]


def list_events(body: bytes) -> list[int]:
    """Return the numbers of a stream's whole events.

    :param body: the stream as far as it came
    :returns: numbers; an event that broke off in the middle is left out
    """
    events = body.split(b"\n\n")[:-1]
    return [int(event.split(b"\n")[0].partition(b":")[2]) for event in events]


def _check_stream(one: history.Attempt) -> Violations:
    numbers = list_events(one.body)
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{one.name} got events {numbers}"
    if not one.is_cut and len(numbers) != EVENTS:
        yield f"{one.name} ended as whole after {len(numbers)} events"


def _expect_body(one: history.Attempt) -> bytes:
    return f"POST {one.path} ".encode() + one.sent


def _group_runs(seen: history.History) -> dict[str, list[history.Run]]:
    runs = collections.defaultdict(list)
    for run in seen.runs:
        runs[run.attempt].append(run)
    return runs


def _find_opposite(seen: history.History, edit: history.Edit) -> float:
    """Return when a key that was given or withdrawn changed again."""
    return min(
        (
            one.at_ms
            for one in seen.edits
            if one.name == edit.name
            and one.action != edit.action
            and one.at_ms > edit.at_ms
        ),
        default=float("inf"),
    )


def _was_restarted(
    seen: history.History, vm: int, from_ms: int, to_ms: int
) -> bool:
    return any(
        window.target == f"vm-{vm}"
        and window.kind in ("vm_kill", "vm_term")
        and window.overlaps(from_ms, to_ms)
        for window in seen.fault_windows
    )


def _is_owed(seen: history.History, one: history.Attempt) -> bool:
    """Tell whether a caller may expect to be served in the calm."""
    if one.status == 429 or one.kind is history.RequestKind.ADDED_ROUTE:
        return False
    withdrawn = [
        edit.at_ms
        for edit in seen.edits
        if edit.name == one.key and edit.action == "withdraw"
    ]
    return not withdrawn


def _count_tokens(one: history.Attempt) -> int:
    return 120 if one.kind.is_stream else 200
