"""Tests of the choice between decode engines of unequal speed."""

import unittest

from mulberryway.policy import step_profile
from tests import policy_cases as cases
from tests import test_shaping as shaping

STEP_MS = 40.0


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.rig = shaping.Rig(prefills=2, decodes=4)
        pool = self.rig.scheduler._pools["lm"]
        self.views = {view.row.name: view for view in pool.members.decodes}

    def note_steps(self, now_ms, **steps_ms):
        for name, step_ms in steps_ms.items():
            for _ in range(5):
                self.views[name].record_step(step_ms, now_ms)

    def count_starts(self, now_ms):
        """Start thirty streams, far below the bound that excludes engines."""
        found = dict.fromkeys(self.views, 0)
        for number in range(30):
            job = cases.make_job(
                f"{now_ms}-{number}",
                now_ms=now_ms,
                within_ms=9_000,
                prompt_tokens=100,
                max_tokens=100,
                expected_tokens=100,
            )
            self.rig.scheduler.submit(job, now_ms)
            for one in self.rig.start(now_ms):
                found[one.decode] += 1
        return found

    def test_slow_engine_gets_fewer_streams(self):
        """An engine is five times as slow as the others for some seconds, and
        still within the target of 300 ms.
        """
        self.note_steps(0, d0=5 * STEP_MS, d1=STEP_MS, d2=STEP_MS, d3=STEP_MS)
        found = self.count_starts(10)
        self.assertLessEqual(found["d0"], 2, found)
        self.assertGreaterEqual(min(found[n] for n in ("d1", "d2", "d3")), 7)

    def test_recovered_engine_gets_streams_again(self):
        """An engine that was slow gets no streams that could show that it has
        recovered.
        """
        self.note_steps(0, d0=5 * STEP_MS, d1=STEP_MS, d2=STEP_MS, d3=STEP_MS)
        self.assertGreaterEqual(self.count_starts(120_000)["d0"], 5)

    def test_equal_engines_share_the_streams(self):
        self.note_steps(0, d0=STEP_MS, d1=STEP_MS, d2=STEP_MS, d3=STEP_MS)
        found = self.count_starts(10)
        self.assertGreaterEqual(min(found.values()), 6, found)


class ProfileTest(unittest.TestCase):
    def test_load_does_not_count_twice(self):
        """Steps of a large batch are longer on each engine.  An engine that
        counted as slow for that would lose its free slots twice.
        """
        profile = step_profile.StepProfile()
        for _ in range(10):
            profile.note(40.0, 2)
            profile.note(80.0, 40)
        self.assertEqual(profile.compare(40.0, 2, 0), 1.0)
        self.assertEqual(profile.compare(80.0, 40, 0), 1.0)

    def test_slow_engine_does_not_raise_the_reference(self):
        """One of four engines is slow for a long time."""
        profile = step_profile.StepProfile()
        for _ in range(200):
            for step_ms in (40.0, 40.0, 40.0, 200.0):
                profile.note(step_ms, 8)
        self.assertGreater(profile.compare(200.0, 8, 0), 4.0)

    def test_unknown_number_of_streams(self):
        """No engine of the pool has run as many streams yet."""
        profile = step_profile.StepProfile()
        profile.note(40.0, 2)
        self.assertEqual(profile.compare(90.0, 30, 0), 1.0)

    def test_step_of_nothing(self):
        """Guards against a division by a step that was measured as zero."""
        profile = step_profile.StepProfile()
        profile.note(0.0, 1)
        self.assertEqual(profile.compare(40.0, 1, 0), 1.0)
