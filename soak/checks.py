"""Invariants that a recorded history must satisfy.

Each check yields one message for each violation.
"""

import collections
import collections.abc
import itertools
import re

from soak import advisories
from soak import history
from soak import shutdowns
from standins import odd_answers

__all__ = ["CHECKS", "find_violations"]

Violations = collections.abc.Iterator[str]

# A fault may affect a VM for this long after its end.
SETTLE_MS = 3_000
# Time limits for an edit to become active and for a draining upstream to get
# no new requests.  The settings of the entry VMs guarantee both.
EDIT_PROPAGATION_MS = 2_000
DRAIN_PROPAGATION_MS = 2_000
# Operators allow 5 s for an evacuation.
EVACUATION_PROPAGATION_MS = 5_000
# What the entry VMs' settings allow at a rate of 4 requests per second.
MAX_COLD_PER_S = 8
# A VM that has served a route must not lose it again.  Requests that were in
# flight when the route was added may still be served from the old tables.
REGRESSION_TOLERANCE_MS = 250
# A response this long after the deadline is a violation.  Smaller delays are
# allowed because the machine is under load during a soak.
DEADLINE_SLACK_MS = 1_500
DEADLINE_MS = 4_000
WINDOW_MS = 8_000
STREAM_EVENTS = 20
# What engines write as an event.
EVENT = re.compile(rb"id: (\d+)\ndata: t\1 v\d+")
REJECTION_STATUSES = (408, 421, 429, 503)
MAX_STATUS = 599
# A partitioned VM violates its promise if it serves less than this fraction of
# what others serve, and if more attempts fail there than a few of all.
MIN_PARTITIONED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_FRACTION = 0.02
# Minimum fraction of requests served in the fault-free period at the end.
MIN_SERVED_FRACTION = 0.95
# After this many crashes by one part, all VMs must know of it in SETTLE_MS.
# Then no more than a few requests with it may reach engines.
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3


class Quota:
    """Token limit of one account.

    :param account: name of the account
    :param rate: tokens per second
    :param burst: burst in tokens
    :param over_part: allowed overrun as a fraction of rate and burst
    :param over_tokens: additional allowed overrun in tokens
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
        """Return the maximum number of tokens allowed in one window."""
        limit = self.rate * WINDOW_MS / 1_000 + self.burst
        return limit * (1 + self.over_part) + self.over_tokens


def check_runs(recorded: history.History) -> Violations:
    """Check how often, where and for which account each attempt ran."""
    attempts_by_name = {attempt.name: attempt for attempt in recorded.attempts}
    for name, runs in _group_runs(recorded).items():
        attempt = attempts_by_name.get(name)
        if attempt is None:
            yield f"{name} ran, and no caller sent it"
            continue
        if len(runs) > attempt.kind.max_runs:
            yield f"{name} ran {len(runs)} times: {attempt.kind.value}"
        for run in runs:
            if run.account != recorded.keys[attempt.key]:
                yield f"{name} ran for {run.account}, not its key's account"
            if recorded.services.get(run.instance) != attempt.kind.service:
                yield (
                    f"{name} ran at {run.instance}, "
                    "a server of another service"
                )


def check_keys(recorded: history.History) -> Violations:
    """Check that no upstream received a caller's API key."""
    for run in recorded.runs:
        if any(key in run.text for key in recorded.keys):
            yield f"{run.attempt} leaked its key to {run.instance}"


def check_rejections(recorded: history.History) -> Violations:
    """Check that rejected attempts did not run and carry Retry-After."""
    runs_by_attempt = _group_runs(recorded)
    for attempt in recorded.attempts:
        if attempt.status not in REJECTION_STATUSES:
            continue
        if attempt.name in runs_by_attempt:
            yield f"{attempt.name} was rejected with {attempt.status}, and ran"
        if attempt.status in (429, 503) and not attempt.retry_after:
            yield f"{attempt.name} was rejected without a time to retry"


