"""Chooses the VM that writes each shard of the claim log; advisory.

Any VM may write any shard. Two VMs that both consider themselves the
coordinator only cause each other retries.
"""

import collections.abc
import hashlib

from mulberryway.policy import member

__all__ = ["choose_coordinator"]


def choose_coordinator(
    shard: int, members: collections.abc.Iterable[member.Member]
) -> member.Member | None:
    """Return the coordinator of a shard, by rendezvous hashing.

    Calls that must run once arrive at all VMs. If each VM wrote its own
    claims, concurrent updates would be rejected and the platform's writes
    would grow with the number of calls. When a VM joins or leaves, only its
    own shards move.

    :param shard: the shard's number
    :param members: the known VMs
    :returns: a VM that accepts callers; none if there is none
    """
    return max(
        (vm for vm in members if vm.accepts_callers),
        key=lambda vm: _weigh(shard, vm.name),
        default=None,
    )


def _weigh(shard: int, name: str) -> bytes:
    return hashlib.blake2b(f"{shard}/{name}".encode(), digest_size=8).digest()
