"""Chooses the router addresses that callers get; advisory."""

import abc
import random

from mulberryway.policy import member

__all__ = [
    "Endpoint",
    "EndpointDirectory",
    "choose_endpoints",
    "list_endpoints",
]


class Endpoint:
    """Address of a router for callers.

    :param address: ``host:port``
    :param zone: its availability zone
    """

    __slots__ = ("address", "zone")

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone


class EndpointDirectory(abc.ABC):
    """Lists the routers that accept callers now."""

    @abc.abstractmethod
    def list_addresses(self, caller_zone: str) -> list[Endpoint]:
        """Return addresses in the order in which a caller should try them.

        :param caller_zone: the caller's zone; empty if not known
        :returns: a few addresses; empty only if no VM is known
        """


# A caller tries the next address if one fails, so a few are enough; more would
# lead callers out of their zone.
MAX_ADDRESSES = 3
# An older count of running requests says little about the current load.
FRESH_MS = 10_000
# Maximum number of endpoints for callers that choose among all VMs.
MAX_ENDPOINTS = 64


def choose_endpoints(
    members: list[member.Member],
    caller_zone: str,
    rng: random.Random,
    now_ms: int,
) -> list[Endpoint]:
    """Choose the addresses that a caller gets.

    Thousands of callers cache a response for some seconds, and all VMs
    respond. If each chose the least loaded VM, all callers would connect to
    the same one, and its count would only show that later. So the choice is
    the less loaded of two random VMs, in the caller's zone while that has one
    which accepts callers. The last address is in another zone if there is one,
    in case the whole zone fails.

    VMs that are stopping, suspected or starting are excluded while there are
    others. If there are none, wrong suspicion is more likely than a crash of
    all VMs.

    :param members: all known VMs
    :param caller_zone: the caller's zone; empty if not known
    :param rng: random generator
    :param now_ms: current time in ms
    :returns: addresses in the order to try; empty only without members
    """
    ranks = sorted({_rank(vm) for vm in members})
    usable = [vm for vm in members if _rank(vm) == ranks[0]]
    local = [vm for vm in usable if vm.zone == caller_zone]
    remote = [vm for vm in usable if vm.zone != caller_zone]
    chosen = _pick(local, MAX_ADDRESSES, rng, now_ms)
    if local and remote:
        chosen = chosen[: MAX_ADDRESSES - 1]
    missing = MAX_ADDRESSES - len(chosen)
    chosen += _pick(remote, missing, rng, now_ms)
    return [Endpoint(vm.caller_address, vm.zone) for vm in chosen]


def list_endpoints(
    members: list[member.Member], unresponsive: frozenset[str]
) -> list[Endpoint]:
    """Return all VMs that accept callers, for callers that choose among them.

    A dead or partitioned VM costs each caller that chooses it a connect
    timeout. VMs send heartbeats, so an unresponsive one is excluded long
    before it is marked as dead. If all seem unresponsive, this VM is the
    partitioned one, and none is excluded.

    :param members: all known VMs
    :param unresponsive: names of unresponsive VMs
    :returns: their addresses, at most :data:`MAX_ENDPOINTS`
    """
    usable = [
        vm
        for vm in members
        if vm.accepts_callers
        and not vm.is_starting
        and vm.name not in unresponsive
    ]
    chosen = usable or [vm for vm in members if not vm.is_stopping]
    return [
        Endpoint(vm.caller_address, vm.zone)
        for vm in (chosen or members)[:MAX_ENDPOINTS]
    ]


def _rank(vm: member.Member) -> tuple[int, bool]:
    return (int(vm.health), vm.is_stopping or vm.is_starting)


def _pick(
    members: list[member.Member],
    count: int,
    rng: random.Random,
    now_ms: int,
) -> list[member.Member]:
    remaining = list(members)
    chosen: list[member.Member] = []
    while remaining and len(chosen) < count:
        pair = rng.sample(remaining, min(2, len(remaining)))
        best = min(pair, key=lambda vm: _get_streams(vm, now_ms))
        remaining.remove(best)
        chosen.append(best)
    return chosen


def _get_streams(vm: member.Member, now_ms: int) -> int:
    is_fresh = vm.heard_ms is not None and now_ms - vm.heard_ms < FRESH_MS
    return vm.streams if is_fresh else 0
