"""What a VM's threads share of its part in all allowances; a promise."""

import struct
import threading

from mulberryway.policy import allowance_borrower
from mulberryway.policy import allowance_lender
from mulberryway.policy import allowance_times
from mulberryway.policy import leased_rate_limiter
from mulberryway.policy import member
from mulberryway.policy import slot_lease_manager

__all__ = ["AllowanceState", "pack_holdings", "unpack_holdings"]

# 64 objects of 8 slots each: a renewal for each slot every half hour is 0.3
# writes a second, whatever the number of VMs and accounts.
GROUPS = 64
# With 8 parts a dead VM costs an account an eighth of its allowance until
# the part passes on; more parts would make large requests ask more VMs.
PARTS = 8
SLOT = struct.Struct(">H")


class AllowanceState:
    """The lock, and all that it guards.

    :param own: this VM
    :param times: durations
    :param groups: into how many groups accounts are sorted
    :param parts: into how many parts each allowance is divided
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
        self.keeper = slot_lease_manager.SlotLeaseManager(
            own.name, own.address, own.incarnation, self.times
        )
        self.lender = allowance_lender.Lender(
            self.keeper, self.times, groups, parts
        )
        self.borrower = allowance_borrower.Borrower(self.times)
        self.book = leased_rate_limiter.LeasedRateLimiter(
            self.lender, self.borrower
        )
        # Whom to ask, by slot: ``host:port`` of holders; only a hint.
        self.holders: dict[int, str] = {}

    def has_all_holders(self) -> bool:
        """Tell whether a holder of every slot is known.

        In a fleet that has just begun, or on a VM that has, an account's
        tokens cannot be found yet, and requests would be refused wrongly.
        """
        with self.lock:
            known = self.holders.keys() | self.keeper.holdings.keys()
            return len(known) >= self.groups * self.parts

    @property
    def borrower_name(self) -> str:
        """What names this process to lenders."""
        return f"{self.keeper.vm}/{self.keeper.incarnation}"


def pack_holdings(slots: list[int]) -> bytes:
    """Return the short form in which a VM tells which slots it holds.

    :param slots: slots
    :returns: two bytes for each
    """
    return b"".join(map(SLOT.pack, sorted(slots)))


def unpack_holdings(holdings: bytes) -> list[int]:
    """Return the slots of a short form.

    :param holdings: two bytes for each slot
    :returns: slots
    """
    whole = len(holdings) // SLOT.size * SLOT.size
    return [slot for (slot,) in SLOT.iter_unpack(holdings[:whole])]
