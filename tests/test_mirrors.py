"""Copies of the store's objects: order, outages, and help between VMs."""

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
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors
from mulberryway.policy import store_reachability
from tests import processes


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
        self.mirror.replace(rows, 10, 0)

    def names(self):
        return sorted(one.name for one in self.mirror.list_objects())

    def lapse(self, count, now_ms, revision=11):
        """Take in that the first entries are gone."""
        events = [change(f"s{n}", n, True) for n in range(1, count + 1)]
        self.mirror.apply(events, revision, now_ms)

    def test_older_copy_changes_nothing(self):
        """A slow answer of the store comes after a newer copy from another
        VM.  Taken over, it would bring a server back that has left.
        """
        self.mirror.replace_from_peer(
            [make(f"s{n}", n) for n in range(2, 7)], 12, 0
        )
        rows = [make(f"s{n}", n) for n in range(1, 7)]
        self.assertFalse(self.mirror.replace(rows, 11, 0))
        self.assertNotIn("s1", self.names())

    def test_adopts_only_what_is_newer(self):
        self.assertFalse(
            self.mirror.replace_from_peer([], self.mirror.changed_revision, 0)
        )
        rows = [make(f"s{n}", n) for n in range(2, 10)]
        self.assertTrue(self.mirror.replace_from_peer(rows, 20, 0))
        self.assertEqual(self.names(), [f"s{n}" for n in range(2, 10)])

    def test_changes_of_other_kinds_are_no_news(self):
        """The store's revision grows with every write of any kind.  Told to
        other VMs, it would make them fetch a copy that has not changed.
        """
        before = self.mirror.changed_revision
        self.assertFalse(self.mirror.apply([], 40, 0))
        self.assertEqual(self.mirror.changed_revision, before)
        self.assertEqual(self.mirror.revision, 40)

    def test_removal_that_only_a_listing_shows_is_told(self):
        """Guards against a server that left while the store lost its history:
        VMs that do not watch would never hear of it.
        """
        before = self.mirror.changed_revision
        rows = [make(f"s{n}", n) for n in range(2, 7)]
        self.mirror.replace(rows, 12, 0)
        self.assertGreater(self.mirror.changed_revision, before)
        other = mirrors.Mirror("servers")
        other.replace_from_peer(
            [make(f"s{n}", n) for n in range(1, 7)], before, 0
        )
        taken = other.replace_from_peer(
            self.mirror.list_objects(), self.mirror.changed_revision, 0
        )
        self.assertTrue(taken)
        self.assertNotIn("s1", {one.name for one in other.list_objects()})

    def test_listing_without_a_removal_is_no_news(self):
        before = self.mirror.changed_revision
        self.mirror.replace([make(f"s{n}", n) for n in range(1, 7)], 12, 0)
        self.assertEqual(self.mirror.changed_revision, before)

    def test_removal_counts_at_once(self):
        self.mirror.apply([change("s1", 1, True)], 11, 0)
        self.assertNotIn("s1", self.names())

    def test_entries_that_lapsed_in_an_outage_count_for_a_while(self):
        """The store was away for all, and servers could not renew their
        entries.  Taken for gone at once, none would be left to use.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.lapse(6, 5_000)
        self.assertEqual(len(self.names()), 6)
        self.assertFalse(self.mirror.expire(6_000))
        self.assertEqual(len(self.mirror.expire(7_200)), 6)
        self.assertEqual(self.names(), [])

    def test_entries_that_lapse_one_by_one_count_for_a_while(self):
        """Guards against a store that drops lapsed entries in several steps:
        the first few look like servers that leave.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        for number in range(1, 7):
            event = change(f"s{number}", number, True)
            self.mirror.apply([event], 10 + number, 5_000 + number)
        self.assertEqual(len(self.names()), 6)

    def test_entry_that_came_back_early_counts_once(self):
        """Guards against a server that stands twice in the tables: its entry
        was removed and came back before the others lapsed.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.lapse(1, 5_000)
        self.mirror.apply([change("s1", 12)], 12, 5_100)
        later = [change(f"s{n}", n, True) for n in range(2, 7)]
        self.mirror.apply(later, 13, 5_200)
        self.assertEqual(self.names(), [f"s{n}" for n in range(1, 7)])

    def test_entry_that_came_back_stays(self):
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.lapse(6, 5_000)
        self.mirror.apply([change("s1", 12)], 12, 6_000)
        self.mirror.expire(7_200)
        self.assertEqual(self.names(), ["s1"])

    def test_entries_that_are_back_already_tell_of_the_lapse(self):
        """Guards against a VM that reaches the store late: most entries are
        back by then, and the few that are missing look like servers that
        left.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        events = [change(f"s{n}", n, True) for n in range(1, 7)]
        back = [change(f"s{n}", 10 + n) for n in range(3, 7)]
        self.mirror.apply([*events, *back], 17, 5_000)
        self.assertEqual(len(self.names()), 6)

    def test_removal_counts_where_only_this_vm_was_turned_away(self):
        """The store turned this VM away and served the others.  A server
        that left meanwhile has left; kept, it would get requests later than
        its operators allow.
        """
        self.outages.note_peer("a2", True, 4_000)
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.lapse(6, 5_000)
        self.assertEqual(self.names(), [])

    def test_removal_counts_after_an_absence_too_short_for_a_lapse(self):
        self.mirror.record_failure(1_000)
        self.mirror.record_response(2_900)
        self.lapse(6, 2_900)
        self.assertEqual(self.names(), [])

    def test_copy_of_a_vm_without_kept_entries_takes_none_away(self):
        """Guards against a VM that was started in the outage: its copy holds
        only the entries that are back.
        """
        self.mirror.record_failure(1_000)
        self.mirror.replace_from_peer([make("s1", 21)], 21, 5_000)
        self.assertEqual(len(self.names()), 6)

    def test_removal_long_ago_does_not_come_back_with_a_lapse(self):
        """Guards against servers that left early in an outage's wake and are
        brought back by a later lapse.
        """
        self.mirror.record_failure(1_000)
        self.mirror.record_response(5_000)
        self.lapse(1, 5_000)
        later = [change(f"s{n}", n, True) for n in range(2, 7)]
        self.mirror.apply(later, 12, 60_000)
        self.assertEqual(self.names(), ["s2", "s3", "s4", "s5", "s6"])

    def test_many_at_once_have_lapsed(self):
        """An outage was too short to be noticed, and yet most entries go at
        once.  Servers that leave do so one after another.
        """
        self.lapse(4, 5_000)
        self.assertEqual(len(self.names()), 6)
        self.mirror.expire(8_000)
        self.assertEqual(self.names(), ["s5", "s6"])

    def test_many_at_once_are_given_up_before_servers_that_left_end(self):
        """Guards against calls to servers that have left, where half of all
        leave at once.
        """
        self.lapse(4, 5_000)
        self.mirror.expire(5_000 + 1_500)
        self.assertEqual(self.names(), ["s5", "s6"])


