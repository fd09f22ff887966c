"""Segments at the target's size, the watch, and the choice of watchers."""

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
    def test_an_edit_moves_little(self):
        """Were the tables sent whole with each edit, 2,200 accounts would
        take more bytes than a VM may spend for control, and a value more
        than the platform holds.
        """
        made = parse.decode_tables(make_rows(ACCOUNTS), 1).ok
        split = segments.split_tables(made)
        sizes = [len(one.content) for one in split.segments.values()]
        self.assertLess(max(sizes), 30_000)
        self.assertGreater(sum(sizes), 400_000)
        edit = edits.Edit(
            "e", "op", (changes.RevokeKey("account-7", digest(7)),)
        )
        after = segments.split_tables(edit.apply(made).ok)
        moved = after.segments.keys() - split.segments.keys()
        self.assertEqual(len(moved), 1)
        root = roots.Root(2, after.shards, "0" * 32, ())
        self.assertLess(len(roots.encode_content(root.encode())), 5_000)

    def test_rows_survive(self):
        made = parse.decode_tables(make_rows(50), 1).ok
        split = segments.split_tables(made)
        cache = segments.SegmentCache()
        for one in split.segments.values():
            self.assertTrue(cache.add(one.digest, one.content))
        joined = cache.join(roots.Root(1, split.shards, "", ()))
        self.assertEqual(
            parse.encode_tables(made), parse.encode_tables(joined)
        )

    def test_damaged_segment(self):
        """A segment arrives damaged.  Taken over, it would give an account
        another one's keys.
        """
        segment = segments.make_segment({"routes": {}})
        cache = segments.SegmentCache()
        self.assertFalse(cache.add(segment.digest, segment.content + b" "))
        self.assertIsNone(cache.find(segment.digest))


def digest(number):
    return tables.digest_key(f"{number}-0")


class ReportTest(unittest.TestCase):
    def test_calls_by_purpose(self):
        """The platform refuses calls over its rates, and an operator has to
        find out what they were made for.
        """
        kept = call_metrics.InMemoryCallCounter()
        instruments = metrics.Metrics("vm")
        self.addCleanup(instruments.stop)
        kept.report(instruments)
        kept.count_call("claims", "ok", 10, 20)
        kept.count_call("claims", "ok", 10, 20)
        points = instruments.read()["mulberryway.platform.calls"]
        self.assertEqual(
            points,
            [{"labels": {"purpose": "claims", "outcome": "ok"}, "value": 2}],
        )


class Target:
    """What a watch reports to, as the configuration controller is."""

    def __init__(self):
        self.active_tables = tables_in_force.ActiveTables(
            clock.SystemClock(), 60_000, 60_000
        )
        self.revisions = []
        self.taken = threading.Event()

    def is_watcher(self):
        return True

    def read_platform(self):
        return True

    def offer_value(self, value):
        self.revisions.append(value["revision"])
        return value["revision"]

    def wake(self):
        self.taken.set()


class WatchTest(unittest.TestCase):
    def make_edit(self, store, number):
        rows = make_rows(number)
        edit = edits.Edit(f"e{number}", "op", (changes.ReplaceAll(rows),))
        editor_ = editor.Editor(store, clock.SystemClock(), random.Random(1))
        self.assertTrue(editor_.submit(edit, GUARD_S * 1000).is_ok())

    def test_watch_is_opened_again(self):
        """A watch ends in an outage.  Without a new one this VM would hear
        of edits only from others.
        """
        store = fakes.MemoryStore()
        target = Target()
        watch = configuration_watch.RootWatch(
            target, store, clock.SystemClock(), 1_000
        )
        watch.period_ms = 10
        self.make_edit(store, 1)
        watch.start()
        self.addCleanup(watch.stop)
        for number in (2, 3):
            self.assertTrue(target.taken.wait(GUARD_S))
            target.taken.clear()
            store.outage = True
            threading.Event().wait(0.2)
            store.outage = False
            self.make_edit(store, number)
        while target.revisions[-1] < 3:
            self.assertTrue(target.taken.wait(GUARD_S))
            target.taken.clear()
        self.assertEqual(target.revisions, sorted(target.revisions))

    def test_few_watch(self):
        """If every VM watched, 410 waiting calls would take a fifth of what
        the platform gives.
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
