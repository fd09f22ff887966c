"""Which upstreams a router considers, and which routers share them.

A router that looks at every engine of a large pool spends its processor time
on scanning, and one that shares engines with every other has to tell each of
them what it holds.  So large pools are cut into cells (deterministic
subsetting): an engine belongs to one cell, and a few routers work in it.
"""

import collections.abc
import hashlib

__all__ = ["SUBSET_SIZE", "Subsets"]

SUBSET_SIZE = 64


class Subsets:
    """A division of engines and routers that changes little with either.

    :param count: how many
    :param vms: names of all VMs that run a router
    """

    def __init__(self, count: int, vms: collections.abc.Iterable[str]) -> None:
        self.count = max(count, 1)
        self._subset_of_vm = _assign_subsets(sorted(set(vms)), self.count)

    def find_subset(self, vm: str) -> int:
        """Return the cell in which a VM's router works.

        :param vm: its name; one that is not in the list gets a cell too
        :returns: the cell's number
        """
        subset = self._subset_of_vm.get(vm)
        return _rank_subsets(vm, self.count)[0] if subset is None else subset

    def list_peers(self, vm: str) -> list[str]:
        """Return the other VMs in a VM's cell; they exchange hints.

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
        :param upstreams: all names
        :returns: those of its cell, or all if the cell has none
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
    # Each VM takes the cell that its hash likes best and that has room left,
    # so cells have equal numbers and one VM's going moves only few others.
    free = [-(-len(vms) // count)] * count
    assigned: dict[str, int] = {}
    for vm in vms if count > 1 else ():
        subset = next(one for one in _rank_subsets(vm, count) if free[one])
        free[subset] -= 1
        assigned[vm] = subset
    return assigned or dict.fromkeys(vms, 0)
