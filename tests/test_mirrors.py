"""Tests of mirrors: order of updates, outages and exchange between VMs."""

import json
import threading
import unittest
import zlib

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import kept_objects
from mulberryway.controllers import mirror_exchange
from mulberryway.controllers import mirrored_tables
from mulberryway.controllers import mirrors as controllers
from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirror_summary
from mulberryway.policy import mirrors
from mulberryway.policy import store_reachability
from tests import processes


def at(revision, era=0):
    return position.Position(era, revision)


def make(name, version):
    return base.StoredObject("servers", name, version, {})


def change(name, version, deleted=False):
    kind = base.EventType.DELETED if deleted else base.EventType.MODIFIED
    return base.WatchEvent(kind, make(name, version))


class MirrorTest(unittest.TestCase):
    def setUp(self):
        self.outages = store_reachability.StoreReachability()
        limits = mass_expiry.RegistrationLimits(
            heartbeat_ms=1_000, drain_ms=2_000
        )
        self.mirror = mirrors.Mirror(
            "servers", mass_expiry.MassExpiryDetector(limits, self.outages)
        )
        rows = [make(f"s{n}", n) for n in range(1, 7)]
        self.mirror.replace(rows, at(10), 0)

    def names(self):
        return sorted(entry.name for entry in self.mirror.list_objects())

    def remove_first(self, count, now_ms, revision=11):
        """Apply the removal of the first entries."""
        events = [change(f"s{n}", n, True) for n in range(1, count + 1)]
        self.mirror.apply(events, at(revision), now_ms)

    def test_older_listing_is_ignored(self):
        """A slow answer of the store arrives after a newer snapshot.

        If it were applied, it would restore a deregistered server.
        """
        self.mirror.replace_from_peer(
            [make(f"s{n}", n) for n in range(2, 7)], at(12), 0
        )
        rows = [make(f"s{n}", n) for n in range(1, 7)]
        self.assertFalse(self.mirror.replace(rows, at(11), 0))
        self.assertNotIn("s1", self.names())

    def test_only_newer_snapshots_are_applied(self):
        self.assertFalse(
            self.mirror.replace_from_peer([], self.mirror.changed, 0)
        )
        rows = [make(f"s{n}", n) for n in range(2, 10)]
        self.assertTrue(self.mirror.replace_from_peer(rows, at(20), 0))
        self.assertEqual(self.names(), [f"s{n}" for n in range(2, 10)])

    def test_changes_of_other_kinds_are_not_announced(self):
        """The store's revision grows with writes of any kind.

        If it were announced, other VMs would fetch an unchanged snapshot.
        """
        before = self.mirror.changed
        self.assertFalse(self.mirror.apply([], at(40), 0))
        self.assertEqual(self.mirror.changed, before)
        self.assertEqual(self.mirror.position, at(40))

    def test_removal_found_by_a_listing_is_announced(self):
        """A server deregisters while the store loses its history.

        VMs that do not watch would never learn of the removal.
        """
        before = self.mirror.changed
        rows = [make(f"s{n}", n) for n in range(2, 7)]
        self.mirror.replace(rows, at(12), 0)
        self.assertGreater(self.mirror.changed, before)
        other = mirrors.Mirror("servers")
        other.replace_from_peer(
            [make(f"s{n}", n) for n in range(1, 7)], before, 0
        )
        applied = other.replace_from_peer(
            self.mirror.list_objects(), self.mirror.changed, 0
        )
        self.assertTrue(applied)
        self.assertNotIn("s1", {entry.name for entry in other.list_objects()})

    def test_listing_without_a_removal_is_not_announced(self):
        before = self.mirror.changed
        self.mirror.replace([make(f"s{n}", n) for n in range(1, 7)], at(12), 0)
        self.assertEqual(self.mirror.changed, before)

    def test_single_removal_is_immediate(self):
        self.mirror.apply([change("s1", 1, True)], at(11), 0)
        self.assertNotIn("s1", self.names())

    def test_entries_expired_in_an_outage_are_retained(self):
        """Entries expire because servers could not renew them in an outage.

        If they were removed immediately, no server would be left to use.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.remove_first(6, 5_000)
        self.assertEqual(len(self.names()), 6)
        self.assertFalse(self.mirror.expire(6_000))
        self.assertEqual(len(self.mirror.expire(7_200)), 6)
        self.assertEqual(self.names(), [])

    def test_entries_that_expire_one_by_one_are_retained(self):
        """The store removes expired entries in several steps.

        The first few look like deregistered servers.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        for number in range(1, 7):
            event = change(f"s{number}", number, True)
            self.mirror.apply([event], at(10 + number), 5_000 + number)
        self.assertEqual(len(self.names()), 6)

    def test_entry_that_is_back_early_is_listed_once(self):
        """An entry is removed and comes back before the others expire.

        The server must not be in the tables twice.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.remove_first(1, 5_000)
        self.mirror.apply([change("s1", 12)], at(12), 5_100)
        later = [change(f"s{n}", n, True) for n in range(2, 7)]
        self.mirror.apply(later, at(13), 5_200)
        self.assertEqual(self.names(), [f"s{n}" for n in range(1, 7)])

    def test_entry_that_came_back_stays(self):
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.remove_first(6, 5_000)
        self.mirror.apply([change("s1", 12)], at(12), 6_000)
        self.mirror.expire(7_200)
        self.assertEqual(self.names(), ["s1"])

    def test_entries_that_are_back_show_the_mass_expiry(self):
        """A VM reaches the store late, when most entries are back.

        The few that are missing look like deregistered servers.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        events = [change(f"s{n}", n, True) for n in range(1, 7)]
        back = [change(f"s{n}", 10 + n) for n in range(3, 7)]
        self.mirror.apply([*events, *back], at(17), 5_000)
        self.assertEqual(len(self.names()), 6)

    def test_removal_is_immediate_if_only_this_vm_was_rejected(self):
        """The store rejected only this VM's calls.

        A server that was removed meanwhile has deregistered.  If it were
        retained, it would get requests later than its operators allow.
        """
        self.outages.record_peer("a2", True, 4_000)
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.remove_first(6, 5_000)
        self.assertEqual(self.names(), [])

    def test_removal_is_immediate_after_a_short_outage(self):
        self.mirror.record_failure(1_000)
        self.mirror.record_response(2_900)
        self.remove_first(6, 2_900)
        self.assertEqual(self.names(), [])

    def test_snapshot_without_retained_entries_removes_none(self):
        """A VM that was started in an outage sends a snapshot.

        The snapshot has only the entries that are back, and must not remove
        retained ones.
        """
        self.mirror.record_failure(1_000)
        self.mirror.replace_from_peer([make("s1", 21)], at(21), 5_000)
        self.assertEqual(len(self.names()), 6)

    def test_early_removal_is_not_undone_by_a_mass_expiry(self):
        """A server deregisters long before a mass expiry.

        The mass expiry must not restore its entry.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.remove_first(1, 5_000)
        later = [change(f"s{n}", n, True) for n in range(2, 7)]
        self.mirror.apply(later, at(12), 60_000)
        self.assertEqual(self.names(), ["s2", "s3", "s4", "s5", "s6"])

    def test_simultaneous_removals_are_a_mass_expiry(self):
        """Most entries are removed at once without a detected outage.

        They have expired: servers deregister one after another.
        """
        self.remove_first(4, 5_000)
        self.assertEqual(len(self.names()), 6)
        self.mirror.expire(8_000)
        self.assertEqual(self.names(), ["s5", "s6"])

    def test_retention_ends_before_deregistered_servers_stop(self):
        """Four of six servers deregister at once.

        Their retention must end before the servers stop serving.
        """
        self.remove_first(4, 5_000)
        self.mirror.expire(5_000 + 1_500)
        self.assertEqual(self.names(), ["s5", "s6"])


CONFIG_7 = {"config": mirror_summary.MirrorSummary(at(7))}


class UnavailableStore:
    """A store that rejects every call."""

    def read_listing(self, kind, purpose):
        return expression.Error(
            errors.Fault(errors.Code.PLATFORM_UNAVAILABLE, errors.Step.PEER)
        )


class FailingPeers:
    """Answers for other VMs; the first calls fail.

    :param failures: the number of calls that fail
    """

    def __init__(self, failures):
        self.failures = failures
        self.called = []

    def call(self, peer, client_class, method, kind, *arguments, **options):
        self.called.append(peer)
        if len(self.called) <= self.failures:
            return expression.Error(
                errors.Fault(errors.Code.PEER_UNREACHABLE, errors.Step.PEER)
            )
        rows = [["main", 7, {"version": 7}]]
        content = zlib.compress(json.dumps(rows).encode())
        return expression.Ok(ttypes.Mirror(7, content))


class ExchangeTest(unittest.TestCase):
    def make(self, failures):
        self.changes = []
        self.controller = controllers.MirrorController(
            "config", None, clock.ManualClock(), lambda: self.changes.append(1)
        )
        self.peers = FailingPeers(failures)
        return mirror_exchange.MirrorSyncController(
            {"config": self.controller}, self.peers, clock.ManualClock(), list
        )

    def test_failed_fetch_is_retried(self):
        """A failed fetch of a snapshot must be retried."""
        exchange = self.make(failures=2)
        exchange.record_peer_mirrors("a2:1", CONFIG_7)
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            for _ in range(3):
                exchange.step()
        self.assertEqual(self.controller.changed, at(7))
        self.assertEqual(self.changes, [1])
        exchange.step()
        self.assertEqual(len(self.peers.called), 3)

    def test_second_vm_is_asked_if_the_first_does_not_answer(self):
        """A VM that has left the fleet must not be asked repeatedly."""
        exchange = self.make(failures=1)
        exchange.record_peer_mirrors("a2:1", CONFIG_7)
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            exchange.step()
        exchange.record_peer_mirrors("a3:1", CONFIG_7)
        exchange.step()
        self.assertEqual(self.peers.called, ["a2:1", "a3:1"])
        self.assertEqual(self.controller.changed, at(7))


class FirstCopyTest(unittest.TestCase):
    """A VM without an answer from the store or gossip from other VMs."""

    def make(self, failures=0, addresses=("a2:1", "a3:1")):
        self.controller = controllers.MirrorController(
            "config", UnavailableStore(), clock.ManualClock(), lambda: None
        )
        self.peers = FailingPeers(failures)
        return mirror_exchange.MirrorSyncController(
            {"config": self.controller},
            self.peers,
            clock.ManualClock(),
            lambda: addresses,
        )

    def fail(self):
        """Let the controller call the store once."""
        with self.assertLogs(controllers.LOG, "WARNING"):
            self.controller.step()

    def test_fetches_without_gossip_of_other_vms(self):
        """A VM starts in an outage and gets no datagrams from other VMs.

        It must fetch a snapshot without them, or it would reject callers.
        """
        exchange = self.make()
        self.fail()
        exchange.step()
        self.assertEqual(self.controller.changed, at(7))

    def test_asks_vms_in_turn(self):
        """A VM that has left the fleet must not be asked repeatedly."""
        exchange = self.make(failures=1)
        self.fail()
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            exchange.step()
        exchange.step()
        self.assertEqual(sorted(self.peers.called), ["a2:1", "a3:1"])
        self.assertEqual(self.controller.changed, at(7))

    def test_no_fetch_while_the_store_has_not_failed(self):
        """At a fleet's start, listings must not be followed by fetches."""
        exchange = self.make()
        exchange.step()
        self.assertEqual(self.peers.called, [])

    def test_no_fetch_after_the_first_snapshot(self):
        """Fetching must end after the first snapshot, also in an outage."""
        exchange = self.make()
        self.fail()
        exchange.step()
        exchange.step()
        self.assertEqual(len(self.peers.called), 1)

    def test_no_failure_without_other_vms(self):
        exchange = self.make(addresses=())
        self.fail()
        exchange.step()
        self.assertEqual(self.controller.changed, at(0))


