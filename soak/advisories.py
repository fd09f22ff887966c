"""Checks that VMs do what upstreams ask for in their answers."""

import collections
import collections.abc

from soak import history
from soak import plan

__all__ = ["check_leaving", "check_pauses", "check_rate_limits"]

Violations = collections.abc.Iterator[str]

LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
PAUSE = "Retry-After"
# Marks the answer to a request that the upstream does not serve at all; such
# requests and answers do not count.
MISDIRECTED = "X-Misdirected"
MS_IN_S = 1_000
# Counted are requests from VMs that were told this long before.
TOLD_MS = 500
LIMIT_WINDOW_MS = 4_000
# One and a half times the limit in 4 s, and five requests.
MAX_LIMITED = int(1.5 * plan.LIMIT_PER_S * LIMIT_WINDOW_MS / MS_IN_S + 5)
DRAIN_MS = 2_000
IN_FLIGHT_MS = 500
MAX_IN_PAUSE = 2


class _Received:
    """A request at an upstream, with the VM that sent it.

    :param vm: number of the VM
    :param began_ms: when the caller sent it
    :param request: the request, or what its answer said
    """

    __slots__ = ("vm", "began_ms", "request")

    def __init__(
        self, vm: int, began_ms: int, request: history.UpstreamRequest
    ) -> None:
        self.vm = vm
        self.began_ms = began_ms
        self.request = request


def check_rate_limits(recorded: history.History) -> Violations:
    """Check that all VMs together keep the limits that upstreams name."""
    for instance, received in _group(recorded).items():
        said = _list_said(received, LIMIT)
        if not said:
            continue
        told_ms = _find_told_ms(said)
        last_ms = max(one.request.at_ms for one in said)
        times = sorted(
            one.request.at_ms
            for one in received
            if not one.request.said
            and one.vm in told_ms
            and told_ms[one.vm] + TOLD_MS <= one.request.at_ms <= last_ms
            and recorded.is_vm_undisturbed(
                one.vm, told_ms[one.vm], one.request.at_ms
            )
        )
        most = max(
            (
                sum(first <= at < first + LIMIT_WINDOW_MS for at in times)
                for first in times
            ),
            default=0,
        )
        if most > MAX_LIMITED:
            yield (
                f"{instance} named a limit of {plan.LIMIT_PER_S} a second "
                f"and got {most} requests in 4 s"
            )


def check_leaving(recorded: history.History) -> Violations:
    """Check that VMs leave upstreams alone whose answers say they leave."""
    for instance, received in _group(recorded).items():
        told_ms = _find_told_ms(_list_said(received, LEAVING))
        for one in received:
            if (
                not one.request.said
                and one.vm in told_ms
                and one.began_ms > told_ms[one.vm] + DRAIN_MS
                and recorded.is_vm_undisturbed(
                    one.vm, told_ms[one.vm], one.request.at_ms
                )
            ):
                yield (
                    f"{one.request.attempt} reached {instance}, which had "
                    "said that it leaves"
                )


def check_pauses(recorded: history.History) -> Violations:
    """Check that VMs leave upstreams alone that ask for a pause."""
    for instance, received in _group(recorded).items():
        for asked in _list_said(received, PAUSE):
            asked_ms = asked.request.at_ms
            until_ms = asked_ms + float(asked.request.said[PAUSE]) * MS_IN_S
            count = sum(
                not one.request.said
                and one.vm == asked.vm
                and asked_ms + IN_FLIGHT_MS <= one.request.at_ms < until_ms
                and recorded.is_vm_undisturbed(
                    one.vm, asked_ms, one.request.at_ms
                )
                for one in received
            )
            if count > MAX_IN_PAUSE:
                yield (
                    f"{instance} asked VM {asked.vm} for a pause and got "
                    f"{count} requests"
                )


def _group(
    recorded: history.History,
) -> dict[str, list[_Received]]:
    """Return the requests of known attempts by incarnation."""
    attempts = {attempt.name: attempt for attempt in recorded.attempts}
    misdirected = collections.Counter(
        (request.instance, request.attempt)
        for request in recorded.requests
        if MISDIRECTED in request.said
    )
    grouped = collections.defaultdict(list)
    for request in recorded.requests:
        key = (request.instance, request.attempt)
        if not request.said and misdirected[key]:
            misdirected[key] -= 1
            continue
        attempt = attempts.get(request.attempt)
        if attempt is not None and MISDIRECTED not in request.said:
            grouped[request.instance].append(
                _Received(attempt.vm, attempt.began_ms, request)
            )
    return grouped


def _list_said(received: list[_Received], header: str) -> list[_Received]:
    return [one for one in received if header in one.request.said]


def _find_told_ms(said: list[_Received]) -> dict[int, int]:
    """Return when each VM got the first of some answers."""
    told_ms: dict[int, int] = {}
    for one in said:
        at_ms = one.request.at_ms
        told_ms[one.vm] = min(told_ms.get(one.vm, at_ms), at_ms)
    return told_ms
