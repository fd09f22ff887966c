"""Tests of mirrors when the store returns from an older copy of itself."""

import unittest

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import mirror_exchange
from mulberryway.controllers import mirrors as controllers
from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.peers import gossip_messages
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.platform import tables as platform_tables
from mulberryway.policy import carried_objects
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirror_summary
from mulberryway.policy import mirrors
from mulberryway.policy import store_reachability
from mulberryway.policy import usage_messages

# A quarter of the time within which a change has to be in force.
MAX_PAUSES_MS = 500
MISSING_MS = 2_100
OUTDATED_MS = 5_100
SERVER_RULES = carried_objects.ReturnRules(
    platform_tables.read_server_generation,
    MISSING_MS,
    OUTDATED_MS,
    hides_removed=True,
)
CONFIGURATION_RULES = carried_objects.ReturnRules(
    platform_tables.read_configuration_generation, None, None
)


def at(era, revision):
    return position.Position(era, revision)


def make_server(name, revision, sequence=1, state="ready", era=1, born=5):
    value = {"sequence": sequence, "state": state, "born": born}
    return base.StoredObject("servers", name, revision, value, era)


def make_configuration(version, revision, era=1):
    return base.StoredObject(
        "config", "main", revision, {"version": version}, era
    )


def change(object_, deleted=False):
    kind = base.EventType.DELETED if deleted else base.EventType.MODIFIED
    return base.WatchEvent(kind, object_)


class MirrorTestCase(unittest.TestCase):
    def list_states(self):
        """Return the state of each server in use, by name."""
        return {
            entry.name: entry.value["state"]
            for entry in self.mirror.list_objects()
        }

    def list_versions(self):
        return [entry.value["version"] for entry in self.mirror.list_objects()]


class OrderTest(MirrorTestCase):
    def setUp(self):
        self.mirror = mirrors.Mirror("servers")
        self.mirror.replace([make_server("s0", 9)], at(1, 50), 0)

    def test_listing_of_a_newer_era_replaces_the_copy(self):
        """Guards against listings that are dropped for a lower revision."""
        rows = [make_server("s1", 8, era=2)]
        self.assertTrue(self.mirror.replace(rows, at(2, 20), 0))
        self.assertEqual(self.list_states(), {"s1": "ready"})
        self.assertEqual(self.mirror.position, at(2, 20))

    def test_listing_of_an_older_era_is_dropped(self):
        """Guards against a late response that brings the last era back."""
        self.mirror.replace([], at(2, 20), 0)
        rows = [make_server("s0", 60)]
        self.assertFalse(self.mirror.replace(rows, at(1, 99), 0))
        self.assertEqual(self.list_states(), {})

    def test_changes_of_another_era_are_dropped(self):
        """Guards against changes that are applied to another state."""
        for era in (0, 2):
            events = [change(make_server("s1", 60, era=era))]
            self.assertFalse(self.mirror.apply(events, at(era, 60), 0))
        self.assertEqual(self.list_states(), {"s0": "ready"})

    def test_snapshot_of_an_older_era_is_dropped(self):
        """Guards against a VM that hands the lost state round."""
        self.mirror.replace([], at(2, 20), 0)
        rows = [make_server("s0", 60)]
        self.assertFalse(self.mirror.replace_from_peer(rows, at(1, 99), 0))
        self.assertEqual(self.list_states(), {})

    def test_snapshot_of_a_newer_era_is_applied(self):
        """Guards against a VM that gets no changes of the new era."""
        rows = [make_server("s1", 8, era=2)]
        applied = self.mirror.replace_from_peer(rows, at(2, 8), 0)
        self.assertTrue(applied)
        self.assertEqual(self.list_states(), {"s1": "ready"})

    def test_copy_from_before_a_removal_is_dropped(self):
        """Guards against a server that is gone and comes back to a VM which
        has started since, with the copy of a VM that lags.
        """
        started = mirrors.Mirror("servers")
        started.replace([make_server("s1", 9)], at(1, 60), 0)
        rows = [make_server("s1", 9), make_server("s0", 51)]
        self.assertFalse(started.replace_from_peer(rows, at(1, 51), 0))
        self.assertEqual(len(started.list_objects()), 1)

    def test_vms_report_the_same_position_after_a_return(self):
        """Guards against VMs that all fetch each other's copies because they
        have listed the same objects at different revisions.
        """
        self.mirror.replace([make_server("s1", 8, era=2)], at(2, 20), 0)
        other = mirrors.Mirror("servers")
        other.replace([make_server("s0", 9)], at(1, 50), 0)
        other.replace([make_server("s1", 8, era=2)], at(2, 31), 0)
        self.assertEqual(self.mirror.changed, other.changed)

    def test_watch_after_a_snapshot_repeats_no_changes(self):
        """Guards against a watch that replays changes before the copy."""
        self.mirror.replace_from_peer([], at(2, 8), 0, complete=at(2, 20))
        self.assertEqual(self.mirror.position, at(2, 20))

    def test_unchanged_object_is_no_new_one(self):
        """Guards against an old report that counts anew from its reading."""
        self.mirror.replace([make_server("s0", 9, era=2)], at(2, 20), 0)
        (object_,) = self.mirror.list_objects()
        self.assertEqual(object_.position, at(2, 9))
        self.assertEqual(object_.content_position, at(1, 9))


