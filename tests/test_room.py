"""Tests of engines' memory, counted by how streams grow."""

import itertools
import random
import unittest

from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import kv_growth
from mulberryway.policy import upstream_view
from tests import policy_cases as cases
from tests import test_shaping as shaping

# Blocks of an engine, of a prompt, of a whole stream and of what is reserved
# for it, and the time for which a stream grows.
TOTAL = 4_727
PROMPT = 325
FINAL = 663
RESERVED = 629
STREAM_MS = 3_300
STEP_MS = 47


class Engine:
    """An engine, one VM's view of it, and the true sizes of streams."""

    def __init__(self, lengths=(1.0,)):
        row = cases.make_pool().upstreams[2]
        self.view = upstream_view.UpstreamView(
            row, 64, random.Random(1), TOTAL
        )
        self.lengths = itertools.cycle(lengths)
        self.live = []
        self.started = 0

    def try_start(self, now_ms):
        stream = kv_growth.StreamGrowth(PROMPT, FINAL, RESERVED)
        if not self.view.fits_stream(stream, now_ms):
            return False
        self.view.start_decode(RESERVED, now_ms, stream)
        end_ms = now_ms + STREAM_MS * next(self.lengths)
        self.live.append((end_ms, now_ms, stream))
        self.started += 1
        return True

    def advance(self, now_ms):
        self.view.record_step(STEP_MS, now_ms)
        for one in [one for one in self.live if one[0] <= now_ms]:
            self.live.remove(one)
            self.view.record_stream_end(one[2], now_ms)
            self.view.end_decode(RESERVED, one[2])

    def preempt(self):
        """End the newest stream before its end."""
        _, _, stream = self.live.pop()
        self.view.end_decode(RESERVED, stream)

    def sum_blocks(self, now_ms):
        growth = (FINAL - PROMPT) / STREAM_MS
        return sum(
            PROMPT + (now_ms - started_ms) * growth
            for _, started_ms, _ in self.live
        )

    def run(self, period_ms, until_ms):
        """Try a start per period; yield the time and the blocks in use."""
        for now_ms in range(0, until_ms, 10):
            self.advance(now_ms)
            if now_ms % period_ms == 0:
                self.try_start(now_ms)
            yield now_ms, self.sum_blocks(now_ms)

    def learn(self):
        """Let single streams end, until the growth is known."""
        for now_ms in range(0, 7 * STREAM_MS, 10):
            self.advance(now_ms)
            if not self.live:
                self.try_start(now_ms)
        for now_ms in range(7 * STREAM_MS, 9 * STREAM_MS, 10):
            self.advance(now_ms)
        return 9 * STREAM_MS


class Sender:
    """Another VM's streams at the same engine, as its notes tell them."""

    def __init__(self, view, vm="vm2"):
        self.view = view
        self.vm = vm

    def tell(self, now_ms, decodes, present, blocks=None):
        self.view.apply_peer_holding(
            self.vm,
            hints.Holding(
                "lm",
                "d0",
                decodes,
                0,
                0,
                decodes * RESERVED if blocks is None else blocks,
                present_blocks=present,
            ),
            now_ms,
        )


class SteadyStateTest(unittest.TestCase):
    def test_mixed_ages_hold_more_streams(self):
        """Streams start one after the other, for a minute.  By their final
        sizes an engine holds seven of them, and 112 fit into 16 engines.
        """
        engine = Engine()
        most, held = 0.0, 0
        for now_ms, used in engine.run(370, 60_000):
            most = max(most, used)
            held = max(held, len(engine.live))
            if now_ms > 40_000:
                self.assertGreaterEqual(len(engine.live), 8)
        self.assertLessEqual(most, TOTAL)
        self.assertGreaterEqual(held * 16, 144)

    def test_hints_off_by_two(self):
        """Each second response is half, each fourth twice as long as its
        hint, and more streams wait than fit.  Streams are preempted then; the
        memory that stays free for it must keep them few.
        """
        engine = Engine((1.0, 0.5, 2.0, 0.5))
        preempted = 0
        for _, used in engine.run(200, 60_000):
            while used > TOTAL:
                engine.preempt()
                preempted += 1
                used -= FINAL
        self.assertGreater(engine.view.growth_rate.overrun_blocks, 0)
        self.assertLess(preempted, engine.started * 0.1)