class UnavailableStore:
    """A store that refuses every call."""

    def read_listing(self, kind, purpose):
        return expression.Error(
            errors.Fault(errors.Code.PLATFORM_UNAVAILABLE, errors.Step.PEER)
        )


class FailingPeers:
    """Answers for other VMs; the first calls fail.

    :param failures: how many
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
        self.keeper = controllers.MirrorController(
            "config", None, clock.ManualClock(), lambda: self.changes.append(1)
        )
        self.peers = FailingPeers(failures)
        return mirror_exchange.MirrorSyncController(
            {"config": self.keeper}, self.peers, clock.ManualClock(), list
        )

    def test_a_copy_that_could_not_be_read_is_asked_for_again(self):
        """Guards against a VM without tables because one call failed."""
        exchange = self.make(failures=2)
        exchange.record_peer_revisions("a2:1", {"config": 7})
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            for _ in range(3):
                exchange.step()
        self.assertEqual(self.keeper.revision, 7)
        self.assertEqual(self.changes, [1])
        exchange.step()
        self.assertEqual(len(self.peers.called), 3)

    def test_a_second_vm_is_asked_where_the_first_does_not_answer(self):
        """Guards against asking a VM that has gone again and again."""
        exchange = self.make(failures=1)
        exchange.record_peer_revisions("a2:1", {"config": 7})
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            exchange.step()
        exchange.record_peer_revisions("a3:1", {"config": 7})
        exchange.step()
        self.assertEqual(self.peers.called, ["a2:1", "a3:1"])
        self.assertEqual(self.keeper.revision, 7)


class FirstCopyTest(unittest.TestCase):
    """A VM that the store has not answered yet, and that hears nobody."""

    def make(self, failures=0, addresses=("a2:1", "a3:1")):
        self.keeper = controllers.MirrorController(
            "config", UnavailableStore(), clock.ManualClock(), lambda: None
        )
        self.peers = FailingPeers(failures)
        return mirror_exchange.MirrorSyncController(
            {"config": self.keeper},
            self.peers,
            clock.ManualClock(),
            lambda: addresses,
        )

    def fail(self):
        """Let the keeper ask the store once."""
        with self.assertLogs(controllers.LOG, "WARNING"):
            self.keeper.step()

    def test_asks_another_vm_although_none_was_heard(self):
        """Guards against a VM that begins in an outage, and refuses callers
        for as long as other VMs' datagrams do not reach it.
        """
        exchange = self.make()
        self.fail()
        exchange.step()
        self.assertEqual(self.keeper.revision, 7)

    def test_asks_one_vm_after_the_other(self):
        """Guards against asking a VM that has gone again and again."""
        exchange = self.make(failures=1)
        self.fail()
        with self.assertLogs(mirror_exchange.LOG, "INFO"):
            exchange.step()
        exchange.step()
        self.assertEqual(sorted(self.peers.called), ["a2:1", "a3:1"])
        self.assertEqual(self.keeper.revision, 7)

    def test_asks_nobody_while_the_store_has_not_failed(self):
        """Guards against a fleet's start that asks for all copies twice."""
        exchange = self.make()
        exchange.step()
        self.assertEqual(self.peers.called, [])

    def test_asks_nobody_once_it_has_a_copy(self):
        """Guards against calls between VMs for as long as an outage lasts."""
        exchange = self.make()
        self.fail()
        exchange.step()
        exchange.step()
        self.assertEqual(len(self.peers.called), 1)

    def test_alone_it_goes_on(self):
        exchange = self.make(addresses=())
        self.fail()
        exchange.step()
        self.assertEqual(self.keeper.revision, 0)


