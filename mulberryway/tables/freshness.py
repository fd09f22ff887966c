"""How long tables may be used that nobody can confirm; a promise."""

import enum

__all__ = [
    "Confirmation",
    "Freshness",
    "count_quorum_peers",
    "evaluate_freshness",
]


class Freshness(enum.Enum):
    """What may be done with the tables that a VM holds."""

    CONFIRMED = "confirmed"
    OUTAGE = "outage"
    PARTITIONED = "cut_off"


class Confirmation:
    """When the platform was last known to hold no newer root.

    It travels from VM to VM with its age, which starts at the platform's
    answer and never anew: VMs of a cut-off zone that confirm one another
    all see the same age grow.

    :param at_ms: by the holder's own clock
    :param fleet_size: how many VMs were alive then
    """

    __slots__ = ("at_ms", "fleet_size")

    def __init__(self, at_ms: int, fleet_size: int) -> None:
        self.at_ms = at_ms
        self.fleet_size = fleet_size


def count_quorum_peers(fleet_size: int) -> int:
    """Return how many other VMs make most of a fleet with this one.

    Exactly half is not most: both halves of a cut would go on.

    :param fleet_size: how many VMs there are
    """
    return fleet_size // 2


def evaluate_freshness(
    confirmation: Confirmation,
    quorum_at_ms: int | None,
    now_ms: int,
    fresh_ms: int,
    outage_ms: int,
) -> Freshness:
    """Decide whether unconfirmed tables may still be used.

    Made for two loads that look alike from one VM: the platform is down
    for all, so that no edit can be accepted and all VMs must go on; or
    this VM's side is cut off, while elsewhere an operator withdraws a key.
    Whoever has just heard from most of the VMs, as many as there were at
    the last confirmation, that they know no newer root would have heard of
    an edit from one of them, so it goes on for ``outage_ms``.  Whoever
    hears from fewer stops after ``fresh_ms``: serving a withdrawn key
    breaks a promise, a refusal that says "not run" does not.

    That other VMs are believed alive is not enough: after a cut has healed
    the first to answer may be one that was cut off as well.

    :param confirmation: the last one
    :param quorum_at_ms: since when most VMs have answered; none if they
        have not
    :param now_ms: the present
    :param fresh_ms: how long a confirmation, or an answer, is enough
    :param outage_ms: the longest use in an outage of the platform
    :returns: the decision
    """
    age_ms = now_ms - confirmation.at_ms
    if age_ms <= fresh_ms:
        return Freshness.CONFIRMED
    has_quorum = quorum_at_ms is not None and now_ms - quorum_at_ms <= fresh_ms
    if has_quorum and age_ms <= outage_ms:
        return Freshness.OUTAGE
    return Freshness.PARTITIONED
