"""Seeded schedules of calls that must run at most once, and a checker."""

import collections
import random

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import claims as controller
from mulberryway.peers.gen.claims import Claims
from mulberryway.policy import claim_records
from mulberryway.policy import claims
from tests import fakes
from tests import peer_network

VMS = ("a1", "b1", "c1")
ACCOUNTS = ("tea", "pens")
CALL_MS = 5
LIMIT_MS = 200
ONE_HOUR_MS = 3_600_000


class FaultyStore(fakes.MemoryStore):
    """A store whose writes may arrive late and whose lists may be torn.

    :param seed: the seed of the random generator
    :param clock_: advanced by each call, so that retries reach their
        deadlines
    """

    def __init__(self, seed, clock_):
        super().__init__(seed)
        self.clock = clock_
        self.late = 0.0
        self.torn = 0.0
        self._delayed_writes = []

    def read(self, *arguments):
        self._advance()
        return super().read(*arguments)

    def read_all(self, kind, purpose):
        self._advance()
        result = super().read_all(kind, purpose)
        if result.is_error() or self.random.random() >= self.torn:
            return result
        return expression.Ok([self._pick_version(item) for item in result.ok])

    def _pick_version(self, item):
        return self.random.choice(self.history[(item.kind, item.name)])

    def _write(self, kind, name, value, version, purpose):
        self._advance()
        if not self.outage and self.random.random() < self.late:
            self._delayed_writes.append((kind, name, value, version))
            return self._unavailable(errors.ExecutionStatus.MAY_HAVE_RUN)
        return super()._write(kind, name, value, version, purpose)

    def _advance(self):
        self.clock.advance_ms(CALL_MS)
        if self._delayed_writes and self.random.random() < 0.5:
            with self.lock:
                self._apply(*self._delayed_writes.pop(0))


class FaultyPeers(peer_network.FakePeers):
    """Calls between VMs, some of which are lost or lose their replies.

    :param history: provides the random generator and the network
    :param address: the calling VM's address
    """

    def __init__(self, history, address):
        super().__init__(history.network, address)
        self.history = history

    def call(self, *arguments, **options):
        roll = self.history.random.random()
        if roll < 0.1:
            return self.lose(errors.ExecutionStatus.NOT_RUN)
        answer = super().call(*arguments, **options)
        return (
            self.lose(errors.ExecutionStatus.MAY_HAVE_RUN)
            if roll < 0.3
            else answer
        )

    def lose(self, run):
        self.history.clock.advance_ms(CALL_MS)
        return expression.Error(
            errors.Fault(
                errors.Code.PEER_UNREACHABLE, errors.Step.PEER, "", run
            )
        )


class Call:
    """A call that callers send once or several times."""

    def __init__(self, account, key, call):
        self.account = account
        self.key = key
        self.call = call