def check_answers(recorded: history.History) -> Violations:
    """Check that successful responses are complete and match the request.

    A truncated response must be recognizable as truncated, and no response may
    be that of another request.
    """
    expected_seals = collections.defaultdict(set)
    for run in recorded.runs:
        expected_seals[run.attempt].add(run.seal)
    for attempt in recorded.attempts:
        if attempt.echoed_id not in ("", attempt.name):
            yield f"{attempt.name} got a response to {attempt.echoed_id}"
        if attempt.status > MAX_STATUS:
            yield f"{attempt.name} got status {attempt.status}"
        if not 200 <= attempt.status < 300:
            continue
        if attempt.status != 200:
            yield f"{attempt.name} got status {attempt.status}"
        if (
            attempt.seal not in expected_seals[attempt.name]
            or attempt.echoed_id != attempt.name
        ):
            yield f"{attempt.name} got a response that is not its own"
        if attempt.kind.is_stream:
            yield from _check_stream(attempt)
        else:
            yield from _check_body(attempt)


def check_edit_propagation(recorded: history.History) -> Violations:
    """Check that edits become active on healthy VMs in time and stay so."""
    for edit in recorded.edits:
        due_ms = edit.at_ms + EDIT_PROPAGATION_MS
        changed_ms = _find_next_change_ms(recorded, edit)
        for attempt in recorded.attempts:
            if attempt.began_ms < due_ms or attempt.ended_ms >= changed_ms:
                continue
            if not recorded.is_vm_healthy(
                attempt.vm,
                attempt.began_ms - SETTLE_MS,
                attempt.ended_ms,
            ):
                continue
            if edit.action == "withdraw" and attempt.key == edit.name:
                if attempt.status == 200:
                    yield f"{attempt.name} was served with a revoked key"
            if edit.action == "give" and attempt.key == edit.name:
                if attempt.status == 401:
                    yield f"{attempt.name} was denied with a valid key"
            if (
                edit.action == "add"
                and attempt.kind is history.RequestKind.ADDED_ROUTE
            ):
                if attempt.status == 404:
                    yield f"{attempt.name} found no route after it was added"


def check_route_regression(recorded: history.History) -> Violations:
    """Check that a VM does not lose a route that it has served."""
    first_served_ms: dict[int, int] = {}
    attempts_on_added_route = [
        attempt
        for attempt in recorded.attempts
        if attempt.kind is history.RequestKind.ADDED_ROUTE
    ]
    for attempt in sorted(
        attempts_on_added_route, key=lambda attempt: attempt.ended_ms
    ):
        served_ms = first_served_ms.get(attempt.vm)
        if attempt.status == 200 and served_ms is None:
            first_served_ms[attempt.vm] = attempt.ended_ms
        if attempt.status == 404 and served_ms is not None:
            since_ms = served_ms + REGRESSION_TOLERANCE_MS
            if attempt.began_ms > since_ms and not _was_vm_restarted(
                recorded, attempt.vm, served_ms, attempt.ended_ms
            ):
                yield (
                    f"{attempt.name} found no route that vm-{attempt.vm}"
                    f" had served"
                )


def check_draining(recorded: history.History) -> Violations:
    """Check that healthy VMs send no new requests to draining upstreams."""
    attempts_by_name = {attempt.name: attempt for attempt in recorded.attempts}
    draining = {
        edit.name: edit.at_ms
        for edit in recorded.edits
        if edit.action == "leave"
    }
    for run in recorded.runs:
        attempt, draining_since_ms = (
            attempts_by_name.get(run.attempt),
            draining.get(run.instance),
        )
        if attempt is None or draining_since_ms is None:
            continue
        if (
            run.at_ms <= draining_since_ms + DRAIN_PROPAGATION_MS
            or attempt.began_ms < draining_since_ms
        ):
            continue
        if recorded.is_vm_healthy(
            attempt.vm, draining_since_ms - SETTLE_MS, run.at_ms
        ):
            yield f"{run.attempt} ran at {run.instance}, which was draining"


