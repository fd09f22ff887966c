"""Slots of allowances: their records, holders and hashing.

Client accounts are hashed into a fixed number of groups, and each group's
rates and bursts are divided into equal partitions.  One partition of one
group is a slot.  The platform records which incarnation of which VM holds
it.  The number of slots does not grow with VMs, accounts or requests.

Invariant: no account is granted more than its limit.
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

UINT64_MASK = (1 << 64) - 1


class SlotRecord:
    """The platform's record of one slot.

    :param vm: name of the VM that holds the slot
    :param address: IP address of that VM
    :param incarnation: incarnation of that VM's process
    :param term: incremented each time the slot is taken
    :param renewals: incremented each time the lease is renewed
    :param is_listed: whether the holder has seen itself in the VM list
    :param is_released: whether the holder has released the slot
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
        """Return a value that changes with each take and renewal."""
        return (self.term, self.renewals)


class Holding:
    """A slot that this process holds.

    :param slot: number of the slot
    :param term: term of the slot's record
    :param until_ms: expiry of the lease in ms, by this VM's clock
    :param start_ms: time in ms from which its buckets fill
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

    :param account: name of the account
    :param groups: number of groups
    :returns: index of the group, from 0
    """
    return zlib.crc32(account.encode()) % groups


def choose_holder(slot: int, vms: list[str]) -> str | None:
    """Return the VM that should hold a slot, by rendezvous hashing.

    When a VM joins or leaves, only its own slots change their holder.

    :param slot: number of the slot
    :param vms: names of the candidate VMs
    :returns: the chosen name, or None without candidates
    """
    return max(vms, key=lambda vm: (_mix(_hash(vm), slot), vm), default=None)


@functools.lru_cache(maxsize=4096)
def _hash(vm: str) -> int:
    digest = hashlib.blake2b(vm.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(hashed: int, slot: int) -> int:
    mixed = (hashed ^ (slot * 0x9E3779B97F4A7C15)) & UINT64_MASK
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return mixed ^ (mixed >> 31)
