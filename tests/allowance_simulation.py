"""Simulates allowances under seeded faults and checks the granted tokens.

The real controllers run against a platform, a network and clocks whose faults
depend on a seed.  A VM may be paused whenever it reads its clock, while the
other VMs continue, so a pause can fall between any check and the use after it.
"""

import random

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import allowance_slots
from mulberryway.controllers import allowance_state
from mulberryway.controllers import allowances
from mulberryway.objects import base as platform
from mulberryway.policy import allowance_times
from mulberryway.policy import member

GROUPS = 2
PARTS = 4
VMS = 4
TICKS = 80
ACCOUNTS = {"tea": (400, 600), "carp": (250, 400)}
PAUSES_MS = (300, 900, 1_300, 1_300, 1_800, 1_800, 13_000)
LIST_LAG_MS = 700


class FaultProfile:
    """Probabilities of faults in a schedule.

    :param lost: fraction of calls whose request or reply is lost
    :param duplicated: fraction of calls that are duplicated, at once or later
    :param crash: probability of a process crash per tick
    :param pause: probability of a pause per clock reading
    :param platform: probability per tick that an outage starts or ends
    :param rates: probability per tick that rates and bursts change
    :param wish: maximum number of tokens that borrowers request beyond their
        need; leaves unused tokens on loan
    """

    def __init__(
        self,
        lost=0.01,
        duplicated=0.01,
        crash=0.002,
        pause=0.0001,
        platform=0.004,
        rates=0.0,
        wish=0,
    ):
        self.lost = lost
        self.duplicated = duplicated
        self.crash = crash
        self.pause = pause
        self.platform = platform
        self.rates = rates
        self.wish = wish


MODES = {
    "calm": FaultProfile(wish=400),
    "doubled": FaultProfile(duplicated=0.4, wish=400),
    "lost": FaultProfile(lost=0.2, duplicated=0.05, wish=100),
    "crash": FaultProfile(crash=0.02),
    "pause": FaultProfile(pause=0.001, wish=150),
    "platform": FaultProfile(platform=0.04, crash=0.005, pause=0.0003),
    "rates": FaultProfile(rates=0.02),
    "everything": FaultProfile(0.1, 0.1, 0.01, 0.0005, 0.02, 0.01),
}


def make_times():
    return allowance_times.AllowanceTimes(
        lease_ms=8_000,
        lease_margin_ms=100,
        absence_timeout_ms=1_500,
        loan_ms=800,
        loan_margin_ms=20,
        idle_ms=150,
        reservation_ttl_ms=1_000,
        refund_window_ms=3_000,
        min_uptime_ms=1_000,
        startup_delay_ms=20,
        retry_ms=100,
    )


class SimClock(clock.Clock):
    """A VM's clock with an offset and drift, which may pause the VM."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.offset_ms = simulation.random.randint(0, 10**9)
        self.drift = simulation.random.uniform(-0.0004, 0.0004)
        self.read_ms = simulation.now_ms
        self.last_ms = 0

    def now_ms(self):
        self.read_ms = self.simulation.now_ms
        value = self.last_ms = self.offset_ms + int(
            self.simulation.now_ms * (1 + self.drift)
        )
        self.simulation.maybe_pause(self.name)
        return value

    def wall_ms(self):
        return self.simulation.now_ms

    def sleep_ms(self, duration_ms):
        raise AssertionError("the simulation does not support sleeping")


class SimStore(platform.ObjectStore):
    """The platform as seen by one VM."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name

    def fail(self, run=errors.ExecutionStatus.NOT_RUN):
        return expression.Error(
            errors.Fault(
                errors.Code.PLATFORM_UNAVAILABLE,
                errors.Step.PLATFORM,
                run=run,
            )
        )

    def conflict(self, code=errors.Code.CONFLICT):
        return expression.Error(errors.Fault(code, errors.Step.PLATFORM))

    def is_down(self):
        self.simulation.consume_time(5)
        return self.simulation.is_platform_down or self.simulation.draw(0.05)

    def read(self, kind, name, purpose):
        if self.is_down():
            return self.fail()
        versions = self.simulation.objects.get(name)
        if not versions:
            return self.conflict(errors.Code.NOT_FOUND)
        # Some reads are answered by a replica with an older version.
        age = 2 if self.simulation.draw(0.05) else 1
        return expression.Ok(versions[-min(age, len(versions))])

    def read_all(self, kind, purpose):
        if self.is_down():
            return self.fail()
        return expression.Ok(
            [one[-1] for one in self.simulation.objects.values()]
        )

    def create(self, kind, name, value, purpose):
        return self.update(kind, name, value, 0, purpose)

    def update(self, kind, name, value, version, purpose):
        if self.is_down():
            return self.fail()
        versions = self.simulation.objects.setdefault(name, [])
        if (versions[-1].version if versions else 0) != version:
            return self.conflict()
        stored = platform.StoredObject(kind, name, version + 1, value)
        versions.append(stored)
        self.simulation.consume_time(30)
        if self.simulation.draw(0.1):
            return self.fail(errors.ExecutionStatus.MAY_HAVE_RUN)
        return expression.Ok(stored)

    def delete(self, kind, name, version, purpose):
        raise AssertionError("the simulation does not support deletion")

    def watch(self, kind, from_version, idle_timeout_ms, purpose):
        raise AssertionError("the simulation does not support watches")

    def list_vms(self, purpose):
        if self.is_down():
            return self.fail()
        lag_ms = self.simulation.random.randint(0, LIST_LAG_MS)
        return expression.Ok(
            self.simulation.get_vm_list(self.simulation.now_ms - lag_ms)
        )