class SnapshotTest(unittest.TestCase):
    def setUp(self):
        self.controller = controllers.MirrorController(
            "servers", None, clock.ManualClock(), lambda: None
        )
        self.take([["s1", 5, {}], ["s2", 7, {}]], 7)

    def take(self, rows, revision):
        content = zlib.compress(json.dumps(rows).encode())
        with self.assertLogs(controllers.LOG, "INFO"):
            self.controller.apply_snapshot(ttypes.Mirror(revision, content))

    def test_snapshot_is_encoded_once_for_all_vms(self):
        """Encoding once per VM would cost processor time in large fleets."""
        first = self.controller.make_snapshot(0, 0)
        second = self.controller.make_snapshot(3, 0)
        self.assertIs(second.content, first.content)
        known = self.controller.make_snapshot(7, 0)
        self.assertEqual((known.revision, known.content), (7, b""))

    def test_changed_snapshot_is_encoded_again(self):
        """An outdated snapshot would contain deregistered servers."""
        before = self.controller.make_snapshot(0, 0)
        self.take([["s2", 7, {}]], 9)
        snapshot = self.controller.make_snapshot(0, 0)
        self.assertEqual(snapshot.revision, 9)
        self.assertNotEqual(snapshot.content, before.content)
        rows = json.loads(zlib.decompress(snapshot.content))
        self.assertEqual([row[0] for row in rows], ["s2"])