class PackTest(unittest.TestCase):
    def setUp(self):
        self.keeper = controllers.MirrorController(
            "servers", None, clock.ManualClock(), lambda: None
        )
        self.take([["s1", 5, {}], ["s2", 7, {}]], 7)

    def take(self, rows, revision):
        content = zlib.compress(json.dumps(rows).encode())
        with self.assertLogs(controllers.LOG, "INFO"):
            self.keeper.apply_snapshot(revision, content)

    def test_a_copy_is_packed_once_for_all_vms(self):
        """Guards against processor time that grows with the fleet."""
        first = self.keeper.make_snapshot(0)
        self.assertIs(self.keeper.make_snapshot(3)[1], first[1])
        self.assertEqual(self.keeper.make_snapshot(7), (7, b""))

    def test_a_changed_copy_is_packed_anew(self):
        """Guards against telling of servers that have left."""
        before = self.keeper.make_snapshot(0)
        self.take([["s2", 7, {}]], 9)
        revision, content = self.keeper.make_snapshot(0)
        self.assertEqual(revision, 9)
        self.assertNotEqual(content, before[1])
        rows = json.loads(zlib.decompress(content))
        self.assertEqual([row[0] for row in rows], ["s2"])


class ScriptedStore:
    """A store that answers by a list, each answer after a time.

    :param clock_: the clock that an answer moves on
    """

    def __init__(self, clock_):
        self.clock = clock_
        self.answers = []

    def read_listing(self, kind, purpose):
        return self._answer()

    def poll(self, kind, revision, wait_ms, purpose):
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