class SimPeers:
    """The network as seen by one VM."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name

    def call(self, peer, client_class, method, *arguments, **options):
        simulation = self.simulation
        lost, duplicated = (
            simulation.mode.lost / 3,
            simulation.mode.duplicated / 2,
        )
        fault = simulation.random.choices(
            ("none", "lost", "lost reply", "late", "doubled", "copy late"),
            (
                1 - 3 * lost - 2 * duplicated,
                lost,
                lost,
                lost,
                duplicated,
                duplicated,
            ),
        )[0]
        if method == "borrow":
            # Any wish is valid; a large one leaves more unused tokens on loan.
            arguments[0].wish += simulation.random.randint(
                0, simulation.mode.wish
            )
        simulation.consume_time(2)
        call = (peer, method, arguments)
        if fault == "late":
            simulation.send_later(*call)
        if fault in ("lost", "late") or not simulation.is_reachable(peer):
            simulation.consume_time(50)
            return self.fail(peer)
        answer = simulation.deliver(*call)
        if fault == "doubled":
            answer = simulation.deliver(*call)
        if fault == "copy late":
            simulation.send_later(*call)
        simulation.consume_time(2)
        if fault == "lost reply":
            return self.fail(peer)
        return expression.Ok(answer)

    def fail(self, peer):
        return expression.Error(
            errors.Fault(errors.Code.PEER_UNREACHABLE, errors.Step.PEER, peer)
        )


class SimSource(tables.TableSource):
    def __init__(self, current):
        self.current = current
        self.on_change = []

    def get_tables(self):
        return self.current

    def subscribe(self, on_change):
        self.on_change.append(on_change)

    def put(self, current):
        self.current = current
        for callback in self.on_change:
            callback(current)


class SimVm:
    """One incarnation of a VM's process, and its view of the other VMs."""

    def __init__(self, simulation, name, incarnation):
        self.simulation = simulation
        self.name = name
        self.own = member.Member(name, name, 1, 2, "z", "r", incarnation)
        self.clock = SimClock(simulation, name)
        self.state = allowance_state.AllowanceState(
            self.own, make_times(), GROUPS, PARTS
        )
        self.source = SimSource(simulation.tables)
        self.service = allowances.AllowanceService(self.state, self.clock)
        self.allowances = allowances.AllowancesController(
            self.state, self.source, SimPeers(simulation, name), self.clock
        )
        self.slots = allowance_slots.AllowanceSlotsController(
            self.state, SimStore(simulation, name), self, self.clock
        )
        self.running = []
        self.is_reserving = False

    def list_members(self):
        """Return the members; some live ones are reported as dead."""
        members = [vm.own.copy() for vm in self.simulation.vms.values()]
        for one in members:
            is_paused = one.name in self.simulation.paused
            if one.name != self.name and (
                is_paused or self.simulation.draw(0.02)
            ):
                one.health = member.MemberStatus.DEAD
        return members

    def update_local(self, is_stopping=None, holdings=None):
        self.own.holdings = holdings

    def reserve(self):
        account = self.simulation.random.choice(list(ACCOUNTS))
        choices = (5, 10, 40, 200) if self.simulation.is_peak else (1, 2, 3)
        tokens = self.simulation.random.choice(choices)
        is_greedy = self.simulation.is_peak and self.simulation.draw(0.3)
        if is_greedy:
            # Request all available tokens, so that a single excess one shows.
            tokens = max(
                self.state.book.read_available(account, self.clock.last_ms), 1
            )
        self.is_reserving = True
        result = self.allowances.reserve(account, tokens)
        if result.is_ok():
            self.simulation.maybe_pause(self.name)
        self.is_reserving = False
        after_ms = self.simulation.now_ms
        if not result.is_ok():
            return
        if not self.allowances.commit(result.ok):
            self.allowances.settle(result.ok, 0)
            return
        # Tokens count as used after the last check, however long the pause.
        at_ms = max(after_ms, self.clock.read_ms)
        used = tokens if is_greedy or self.simulation.draw(0.75) else 0
        self.simulation.grants.append((at_ms, account, used))
        self.running.append((result.ok, used))

    def settle(self):
        if self.running:
            index = self.simulation.random.randrange(len(self.running))
            self.allowances.settle(*self.running.pop(index))

    def stop(self):
        self.allowances.return_loans()
        self.slots.release_all()