class ScriptedStore:
    """A store with scripted answers, each after a given time.

    :param clock_: the clock that each answer advances
    """

    def __init__(self, clock_):
        self.clock = clock_
        self.answers = []

    def read_listing(self, kind, purpose):
        return self._answer()

    def poll_changes(self, kind, revision, wait_ms, purpose):
        return self._answer()

    def _answer(self):
        after_ms, answer = self.answers.pop(0)
        self.clock.advance_ms(after_ms)
        if isinstance(answer, errors.Fault):
            return expression.Error(answer)
        return expression.Ok(answer)


def fail(message="the store answered 503"):
    """Return a call's fault."""
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
    )


class ControllerTestCase(unittest.TestCase):
    """Base class: a controller that mirrors the entries of six servers."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.store = ScriptedStore(self.clock)
        self.outages = store_reachability.StoreReachability()
        self.controller = controllers.MirrorController(
            "servers",
            self.store,
            self.clock,
            lambda: None,
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(), self.outages
            ),
        )
        rows = [make(f"s{n}", n) for n in range(1, 7)]
        self.step((0, base.Listing(rows, at(10))))

    def step(self, *answers):
        self.store.answers += answers
        for _ in answers:
            self.controller.step()

    def names(self):
        return sorted(entry.name for entry in self.controller.list_objects())

    def make_full_removal(self, revision=20):
        """Return an answer with the removal of all entries."""
        events = [change(f"s{n}", n, True) for n in range(1, 7)]
        return base.ChangeBatch(events, at(revision))


class LateRemovalTest(ControllerTestCase):
    """Removals are not deferred after short failures of the store.

    Otherwise deregistered servers would get requests after the store has
    rejected all VMs for a moment or a watch has broken.
    """

    def leave(self, name, revision):
        number = int(name[1:])
        return base.ChangeBatch([change(name, number, True)], at(revision))

    def test_rejections_of_all_vms_defer_no_removal(self):
        self.outages.record_peer("a2", False, 0)
        self.step(
            (0, fail()),
            (1_200, base.ChangeBatch([], at(11))),
            (700, self.leave("s1", 12)),
        )
        self.assertNotIn("s1", self.names())

    def test_broken_watch_after_an_outage_defers_no_removal(self):
        self.outages.record_peer("a2", False, 0)
        self.step(
            (0, fail()),
            (3_000, base.ChangeBatch([], at(11))),
            (2_000, fail("reset")),
            (10, base.ChangeBatch([], at(12))),
            (700, self.leave("s1", 13)),
        )
        self.assertNotIn("s1", self.names())

    def test_single_removal_is_immediate_after_rejections(self):
        """A store that rejects VMs' calls may still accept servers' renewals.

        One missing entry of six has deregistered, because an outage would
        make more than one expire.
        """
        self.outages.record_peer("a2", False, 0)
        self.step((0, fail()), (6_000, self.leave("s1", 12)))
        self.assertNotIn("s1", self.names())


class BlockedStore:
    """A store that returns one batch of changes; later polls block.

    :param rows: the listing
    :param events: the changes
    """

    def __init__(self, rows, events):
        self.rows = rows
        self.events = events
        self.has_returned = False
        self.end = threading.Event()

    def read_listing(self, kind, purpose):
        return expression.Ok(base.Listing(self.rows, at(10)))

    def poll_changes(self, kind, revision, wait_ms, purpose):
        if self.has_returned:
            self.end.wait(wait_ms / 1_000)
            return expression.Ok(base.ChangeBatch([], at(revision)))
        self.has_returned = True
        return expression.Ok(base.ChangeBatch(self.events, at(20)))


class ExpiryTest(unittest.TestCase):
    def test_retained_entry_expires_while_a_watch_waits(self):
        """A retained entry expires while a call to the store blocks."""
        store = BlockedStore(
            [make(f"s{n}", n) for n in range(1, 7)],
            [change(f"s{n}", n, True) for n in range(1, 7)],
        )
        controller = controllers.MirrorController(
            "servers",
            store,
            clock.SystemClock(),
            lambda: None,
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(),
                store_reachability.StoreReachability(),
            ),
        )
        controller.start()
        try:
            returned = processes.wait_until(lambda: store.has_returned, 5)
            self.assertTrue(returned)
            self.assertTrue(controller.list_objects())
            removed = processes.wait_until(
                lambda: not controller.list_objects(),
                mass_expiry.REREGISTRATION_MS / 1e3 + 0.2,
            )
            self.assertTrue(removed)
        finally:
            store.end.set()
            controller.stop()


class CopiedLapseTest(ControllerTestCase):
    """Retained entries in snapshots stay retained at other VMs."""

    def setUp(self):
        super().setUp()
        self.other = controllers.MirrorController(
            "servers",
            None,
            self.clock,
            lambda: None,
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(),
                store_reachability.StoreReachability(),
            ),
        )
        self.send_snapshot()

    def send_snapshot(self):
        """Apply this VM's snapshot at the other VM if it is newer."""
        known = self.other.changed
        snapshot = self.controller.make_snapshot(known.revision, known.era)
        if snapshot.content:
            self.other.apply_snapshot(snapshot)

    def list_other(self):
        return sorted(entry.name for entry in self.other.list_objects())

    def test_retained_entry_of_a_snapshot_expires(self):
        self.step((0, fail()), (4_000, self.make_full_removal()))
        self.send_snapshot()
        self.assertEqual(len(self.list_other()), 6)
        self.clock.advance_ms(mass_expiry.REREGISTRATION_MS)
        self.other.expire()
        self.assertEqual(self.list_other(), [])

    def test_snapshot_retains_entries_no_longer_than_its_vm(self):
        self.step((0, fail()), (4_000, self.make_full_removal()))
        self.clock.advance_ms(mass_expiry.REREGISTRATION_MS - 100)
        self.send_snapshot()
        self.assertEqual(len(self.list_other()), 6)
        self.clock.advance_ms(100)
        self.other.expire()
        self.assertEqual(self.list_other(), [])

    def test_starting_vm_gets_retained_entries(self):
        fresh = controllers.MirrorController(
            "servers", None, self.clock, lambda: None
        )
        self.step((0, fail()), (4_000, self.make_full_removal()))
        fresh.apply_snapshot(self.controller.make_snapshot(0, 0))
        self.assertEqual(len(fresh.list_objects()), 6)