class KeeperCase(unittest.TestCase):
    """A keeper of six servers' entries that has listed them."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.store = ScriptedStore(self.clock)
        self.outages = store_reachability.StoreReachability()
        self.keeper = controllers.MirrorController(
            "servers",
            self.store,
            self.clock,
            lambda: None,
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(), self.outages
            ),
        )
        rows = [make(f"s{n}", n) for n in range(1, 7)]
        self.step((0, base.Listing(rows, 10)))

    def step(self, *answers):
        self.store.answers += answers
        for _ in answers:
            self.keeper.step()

    def names(self):
        return sorted(one.name for one in self.keeper.list_objects())

    def lapse_all(self, revision=20):
        """Return the answer that tells that all entries have lapsed."""
        events = [change(f"s{n}", n, True) for n in range(1, 7)]
        return base.ChangeBatch(events, revision)


class LateRemovalTest(KeeperCase):
    """Guards against requests for servers that have left, after the store
    has refused all VMs for a moment or a watch was cut.
    """

    def leave(self, name, revision):
        number = int(name[1:])
        return base.ChangeBatch([change(name, number, True)], revision)

    def test_refusals_of_all_vms_put_no_removal_off(self):
        self.outages.note_peer("a2", False, 0)
        self.step(
            (0, fail()),
            (1_200, base.ChangeBatch([], 11)),
            (700, self.leave("s1", 12)),
        )
        self.assertNotIn("s1", self.names())

    def test_cut_watch_after_an_outage_puts_no_removal_off(self):
        self.outages.note_peer("a2", False, 0)
        self.step(
            (0, fail()),
            (3_000, base.ChangeBatch([], 11)),
            (2_000, fail("reset")),
            (10, base.ChangeBatch([], 12)),
            (700, self.leave("s1", 13)),
        )
        self.assertNotIn("s1", self.names())

    def test_one_that_left_while_all_vms_were_refused_counts_at_once(self):
        """A store that refuses VMs for long still hears its servers: one
        entry of six is missing, and no outage lets a single one lapse.
        """
        self.outages.note_peer("a2", False, 0)
        self.step((0, fail()), (6_000, self.leave("s1", 12)))
        self.assertNotIn("s1", self.names())


class BlockedStore:
    """Tells of one batch of changes; later watches wait in vain.

    :param rows: what a listing tells
    :param events: the changes
    """

    def __init__(self, rows, events):
        self.rows = rows
        self.events = events
        self.is_told = False
        self.end = threading.Event()

    def read_listing(self, kind, purpose):
        return expression.Ok(base.Listing(self.rows, 10))

    def poll(self, kind, revision, wait_ms, purpose):
        if self.is_told:
            self.end.wait(wait_ms / 1_000)
            return expression.Ok(base.ChangeBatch([], revision))
        self.is_told = True
        return expression.Ok(base.ChangeBatch(self.events, 20))


class ExpiryTest(unittest.TestCase):
    def test_kept_entry_ends_on_time_while_a_watch_waits(self):
        """Guards against removals that take effect only when a call to the
        store ends.
        """
        store = BlockedStore(
            [make(f"s{n}", n) for n in range(1, 7)],
            [change(f"s{n}", n, True) for n in range(1, 7)],
        )
        keeper = controllers.MirrorController(
            "servers",
            store,
            clock.SystemClock(),
            lambda: None,
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(),
                store_reachability.StoreReachability(),
            ),
        )
        keeper.start()
        try:
            told = processes.wait_until(lambda: store.is_told, 5)
            self.assertTrue(told)
            self.assertTrue(keeper.list_objects())
            gone = processes.wait_until(
                lambda: not keeper.list_objects(),
                mass_expiry.REREGISTRATION_MS / 1e3 + 0.2,
            )
            self.assertTrue(gone)
        finally:
            store.end.set()
            keeper.stop()


class CopiedLapseTest(KeeperCase):
    """Guards against kept entries that other VMs take for present ones."""

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
        self.copy()

    def copy(self):
        """Let the other VM take over this VM's copy if it is newer."""
        revision, content = self.keeper.make_snapshot(self.other.revision)
        if content:
            self.other.apply_snapshot(revision, content)

    def list_other(self):
        return sorted(one.name for one in self.other.list_objects())

    def test_kept_entry_of_a_copy_is_given_up(self):
        self.step((0, fail()), (4_000, self.lapse_all()))
        self.copy()
        self.assertEqual(len(self.list_other()), 6)
        self.clock.advance_ms(mass_expiry.REREGISTRATION_MS)
        self.other.expire()
        self.assertEqual(self.list_other(), [])

    def test_a_copy_keeps_entries_no_longer_than_its_vm(self):
        self.step((0, fail()), (4_000, self.lapse_all()))
        self.clock.advance_ms(mass_expiry.REREGISTRATION_MS - 100)
        self.copy()
        self.assertEqual(len(self.list_other()), 6)
        self.clock.advance_ms(100)
        self.other.expire()
        self.assertEqual(self.list_other(), [])

    def test_a_vm_that_has_just_started_gets_kept_entries(self):
        fresh = controllers.MirrorController(
            "servers", None, self.clock, lambda: None
        )
        self.step((0, fail()), (4_000, self.lapse_all()))
        revision, content = self.keeper.make_snapshot(0)
        fresh.apply_snapshot(revision, content)
        self.assertEqual(len(fresh.list_objects()), 6)


