"""Rules for how long tables may be used without a confirmation."""

import enum

__all__ = [
    "Confirmation",
    "Freshness",
    "count_quorum_peers",
    "evaluate_freshness",
]


class Freshness(enum.Enum):
    """Whether a VM may use the tables that it stores."""

    CONFIRMED = "confirmed"
    OUTAGE = "outage"
    PARTITIONED = "cut_off"


class Confirmation:
    """The time at which the platform last confirmed the root as the newest.

    VMs send it to one another with its age, which is counted from the
    platform's response and never restarts. In a partitioned zone, where VMs
    confirm one another, the same age therefore grows on all of them.

    :param at_ms: the time by the local clock, in milliseconds
    :param fleet_size: how many VMs were alive then
    """

    __slots__ = ("at_ms", "fleet_size")

    def __init__(self, at_ms: int, fleet_size: int) -> None:
        self.at_ms = at_ms
        self.fleet_size = fleet_size


def count_quorum_peers(fleet_size: int) -> int:
    """Return how many other VMs form a majority together with this one.

    Exactly half is no majority: both halves of a network partition would
    continue.

    :param fleet_size: the number of VMs
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

    One VM cannot distinguish two situations. Either the platform is down for
    all VMs, so no edit can be accepted and all of them must continue, or this
    VM is partitioned while an operator elsewhere revokes a key. If a majority
    of the VMs, counted by the fleet's size at the last confirmation, has just
    answered that it has no newer root, this VM would have received an edit
    from one of them, and continues for ``outage_ms``. With fewer answers it
    stops after ``fresh_ms``: accepting a revoked key violates an invariant,
    whereas a rejection marked "not run" does not.

    Membership alone is not enough: after a partition is restored, the first VM
    to answer may have been partitioned as well.

    :param confirmation: the last confirmation
    :param quorum_at_ms: when the oldest request needed for a majority's
        answers was sent, in milliseconds; none without a majority
    :param now_ms: the current time in milliseconds
    :param fresh_ms: for how many milliseconds a confirmation or an answer is
        valid
    :param outage_ms: the longest use during an outage of the platform, in
        milliseconds
    :returns: the decision
    """
    age_ms = now_ms - confirmation.at_ms
    if age_ms <= fresh_ms:
        return Freshness.CONFIRMED
    has_quorum = quorum_at_ms is not None and now_ms - quorum_at_ms <= fresh_ms
    if has_quorum and age_ms <= outage_ms:
        return Freshness.OUTAGE
    return Freshness.PARTITIONED