class History:
    """Runs a schedule and checks the guarantees at each step.

    :param seed: determines the whole schedule
    :param make_shard: makes the views; a test may pass a broken variant
    :param adapt: called with each new claim store, to break it on purpose
    :param coordinators: whether VMs send claims to coordinators
    """

    def __init__(self, seed, make_shard=None, adapt=None, coordinators=False):
        self.random = random.Random(seed)
        self.clock = clock.ManualClock(ONE_HOUR_MS)
        self.store = FaultyStore(seed, self.clock)
        self.make_shard = make_shard or self.make_small_shard
        self.adapt = adapt or (lambda store: None)
        self.has_coordinators = coordinators
        self.network = peer_network.Network()
        self.incarnation_counts = collections.Counter()
        self.vms = {name: self.start(name) for name in VMS}
        self.calls = []
        self.open = []
        self.runs = collections.Counter()
        self.replies = {}
        self.used = collections.defaultdict(set)
        self.ends = collections.Counter()
        self.violations = []

    @staticmethod
    def make_small_shard():
        return claims.Shard(slots=3, slot_bytes=300)

    def start(self, name):
        self.incarnation_counts[name] += 1
        store = controller.ClaimStore(
            self.store,
            self.clock,
            name,
            self.incarnation_counts[name],
            1,
            self.make_shard,
            FaultyPeers(self, name),
            lambda shard: self.find_coordinator(name),
        )
        self.network.attach(name, Claims.Processor(store.handler))
        self.adapt(store)
        return store

    def find_coordinator(self, name):
        """Return a random VM, as a VM with a wrong membership view would."""
        if not self.has_coordinators:
            return None
        return self.random.choice([vm for vm in VMS if vm != name] + [None])

    def run(self, steps):
        actions = (
            [self.send] * 8
            + [self.end] * 5
            + [self.flush] * 2
            + [self.crash, self.change_faults, self.wait]
        )
        for _ in range(steps):
            self.random.choice(actions)()
        return self.violations

    def pick_call(self):
        roll = self.random.random()
        if self.calls and roll < 0.4:
            return self.random.choice(self.calls[-6:])
        if self.calls and roll < 0.6:
            return self.random.choice(self.calls)
        if self.calls and roll < 0.65:
            old = self.random.choice(self.calls[-6:])
            return Call(old.account, old.key, "other")
        if self.calls and roll < 0.7:
            old = self.random.choice(self.calls[-6:])
            return Call(self.random.choice(ACCOUNTS), old.key, old.call)
        number = self.random.getrandbits(70)
        key = claim_records.make_uuid7(self.clock.wall_ms(), number)
        call = Call(self.random.choice(ACCOUNTS), key, f"call-{number}")
        self.calls.append(call)
        return call

    def send(self):
        call = self.pick_call()
        name = self.random.choice(VMS)
        deadline = clock.Deadline(self.clock.now_ms() + LIMIT_MS)
        vm = self.vms[name]
        # The schedule has one thread, so no other call can end meanwhile.
        vm._wait_for_original = lambda decision, deadline: False
        began = vm.begin(call.account, call.key, call.call, deadline)
        id_ = (call.account, call.key)
        if began.is_error():
            self.check_refusal(id_, call, began.error)
        elif isinstance(began.ok, controller.Grant):
            self.ends["granted"] += 1
            self.runs[id_] += 1
            self.open.append((name, began.ok, id_, call))
            self.check(self.runs[id_] <= 1, f"two runs of {id_}")
        else:
            self.ends["replayed"] += 1
            known = self.replies.get((*id_, call.call))
            self.check(known == began.ok.body, f"a foreign reply to {id_}")
        self.used[id_].add(call.call)

    def check_refusal(self, id_, call, fault):
        self.ends[f"{fault.code.value} {fault.run.value}"] += 1
        if fault.code is errors.Code.REQUEST_ID_REUSED:
            self.check(self.used[id_] - {call.call}, f"{id_} was not reused")
        if fault.run is errors.ExecutionStatus.RAN:
            self.check(self.runs[id_], f"{id_} never ran")

    def end(self):
        if not self.open:
            return
        index = self.random.randrange(len(self.open))
        name, grant, id_, call = self.open.pop(index)
        run = self.random.choice(
            (*errors.ExecutionStatus, errors.ExecutionStatus.RAN)
        )
        if run is errors.ExecutionStatus.RAN:
            body = b"%d" % self.random.getrandbits(32)
            self.replies[(*id_, call.call)] = body
            reply = claim_records.CachedReply(201, [("A", "b")], body)
            self.vms[name].end(grant, run, reply)
            return
        if run is errors.ExecutionStatus.NOT_RUN:
            self.runs[id_] -= 1
        self.vms[name].end(grant, run)

    def flush(self):
        self.vms[self.random.choice(VMS)].step()

    def crash(self):
        """Restart a VM and discard its running calls, which count as run."""
        name = self.random.choice(VMS)
        self.open = [item for item in self.open if item[0] != name]
        self.vms[name] = self.start(name)

    def change_faults(self):
        for fault in ("lose_reply", "lose_write", "stale", "late", "torn"):
            setattr(self.store, fault, self.random.choice((0, 0, 0.1, 0.4)))
        self.store.outage = self.random.random() < 0.15

    def wait(self):
        self.clock.advance_ms(self.random.choice((1, 1_000, 30_000)))

    def check(self, holds, message):
        if not holds:
            self.violations.append(message)