def check_evacuations(recorded: history.History) -> Violations:
    """Check that healthy VMs send nothing to evacuated zones."""
    attempts_by_name = {attempt.name: attempt for attempt in recorded.attempts}
    for run, evacuation in itertools.product(
        recorded.runs, recorded.evacuations
    ):
        attempt = attempts_by_name.get(run.attempt)
        due_ms = evacuation.began_ms + EVACUATION_PROPAGATION_MS
        if (
            attempt is None
            or recorded.zones.get(run.instance) != evacuation.zone
            or not due_ms < run.at_ms < evacuation.ended_ms
        ):
            continue
        if recorded.is_vm_healthy(
            attempt.vm, evacuation.began_ms - SETTLE_MS, run.at_ms
        ):
            yield f"{run.attempt} ran at {run.instance}, in an evacuated zone"


def check_cold_servers(recorded: history.History) -> Violations:
    """Check that all VMs together keep to the limit of cold servers."""
    for evacuation in recorded.evacuations:
        times = collections.defaultdict(list)
        for run in recorded.runs:
            if (
                recorded.zones.get(run.instance) == evacuation.zone
                and evacuation.ended_ms <= run.at_ms < evacuation.warm_ms
            ):
                times[run.instance].append(run.at_ms)
        for instance, at_ms in times.items():
            most = max(
                sum(first <= other < first + 1_000 for other in at_ms)
                for first in at_ms
            )
            if most > MAX_COLD_PER_S:
                yield f"{instance} was cold and got {most} in a second"


def check_graceful_shutdown(recorded: history.History) -> Violations:
    """Check that a graceful shutdown truncates no response in progress."""
    runs_by_attempt = _group_runs(recorded)
    for attempt in recorded.attempts:
        is_incomplete = attempt.status == 0 or attempt.is_cut
        if (
            not is_incomplete
            or attempt.has_disconnected
            or attempt.name not in runs_by_attempt
        ):
            continue
        span = (attempt.began_ms - SETTLE_MS, attempt.ended_ms)
        if not recorded.are_upstreams_healthy(*span):
            continue
        kinds = {
            window.kind
            for window in recorded.fault_windows
            if window.target
            in (f"vm-{attempt.vm}", f"front-{attempt.vm}", "store")
            and window.overlaps(*span)
        }
        # A cut breaks the connections that exist when it begins.
        kinds |= {
            window.kind
            for window in recorded.fault_windows
            if window.target == f"path-{attempt.vm}"
            and span[0] <= window.from_ms <= span[1]
        }
        if kinds <= {"vm_term", "vm_reload"}:
            yield f"{attempt.name} lost its response, faults: {sorted(kinds)}"


def check_deadlines(recorded: history.History) -> Violations:
    """Check that final responses arrive soon after the deadline at most."""
    for attempt in recorded.attempts:
        duration_ms = attempt.ended_ms - attempt.began_ms
        if (
            attempt.has_disconnected
            or duration_ms <= DEADLINE_MS + DEADLINE_SLACK_MS
        ):
            continue
        if recorded.is_vm_healthy(
            attempt.vm, attempt.began_ms - SETTLE_MS, attempt.ended_ms
        ):
            yield f"{attempt.name} was answered after {duration_ms} ms"


def check_recovery(recorded: history.History) -> Violations:
    """Check for unexpected exits, leaked resources and missing recovery."""
    for vm in recorded.unexpected_exits:
        yield f"{vm} exited unexpectedly"
    for vm in recorded.unregistered_vms:
        yield f"{vm} has no entry in the store"
    if recorded.held:
        yield f"engines still hold {recorded.held} runs or KV caches"
    fault_free = [
        attempt
        for attempt in recorded.attempts
        if attempt.began_ms >= recorded.recovered_ms
        and not attempt.has_disconnected
        and _should_be_served(recorded, attempt)
    ]
    served = sum(
        attempt.status == 200 and not attempt.is_cut for attempt in fault_free
    )
    if served < len(fault_free) * MIN_SERVED_FRACTION:
        yield f"after all faults {served} of {len(fault_free)} were served"