class ReachedTest(ControllerTestCase):
    def test_unanswered_vm_does_not_report_the_store_as_reached(self):
        """A VM starts in an outage and the store has never answered it.

        If it reported the store as reachable, the other VMs would consider the
        outage a fault of their own connections.
        """
        started = controllers.MirrorController(
            "servers", self.store, self.clock, lambda: None
        )
        self.assertFalse(started.is_reached)
        self.assertTrue(self.controller.is_reached)


class ControllerLogTest(ControllerTestCase):
    def test_log_gives_the_cause_of_a_deferred_removal(self):
        """The log shows that a removal is deferred, and by which outage.

        An operator has to distinguish it from a missed removal, and an outage
        from a failure of one VM's connection.
        """
        self.outages.record_peer("a2", False, 0)
        self.step((0, fail("reset")))
        with self.assertLogs(kept_objects.LOG, "INFO") as logged:
            self.step((4_000, self.make_full_removal()))
        line = next(
            record
            for record in logged.records
            if record.getMessage() == "removed objects are kept for a while"
        )
        self.assertEqual(line.fields["cause"], "the store was away")
        self.assertEqual(line.fields["absence_ms"], 4_000)
        self.assertEqual(line.fields["failure"], "reset")
        self.assertEqual(line.fields["vms_heard"], 1)
        self.assertEqual(line.fields["vms_away"], 1)
        self.assertEqual(line.fields["revision"], 20)
        self.assertEqual(line.fields["count"], 6)

    def test_log_gives_the_delay_of_a_removal(self):
        self.step((0, fail()), (4_000, self.make_full_removal()))
        self.assertEqual(self.controller.kept.kept, 6)
        self.clock.advance_ms(2_500)
        with self.assertLogs(kept_objects.LOG, "INFO") as logged:
            self.controller.expire()
        line = logged.records[-1]
        self.assertEqual(line.getMessage(), "kept objects are given up")
        self.assertEqual(line.fields["kept_ms"], 2_500)
        self.assertEqual(line.fields["overdue_ms"], 400)
        self.assertEqual(self.controller.kept.expired, 6)
        self.assertEqual(self.controller.kept.delay_ms, 6 * 2_500)


