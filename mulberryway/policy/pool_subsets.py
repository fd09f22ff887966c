"""Determines which routers share engines, and which one polls their load.

If every router of a subset polled each engine, engines and routers would
handle several times as many reports.  So one router polls an engine and sends
its reports to the others.
"""

import collections.abc
import functools
import hashlib

from mulberryway import tables
from mulberryway.policy import subsetting

__all__ = [
    "PoolSubset",
    "choose_load_poller",
    "find_pool_subset",
    "hash_pair",
]

# Cached hashes of pairs of an upstream and a VM, about one megabyte.
MAX_CACHED_HASHES = 8_192


class PoolSubset:
    """One router's subset of a pool.

    :param pool: the pool's name
    :param upstreams: names of the upstreams in the subset
    :param peers: names of the other VMs whose routers share the subset
    """

    __slots__ = ("pool", "upstreams", "peers")

    def __init__(
        self, pool: str, upstreams: list[str], peers: list[str]
    ) -> None:
        self.pool = pool
        self.upstreams = upstreams
        self.peers = peers


def find_pool_subset(
    pool: tables.Pool, vm: str, vms: collections.abc.Iterable[str]
) -> PoolSubset:
    """Return one router's subset of a pool.

    :param pool: the pool's row
    :param vm: the router's VM
    :param vms: all VMs that run a router, including this one
    :returns: the subset, which equals the scheduler's
    """
    names = [upstream.name for upstream in pool.upstreams]
    subsets = subsetting.Subsets(
        round(len(names) / subsetting.SUBSET_SIZE), vms
    )
    return PoolSubset(
        pool.name, subsets.choose(vm, names), subsets.list_peers(vm)
    )


def choose_load_poller(
    upstream: str, vms: collections.abc.Iterable[str]
) -> str:
    """Return the VM that polls an engine's load for the whole subset.

    Rendezvous hashing reassigns only the engines of a VM that leaves.  VMs
    with different lists may briefly both poll, or neither; a report is then
    sent twice or is somewhat older.

    :param upstream: the engine's name
    :param vms: the VMs that share it
    :returns: the name of one of them
    """
    return max(vms, key=lambda vm: (hash_pair(upstream, vm), vm))


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def hash_pair(upstream: str, vm: str) -> bytes:
    """Return the rank of an upstream and a VM for rendezvous hashing.

    :param upstream: the upstream's name
    :param vm: the VM's name
    """
    return hashlib.blake2b(f"{upstream}/{vm}".encode(), digest_size=8).digest()