def check_quota(recorded: history.History, quota: Quota) -> Violations:
    """Check that an account stays within rate and burst across all VMs."""
    attempts_by_name = {attempt.name: attempt for attempt in recorded.attempts}
    starts = sorted(
        (min(run.at_ms for run in runs), _count_tokens(attempts_by_name[name]))
        for name, runs in _group_runs(recorded).items()
        if name in attempts_by_name
        and recorded.keys[attempts_by_name[name].key] == quota.account
    )
    for window_start_ms, _ in starts:
        used = sum(
            tokens
            for at_ms, tokens in starts
            if window_start_ms <= at_ms < window_start_ms + WINDOW_MS
        )
        if used > quota.compute_max_tokens():
            yield (
                f"{quota.account} used {used}"
                f" of {quota.compute_max_tokens():.0f}"
            )
            return


def check_versions(recorded: history.History) -> Violations:
    """Check that no stream holds events of two software versions."""
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in recorded.attempts:
        if attempt.kind.is_stream and attempt.status == 200:
            versions[attempt.resumes or attempt.name] |= set(
                list_versions(attempt.body)
            )
    for name, written_by in versions.items():
        if len(written_by) > 1:
            yield f"{name} holds events of {sorted(written_by)}"


def check_crashing_parts(recorded: history.History) -> Violations:
    """Check that a part that ends engines reaches few of them any more.

    Only requests of healthy VMs count, from the time on at which all VMs know
    of the fifth crash.
    """
    vms = {attempt.name: attempt.vm for attempt in recorded.attempts}
    crashes: dict[str, list[int]] = collections.defaultdict(list)
    for arrival in recorded.arrivals:
        for part in arrival.crashes:
            crashes[part].append(arrival.at_ms)
    for part, times in crashes.items():
        if len(times) < COUNTED_CRASHES:
            continue
        limit_ms = times[COUNTED_CRASHES - 1] + SETTLE_MS
        late = {
            arrival.attempt
            for arrival in recorded.arrivals
            if part in arrival.parts
            and arrival.at_ms > limit_ms
            and recorded.is_vm_healthy(
                vms[arrival.attempt],
                arrival.at_ms - SETTLE_MS,
                arrival.at_ms,
            )
        }
        if len(late) > MAX_LATE_REQUESTS:
            yield (
                f"{len(late)} requests with {part} reached engines after it "
                f"had ended {COUNTED_CRASHES}; {len(times)} ended in all"
            )


def check_partitions(recorded: history.History) -> Violations:
    """Check that a VM without paths to upstreams serves like the others."""
    for window in recorded.fault_windows:
        if not window.kind.startswith("path_"):
            continue
        served: dict[bool, list[bool]] = {True: [], False: []}
        for attempt in recorded.attempts:
            if _is_comparable(recorded, attempt, window):
                is_partitioned = window.target == f"path-{attempt.vm}"
                served[is_partitioned].append(
                    attempt.status == 200 and not attempt.is_cut
                )
        inside, outside = served[True], served[False]
        failed = inside.count(False)
        limit = MAX_FAILED + MAX_FAILED_FRACTION * len(inside + outside)
        if failed > limit and (
            sum(inside) * len(outside)
            < MIN_PARTITIONED_RATIO * sum(outside) * len(inside)
        ):
            yield (
                f"{window.target} served {sum(inside)} of {len(inside)} "
                f"while partitioned, others {sum(outside)} of {len(outside)}"
            )


def _is_comparable(
    recorded: history.History,
    attempt: history.Attempt,
    window: history.FaultWindow,
) -> bool:
    """Return whether an attempt shows how a partition affects callers."""
    return (
        window.from_ms + SETTLE_MS <= attempt.began_ms < window.to_ms
        and attempt.status not in (401, 429)
        and not attempt.has_disconnected
        and recorded.is_vm_healthy(
            attempt.vm, attempt.began_ms - SETTLE_MS, attempt.ended_ms
        )
    )


CHECKS = (
    check_runs,
    check_keys,
    check_rejections,
    check_answers,
    check_edit_propagation,
    check_route_regression,
    check_draining,
    check_graceful_shutdown,
    check_deadlines,
    check_recovery,
    check_partitions,
    check_versions,
    check_crashing_parts,
    check_evacuations,
    check_cold_servers,
    advisories.check_rate_limits,
    advisories.check_leaving,
    advisories.check_pauses,
    shutdowns.check_lost_answers,
    shutdowns.check_ends,
    shutdowns.check_refusals,
)