class ConfigurationTest(MirrorTestCase):
    def setUp(self):
        self.mirror = mirrors.Mirror("config", rules=CONFIGURATION_RULES)
        self.mirror.replace([make_configuration(55, 49)], at(1, 50), 0)

    def return_from_copy(self, *rows, era=2):
        self.mirror.replace(rows, at(era, 20), 0)

    def write(self, version, revision, era=2):
        row = make_configuration(version, revision, era)
        self.mirror.apply([change(row)], at(era, revision), 0)

    def test_older_version_is_not_used(self):
        """Guards against a configuration that goes back."""
        self.return_from_copy(make_configuration(51, 18, era=2))
        self.assertEqual(self.list_versions(), [55])
        self.assertEqual(len(self.mirror.carried), 1)
        self.assertFalse(self.mirror.expire_carried(10**9))

    def test_version_is_used_until_it_is_written_again(self):
        """Guards against a version between the copy's and the one in force,
        and against one that is never replaced.
        """
        self.return_from_copy(make_configuration(51, 18, era=2))
        self.write(53, 21)
        self.assertEqual(self.list_versions(), [55])
        self.write(55, 22)
        self.assertEqual(len(self.mirror.carried), 0)
        self.write(59, 23)
        self.assertEqual(self.list_versions(), [59])

    def test_copy_without_a_configuration(self):
        """Guards against tables that are lost with the first version."""
        self.return_from_copy()
        self.assertEqual(self.list_versions(), [55])
        self.write(51, 21)
        self.assertEqual(self.list_versions(), [55])
        self.write(57, 22)
        self.assertEqual(self.list_versions(), [57])

    def test_two_returns(self):
        """Guards against a second return that ends what the first began."""
        self.return_from_copy(make_configuration(51, 18, era=2))
        self.return_from_copy(make_configuration(49, 17, era=3), era=3)
        self.assertEqual(self.list_versions(), [55])

    def test_malformed_version_replaces_nothing(self):
        """Guards against an object of another writer that ends a version."""
        self.return_from_copy(make_configuration(51, 18, era=2))
        self.write("x", 21)
        self.assertEqual(self.list_versions(), [55])

    def test_same_number_with_other_content_is_read(self):
        """Guards against a version that is not parsed because the last era
        had one with its revision.
        """
        reader = platform_tables.TablesReader()
        contents = [
            {"version": 1, "routes": [], "services": [], "tenants": tenants}
            for tenants in ((), ({"name": "t", "api_keys": ["k"]},))
        ]
        rows = [
            base.StoredObject("config", "main", 9, value, era)
            for era, value in enumerate(contents, 1)
        ]
        counts = [
            len(reader.read({"main": row}, (), 1).accounts) for row in rows
        ]
        self.assertEqual(counts, [0, 1])


