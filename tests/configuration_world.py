"""Simulation of operators, VMs and the platform with random faults."""

import functools
import random

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import settings
from mulberryway.admin import editor
from mulberryway.controllers import configuration
from mulberryway.controllers import configuration_handler
from mulberryway.controllers import configuration_peers
from mulberryway.tables import changes
from mulberryway.tables import edits
from mulberryway.tables import parse
from mulberryway.tables import root as roots
from tests import fakes
from tests import samples

VMS = 5
EDITORS = 3
ACTIONS = 60
# Membership considers an unresponsive VM dead after about this time.
DETECTION_MS = 4_000
SPARE_POOL = {
    "kind": "plain",
    "upstreams": {
        "s": {"address": "h:1", "zone": "kandy-a", "role": "service"}
    },
}
SPARE_ROUTE = {"path_prefix": "/spare", "pool": "spare"}


class WorldClock(clock.ManualClock):
    """A clock that runs the other VMs' steps during a sleep."""

    def __init__(self, world):
        super().__init__(1_000_000)
        self.world = world

    def sleep_ms(self, duration_ms):
        self.advance_ms(duration_ms)
        self.world.run_during_sleep()


class Answer:
    """The result that an operator got for an edit."""

    def __init__(self, edit, result, at_ms):
        self.edit = edit
        self.result = result
        self.at_ms = at_ms


class Vm:
    """The tables' components in one incarnation of a VM's router."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.installs = []
        settings_ = settings.Settings()
        settings_.vm_name = name
        settings_.vm_region = "lk-central"
        make = world.variant.get("configuration", configuration.Configuration)
        self.controller = make(
            settings_,
            PartitionableStore(world, name),
            WorldPeers(world, name),
            world.clock,
            world.random,
        )
        self.active_tables = self.controller.active_tables
        self.active_tables.subscribe(self.record)
        self.handler = configuration_handler.ConfigurationHandler(
            self.controller, world.clock
        )

    def record(self, tables):
        self.installs.append(
            (tables.revision, self.active_tables.root.digest())
        )


class PartitionableStore:
    """The store as seen by one VM, which may be partitioned from it."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def __getattr__(self, method):
        if self.name in self.world.cut:
            fault = fakes.make_fault(errors.Code.PLATFORM_UNAVAILABLE)
            return lambda *arguments: expression.Error(fault)
        return getattr(self.world.store, method)