class ServerListReader(mirrored_tables.Reader):
    """Builds tables that contain the given servers."""

    def read(self, configuration, servers, revision, evacuations=()):
        if not configuration:
            return None
        rows = [
            tables.Upstream(
                entry.name, "127.0.0.1:9", "a", tables.UpstreamRole.SERVICE
            )
            for entry in servers
        ]
        pool = tables.Pool("app", tables.PoolKind.PLAIN, tuple(rows))
        return tables.Tables(revision, (), (pool,), ())


class FirstTablesTest(unittest.TestCase):
    def setUp(self):
        self.source = mirrored_tables.MirroredTables(ServerListReader())
        self.source.configuration = self.make_controller("config")
        self.source.servers = self.make_controller("servers")

    def make_controller(self, kind):
        store = ScriptedStore(clock.ManualClock())
        store.answers = [(0, base.Listing([], at(1)))]
        return controllers.MirrorController(
            kind, store, store.clock, self.source.refresh
        )

    def take(self, controller, name):
        content = zlib.compress(json.dumps([[name, 5, {}]]).encode())
        with self.assertLogs(controllers.LOG, "INFO"):
            controller.apply_snapshot(ttypes.Mirror(5, content))

    def test_no_tables_before_both_copies_are_known(self):
        """A VM must not accept requests before it has the list of servers.

        It would reject its first requests.
        """
        self.take(self.source.configuration, "main")
        self.assertIsNone(self.source.get_tables())
        self.take(self.source.servers, "s1")
        active = self.source.get_tables()
        self.assertEqual(len(active.pools["app"].upstreams), 1)

    def test_tables_without_servers_where_the_store_has_none(self):
        self.source.servers.step()
        self.take(self.source.configuration, "main")
        self.assertIsNotNone(self.source.get_tables())


