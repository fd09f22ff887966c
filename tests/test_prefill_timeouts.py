"""Tests of the wait for a prefill before the decode engine reads the prompt.

Pattern: all VMs have just started, and each sends its prompts without knowing
those of the others.
"""

import unittest

from mulberryway.policy import prefill_timeouts

compute = prefill_timeouts.compute_prefill_timeout_ms
TARGET_MS = 900
PROMPT_MS = 96


class PrefillTimeoutTest(unittest.TestCase):
    def test_queue_of_other_vms_is_waited_for(self):
        """Guards against prompts that are read twice, and that delay all
        streams of a decode engine, because six others were ahead.
        """
        self.assertGreater(compute(PROMPT_MS, TARGET_MS), 6 * PROMPT_MS)

    def test_lost_response_leaves_time_for_the_decode_engine(self):
        """Guards against a first event that is late because the response to
        the prefill was lost.
        """
        for prompt_ms in (10, PROMPT_MS, 150):
            timeout_ms = compute(prompt_ms, TARGET_MS)
            self.assertLess(timeout_ms + 2 * prompt_ms, TARGET_MS)

    def test_long_prompts_and_late_requests_wait_as_without_a_target(self):
        self.assertEqual(compute(300, TARGET_MS), compute(300, None))
        self.assertEqual(compute(PROMPT_MS, 100), compute(PROMPT_MS, None))
        self.assertEqual(compute(PROMPT_MS, -500), compute(PROMPT_MS, None))

    def test_wait_without_a_target(self):
        self.assertEqual(compute(10, None), 400)
        self.assertEqual(compute(200, None), 600)


if __name__ == "__main__":
    unittest.main()