class WorldPeers(configuration_peers.PeerSource):
    """Other VMs; messages to them may be lost, and some are partitioned."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def list_peers(self):
        now_ms = self.world.clock.now_ms()
        is_detected = now_ms - self.world.cut_ms > DETECTION_MS
        return [
            configuration_peers.PeerVm(name, "z", "lk-central", name)
            for name in sorted(self.world.vms)
            if name != self.name
            and not (is_detected and self.is_partitioned(name))
        ]

    def is_partitioned(self, name):
        return (name in self.world.cut) != (self.name in self.world.cut)

    def call(self, address, act):
        lost = self.world.random.random() < 0.1
        if (
            lost
            or self.is_partitioned(address)
            or address not in self.world.vms
        ):
            return expression.Error(
                errors.Fault(
                    errors.Code.PEER_UNREACHABLE, errors.Step.PEER, address
                )
            )
        answer = act(self.world.vms[address].handler)
        # Simulates a slow answer.
        self.world.clock.advance_ms(self.world.random.choice((0, 1, 1, 300)))
        return expression.Ok(answer)

    def read_root(self, address, known_revision):
        return self.call(address, lambda peer: peer.read_root(known_revision))

    def read_segments(self, address, digests):
        answer = self.call(address, lambda peer: peer.read_segments(digests))
        return answer.map(
            lambda segments: {
                segment.digest: segment.content for segment in segments
            }
        )


class World:
    """Runs one schedule.

    :param seed: determines the whole schedule
    :param variant: broken components to use instead of the real ones
    """

    def __init__(self, seed, variant=None):
        self.variant = variant or {}
        self.random = random.Random(seed)
        self.clock = WorldClock(self)
        self.freezes, self.stepped_ms = [], 0
        self.store = fakes.MemoryStore(seed)
        self.store.now_ms = self.clock.now_ms
        self.cut, self.cut_ms = frozenset(), 0
        self.answers, self.edits, self.serving = [], {}, []
        self.lost_segments, self.incarnations = [], []
        self.busy = set()
        self.depth = 0
        make = self.variant.get("editor", editor.Editor)
        self.vms = {}
        for number in range(VMS):
            self.start_vm(f"vm{number}")
        self.editors = [
            make(
                PartitionableStore(self, f"vm{number}"),
                self.clock,
                self.random,
                announce=functools.partial(self.announce, f"vm{number}"),
            )
            for number in range(EDITORS)
        ]
        values = parse.encode_tables(samples.make_tables())
        values["pools"]["spare"] = SPARE_POOL
        self.submit(self.editors[0], [changes.ReplaceAll(values)])

    def run(self):
        self.store.on_call = self.interleave
        self.store.lose_reply = self.random.choice((0, 0.1, 0.3))
        self.store.lose_write = self.random.choice((0, 0.1))
        for _ in range(ACTIONS):
            self.act()
            self.record_state()
        return self

    def act(self):
        self.random.choices(
            (
                self.pass_time,
                self.edit,
                self.repeat_edit,
                self.deliver_old_root,
                self.restart_vm,
                self.switch_outage,
                self.switch_cut,
                self.collect,
                self.pause_one,
                self.pause_all,
                self.switch_stale,
            ),
            (40, 18, 6, 8, 3, 3, 4, 5, 2, 1, 4),
        )[0]()

    def interleave(self):
        """Run another action before a call reaches the platform."""
        if self.depth < 2 and self.random.random() < 0.08:
            self.depth += 1
            self.random.choice(
                (self.edit, self.edit, self.step_some, self.collect)
            )()
            self.depth -= 1

    def announce(self, name, root, new):
        """Send an accepted root to the editor's VM and two others."""
        if "silent" in self.variant:
            return
        content = roots.encode_content(root.encode())
        others = [
            other
            for other in sorted(self.vms)
            if other != name and (other in self.cut) == (name in self.cut)
        ]
        for receiver in [name, *others][:3]:
            if receiver not in self.busy:
                self.vms[receiver].handler.offer_root(content, new)

    def start_vm(self, name):
        self.vms[name] = Vm(self, name)
        self.incarnations.append(self.vms[name])

    def restart_vm(self):
        name = self.random.choice(sorted(self.vms))
        if name not in self.busy:
            self.start_vm(name)

    def pass_time(self):
        self.clock.advance_ms(self.random.choice((50, 300, 1_000, 1_000)))
        self.step_some()

    def pause_one(self):
        """Pause one VM while the others continue."""
        name = self.random.choice(sorted(self.vms))
        if name in self.busy:
            return
        self.busy.add(name)
        for _ in range(self.random.choice((5, 20, 40))):
            self.clock.advance_ms(1_000)
            self.step_some()
        self.busy.discard(name)

    def pause_all(self):
        """Pause all VMs while edits continue."""
        start_ms = self.clock.now_ms()
        self.clock.advance_ms(self.random.choice((5_000, 20_000, 60_000)))
        self.edit()
        self.freezes.append((start_ms, self.clock.now_ms()))

    def run_during_sleep(self):
        """Run VMs' steps while an operator's edit waits for its retry."""
        now_ms = self.clock.now_ms()
        if now_ms - self.stepped_ms >= 500:
            self.stepped_ms = now_ms
            self.step_some()

    def step_some(self):
        for name in sorted(self.vms):
            if name not in self.busy and self.random.random() < 0.7:
                self.busy.add(name)
                self.vms[name].controller.step()
                self.busy.discard(name)

    def switch_outage(self):
        self.store.outage = not self.store.outage

    def switch_cut(self):
        names = sorted(self.vms)
        self.cut = (
            frozenset()
            if self.cut
            else frozenset(self.random.sample(names, VMS // 2))
        )
        self.cut_ms = self.clock.now_ms()

    def switch_stale(self):
        """Make edits while reads may be stale.

        Replicas lag only briefly, because VMs take their answers as
        confirmations.
        """
        self.store.stale = 0.5
        for _ in range(3):
            self.edit()
        self.store.stale = 0.0

    def deliver_old_root(self):
        versions = self.store.history.get(("roots", "root"), [])
        vm = self.vms[self.random.choice(sorted(self.vms))]
        if versions and vm.name not in self.busy:
            vm.controller.offer_value(self.random.choice(versions).value)

    def collect(self):
        self.random.choice(self.editors).collect_garbage()

    def edit(self):
        free = [
            editor_ for editor_ in self.editors if id(editor_) not in self.busy
        ]
        if free:
            changes = [self.choose_change()]
            self.submit(self.random.choice(free), changes)

    def repeat_edit(self):
        """Retry an edit whose result is unknown."""
        unknown = [
            answer.edit
            for answer in self.answers
            if answer.result.is_error()
            and answer.result.error.run is errors.ExecutionStatus.MAY_HAVE_RUN
        ]
        if unknown:
            edit = self.random.choice(unknown)
            self.send(self.random.choice(self.editors), edit)

    def submit(self, editor_, changes):
        edit_id = f"edit{len(self.edits)}"
        edit = edits.Edit(edit_id, "operator", tuple(changes))
        self.edits[edit_id] = edit
        self.send(editor_, edit)

    def send(self, editor_, edit):
        self.busy.add(id(editor_))
        timeout_ms = self.random.choice((100, 2_000))
        result = editor_.submit(edit, timeout_ms)
        self.busy.discard(id(editor_))
        self.answers.append(Answer(edit, result, self.clock.now_ms()))

    def choose_change(self):
        number = len(self.edits)
        rate = {"key_digests": [], "rate": 100 + number, "burst": 1}
        digest = samples.digest(f"key{self.random.randint(0, 3)}")
        return self.random.choice(
            (
                changes.PutRow("accounts", f"a{number % 7}", rate),
                changes.PutRow("routes", "spare", SPARE_ROUTE),
                changes.DeleteRow("routes", "spare"),
                changes.PutRow("pools", "spare", SPARE_POOL),
                changes.DeleteRow("pools", "spare"),
                changes.AddKey("tea", digest),
                changes.RevokeKey("tea", digest),
            )
        )

    def record_state(self):
        """Record the tables that each VM would use for a request now."""
        now_ms = self.clock.now_ms()
        for name, vm in self.vms.items():
            tables = vm.active_tables.get_tables()
            if tables is not None:
                self.serving.append((now_ms, name, tables.revision))
        self.check_segments()

    def check_segments(self):
        versions = self.store.history.get(("roots", "root"), [])
        if versions:
            value = versions[-1].value
            wanted = {
                name
                for shard in value["shards"].values()
                for name in shard
                if name
            } | {value["history"]}
            missing = wanted - self.store.names("segments")
            self.lost_segments += sorted(missing)