def find_violations(recorded: history.History, quota: Quota) -> list[str]:
    """Check a history against all invariants.

    :param recorded: history to check
    :param quota: limit of the account that is checked
    :returns: one message for each violation
    """
    violations = itertools.chain.from_iterable(
        check(recorded) for check in CHECKS
    )
    return [*violations, *check_quota(recorded, quota)]


def split_events(body: bytes) -> list[bytes]:
    """Return a stream's events without comments, and what follows them.

    :param body: received part of the stream
    """
    return body.replace(odd_answers.COMMENT, b"").split(b"\n\n")


def list_events(body: bytes) -> list[int]:
    """Return the numbers of a stream's complete events.

    :param body: received part of the stream
    :returns: event numbers without a truncated last event
    """
    *events, _ = split_events(body)
    return [int(event.split(b"\n")[0].partition(b":")[2]) for event in events]


def list_versions(body: bytes) -> list[str]:
    """Return the software versions that wrote a stream's complete events.

    :param body: received part of the stream
    """
    *events, _ = split_events(body)
    return [event.rpartition(b" ")[2].decode() for event in events]


def count_resumptions(recorded: history.History) -> dict[str, int]:
    """Return the outcomes of streams that callers resumed.

    :param recorded: history of a run
    :returns: number of requests by outcome
    """
    counts = collections.Counter(
        str(attempt.status) if attempt.status != 200 else "went on"
        for attempt in recorded.attempts
        if attempt.resumes
    )
    return dict(sorted(counts.items()))


def _check_body(attempt: history.Attempt) -> Violations:
    expected = _make_expected_body(attempt)
    if attempt.is_cut:
        expected = expected[: len(attempt.body)]
    if attempt.body != expected:
        yield f"{attempt.name} got {attempt.body[:60]!r}"


def _check_stream(attempt: history.Attempt) -> Violations:
    *events, rest = split_events(attempt.body)
    if not all(map(EVENT.fullmatch, events)) or (rest and not attempt.is_cut):
        yield f"{attempt.name} got {attempt.body[-60:]!r}"
        return
    numbers = list_events(attempt.body)
    first = attempt.last_event + 1
    if numbers != list(range(first, first + len(numbers))):
        yield f"{attempt.name} got events {numbers}"
    expected = STREAM_EVENTS - attempt.last_event
    if not attempt.is_cut and len(numbers) != expected:
        yield f"{attempt.name} ended as complete after {len(numbers)} events"


def _make_expected_body(attempt: history.Attempt) -> bytes:
    return f"POST {attempt.path} ".encode() + attempt.sent


def _group_runs(recorded: history.History) -> dict[str, list[history.Run]]:
    runs = collections.defaultdict(list)
    for run in recorded.runs:
        runs[run.attempt].append(run)
    return runs


def _find_next_change_ms(
    recorded: history.History, edit: history.Edit
) -> float:
    """Return when a key that was issued or revoked changed again."""
    return min(
        (
            other.at_ms
            for other in recorded.edits
            if other.name == edit.name
            and other.action != edit.action
            and other.at_ms > edit.at_ms
        ),
        default=float("inf"),
    )


def _was_vm_restarted(
    recorded: history.History, vm: int, from_ms: int, to_ms: int
) -> bool:
    return any(
        window.target == f"vm-{vm}"
        and window.kind in ("vm_kill", "vm_term", "vm_stop")
        and window.overlaps(from_ms, to_ms)
        for window in recorded.fault_windows
    )


def _should_be_served(
    recorded: history.History, attempt: history.Attempt
) -> bool:
    """Return whether an attempt of the fault-free period must succeed."""
    if (
        attempt.status == 429
        # The software version that began the stream may have left.
        or attempt.resumes
        or attempt.is_crashing
        or attempt.kind is history.RequestKind.ADDED_ROUTE
    ):
        return False
    revoked_at = [
        edit.at_ms
        for edit in recorded.edits
        if edit.name == attempt.key and edit.action == "withdraw"
    ]
    return not revoked_at


def _count_tokens(attempt: history.Attempt) -> int:
    return 120 if attempt.kind.is_stream else 200
