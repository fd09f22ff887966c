"""Tests of odd entries of other writers, in all that is read of the store."""

import json
import logging
import unittest
import urllib.parse

import hypothesis
from hypothesis import strategies

from mulberryway import clock
from mulberryway.controllers import mirrored_tables
from mulberryway.controllers import mirrors
from mulberryway.controllers import stream_backup
from mulberryway.objects import call_metrics
from mulberryway.platform import store
from mulberryway.platform import tables as platform_tables
from mulberryway.policy import carried_objects
from mulberryway.policy import mass_expiry
from mulberryway.policy import store_reachability
from mulberryway.policy import stream_versions
from tests import odd_entries
from tests import test_platform_adapter

ENTRY = test_platform_adapter.ENTRY | {"sequence": 1}
# Of the sound servers' objects, as they change.
REVISIONS = {1: 5, 2: 11, 3: 14}
SOUND = ("a-sound", "m-sound", "z-sound")
SETTINGS = hypothesis.settings(
    deadline=None,
    max_examples=250,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class CannedStore(store.PlatformStore):
    """A client whose responses are the test's; the last one stays.

    :param bodies: the responses by kind, for each call the next one
    """

    def __init__(self, bodies):
        super().__init__(
            "http://127.0.0.1:1",
            1_000,
            clock.SystemClock(),
            call_metrics.InMemoryCallCounter(),
        )
        self.bodies = bodies
        self.targets = []

    def _send(self, pool, method, target, data, read_timeout_ms, max_bytes):
        self.targets.append(target)
        path = urllib.parse.urlsplit(target).path
        kind = path.removeprefix("/mulberryway/objects/").partition("/")[0]
        bodies = self.bodies[kind]
        body = bodies.pop(0) if len(bodies) > 1 else bodies[0]
        return store._Received(200, body, "1")


def make_item(name, value, revision=5):
    metadata = {"name": name, "revision": revision}
    return json.dumps({"metadata": metadata, "spec": value}).encode()


def make_page(items, revision=9):
    return b'{"items": [%s], "store_revision": %d}' % (
        b", ".join(items),
        revision,
    )


def make_events(items, revision):
    events = b", ".join(b'{"object": %s}' % item for item in items)
    return b'{"events": [%s], "store_revision": %d}' % (events, revision)


def make_servers(number=1, **fields):
    """Return the items of the sound servers, all at other addresses."""
    return [
        make_item(
            name,
            ENTRY
            | {"address": f"10.0.0.{place}:80", "sequence": number}
            | fields,
            REVISIONS[number],
        )
        for place, name in enumerate(SOUND, 1)
    ]


class Vm:
    """The part of a VM that follows the store.

    :param bodies: see :class:`CannedStore`
    """

    def __init__(self, bodies):
        self.store = CannedStore(
            {
                "config": [
                    make_page(
                        [
                            make_item(
                                "main", test_platform_adapter.CONFIGURATION
                            )
                        ]
                    )
                ],
                "evacuations": [make_page([])],
            }
            | bodies
        )
        limits = mass_expiry.RegistrationLimits(1_000, 2_000)
        self.source = mirrored_tables.MirroredTables(
            platform_tables.TablesReader()
        )
        self.seen = []
        self.source.subscribe(self.seen.append)
        outages = store_reachability.StoreReachability()
        for attribute, kind, detector, rules in (
            (
                "configuration",
                "config",
                None,
                carried_objects.ReturnRules(
                    platform_tables.read_configuration_generation, None, None
                ),
            ),
            (
                "servers",
                "servers",
                mass_expiry.MassExpiryDetector(limits, outages),
                carried_objects.ReturnRules(
                    platform_tables.read_server_generation, 1_000, 1_000, True
                ),
            ),
            (
                "evacuations",
                "evacuations",
                None,
                carried_objects.ReturnRules(missing_ms=1_000),
            ),
        ):
            controller = mirrors.MirrorController(
                kind,
                self.store,
                clock.SystemClock(),
                self.source.refresh,
                detector,
                rules=rules,
            )
            setattr(self.source, attribute, controller)

    @property
    def controllers(self):
        source = self.source
        return source.configuration, source.servers, source.evacuations

    def list_all(self):
        for controller in self.controllers:
            controller.step()

    def list_servers(self):
        return {
            row.name: row
            for row in self.source.get_tables().pools["llm"].upstreams
        }

    def copy_from(self, other):
        """Take over another VM's copies."""
        handler = mirrors.MirrorHandler(
            {controller.kind: controller for controller in other.controllers}
        )
        for controller in self.controllers:
            known = controller.known_position
            controller.apply_snapshot(
                handler.read(controller.kind, known.revision, known.era)
            )


class LoggedCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check_servers(self, vm, number=1):
        """Check that the sound servers are used, and no others."""
        servers = vm.list_servers()
        self.assertEqual(set(SOUND), servers.keys())
        for row in servers.values():
            self.assertEqual(row.version, f"v{number}")


def place(sound, odd, index):
    return sound[:index] + [one.text for one in odd] + sound[index:]


# An entry whose generated fields happen to be sound names a server.
def names_no_server(entry):
    try:
        value = json.loads(entry.text)
        value["spec"]["state"] = "none"
        value = json.dumps(value).encode()
    except (ValueError, TypeError, KeyError, RecursionError):
        return entry
    return odd_entries.Entry(entry.name, value)


def make_odd(sound):
    return strategies.lists(
        odd_entries.make_entries(sound).map(names_no_server),
        min_size=1,
        max_size=3,
    )


class OddServerTest(LoggedCase):
    @SETTINGS
    @hypothesis.given(make_odd(ENTRY), strategies.integers(0, 3))
    def test_listing(self, odd, index):
        """Guards against an entry that keeps VMs from following the others,
        whatever it consists of, by listing, watch and by way of other VMs.
        """
        vm = Vm(
            {
                "servers": [
                    make_page(place(make_servers(version="v1"), odd, index)),
                    make_events(
                        place(make_servers(2, version="v2"), odd, index), 12
                    ),
                    make_events(make_servers(3, version="v3"), 15),
                ]
            }
        )
        vm.list_all()
        self.check_servers(vm)
        vm.source.servers.step()
        self.check_servers(vm, 2)
        other = Vm({"servers": [make_page([])]})
        other.copy_from(vm)
        self.check_servers(other, 2)
        vm.source.servers.step()
        self.check_servers(vm, 3)
        other.copy_from(vm)
        self.check_servers(other, 3)

    def test_revision_beyond_that_of_the_store(self):
        """Guards against VMs that follow nothing any more, because they take
        another VM's copy for one of a far later position.
        """
        odd = make_item("odd", {}, 2**63 - 1)
        vm = Vm(
            {
                "servers": [
                    make_page([odd, *make_servers(version="v1")]),
                    make_events([odd, *make_servers(2, version="v2")], 12),
                    make_events(make_servers(3, version="v3"), 15),
                ]
            }
        )
        other = Vm({"servers": [make_page([])]})
        vm.list_all()
        for number in (1, 2, 3):
            other.copy_from(vm)
            self.check_servers(other, number)
            self.assertLess(
                other.source.servers.known_position.revision, 2**63 - 1
            )
            vm.source.servers.step()

    @SETTINGS
    @hypothesis.given(make_odd({"zone": "a"}), strategies.integers(0, 1))
    def test_evacuations(self, odd, index):
        """Guards against an entry that keeps an evacuation from being seen."""
        sound = [make_item("a", {})]
        vm = Vm(
            {
                "servers": [make_page(make_servers(version="v1"))],
                "evacuations": [make_page(place(sound, odd, index))],
            }
        )
        vm.list_all()
        self.check_servers(vm)
        for row in vm.list_servers().values():
            self.assertTrue(row.cordoned)

    @SETTINGS
    @hypothesis.given(make_odd({"address": "10.0.0.1:7", "zone": "a"}))
    def test_vms(self, odd):
        sound = [make_item("vm9", {"address": "10.0.0.9:7", "zone": "a"})]
        client = CannedStore({"vms": [make_page(place(sound, odd, 0))]})
        listed = client.list_vms("test").ok
        self.assertIn("10.0.0.9:7", [vm.address for vm in listed])
        for vm in listed:
            _, _, port = vm.address.rpartition(":")
            self.assertTrue(0 < int(port) < 65_536)


class OddRecordTest(LoggedCase):
    @SETTINGS
    @hypothesis.given(
        strategies.one_of(
            odd_entries.make_objects({"versions": [["llm", "v1"]]}),
            odd_entries.make_objects(
                stream_backup.encode(
                    [stream_versions.StreamVersion(b"s" * 16, "llm", "v", 9)],
                    2**64 - 20,
                )
            ),
        )
    )
    def test_streams(self, text):
        """Guards against a VM that stores no streams any more, because what
        it has read back cannot be read or written again.
        """
        item = b'{"metadata": {"name": "vm0", "revision": 5}, "spec": %s}'
        client = CannedStore({"streams": [item % text]})
        stored = client.read("streams", "vm0", "test").ok
        table = stream_versions.StreamVersionTable()
        for record in stream_backup.decode(stored.value, 1_000):
            table.record(record, 0)
        records = table.list_records(0)
        encoded = json.dumps(stream_backup.encode(records, 2_000))
        again = stream_backup.decode(json.loads(encoded), 2_000)
        self.assertEqual(len(again), len(records))