class Simulation:
    """All VMs, the platform and the network, driven by one seed."""

    def __init__(self, seed, mode):
        self.random = random.Random(seed)
        self.mode = MODES[mode]
        self.now_ms = 1_000
        self.objects = {}
        self.grants = []
        self.late = []
        self.is_platform_down = False
        self.paused = {}
        self.depth = 0
        self.is_peak = False
        self.revision = 0
        self.rates = dict(ACCOUNTS)
        self.maximum = dict(ACCOUNTS)
        self.put_tables()
        self.vms = {}
        self.lists = []
        self.skew = self.random.choice((0, 1, 4))
        self.is_fault_free = True
        for number in range(VMS):
            self.start(f"vm{number}", 1)
        self.warm_up()
        self.is_fault_free = False

    def warm_up(self):
        """Run until the VMs hold all slots and their buckets are full."""
        for _ in range(8):
            self.now_ms += 400
            for vm in self.vms.values():
                vm.slots.step()

    def draw(self, probability):
        return self.random.random() < probability

    def put_tables(self, excluded=()):
        self.revision += 1
        accounts = tuple(
            tables.ClientAccount(name, (), rate, burst)
            for name, (rate, burst) in self.rates.items()
            if name not in excluded
        )
        self.tables = tables.Tables(self.revision, (), (), accounts)

    def start(self, name, incarnation):
        self.vms[name] = SimVm(self, name, incarnation)
        self.update_vm_list()

    def update_vm_list(self, removed=()):
        listed = {vm for vm in self.vms if vm not in removed}
        self.lists.append((self.now_ms, listed))

    def get_vm_list(self, at_ms):
        listed = max(
            (one for one in self.lists if one[0] <= at_ms),
            key=lambda one: one[0],
            default=self.lists[0],
        )[1]
        return [platform.ListedVm(n, n, "z", False) for n in sorted(listed)]

    def consume_time(self, max_ms):
        slow = 20 if self.draw(0.02) else 1
        self.now_ms += self.random.randint(0, max_ms * slow)

    def is_reachable(self, peer):
        name = peer.partition(":")[0]
        return name in self.vms and name not in self.paused

    def deliver(self, peer, method, arguments):
        vm = self.vms[peer.partition(":")[0]]
        return getattr(vm.service, method)(*arguments)

    def send_later(self, *message):
        delay_ms = self.random.choice((50, 400, 2_000))
        self.late.append((self.now_ms + delay_ms, message))

    def maybe_pause(self, name):
        if self.depth or self.is_fault_free:
            return
        # A pause is most harmful between a check and the use after it.
        vm = self.vms.get(name)
        factor = 20 if vm is not None and vm.is_reserving else 0.3
        if not self.draw(self.mode.pause * factor):
            return
        self.depth += 1
        self.paused[name] = True
        end_ms = self.now_ms + self.random.choice(PAUSES_MS)
        while self.now_ms < end_ms:
            self.tick()
        del self.paused[name]
        self.depth -= 1

    def run(self, ticks=TICKS):
        for _ in range(ticks):
            self.tick()
        return self

    def tick(self):
        # Callers are idle and then send all at once: faults matter most when
        # full buckets are emptied.
        if self.draw(0.06 if self.is_peak else 0.15):
            self.is_peak = not self.is_peak
        max_ms = 10 + 20 * self.depth if self.is_peak else 300
        self.now_ms += self.random.randint(0, max_ms)
        self.deliver_late()
        awake = [vm for n, vm in self.vms.items() if n not in self.paused]
        if not awake:
            return
        vm = self.random.choice(awake)
        for one in awake:
            if self.draw(0.1 if self.is_peak else 0.5):
                self.run_if_active(one, lambda vm: vm.allowances.step())
            if self.draw(0.1 if self.is_peak else 0.2):
                self.run_if_active(one, lambda vm: vm.slots.step())
        for one in self.random.choices(awake, k=6 if self.is_peak else 1):
            is_skewed = self.skew and self.draw(self.skew / 5)
            self.run_if_active(awake[0] if is_skewed else one, SimVm.reserve)
        for one in awake:
            self.run_if_active(one, SimVm.settle)
        if not self.is_fault_free:
            self.maybe_inject_fault(vm)

    def run_if_active(self, vm, action):
        """Run an action of a VM unless the VM has crashed or is paused."""
        if self.vms.get(vm.name) is vm and vm.name not in self.paused:
            action(vm)

    def deliver_late(self):
        due = [one for one in self.late if one[0] <= self.now_ms]
        self.late = [one for one in self.late if one[0] > self.now_ms]
        for _, message in due:
            if self.is_reachable(message[0]):
                self.deliver(*message)

    def maybe_inject_fault(self, vm):
        mode = self.mode
        if self.vms.get(vm.name) is not vm or vm.name in self.paused:
            return
        if self.draw(mode.crash):
            # The process crashes and restarts on its VM at once.
            self.start(vm.name, vm.own.incarnation + 1)
        elif self.draw(mode.crash / 2) and len(self.vms) > 2:
            # The VM crashes, and the platform removes it from its list.
            del self.vms[vm.name]
            self.update_vm_list()
        elif self.draw(mode.crash) and len(self.vms) < VMS:
            name = next(
                n for n in map("vm{}".format, range(VMS)) if n not in self.vms
            )
            self.start(name, self.now_ms)
        elif self.draw(mode.crash / 2) and len(self.vms) > 2:
            vm.stop()
            del self.vms[vm.name]
            self.update_vm_list()
        if self.draw(mode.platform):
            self.is_platform_down = not self.is_platform_down
        if self.draw(mode.rates):
            self.change_rates()
        if self.draw(mode.rates * 4):
            vm.source.put(self.tables)

    def change_rates(self):
        name = self.random.choice(list(ACCOUNTS))
        rate, burst = ACCOUNTS[name]
        factor = self.random.choice((1, 2))
        self.rates[name] = (rate * factor, burst * factor)
        max_rate, max_burst = self.maximum[name]
        self.maximum[name] = (
            max(max_rate, rate * factor),
            max(max_burst, burst * factor),
        )
        self.put_tables(excluded=(name,) if self.draw(0.3) else ())


def find_overrun(grants, limits):
    """Return the maximum number of tokens granted beyond an allowance.

    In any window an account may get its rate times the window's length plus
    its burst.  This holds if and only if a queue that receives the grants and
    drains at the rate never holds more than the burst.  So one pass over the
    grants checks all windows exactly, in thousandths of tokens.

    :param grants: time in ms, account and tokens of each grant
    :param limits: rate and burst by account
    :returns: thousandths of tokens; at most 0 if there was no overrun
    """
    worst = -(10**9)
    for name, (rate, burst) in limits.items():
        queued, last_ms = 0, 0
        account_grants = sorted(
            (at, n) for at, account, n in grants if account == name
        )
        for at_ms, tokens in account_grants:
            queued = max(queued - rate * (at_ms - last_ms), 0) + tokens * 1_000
            last_ms = at_ms
            worst = max(worst, queued - burst * 1_000)
    return worst
