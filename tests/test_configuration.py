"""Tests of segments, of the root watch and of the selection of watchers."""

import random
import threading
import unittest

from mulberryway import clock
from mulberryway import metrics
from mulberryway import tables
from mulberryway.admin import editor
from mulberryway.controllers import configuration_watch
from mulberryway.controllers import tables_in_force
from mulberryway.objects import call_metrics
from mulberryway.tables import changes
from mulberryway.tables import edits
from mulberryway.tables import parse
from mulberryway.tables import root as roots
from mulberryway.tables import segments
from tests import fakes
from tests import samples

ACCOUNTS = 2_200
GUARD_S = 20


def make_rows(accounts):
    rows = parse.encode_tables(samples.make_tables())
    rows["accounts"] |= {
        f"account-{number}": {
            "key_digests": [
                tables.digest_key(f"{number}-{key}") for key in range(2)
            ],
            "rate": 1000,
            "burst": 10_000,
        }
        for number in range(accounts)
    }
    return rows


class SegmentsTest(unittest.TestCase):
    def test_an_edit_changes_one_segment(self):
        """An edit changes one segment, also with 2,200 accounts.

        The whole tables would exceed a VM's byte budget for control and the
        platform's maximum object size.
        """
        original = parse.decode_tables(make_rows(ACCOUNTS), 1).ok
        split = segments.split_tables(original)
        sizes = [len(one.content) for one in split.segments.values()]
        self.assertLess(max(sizes), 30_000)
        self.assertGreater(sum(sizes), 400_000)
        edit = edits.Edit(
            "e", "op", (changes.RevokeKey("account-7", digest(7)),)
        )
        after = segments.split_tables(edit.apply(original).ok)
        changed = after.segments.keys() - split.segments.keys()
        self.assertEqual(len(changed), 1)
        root = roots.Root(2, after.shards, "0" * 32, ())
        self.assertLess(len(roots.encode_content(root.encode())), 5_000)

    def test_rows_round_trip(self):
        original = parse.decode_tables(make_rows(50), 1).ok
        split = segments.split_tables(original)
        cache = segments.SegmentCache()
        for one in split.segments.values():
            self.assertTrue(cache.add(one.digest, one.content))
        joined = cache.assemble_tables(roots.Root(1, split.shards, "", ()))
        self.assertEqual(
            parse.encode_tables(original), parse.encode_tables(joined)
        )

    def test_damaged_segment(self):
        """A segment arrives damaged.

        If it were installed, an account could get another one's keys.
        """
        segment = segments.make_segment({"routes": {}})
        cache = segments.SegmentCache()
        self.assertFalse(cache.add(segment.digest, segment.content + b" "))
        self.assertIsNone(cache.find(segment.digest))


def digest(number):
    return tables.digest_key(f"{number}-0")


class ReportTest(unittest.TestCase):
    def test_calls_by_purpose(self):
        """Calls to the platform are counted by purpose.

        The platform rejects calls above its rate limits, and an operator has
        to find out which purpose causes them.
        """
        counter = call_metrics.InMemoryCallCounter()
        instruments = metrics.Metrics("vm")
        self.addCleanup(instruments.stop)
        counter.register_metrics(instruments)
        counter.count_call("claims", "ok", 10, 20)
        counter.count_call("claims", "ok", 10, 20)
        points = instruments.read()["mulberryway.platform.calls"]
        self.assertEqual(
            points,
            [{"labels": {"purpose": "claims", "outcome": "ok"}, "value": 2}],
        )


class RecordingTarget:
    """Records what a watch reports, in place of the controller."""

    def __init__(self):
        self.active_tables = tables_in_force.ActiveTables(
            clock.SystemClock(), 60_000, 60_000
        )
        self.revisions = []
        self.installed = threading.Event()

    def is_watcher(self):
        return True

    def read_platform(self):
        return True

    def offer_value(self, value):
        self.revisions.append(value["revision"])
        return value["revision"]

    def wake(self):
        self.installed.set()


class WatchTest(unittest.TestCase):
    def make_edit(self, store, number):
        rows = make_rows(number)
        edit = edits.Edit(f"e{number}", "op", (changes.ReplaceAll(rows),))
        editor_ = editor.Editor(store, clock.SystemClock(), random.Random(1))
        self.assertTrue(editor_.submit(edit, GUARD_S * 1000).is_ok())

    def test_watch_is_reopened(self):
        """A watch ends in an outage and must be opened again.

        Without it, this VM would get edits only from other VMs.
        """
        store = fakes.MemoryStore()
        target = RecordingTarget()
        watch = configuration_watch.RootWatch(
            target, store, clock.SystemClock(), 1_000
        )
        watch.period_ms = 10
        self.make_edit(store, 1)
        watch.start()
        self.addCleanup(watch.stop)
        for number in (2, 3):
            self.assertTrue(target.installed.wait(GUARD_S))
            target.installed.clear()
            store.outage = True
            threading.Event().wait(0.2)
            store.outage = False
            self.make_edit(store, number)
        while target.revisions[-1] < 3:
            self.assertTrue(target.installed.wait(GUARD_S))
            target.installed.clear()
        self.assertEqual(target.revisions, sorted(target.revisions))

    def test_few_watch(self):
        """Only a few VMs of a region watch the platform.

        If every VM watched, 410 open calls would use a fifth of the
        platform's capacity.
        """
        names = [f"vm{number}" for number in range(200)]
        chosen = [
            name
            for name in names
            if configuration_watch.is_selected_watcher(
                name, set(names) - {name}, 3
            )
        ]
        self.assertEqual(len(chosen), 3)
        left = set(names) - {chosen[0]}
        after = [
            name
            for name in left
            if configuration_watch.is_selected_watcher(name, left - {name}, 3)
        ]
        self.assertEqual(len(set(after) & set(chosen)), 2)