class ReachedTest(KeeperCase):
    def test_a_vm_that_was_never_answered_does_not_claim_the_store(self):
        """Guards against VMs that start in an outage and make all others take
        it for trouble of their own.
        """
        started = controllers.MirrorController(
            "servers", self.store, self.clock, lambda: None
        )
        self.assertFalse(started.is_reached)
        self.assertTrue(self.keeper.is_reached)


class KeeperLogTest(KeeperCase):
    def test_a_removal_that_is_put_off_tells_why(self):
        """Guards against logs that cannot tell a kept entry from a removal
        that was not noticed, nor an outage from a VM's own trouble.
        """
        self.outages.note_peer("a2", False, 0)
        self.step((0, fail("reset")))
        with self.assertLogs(kept_objects.LOG, "INFO") as logged:
            self.step((4_000, self.lapse_all()))
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

    def test_the_end_of_a_delay_tells_how_long_it_was(self):
        self.step((0, fail()), (4_000, self.lapse_all()))
        self.assertEqual(self.keeper.kept.kept, 6)
        self.clock.advance_ms(2_500)
        with self.assertLogs(kept_objects.LOG, "INFO") as logged:
            self.keeper.expire()
        line = logged.records[-1]
        self.assertEqual(line.getMessage(), "kept objects are given up")
        self.assertEqual(line.fields["kept_ms"], 2_500)
        self.assertEqual(line.fields["overdue_ms"], 400)
        self.assertEqual(self.keeper.kept.expired, 6)
        self.assertEqual(self.keeper.kept.delay_ms, 6 * 2_500)


