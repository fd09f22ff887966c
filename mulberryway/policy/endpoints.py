"""Which VMs a caller is told to connect to; a hint, never a promise."""

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
    """One address that a caller may use.

    :param address: ``host:port``
    :param zone: its availability zone
    """

    __slots__ = ("address", "zone")

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone


class EndpointDirectory(abc.ABC):
    """Knows which VMs take callers now."""

    @abc.abstractmethod
    def list_addresses(self, caller_zone: str) -> list[Endpoint]:
        """Return addresses in the order in which a caller should try them.

        :param caller_zone: the caller's zone; empty if not known
        :returns: a few addresses; never empty while any VM is known
        """


# A caller tries the next address when one fails, so a few are enough; more
# would only let callers drift out of their zone.
MOST_ADDRESSES = 3
# A count of running requests that is older says little of the present.
FRESH_MS = 10_000
# Callers that choose among all VMs take no more than these.
MOST_ENTRIES = 64


def choose_endpoints(
    members: list[member.Member],
    caller_zone: str,
    rng: random.Random,
    now_ms: int,
) -> list[Endpoint]:
    """Choose the addresses that a caller is told.

    The load that this is made for: thousands of callers keep an answer for
    some seconds each, and all VMs answer.  Choosing the least loaded VM
    would send all of them to the same one, and its count would tell so only
    later; so the less loaded of two random VMs is chosen each time, in the
    caller's zone while it has one that takes callers.  The last address is
    in another zone if there is one, for the case that the whole zone fails.

    VMs that stop, are suspected or cannot serve yet are left out while
    others are there; with none left, wrong suspicion is likelier than the
    death of all.

    :param members: all VMs that are known
    :param caller_zone: the caller's zone; empty if not known
    :param rng: where the choice comes from
    :param now_ms: the present
    :returns: addresses in the order of trying; empty only without members
    """
    ranks = sorted({_rank(one) for one in members})
    usable = [one for one in members if _rank(one) == ranks[0]]
    near = [one for one in usable if one.zone == caller_zone]
    far = [one for one in usable if one.zone != caller_zone]
    chosen = _pick(near, MOST_ADDRESSES, rng, now_ms)
    if near and far:
        chosen = chosen[: MOST_ADDRESSES - 1]
    missing = MOST_ADDRESSES - len(chosen)
    chosen += _pick(far, missing, rng, now_ms)
    return [Endpoint(one.entry, one.zone) for one in chosen]


def list_endpoints(
    members: list[member.Member], silent: frozenset[str]
) -> list[Endpoint]:
    """Return all VMs that take callers, for callers that choose themselves.

    A VM that is dead or cut off costs each caller that chooses it the wait
    for a connection.  VMs send heartbeats, so a silent one is left out long
    before its death is certain; unless all seem silent, for then it is this
    VM that is cut off.

    :param members: all VMs that are known
    :param silent: names of VMs that have fallen silent
    :returns: their addresses, at most as many as fit an answer
    """
    usable = [
        one
        for one in members
        if one.accepts_callers
        and not one.is_starting
        and one.name not in silent
    ]
    chosen = usable or [one for one in members if not one.is_stopping]
    return [
        Endpoint(one.entry, one.zone)
        for one in (chosen or members)[:MOST_ENTRIES]
    ]


def _rank(one: member.Member) -> tuple[int, bool]:
    return (int(one.health), one.is_stopping or one.is_starting)


def _pick(
    members: list[member.Member],
    count: int,
    chance: random.Random,
    now_ms: int,
) -> list[member.Member]:
    left = list(members)
    chosen: list[member.Member] = []
    while left and len(chosen) < count:
        pair = chance.sample(left, min(2, len(left)))
        best = min(pair, key=lambda one: _read_streams(one, now_ms))
        left.remove(best)
        chosen.append(best)
    return chosen


def _read_streams(one: member.Member, now_ms: int) -> int:
    is_fresh = one.heard_ms is not None and now_ms - one.heard_ms < FRESH_MS
    return one.streams if is_fresh else 0