class StoreReachabilityTest(unittest.TestCase):
    def test_failure_without_peers_is_fleet_wide(self):
        self.assertTrue(
            store_reachability.StoreReachability().is_fleet_wide(0, 0)
        )

    def test_failure_is_local_if_one_peer_is_served(self):
        reachability = store_reachability.StoreReachability()
        reachability.record_peer("a2", False, 0)
        reachability.record_peer("a3", True, 0)
        self.assertFalse(reachability.is_fleet_wide(0, 100))
        reachability.record_peer("a3", False, 100)
        self.assertTrue(reachability.is_fleet_wide(0, 200))

    def test_earlier_outage_is_not_counted(self):
        """An earlier outage does not explain a VM's later failure.

        A fault of the VM's own connection would be treated as an outage.
        """
        reachability = store_reachability.StoreReachability()
        reachability.record_peer("a2", False, 0)
        reachability.record_peer("a2", True, 1_000)
        self.assertFalse(reachability.is_fleet_wide(1_100, 1_200))

    def test_few_watch_in_a_large_fleet(self):
        """Ninety VMs use a store with the rates for nine VMs.

        If all VMs watched, the number of calls would grow with the fleet.
        """
        vms = [f"a{n}" for n in range(90)]
        watchers = store_reachability.choose_watchers(vms)
        self.assertEqual(len(watchers), store_reachability.WATCHER_COUNT)
        other = next(vm for vm in vms if vm not in watchers)
        reachability = store_reachability.StoreReachability()
        reachability.record_peer(watchers[0], True, 0)
        self.assertFalse(reachability.must_poll(other, vms, 100))
        self.assertTrue(reachability.must_poll(watchers[0], vms, 100))

    def test_vm_without_watchers_polls_itself(self):
        """Every watcher is partitioned, dead or rejected by the store.

        The other VMs would never learn of a change.
        """
        vms = [f"a{n}" for n in range(90)]
        watchers = store_reachability.choose_watchers(vms)
        other = next(vm for vm in vms if vm not in watchers)
        reachability = store_reachability.StoreReachability()
        self.assertTrue(reachability.must_poll(other, vms, 0))
        reachability.record_peer(watchers[0], True, 0)
        self.assertTrue(
            reachability.must_poll(
                other, vms, store_reachability.PEER_REPORT_TTL_MS
            )
        )
        reachability.record_peer(watchers[0], False, 6_000)
        self.assertTrue(reachability.must_poll(other, vms, 6_100))
