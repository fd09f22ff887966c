"""Which routers share which engines, and who asks an engine for its load.

Were each router to ask each engine of its cell, engines would answer and
routers would read several times as much.  So one router of a cell asks, and
tells the others.
"""

import collections.abc
import functools
import hashlib

from mulberryway import tables
from mulberryway.policy import subsetting

__all__ = ["PoolSubset", "choose_load_poller", "find_pool_subset"]

# Pairs of an upstream and a VM whose hashes are kept, about a megabyte.
MAX_CACHED_HASHES = 8_192


class PoolSubset:
    """What one router has to do with one pool.

    :param pool: the pool's name
    :param upstreams: names of the upstreams that it considers
    :param peers: names of the other VMs whose routers consider them too
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
    """Return one router's share of a pool.

    :param pool: the pool's row
    :param vm: the router's VM
    :param vms: all VMs that run a router, this one among them
    :returns: its share; by the same rule as the scheduler's
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
    """Return the VM that asks an engine for its load and tells the others.

    By rendezvous hashing, so that a VM's going moves only its own engines.
    Two VMs that see different lists may both ask, or for a moment none
    does; an engine's report is then sent twice, or is a little older.

    :param upstream: the engine's name
    :param vms: the VMs that share it
    :returns: one of them
    """
    return max(vms, key=lambda vm: (_hash_pair(upstream, vm), vm))


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def _hash_pair(upstream: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{upstream}/{vm}".encode(), digest_size=8).digest()
