"""Three VMs in one process that lend tokens to each other over sockets."""

import time
import unittest

from mulberryway import clock
from mulberryway import peers
from mulberryway import tables
from mulberryway.controllers import allowance_slots
from mulberryway.controllers import allowance_state
from mulberryway.controllers import allowances
from mulberryway.peers.gen.allowances import Allowances as service
from mulberryway.policy import allowance_times
from mulberryway.policy import member
from tests import allowance_fleet
from tests import allowance_simulation

SECRET = "fleet secret"
TIMEOUT_S = 20
RATE, BURST = 10_000, 8_000


class Vm:
    """One VM's allowance controllers; membership is shared in memory."""

    def __init__(self, name, store, source, members):
        clock_ = clock.SystemClock()
        self.members = members
        self.own = member.Member(name, "127.0.0.1", 1, 2, "z", "r", 1)
        self.client = peers.PeerClient(SECRET, clock_)
        self.state = allowance_state.AllowanceState(
            self.own,
            allowance_times.AllowanceTimes(startup_delay_ms=0, loan_ms=500),
        )
        self.allowances = allowances.AllowancesController(
            self.state, source, self.client, clock_
        )
        self.slots = allowance_slots.AllowanceSlotsController(
            self.state, store, self, clock_
        )
        handler = allowances.AllowanceService(self.state, clock_)
        self.server = peers.PeerServer(
            "127.0.0.1",
            0,
            SECRET,
            {"Allowances": service.Processor(handler)},
            clock_,
        )
        self.own.peer_port = self.server.port
        members.append(self.own)

    def list_members(self):
        return [one.copy() for one in self.members]

    def update_local(self, is_stopping=None, holdings=None):
        self.own.holdings = holdings

    def start(self):
        self.server.start()
        self.allowances.start()
        self.slots.start()

    def stop(self):
        self.allowances.stop()
        self.slots.stop()
        self.allowances.return_loans()
        self.slots.release_all()

    def close(self):
        self.server.stop()
        self.client.close()

    def take(self, tokens):
        result = self.allowances.reserve("tea", tokens)
        if not result.is_ok():
            return 0
        return tokens * self.allowances.commit(result.ok)


class AllowanceSocketsTest(unittest.TestCase):
    def setUp(self):
        account = tables.ClientAccount("tea", (), RATE, BURST)
        source = allowance_simulation.SimSource(
            tables.Tables(1, (), (), (account,))
        )
        names = [f"vm{n}" for n in range(3)]
        self.store = allowance_fleet.Store(names)
        members = []
        self.vms = [Vm(n, self.store, source, members) for n in names]
        for vm in self.vms:
            self.addCleanup(vm.close)
            vm.start()

    def wait_for(self, is_met):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not is_met():
            self.assertLess(
                time.monotonic(), deadline_s, "condition timed out"
            )
            time.sleep(0.05)

    def count_held(self, vms):
        return sum(len(vm.state.lease_manager.holdings) for vm in vms)

    def test_one_vm_borrows_from_all_and_a_stopped_vm_is_replaced(self):
        """Callers connect to one VM only, and then another VM shuts down."""
        self.wait_for(lambda: self.count_held(self.vms) == 512)
        self.wait_for(lambda: self.vms[0].take(BURST * 3 // 4) > 0)
        self.vms[1].stop()
        self.assertEqual(self.count_held(self.vms[1:2]), 0)
        remaining = [self.vms[0], self.vms[2]]
        del self.vms[0].members[1]
        self.wait_for(lambda: self.count_held(remaining) == 512)
        self.wait_for(lambda: self.vms[2].take(BURST * 3 // 4) > 0)
        for vm in remaining:
            vm.stop()
