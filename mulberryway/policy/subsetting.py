"""Divides upstreams and routers into subsets (deterministic subsetting).

A router that considers every engine of a large pool spends its processor time
on scanning, and has to send its load to every other router.  So large pools
are divided into subsets: each engine belongs to one subset, which a few
routers share.
"""

import collections.abc
import hashlib

__all__ = ["SUBSET_SIZE", "Subsets"]

SUBSET_SIZE = 64


class Subsets:
    """Assigns engines and routers to subsets that remain mostly stable.

    :param count: number of subsets
    :param vms: names of all VMs that run a router
    """

    def __init__(self, count: int, vms: collections.abc.Iterable[str]) -> None:
        self.count = max(count, 1)
        self._subset_of_vm = _assign_subsets(sorted(set(vms)), self.count)

    def find_subset(self, vm: str) -> int:
        """Return the subset of a VM's router.

        :param vm: its name; a VM that is not in the list also gets a subset
        :returns: the subset's number
        """
        subset = self._subset_of_vm.get(vm)
        return _rank_subsets(vm, self.count)[0] if subset is None else subset

    def list_peers(self, vm: str) -> list[str]:
        """Return the other VMs of a VM's subset, which exchange gossip.

        :param vm: the VM's name
        :returns: their names
        """
        subset = self.find_subset(vm)
        return [
            name
            for name, other in self._subset_of_vm.items()
            if other == subset and name != vm
        ]

    def choose(
        self, vm: str, upstreams: collections.abc.Sequence[str]
    ) -> list[str]:
        """Return the upstreams that a VM's router considers.

        :param vm: the VM's name
        :param upstreams: names of all upstreams
        :returns: the names in its subset; if it has none, the first
            :data:`SUBSET_SIZE` names
        """
        if self.count == 1:
            return list(upstreams)
        subset = self.find_subset(vm)
        chosen = [
            name for name in upstreams if _hash(name) % self.count == subset
        ]
        return chosen or list(upstreams[:SUBSET_SIZE])


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _rank_subsets(vm: str, count: int) -> list[int]:
    return sorted(range(count), key=lambda subset: _hash(f"{vm}/{subset}"))


def _assign_subsets(vms: list[str], count: int) -> dict[str, int]:
    # Each VM gets the first subset of its hash order that has free capacity.
    # Subsets have equal sizes, and a VM that leaves moves only few others.
    free = [-(-len(vms) // count)] * count
    assigned: dict[str, int] = {}
    for vm in vms if count > 1 else ():
        subset = next(item for item in _rank_subsets(vm, count) if free[item])
        free[subset] -= 1
        assigned[vm] = subset
    return assigned or dict.fromkeys(vms, 0)
