"""Plays random histories of a store that returns and of its mirrors."""

import logging
import random
import unittest

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import mirror_exchange
from mulberryway.controllers import mirrors as controllers
from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.platform import tables as platform_tables
from mulberryway.policy import carried_objects

SEEDS = 60
STEPS = 1_500
VMS = 3
SERVERS = 4
CONFIG, SERVER = "config", "servers"
OUTDATED_MS = 5_100
# Watch, 410, listing and watch.
MAX_CALLS = 4
# Writers notice a return and write what was lost again by then.
REWRITE_MS = 1_000
RULES = {
    CONFIG: carried_objects.ReturnRules(
        platform_tables.read_configuration_generation, None, None
    ),
    SERVER: carried_objects.ReturnRules(
        platform_tables.read_server_generation, 2_100, OUTDATED_MS, True
    ),
}


class ModelStore:
    """A store that may return to a backup of itself."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.oldest = 0
        self.objects = {}
        self.changes = []
        self.make_backup()

    def make_backup(self):
        self.backup = (
            self.revision,
            self.oldest,
            dict(self.objects),
            list(self.changes),
        )

    def return_to_backup(self):
        self.revision, self.oldest, objects, changes = self.backup
        self.objects, self.changes = dict(objects), list(changes)
        self.era += 1

    def compact(self):
        self.changes.clear()
        self.oldest = self.revision

    def put(self, kind, name, value):
        if self.get(kind, name) == value:
            return
        self.revision += 1
        self.objects[kind, name] = (self.revision, value)
        self.changes.append((self.revision, kind, name, value, False))

    def delete(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            _, value = self.objects.pop((kind, name))
            self.changes.append((self.revision, kind, name, value, True))

    def get(self, kind, name):
        return self.objects.get((kind, name), (0, None))[1]

    def get_position(self):
        return position.Position(self.era, self.revision)

    def make(self, kind, name, revision, value):
        return base.StoredObject(kind, name, revision, value, self.era)


class Connection:
    """The store as one VM reaches it."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    def read_listing(self, kind, purpose):
        if self.is_cut:
            return self._fail(errors.Code.PLATFORM_UNAVAILABLE)
        store = self.store
        rows = [
            store.make(kind, name, revision, value)
            for (of_kind, name), (revision, value) in store.objects.items()
            if of_kind == kind
        ]
        return expression.Ok(base.Listing(rows, store.get_position()))

    def poll_changes(self, kind, revision, wait_ms, purpose):
        if self.is_cut:
            return self._fail(errors.Code.PLATFORM_UNAVAILABLE)
        store = self.store
        if not store.oldest <= revision <= store.revision:
            return self._fail(errors.Code.HISTORY_GONE)
        events = [
            base.WatchEvent(
                base.EventType.DELETED
                if is_deleted
                else base.EventType.MODIFIED,
                store.make(kind, name, changed, value),
            )
            for changed, of_kind, name, value, is_deleted in store.changes
            if of_kind == kind and changed > revision
        ]
        return expression.Ok(base.ChangeBatch(events, store.get_position()))

    def _fail(self, code):
        return expression.Error(errors.Fault(code, errors.Step.PLATFORM))


class Vm:
    """The mirrors of one VM."""

    def __init__(self, world, number):
        self.number = number
        self.store = Connection(world.store)
        self.mirrors = {
            kind: controllers.MirrorController(
                kind, self.store, world.clock, lambda: None, rules=rules
            )
            for kind, rules in RULES.items()
        }
        self.exchange = mirror_exchange.MirrorSyncController(
            self.mirrors, world, world.clock, list
        )
        # The highest generation that was in use, by kind and name.
        self.used = {}

    def has_caught_up(self, stored):
        """Return whether a stored object, or a later content, is used."""
        rules = RULES[stored.kind]
        mirror = self.mirrors[stored.kind]
        used = self.list_used(stored.kind).get(stored.name)
        if used is None:
            # The copy may list what had been removed.
            return mirror.kept.carried > 0
        return rules.read_generation(used) >= rules.read_generation(stored)

    def list_used(self, kind):
        return {item.name: item for item in self.mirrors[kind].list_objects()}


