"""The parts of allowances, and who holds each; a promise.

Client accounts are sorted into a fixed number of groups, and each group's
rates and bursts into equal parts.  One part of one group is a slot; it is
held by one incarnation of one VM, as the platform records.  The number of
slots does not grow with VMs, accounts or requests.
"""

import functools
import hashlib
import zlib

__all__ = [
    "Holding",
    "SlotRecord",
    "choose_holder",
    "compute_group",
]

WORD = (1 << 64) - 1


class SlotRecord:
    """What the platform records of one slot.

    :param vm: the holder's VM
    :param address: the VM's IP number
    :param incarnation: which life of the VM's process
    :param term: grows each time the slot is taken
    :param renewals: grows each time the lease is renewed
    :param is_listed: the platform's list has shown the holder
    :param is_released: the holder has given the slot up
    """

    __slots__ = (
        "vm",
        "address",
        "incarnation",
        "term",
        "renewals",
        "is_listed",
        "is_released",
    )

    def __init__(
        self,
        vm: str,
        address: str,
        incarnation: int,
        term: int,
        renewals: int = 0,
        is_listed: bool = False,
        is_released: bool = False,
    ) -> None:
        self.vm = vm
        self.address = address
        self.incarnation = incarnation
        self.term = term
        self.renewals = renewals
        self.is_listed = is_listed
        self.is_released = is_released

    def lease_version(self) -> tuple[int, int]:
        """Return what changes with each take and renewal."""
        return (self.term, self.renewals)


class Holding:
    """A slot that this process holds.

    :param slot: the slot
    :param term: as recorded
    :param until_ms: the lease's end, by this VM's clock
    :param start_ms: when its buckets begin to fill
    """

    __slots__ = ("slot", "term", "until_ms", "start_ms")

    def __init__(
        self, slot: int, term: int, until_ms: int, start_ms: int
    ) -> None:
        self.slot = slot
        self.term = term
        self.until_ms = until_ms
        self.start_ms = start_ms


def compute_group(account: str, groups: int) -> int:
    """Return the group of a client account.

    :param account: its name
    :param groups: how many groups there are
    :returns: from 0 on
    """
    return zlib.crc32(account.encode()) % groups


def choose_holder(slot: int, vms: list[str]) -> str | None:
    """Return the VM that should hold a slot, by rendezvous hashing.

    When a VM comes or goes, only its own slots change their holder.

    :param slot: the slot
    :param vms: names of the VMs to choose from
    :returns: a name; none without VMs
    """
    return max(vms, key=lambda vm: (_mix(_hash(vm), slot), vm), default=None)


@functools.lru_cache(maxsize=4096)
def _hash(vm: str) -> int:
    digest = hashlib.blake2b(vm.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(hashed: int, slot: int) -> int:
    mixed = (hashed ^ (slot * 0x9E3779B97F4A7C15)) & WORD
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & WORD
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & WORD
    return mixed ^ (mixed >> 31)