class BurstTest(unittest.TestCase):
    def test_streams_that_start_together(self):
        """A burst arrives at an idle engine whose streams' growth is known."""
        engine = Engine()
        now_ms = engine.learn()
        while engine.try_start(now_ms):
            pass
        self.assertEqual(len(engine.live), TOTAL // RESERVED)

    def test_no_more_start_while_a_burst_grows(self):
        """More requests wait while streams that started together grow.  They
        fill little of the memory for a moment, and all of it at their ends.
        """
        engine = Engine()
        start_ms = engine.learn()
        while engine.try_start(start_ms):
            pass
        for now_ms in range(start_ms, start_ms + STREAM_MS, 10):
            engine.advance(now_ms)
            engine.try_start(now_ms)
            self.assertLessEqual(engine.sum_blocks(now_ms), TOTAL)

    def test_burst_of_another_vm(self):
        """Another VM's seven streams have begun together, or one after the
        other; its notes tell the same for both when half of them is made.
        """
        engine = Engine()
        now_ms = engine.learn()
        Sender(engine.view).tell(now_ms, 7, 7 * (PROMPT + RESERVED) // 2)
        self.assertFalse(engine.try_start(now_ms))


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.engine = Engine()
        self.view = self.engine.view
        self.now_ms = self.engine.learn()

    def fill(self, presents):
        for number, present in enumerate(presents):
            Sender(self.view, f"vm{number + 2}").tell(self.now_ms, 1, present)

    def test_peers_streams_of_mixed_ages(self):
        """Each of eight VMs has a stream of another age at an engine."""
        self.fill(PROMPT + step * 40 for step in range(8))
        self.assertFalse(self.view.has_blocks(RESERVED))
        self.assertTrue(self.engine.try_start(self.now_ms))

    def test_older_vms_do_not_tell_present_blocks(self):
        """Guards against streams of older VMs that count as ending soon."""
        self.fill(itertools.repeat(None, 7))
        self.assertFalse(self.engine.try_start(self.now_ms))
        self.assertFalse(self.engine.try_start(self.now_ms + STREAM_MS))

    def test_impossible_present_blocks(self):
        """Guards against a note that tells less than nothing."""
        self.fill(itertools.repeat(-500, 7))
        self.assertFalse(self.engine.try_start(self.now_ms))

    def test_more_present_than_final_blocks(self):
        """Guards against a stream that is far longer than its hint."""
        self.fill(itertools.repeat(5 * FINAL, 7))
        self.assertFalse(self.engine.try_start(self.now_ms))

    def test_streams_grow_between_notes(self):
        """The notes of a VM are lost while its streams grow to their ends."""
        Sender(self.view).tell(self.now_ms, 2, 2 * PROMPT)
        before = self.view.estimate_present(self.now_ms)
        later = self.view.estimate_present(self.now_ms + STREAM_MS // 2)
        last = self.view.estimate_present(self.now_ms + 10 * STREAM_MS)
        self.assertEqual(before, 2 * PROMPT)
        self.assertAlmostEqual(later, PROMPT + FINAL, delta=9)
        self.assertAlmostEqual(last, 2 * FINAL, delta=9)

    def test_dead_vm_frees_its_memory(self):
        """A VM with seven streams at an engine dies."""
        Sender(self.view).tell(self.now_ms, 7, 7 * RESERVED)
        self.view.forget_peer("vm2")
        self.assertEqual(self.view.estimate_present(self.now_ms), 0)
        self.assertTrue(self.engine.try_start(self.now_ms))

    def test_streams_of_a_slow_engine_grow_slowly(self):
        """An engine is five times as slow for some seconds.  Streams that
        counted as nearly complete by their ages would be overfilled.
        """
        for now_ms in range(self.now_ms, self.now_ms + 500, 10):
            self.view.record_step(5 * STEP_MS, now_ms)
        start_ms = self.now_ms + 500
        Sender(self.view).tell(start_ms, 1, PROMPT)
        later = self.view.estimate_present(start_ms + STREAM_MS)
        self.assertLess(later, PROMPT + (FINAL - PROMPT) * 0.25)


class LearningTest(unittest.TestCase):
    def test_unknown_growth_counts_final_sizes(self):
        """A VM has just started, and nothing is known of its pool."""
        engine = Engine()
        while engine.try_start(0):
            pass
        self.assertEqual(len(engine.live), 7)
        engine.advance(STREAM_MS // 2)
        self.assertFalse(engine.try_start(STREAM_MS // 2))
        self.assertIsNone(engine.view.estimate_own_present(STREAM_MS // 2))

    def test_peers_streams_teach(self):
        """Each VM of a large fleet starts a stream every few seconds only."""
        engine = Engine()
        sender = Sender(engine.view)
        for _ in range(20):
            engine.view.record_step(STEP_MS, 0)
        for start_ms in range(0, 6 * STREAM_MS, STREAM_MS):
            sender.tell(start_ms, 1, PROMPT)
            sender.tell(start_ms + STREAM_MS - 10, 0, 0)
        expected = STREAM_MS / STEP_MS / (FINAL - PROMPT)
        rate = engine.view.growth_rate.steps_per_block
        self.assertAlmostEqual(rate, expected, delta=expected * 0.02)

    def test_requests_without_expected_lengths(self):
        """Seven requests do not tell how long their responses will be.  They
        may run for any time, so their final sizes count all the while.
        """
        engine = Engine()
        now_ms = engine.learn()
        for _ in range(7):
            stream = kv_growth.StreamGrowth(RESERVED, RESERVED)
            engine.view.start_decode(RESERVED, now_ms, stream)
        self.assertIsNone(engine.view.estimate_own_present(now_ms))
        for later_ms in (0, STREAM_MS // 2, 5 * STREAM_MS):
            self.assertFalse(engine.try_start(now_ms + later_ms))

    def test_streams_without_growth_teach_nothing(self):
        rate = kv_growth.GrowthRate()
        for _ in range(10):
            rate.note(70.0, 0)
        self.assertIsNone(rate.steps_per_block)


class GroupTest(unittest.TestCase):
    def test_no_distribution_of_ages_fills_more(self):
        """Only sums of a VM's streams are known, and any ages may be behind
        them.
        """
        random_ = random.Random(5)
        for _ in range(300):
            ages = [random_.random() for _ in range(random_.randint(1, 6))]
            growths = [(1 - age) * (FINAL - PROMPT) for age in ages]
            group = kv_growth.StreamGroup(
                len(ages),
                sum(FINAL - growth for growth in growths),
                len(ages) * FINAL,
                0.0,
            )
            for grown in [*growths, 0.0, 50.0, 300.0]:
                used = sum(
                    FINAL - growth + grown
                    for growth in growths
                    if growth >= grown
                )
                found = group.count_blocks(grown - 1e-6)
                self.assertGreaterEqual(found + 0.1, used)


class NoteTest(unittest.TestCase):
    def test_notes_tell_present_blocks(self):
        """A VM's streams run; another one that starts one must know of what
        they fill.
        """
        sender = shaping.Rig("vm1", decodes=1)
        for start_ms in range(0, 30_000, 5_000):
            sender.submit(start_ms)
            (one,) = sender.start(start_ms)
            sender.scheduler.record_prefilled(one.job_id, start_ms + 90)
            sender.scheduler.finish(
                one.job_id, jobs.JobOutcome.DONE, "", start_ms + 4_000
            )
        sender.scheduler.drain_hints(29_000)
        sender.submit(30_000)
        sender.start(30_000)
        note = sender.scheduler.drain_hints(32_000)
        (holding,) = [one for one in note.holdings if one.decodes]
        blocks = shaping.PROMPT / 16 + shaping.RESPONSE / 16 / 2
        self.assertAlmostEqual(holding.present_blocks, blocks, delta=15)

    def test_metrics_tell_the_memory_in_use(self):
        rig = shaping.Rig(decodes=1)
        rig.submit(0)
        rig.start(0)
        count = rig.scheduler.count_memory(0)["lm"]
        self.assertEqual((count["streams"], count["total"]), (1, 6_043))
        self.assertEqual(count["reserved"], 604)
        self.assertLessEqual(count["present"], count["reserved"])