class ServerTest(MirrorTestCase):
    def setUp(self):
        self.outages = store_reachability.StoreReachability()
        self.mirror = mirrors.Mirror(
            "servers",
            mass_expiry.MassExpiryDetector(
                mass_expiry.RegistrationLimits(), self.outages
            ),
            SERVER_RULES,
        )
        rows = [make_server(f"s{n}", n + 1) for n in range(4)]
        self.mirror.replace(rows, at(1, 50), 0)
        self.copy = [make_server(f"s{n}", n + 1, era=2) for n in range(4)]

    def write(self, row, deleted=False):
        self.mirror.apply([change(row, deleted)], at(row.era, row.version), 0)

    def test_leaving_server_stays_leaving(self):
        """Guards against a copy in which a leaving server is ready."""
        self.write(make_server("s0", 51, 2, "draining"))
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.assertEqual(self.list_states()["s0"], "draining")
        self.write(make_server("s0", 21, 3, "draining", era=2))
        self.assertEqual(len(self.mirror.carried), 0)
        self.assertEqual(self.list_states()["s0"], "draining")

    def test_copy_is_used_once_each_server_has_written(self):
        """Guards against a server that never gets requests again."""
        self.write(make_server("s0", 51, 2, "draining"))
        self.mirror.replace(self.copy, at(2, 20), 1_000)
        self.assertFalse(self.mirror.expire_carried(1_000 + OUTDATED_MS - 1))
        self.assertEqual(len(self.mirror.expire_carried(6_100)), 1)
        self.assertEqual(self.list_states()["s0"], "ready")

    def test_time_counts_from_the_end_of_an_outage(self):
        """Guards against a copy that is used although no server could write
        to the store.
        """
        self.write(make_server("s0", 51, 2, "draining"))
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.mirror.record_failure(4_000)
        self.assertFalse(self.mirror.expire_carried(OUTDATED_MS))
        self.assertTrue(self.mirror.expire_carried(4_000 + OUTDATED_MS))

    def test_removed_server_does_not_come_back(self):
        """Guards against requests to the address of a server that is gone."""
        self.write(make_server("s0", 51), deleted=True)
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.assertNotIn("s0", self.list_states())
        self.write(make_server("s0", 21, era=2), deleted=True)
        self.assertNotIn("s0", self.list_states())

    def test_removed_server_that_registers_again_is_used(self):
        """Guards against a server of which only an old state is hidden."""
        self.write(make_server("s0", 51), deleted=True)
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.write(make_server("s0", 21, 1, era=2, born=9))
        self.assertEqual(self.list_states()["s0"], "ready")

    def test_missing_server_is_kept_for_its_registration(self):
        """Guards against a single entry that the copy lacks and that looks
        like a server's leaving.
        """
        self.mirror.replace(self.copy[1:], at(2, 20), 1_000)
        self.assertIn("s0", self.list_states())
        self.assertFalse(self.mirror.expire(1_000 + MISSING_MS - 1))
        self.assertEqual(len(self.mirror.expire(1_000 + MISSING_MS)), 1)
        self.assertNotIn("s0", self.list_states())

    def test_copies_that_grow_older(self):
        """Guards against a server that is listed twice, or back in use, after
        a second return from an older copy.
        """
        self.write(make_server("s0", 51, 2, "draining"))
        self.write(make_server("s1", 52), deleted=True)
        self.mirror.replace(self.copy, at(2, 20), 0)
        older = [make_server("s1", 2, era=3), make_server("s3", 4, era=3)]
        self.mirror.replace(older, at(3, 10), 100)
        names = sorted(entry.name for entry in self.mirror.list_objects())
        self.assertEqual(names, ["s0", "s2", "s3"])
        self.assertEqual(self.list_states()["s0"], "draining")

    def test_removal_that_another_vm_missed(self):
        """Guards against a VM that learns of a return late, takes a removed
        server for a lost one and hands it to the others.
        """
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.write(make_server("s0", 21, 1, era=2), deleted=True)
        kept = mirrors.RetainedObject(self.copy[0], at(2, 30), 0, MISSING_MS)
        self.mirror.replace_from_peer(self.copy[1:], at(2, 30), 0, [kept])
        self.assertNotIn("s0", self.list_states())

    def test_restarted_server_replaces_its_predecessor(self):
        """Guards against a new incarnation, whose reports count anew, that
        is taken for older.
        """
        self.write(make_server("s0", 51, 70, "draining"))
        self.mirror.replace(self.copy, at(2, 20), 0)
        self.write(make_server("s0", 21, 1, era=2, born=9))
        self.assertEqual(self.list_states()["s0"], "ready")


