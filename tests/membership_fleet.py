"""Simulated fleet of membership controllers without sockets."""

from mulberryway import clock
from mulberryway.controllers import membership as controllers
from mulberryway.peers.gen.membership import Membership as service
from mulberryway.policy import member
from tests import peer_network

PERIOD_MS = 1_000


class Fleet:
    """VMs whose steps run in turn, one period at a time."""

    def __init__(self, count, zones=3):
        self.clock = clock.ManualClock(1_000)
        self.network = peer_network.Network()
        self.vms = [self.make(f"vm{n}", n % zones) for n in range(count)]

    def make(self, name, zone, incarnation=1):
        own = member.Member(
            name, name, 1, 2, f"zone{zone}", "region", incarnation
        )
        vm = controllers.MembershipController(
            own,
            ("vm0:1",) if name != "vm0" else (),
            peer_network.FakePeers(self.network, own.peer),
            None,
            self.clock,
            PERIOD_MS,
        )
        self.network.attach(own.peer, service.Processor(vm.exchange))
        return vm

    def run(self, periods):
        for _ in range(periods):
            self.clock.advance_ms(PERIOD_MS)
            for vm in self.vms:
                if vm.own.peer not in self.network.down:
                    vm.step()

    def see(self, vm, name):
        found = [one for one in vm.list_members() if one.name == name]
        return found[0] if found else None
