"""Which VM writes which shard's log of claims; a hint, never a promise.

Any VM may write any shard, and two that both think themselves the keeper
only cost each other retries.
"""

import collections.abc
import hashlib

from mulberryway.policy import member

__all__ = ["choose_coordinator"]


def choose_coordinator(
    shard: int, members: collections.abc.Iterable[member.Member]
) -> member.Member | None:
    """Return the VM that writes a shard, by rendezvous hashing.

    The load that this is made for: calls that must run once arrive at all
    VMs.  If each wrote its own claims, VMs would refuse each other's
    updates, and the platform's writes would grow with the calls; a VM that
    comes or goes moves only its own shards.

    :param shard: the shard's number
    :param members: the known VMs
    :returns: one that takes callers, or none
    """
    return max(
        (one for one in members if one.accepts_callers),
        key=lambda one: _weigh(shard, one.name),
        default=None,
    )


def _weigh(shard: int, name: str) -> bytes:
    return hashlib.blake2b(f"{shard}/{name}".encode(), digest_size=8).digest()