class ScriptedStore:
    """A store with scripted answers."""

    def __init__(self):
        self.answers = []
        self.calls = []

    def read_listing(self, kind, purpose):
        return self._answer("list")

    def poll_changes(self, kind, revision, wait_ms, purpose):
        return self._answer(revision)

    def _answer(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, errors.Fault):
            return expression.Error(answer)
        return expression.Ok(answer)


class DirectPeers:
    """Calls the mirrors of another VM directly.

    :param handler: serves them
    """

    def __init__(self, handler):
        self.handler = handler
        self.calls = 0

    def call(self, peer, client_class, method, *arguments, **options):
        self.calls += 1
        return expression.Ok(self.handler.read(*arguments))


class ControllerTest(unittest.TestCase):
    """Two VMs that mirror the configuration."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.store = ScriptedStore()
        self.controller = self.make_controller()
        self.step(base.Listing([make_configuration(55, 49)], at(1, 50)))

    def make_controller(self, store=None):
        return controllers.MirrorController(
            "config",
            store or self.store,
            self.clock,
            lambda: None,
            rules=CONFIGURATION_RULES,
        )

    def step(self, *answers):
        self.store.answers += answers
        for _ in answers:
            self.controller.step()

    def list_versions(self, controller=None):
        controller = controller or self.controller
        return [entry.value["version"] for entry in controller.list_objects()]

    def return_from_copy(self):
        copy = [make_configuration(51, 18, era=2)]
        with self.assertLogs(controllers.LOG, "WARNING"):
            self.step(
                errors.Fault(errors.Code.HISTORY_GONE, errors.Step.PLATFORM),
                base.Listing(copy, at(2, 20)),
            )

    def exchange(self, controller, summary):
        """Let another VM hear of this VM's mirror; return its peers."""
        peers = DirectPeers(
            controllers.MirrorHandler({"config": self.controller})
        )
        exchange = mirror_exchange.MirrorSyncController(
            {"config": controller}, peers, self.clock, list
        )
        for _ in range(3):
            exchange.record_peer_mirrors("a1:1", {"config": summary})
            exchange.step()
        return peers

    def test_watch_of_another_era_is_followed_by_a_listing(self):
        """Guards against a watch that goes on after the counter has passed
        the known revision.
        """
        row = make_configuration(51, 60, era=2)
        self.step(
            base.ChangeBatch([change(row)], at(2, 60)),
            base.Listing([row], at(2, 60)),
        )
        self.assertEqual(self.store.calls, ["list", 50, "list"])
        self.assertEqual(self.list_versions(), [55])
        self.assertEqual(self.controller.changed, at(2, 60))

    def test_listings_in_vain_are_followed_by_longer_pauses(self):
        """Guards against calls without a pause to a store whose history is
        gone and whose listings bring nothing new.
        """
        gone = errors.Fault(errors.Code.HISTORY_GONE, errors.Step.PLATFORM)
        old = base.Listing([make_configuration(55, 49)], at(1, 50))
        pauses = []
        for _ in range(8):
            self.step(gone)
            pauses.append(self.controller.period_ms)
            self.step(old)
        self.assertEqual(pauses[0], controllers.NO_PAUSE_MS)
        self.assertGreater(min(pauses[1:]), 50)
        self.assertGreater(pauses[-1], 500)

    def test_cut_watch_after_a_peer_was_faster(self):
        """Guards against pauses of seconds before the next listing, because
        the last one brought only what another VM had already sent.
        """
        self.return_from_copy()
        newer = self.controller.make_snapshot(0, 0)
        behind = self.controller = self.make_controller()
        away = errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE, errors.Step.PLATFORM
        )
        gone = errors.Fault(errors.Code.HISTORY_GONE, errors.Step.PLATFORM)
        self.step(base.Listing([make_configuration(55, 49)], at(1, 50)))
        self.step(*[away] * 6)
        behind.apply_snapshot(newer)
        copy = [make_configuration(51, 18, era=2)]
        self.step(gone, base.Listing(copy, at(2, 20)))
        pauses = []
        for answer in (away, gone):
            self.step(answer)
            pauses.append(behind.period_ms)
        self.assertLess(sum(pauses), MAX_PAUSES_MS)

    def test_version_written_again_before_the_listing(self):
        """Guards against a copy for other VMs whose objects have revisions of
        the last era, so that they drop what is written next.
        """
        again = make_configuration(55, 21, era=2)
        self.controller._needs_listing = True
        self.step(base.Listing([again], at(2, 21)))
        other = self.make_controller()
        other.apply_snapshot(self.controller.make_snapshot(0, 0))
        self.controller = other
        self.step(
            base.Listing([again], at(2, 22)),
            base.ChangeBatch(
                [change(make_configuration(59, 30, era=2))], at(2, 30)
            ),
        )
        self.assertEqual(self.list_versions(), [59])

    def test_other_vm_learns_of_the_return(self):
        """Guards against a VM without the store that waits for revisions
        above those of the last era.
        """
        other = self.make_controller(ScriptedStore())
        other.apply_snapshot(self.controller.make_snapshot(0, 0))
        self.return_from_copy()
        self.step(
            base.ChangeBatch(
                [change(make_configuration(59, 21, era=2))], at(2, 21)
            )
        )
        self.exchange(other, self.controller.summary)
        self.assertEqual(other.changed, at(2, 21))
        self.assertEqual(self.list_versions(other), [59])

    def test_vm_that_starts_after_the_return_uses_the_version_in_force(self):
        """Guards against a VM that has only the store's older copy."""
        self.return_from_copy()
        store = ScriptedStore()
        copy = [make_configuration(51, 18, era=2)]
        store.answers = [base.Listing(copy, at(2, 30))]
        started = self.make_controller(store)
        started.step()
        self.assertEqual(self.list_versions(started), [51])
        peers = self.exchange(started, self.controller.summary)
        self.assertEqual(self.list_versions(started), [55])
        self.assertEqual(peers.calls, 1)

    def test_snapshot_of_an_empty_copy(self):
        """Guards against a snapshot of the last era with the new position."""
        before = self.controller.make_snapshot(0, 0).content
        with self.assertLogs(controllers.LOG, "WARNING"):
            self.step(
                errors.Fault(errors.Code.HISTORY_GONE, errors.Step.PLATFORM),
                base.Listing([], at(2, 20)),
            )
        snapshot = self.controller.make_snapshot(0, 0)
        self.assertEqual(snapshot.era, 2)
        self.assertNotEqual(snapshot.content, before)
        self.assertEqual(self.list_versions(), [55])

    def test_digest_that_cannot_be_merged_is_fetched_once(self):
        """Guards against a fetch for each datagram of another VM."""
        self.return_from_copy()
        started = self.make_controller(ScriptedStore())
        started.apply_snapshot(self.controller.make_snapshot(0, 0))
        summary = mirror_summary.MirrorSummary(self.controller.changed, 99)
        self.assertEqual(self.exchange(started, summary).calls, 1)

    def test_vm_without_eras_overrules_nobody(self):
        """Guards against a VM of the last version that is far ahead in the
        last era.
        """
        self.return_from_copy()
        rows = mirrors.Mirror("config")
        rows.replace([make_configuration(57, 90)], at(0, 90), 0)
        old = controllers.MirrorController(
            "config", None, self.clock, lambda: None
        )
        old.apply_snapshot(
            ttypes.Mirror(90, self.controller.make_snapshot(0, 0).content)
        )
        self.assertFalse(self.exchange(self.controller, old.summary).calls)
        self.assertEqual(self.list_versions(), [55])

    def test_vm_without_eras_is_answered_as_before(self):
        """Guards against a VM of the last version that gets no snapshots."""
        handler = controllers.MirrorHandler({"config": self.controller})
        self.assertTrue(handler.read("config", 48).content)
        self.assertFalse(handler.read("config", 49).content)


class MessageTest(unittest.TestCase):
    def read(self, summary):
        usage = usage_messages.Usage("a1", 1, 1, [], {"config": summary}, 0)
        payload = gossip_messages.encode_usage(usage)
        return gossip_messages.decode_datagram(payload).usage.mirrors["config"]

    def test_summary_is_sent_whole(self):
        """Guards against eras that other VMs do not get."""
        summary = mirror_summary.MirrorSummary(at(2, 7), 41)
        self.assertEqual(self.read(summary), summary)
        summary = mirror_summary.MirrorSummary(at(0, 7))
        self.assertEqual(self.read(summary), summary)
