"""How long tables may be used that nobody can confirm; a promise."""

import enum

__all__ = ["Confirmation", "Freshness", "judge_freshness"]


class Freshness(enum.Enum):
    """What may be done with the tables that a VM holds."""

    CONFIRMED = "confirmed"
    OUTAGE = "outage"
    CUT_OFF = "cut_off"


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


def judge_freshness(
    confirmation: Confirmation,
    reachable: int,
    now_ms: int,
    fresh_ms: int,
    outage_ms: int,
) -> Freshness:
    """Decide whether unconfirmed tables may still be used.

    Made for two loads that look alike from one VM: the platform is down
    for all, so that no edit can be accepted and all VMs must go on; or
    this VM's side is cut off, while elsewhere an operator withdraws a key.
    Whoever reaches most of the VMs that were there at the last
    confirmation would hear of an edit from one of them, so it goes on for
    ``outage_ms``.  Whoever reaches fewer stops after ``fresh_ms``: serving
    a withdrawn key breaks a promise, a refusal that says "not run" does
    not.  Exactly half is not most: both halves would go on.

    :param confirmation: the last one
    :param reachable: VMs that answer now, this one included
    :param now_ms: the present
    :param fresh_ms: how long a confirmation is enough by itself
    :param outage_ms: the longest use in an outage of the platform
    :returns: the decision
    """
    age_ms = now_ms - confirmation.at_ms
    if age_ms <= fresh_ms:
        return Freshness.CONFIRMED
    if age_ms <= outage_ms and reachable * 2 > confirmation.fleet_size:
        return Freshness.OUTAGE
    return Freshness.CUT_OFF
