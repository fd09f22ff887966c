"""Local allowance state, shared by the threads of a VM.

Invariant: no account is granted more than its limit.
"""

import struct
import threading

from mulberryway.policy import allowance_borrower
from mulberryway.policy import allowance_lender
from mulberryway.policy import allowance_times
from mulberryway.policy import leased_rate_limiter
from mulberryway.policy import member
from mulberryway.policy import slot_lease_manager

__all__ = ["AllowanceState", "pack_holdings", "unpack_holdings"]

# 64 objects of 8 slots each: renewing each slot every half hour takes 0.3
# writes per second, independent of the number of VMs and accounts.
GROUPS = 64
# With 8 partitions a crashed VM costs an account one eighth of its allowance
# until the slot is taken over.  With more partitions, large requests would
# have to borrow from more VMs.
PARTS = 8
SLOT = struct.Struct(">H")


class AllowanceState:
    """Local allowance state of one VM and the lock that guards it.

    :param own: membership entry of this VM
    :param times: durations of leases, loans and margins
    :param groups: number of groups that accounts are hashed into
    :param parts: number of equal partitions of each allowance
    """

    def __init__(
        self,
        own: member.Member,
        times: allowance_times.AllowanceTimes | None = None,
        groups: int = GROUPS,
        parts: int = PARTS,
    ) -> None:
        self.lock = threading.RLock()
        self.times = times or allowance_times.AllowanceTimes()
        self.groups = groups
        self.parts = parts
        self.lease_manager = slot_lease_manager.SlotLeaseManager(
            own.name, own.address, own.incarnation, self.times
        )
        self.lender = allowance_lender.Lender(
            self.lease_manager, self.times, groups, parts
        )
        self.borrower = allowance_borrower.Borrower(self.times)
        self.book = leased_rate_limiter.LeasedRateLimiter(
            self.lender, self.borrower
        )
        # Peer address (``host:port``) of each slot's holder; advisory only.
        self.holders: dict[int, str] = {}

    def has_all_holders(self) -> bool:
        """Return whether a holder of every slot is known.

        Shortly after a fleet or a VM has started, the holders of an account's
        tokens are not known yet, and requests would be rejected wrongly.
        """
        with self.lock:
            known = self.holders.keys() | self.lease_manager.holdings.keys()
            return len(known) >= self.groups * self.parts

    @property
    def borrower_name(self) -> str:
        """Name that identifies this process to lenders."""
        return f"{self.lease_manager.vm}/{self.lease_manager.incarnation}"


def pack_holdings(slots: list[int]) -> bytes:
    """Encode the slots that a VM announces as held.

    :param slots: numbers of the slots
    :returns: two bytes per slot
    """
    return b"".join(map(SLOT.pack, sorted(slots)))


def unpack_holdings(holdings: bytes) -> list[int]:
    """Decode the slots that a VM announced as held.

    :param holdings: two bytes per slot; an odd last byte is ignored
    :returns: numbers of the slots
    """
    whole = len(holdings) // SLOT.size * SLOT.size
    return [slot for (slot,) in SLOT.iter_unpack(holdings[:whole])]
