"""VMs that share allowances, on a manual clock.

The platform and the network have no faults; calls and messages are counted.
"""

import collections

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import allowance_slots
from mulberryway.controllers import allowance_state
from mulberryway.controllers import allowances
from mulberryway.objects import base as platform
from mulberryway.peers.gen.allowances import Allowances as service
from mulberryway.policy import allowance
from mulberryway.policy import member
from mulberryway.policy import static_allowances
from mulberryway.policy import token_bucket
from tests import peer_network


class Store(platform.ObjectStore):
    """An object store in memory that counts calls."""

    def __init__(self, vms):
        self.objects = {}
        self.vms = vms
        self.calls = collections.Counter()

    def read(self, kind, name, purpose):
        self.calls["read"] += 1
        found = self.objects.get(name)
        return expression.Ok(found) if found else _fail("NOT_FOUND")

    def read_all(self, kind, purpose):
        self.calls["read_all"] += 1
        return expression.Ok(list(self.objects.values()))

    def create(self, kind, name, value, purpose):
        return self.update(kind, name, value, 0, purpose)

    def update(self, kind, name, value, version, purpose):
        self.calls["write"] += 1
        found = self.objects.get(name)
        if (found.version if found else 0) != version:
            return _fail("CONFLICT")
        stored = platform.StoredObject(kind, name, version + 1, value)
        self.objects[name] = stored
        return expression.Ok(stored)

    def delete(self, kind, name, version, purpose):
        raise NotImplementedError

    def watch(self, kind, from_version, idle_timeout_ms, purpose):
        raise NotImplementedError

    def list_vms(self, purpose):
        self.calls["list"] += 1
        return expression.Ok(
            [platform.ListedVm(vm, vm, "z", False) for vm in self.vms]
        )


def _fail(code):
    return expression.Error(
        errors.Fault(errors.Code[code], errors.Step.PLATFORM)
    )


class Vm:
    """One VM's allowance controllers; members are known without messages."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.own = member.Member(name, name, 1, 2, "z", "r", 1)
        self.state = allowance_state.AllowanceState(self.own)
        handler = allowances.AllowanceService(self.state, fleet.clock)
        fleet.network.attach(self.own.peer, service.Processor(handler))
        self.allowances = allowances.AllowancesController(
            self.state,
            fleet.source,
            peer_network.FakePeers(fleet.network, self.own.peer),
            fleet.clock,
        )
        self.slots = allowance_slots.AllowanceSlotsController(
            self.state, fleet.store, self, fleet.clock
        )

    def list_members(self):
        return [vm.own for vm in self.fleet.vms]

    def update_local(self, is_stopping=None, holdings=None):
        self.own.holdings = holdings


class Fleet:
    """VMs that lease slots, or that use static fractions."""

    def __init__(self, count, source, is_split):
        self.clock = clock.ManualClock(1_000)
        self.source = source
        self.network = peer_network.Network()
        names = [f"vm{n}" for n in range(count)]
        self.store = Store(names)
        self.vms = []
        if is_split:
            self.books = [
                static_allowances.StaticAllowances(source, self.clock, count)
                for _ in names
            ]
            return
        self.vms = [Vm(self, name) for name in names]
        self.books = [vm.allowances for vm in self.vms]

    def step(self, now_ms):
        self.clock.advance_ms(now_ms - self.clock.now_ms())
        for vm in self.vms:
            vm.allowances.step()
            if now_ms % 1_000 == 0:
                vm.slots.step()

    def count_messages(self):
        counts = [
            one
            for traffic in self.network.traffic.values()
            for one in traffic.get_counts()
        ]
        calls = sum(one.messages for one in counts if one.is_sent) // 2
        return calls, sum(one.payload_bytes for one in counts)


class IdealAllowances(allowance.Allowances):
    """One bucket for the whole fleet, as if messages had no cost."""

    def __init__(self, accounts, clock_):
        self.clock = clock_
        self.buckets = {
            one.name: token_bucket.TokenBucket(one.rate, one.burst, 1, 0)
            for one in accounts
        }

    def reserve(self, account, tokens):
        bucket = self.buckets[account]
        now_ms = self.clock.now_ms()
        if not bucket.take(tokens, now_ms):
            return _fail("OVER_ALLOWANCE")
        reservation = allowance.Reservation(account, tokens)
        return expression.Ok((reservation, bucket.mark(now_ms)))

    def settle(self, pair, used):
        reservation, stamp = pair
        bucket = self.buckets[reservation.account]
        unused = reservation.tokens - used
        bucket.refund(unused, stamp, self.clock.now_ms())