class World:
    """A store, its writers and some VMs.

    :param seed: seed of all random choices
    :param updates: whether VMs that reach the store are checked at once
    """

    def __init__(self, seed, updates=False):
        self.updates_weight = 10 if updates else 0
        self.random = random.Random(seed)
        self.clock = clock.ManualClock(1_000)
        self.store = ModelStore()
        self.version = 1
        # The entry of each server that lives.
        self.servers = {}
        self.returned_ms = None
        self.write_configuration()
        for number in range(SERVERS):
            self.start_server(f"s{number}")
        self.vms = [Vm(self, number) for number in range(VMS)]
        self.went_back = []
        # What VMs that reached the store did not use, and how often they did.
        self.missed = []
        self.updates = 0

    def call(self, address, client_class, method, *arguments, **options):
        """Read a mirror of the VM with this number."""
        handler = controllers.MirrorHandler(self.vms[int(address)].mirrors)
        return expression.Ok(handler.read(*arguments))

    def write_configuration(self):
        self.version += self.random.randint(1, 3)
        self.store.put(CONFIG, "main", {"version": self.version})

    def start_server(self, name):
        self.servers[name] = {
            "born": self.clock.now_ms(),
            "sequence": 1,
            "state": "ready",
        }
        self.store.put(SERVER, name, self.servers[name])

    def change_server(self):
        name = f"s{self.random.randrange(SERVERS)}"
        entry = self.servers.get(name)
        if entry is None:
            self.start_server(name)
        elif self.random.random() < 0.4:
            del self.servers[name]
            self.store.delete(SERVER, name)
        else:
            state = self.random.choice(("ready", "draining"))
            self.servers[name] = entry | {
                "sequence": entry["sequence"] + 1,
                "state": state,
            }
            self.store.put(SERVER, name, self.servers[name])

    def return_store(self):
        self.store.return_to_backup()
        self.returned_ms = self.clock.now_ms()

    def write_again(self):
        """Write what the store has lost, if its writers have noticed."""
        if self.returned_ms is None or (
            self.clock.now_ms() - self.returned_ms < REWRITE_MS
        ):
            return
        self.returned_ms = None
        self.store.put(CONFIG, "main", {"version": self.version})
        for number in range(SERVERS):
            name = f"s{number}"
            if name in self.servers:
                self.store.put(SERVER, name, self.servers[name])
            else:
                self.store.delete(SERVER, name)

    def write_other(self):
        for _ in range(self.random.randint(1, 9)):
            self.store.put("notes", "n", {"n": self.random.random()})

    def restart_vm(self):
        number = self.random.randrange(VMS)
        self.vms[number] = Vm(self, number)

    def cut_vm(self):
        vm = self.random.choice(self.vms)
        vm.store.is_cut = not vm.store.is_cut

    def tell(self):
        teller, hearer = self.random.sample(self.vms, 2)
        self.exchange_between(teller, hearer)

    def exchange_between(self, teller, hearer):
        hearer.exchange.record_peer_mirrors(
            str(teller.number),
            {kind: item.summary for kind, item in teller.mirrors.items()},
        )
        hearer.exchange.step()

    def step_vm(self, vm=None):
        vm = vm or self.random.choice(self.vms)
        for mirror in vm.mirrors.values():
            mirror.step()
            mirror.expire()
        self.check(vm)

    def update_vm(self):
        """Let a VM call the store as often as a return may need."""
        vm = self.random.choice(self.vms)
        if vm.store.is_cut:
            return
        for _ in range(MAX_CALLS):
            self.step_vm(vm)
        self.updates += 1
        for (kind, name), (_, value) in self.store.objects.items():
            if kind not in RULES or not vm.mirrors[kind].is_reached:
                continue
            stored = self.store.make(kind, name, 0, value)
            if not vm.has_caught_up(stored):
                self.missed.append((kind, name, value))

    def check(self, vm):
        """Note what has gone back at a VM."""
        for kind in RULES:
            for name, item in vm.list_used(kind).items():
                generation = RULES[kind].read_generation(item)
                known = vm.used.setdefault((kind, name), generation)
                if generation < known:
                    self.went_back.append((kind, name, known, generation))
                vm.used[kind, name] = max(known, generation)

    def run(self, steps):
        actions = (
            (self.step_vm, 40 - self.updates_weight),
            (self.update_vm, self.updates_weight),
            (self.tell, 20),
            (self.write_other, 6),
            (self.write_configuration, 3),
            (self.change_server, 5),
            (self.store.make_backup, 2),
            (self.return_store, 1),
            (self.store.compact, 1),
            (self.restart_vm, 1),
            (self.cut_vm, 2),
        )
        names, weights = zip(*actions, strict=True)
        for _ in range(steps):
            self.clock.advance_ms(self.random.randint(1, 150))
            self.write_again()
            self.random.choices(names, weights)[0]()

    def settle(self):
        """Let all VMs reach the store, with all that was lost written."""
        self.clock.advance_ms(REWRITE_MS)
        self.write_again()
        for vm in self.vms:
            vm.store.is_cut = False
        for _ in range(4):
            for vm in self.vms:
                for _ in range(4):
                    self.step_vm(vm)
                for other in self.vms:
                    if other is not vm:
                        self.exchange_between(other, vm)
            self.clock.advance_ms(OUTDATED_MS)


class HistoryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_random_histories(self):
        """Guards against changes that are missed, and against states that
        come back, in any order of returns, writes and restarts.
        """
        eras = sum(self.play(seed).store.era for seed in range(SEEDS))
        self.assertGreater(eras, 10 * SEEDS)

    def test_vms_that_are_late_twice(self):
        """Guards against a removed server that VMs without the store take
        from each other over two returns.
        """
        for seed in (258, 289):
            self.play(seed)

    def test_vms_that_reach_the_store(self):
        """Guards against changes that a VM drops although it gets them."""
        worlds = [self.play(seed, updates=True) for seed in range(SEEDS)]
        self.assertGreater(min(world.updates for world in worlds), 0)

    def play(self, seed, updates=False):
        world = World(seed, updates)
        world.run(STEPS)
        world.settle()
        with self.subTest(seed=seed):
            self.assertEqual(world.went_back, [])
            self.assertEqual(world.missed, [])
            for vm in world.vms:
                used = vm.list_used(CONFIG)["main"]
                self.assertEqual(used.value["version"], world.version)
                entries = {
                    name: item.value
                    for name, item in vm.list_used(SERVER).items()
                }
                self.assertEqual(entries, world.servers)
        return world
