"""Puts the parts of one VM's allowances together, to start and stop."""

from thrift import Thrift

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import allowance_slots
from mulberryway.controllers import allowance_state
from mulberryway.controllers import allowances
from mulberryway.peers import client
from mulberryway.peers.gen.allowances import Allowances as service
from mulberryway.platform import base as platform
from mulberryway.policy import allowance_times
from mulberryway.policy import member

__all__ = ["SERVICE", "SharedAllowances"]

SERVICE = "Allowances"


class SharedAllowances:
    """An account's tokens over all VMs: shares, loans and their service.

    :param own: this VM
    :param source: the tables in force
    :param membership: knows the other VMs
    :param store: the platform
    :param peers: calls other VMs
    :param clock_: where the time comes from
    :param times: durations, the usual ones if none are given
    """

    def __init__(
        self,
        own: member.Member,
        source: tables.TableSource,
        membership: allowance_slots.MemberSource,
        store: platform.ObjectStore,
        peers: client.PeerClient,
        clock_: clock.Clock,
        times: allowance_times.AllowanceTimes | None = None,
    ) -> None:
        self.state = allowance_state.AllowanceState(own, times)
        self.allowances = allowances.AllowancesController(
            self.state, source, peers, clock_
        )
        self.slots = allowance_slots.AllowanceSlotsController(
            self.state, store, membership, clock_
        )
        self._service = allowances.AllowanceService(self.state, clock_)

    def make_processor(self) -> Thrift.TProcessor:
        """Return what answers other VMs under ``SERVICE``."""
        return service.Processor(self._service)

    def start(self) -> None:
        """Begin to take shares and to look after loans."""
        self.allowances.start()
        self.slots.start()

    def stop(self) -> None:
        """Hand everything over; call once no request runs any more.

        Other VMs have the shares at once, where they would have to wait for
        the platform's list to drop a VM that just dies.
        """
        self.allowances.stop()
        self.slots.stop()
        self.allowances.return_loans()
        self.slots.release_all()
