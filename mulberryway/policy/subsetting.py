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
        self._cell_of_vm = _spread(sorted(set(vms)), self.count)

    def find_subset(self, vm: str) -> int:
        """Return the cell in which a VM's router works.

        :param vm: its name; one that is not in the list gets a cell too
        :returns: the cell's number
        """
        cell = self._cell_of_vm.get(vm)
        return _rank_cells(vm, self.count)[0] if cell is None else cell

    def list_peers(self, vm: str) -> list[str]:
        """Return the other VMs in a VM's cell; they exchange hints.

        :param vm: the VM's name
        :returns: their names
        """
        cell = self.find_subset(vm)
        return [
            name
            for name, other in self._cell_of_vm.items()
            if other == cell and name != vm
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
        cell = self.find_subset(vm)
        chosen = [
            name for name in upstreams if _hash(name) % self.count == cell
        ]
        return chosen or list(upstreams[:SUBSET_SIZE])


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _rank_cells(vm: str, cells: int) -> list[int]:
    return sorted(range(cells), key=lambda cell: _hash(f"{vm}/{cell}"))


def _spread(vms: list[str], cells: int) -> dict[str, int]:
    # Each VM takes the cell that its hash likes best and that has room left,
    # so cells have equal numbers and one VM's going moves only few others.
    room = [-(-len(vms) // cells)] * cells
    taken: dict[str, int] = {}
    for vm in vms if cells > 1 else ():
        cell = next(one for one in _rank_cells(vm, cells) if room[one])
        room[cell] -= 1
        taken[vm] = cell
    return taken or dict.fromkeys(vms, 0)