class CopyReader(mirrored_tables.Reader):
    """Makes tables that name the servers they were made from."""

    def read(self, configuration, servers, revision):
        if not configuration:
            return None
        rows = [
            tables.Upstream(
                one.name, "127.0.0.1:9", "a", tables.UpstreamRole.SERVICE
            )
            for one in servers
        ]
        pool = tables.Pool("app", tables.PoolKind.PLAIN, tuple(rows))
        return tables.Tables(revision, (), (pool,), ())


class FirstTablesTest(unittest.TestCase):
    def setUp(self):
        self.source = mirrored_tables.MirroredTables(CopyReader())
        self.source.configuration = self.make_keeper("config")
        self.source.servers = self.make_keeper("servers")

    def make_keeper(self, kind):
        store = ScriptedStore(clock.ManualClock())
        store.answers = [(0, base.Listing([], 1))]
        return controllers.MirrorController(
            kind, store, store.clock, self.source.refresh
        )

    def take(self, keeper, name):
        content = zlib.compress(json.dumps([[name, 5, {}]]).encode())
        with self.assertLogs(controllers.LOG, "INFO"):
            keeper.apply_snapshot(5, content)

    def test_no_tables_before_both_copies_are_known(self):
        """Guards against a VM that takes callers before it knows any server:
        its first requests are refused.
        """
        self.take(self.source.configuration, "main")
        self.assertIsNone(self.source.read_tables())
        self.take(self.source.servers, "s1")
        found = self.source.read_tables()
        self.assertEqual(len(found.pools["app"].upstreams), 1)

    def test_tables_without_servers_where_the_store_has_none(self):
        self.source.servers.step()
        self.take(self.source.configuration, "main")
        self.assertIsNotNone(self.source.read_tables())


class OutagesTest(unittest.TestCase):
    def test_alone_it_is_shared(self):
        self.assertTrue(
            store_reachability.StoreReachability().is_fleet_wide(0, 0)
        )

    def test_one_vm_that_is_served_tells(self):
        found = store_reachability.StoreReachability()
        found.note_peer("a2", False, 0)
        found.note_peer("a3", True, 0)
        self.assertFalse(found.is_fleet_wide(0, 100))
        found.note_peer("a3", False, 100)
        self.assertTrue(found.is_fleet_wide(0, 200))

    def test_earlier_absence_says_nothing_of_this_one(self):
        """Guards against a VM's own trouble that is taken for an outage
        because all had missed the store shortly before.
        """
        found = store_reachability.StoreReachability()
        found.note_peer("a2", False, 0)
        found.note_peer("a2", True, 1_000)
        self.assertFalse(found.is_fleet_wide(1_100, 1_200))

    def test_few_watch_in_a_large_fleet(self):
        """Ninety VMs before a store whose rates are those of nine.  Were all
        to watch, calls would grow with the fleet.
        """
        vms = [f"a{n}" for n in range(90)]
        watchers = store_reachability.choose_watchers(vms)
        self.assertEqual(len(watchers), store_reachability.WATCHER_COUNT)
        other = next(vm for vm in vms if vm not in watchers)
        found = store_reachability.StoreReachability()
        found.note_peer(watchers[0], True, 0)
        self.assertFalse(found.must_poll(other, vms, 100))
        self.assertTrue(found.must_poll(watchers[0], vms, 100))

    def test_vm_that_hears_no_watcher_asks_itself(self):
        """Every watcher is cut off, dead, or turned away by the store.  The
        others would never hear of a change again.
        """
        vms = [f"a{n}" for n in range(90)]
        watchers = store_reachability.choose_watchers(vms)
        other = next(vm for vm in vms if vm not in watchers)
        found = store_reachability.StoreReachability()
        self.assertTrue(found.must_poll(other, vms, 0))
        found.note_peer(watchers[0], True, 0)
        self.assertTrue(
            found.must_poll(other, vms, store_reachability.PEER_REPORT_TTL_MS)
        )
        found.note_peer(watchers[0], False, 6_000)
        self.assertTrue(found.must_poll(other, vms, 6_100))
