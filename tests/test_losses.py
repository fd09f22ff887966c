"""What the logs of several VMs add up to."""

import unittest

from mulberryway.commands import losses


def make_end(request_id, time_ms, **fields):
    """Return the line of a stream's end, on time unless told otherwise."""
    return {
        "time_ms": time_ms,
        "vm": "vm0",
        "message": losses.REQUEST_ENDED,
        "request_id": request_id,
        "first_ms": 200,
        "gap_ms": 60,
        "took_ms": 1_000,
        "queued_ms": 0,
        "read_ms": 100,
        "begin_ms": 50,
        "target_ms": 900,
        "target_gap_ms": 300,
    } | fields


def make_choice(request_id, time_ms, prefill, decode):
    """Return the line of a choice of engines."""
    return {
        "time_ms": time_ms,
        "vm": "vm0",
        "message": losses.ENGINES_SELECTED,
        "request_id": request_id,
        "prefill": prefill,
        "decode": decode,
        "prompt_tokens": 3_000,
    }


class LossesTest(unittest.TestCase):
    def test_late_first_piece_by_its_longest_step(self):
        """A burst fills the engines.  Callers get their first piece late,
        and whoever looks for the cause must see which step held them up.
        """
        lines = [
            make_end("a", 1, first_ms=1_200, queued_ms=900),
            make_end("b", 2, first_ms=1_200, read_ms=900),
            make_end("c", 3, first_ms=1_200, begin_ms=900),
            make_end("d", 4),
        ]
        self.assertEqual(
            {
                "a late first piece: waited for a choice": 1,
                "a late first piece: waited for its prompt to be read": 1,
                "a late first piece: waited for the decode to begin": 1,
                losses.ON_TIME: 1,
            },
            losses.summarize(lines).outcomes,
        )

    def test_late_pause_with_the_prompts_read_beside_it(self):
        """An engine reads two prompts between the tokens of a stream, whose
        caller waits too long in the middle of the answer.
        """
        lines = [
            make_choice("a", 1_000, "e0", "e1"),
            make_choice("b", 1_500, "e1", "e1"),
            make_choice("c", 1_600, "e1", "e1"),
            make_choice("d", 1_600, "e2", "e2"),
            make_end("a", 2_000, gap_ms=450),
        ]
        found = losses.summarize(lines)
        self.assertEqual({losses.GAP_EXCEEDED: 1}, found.outcomes)
        self.assertEqual({400: [2]}, found.gaps)

    def test_prompts_read_in_vain_by_cause(self):
        """A decode engine refuses a prompt that was read for it, and another
        prompt's reader gives no answer.  Both were work for nobody.
        """
        lines = [
            make_choice("a", 1_000, "e0", "e1"),
            {
                "time_ms": 1_100,
                "message": losses.PREFILL_OUTCOME_UNKNOWN,
                "request_id": "a",
                "decode": "e1",
                "step": "prefill",
                "code": "upstream_timeout",
            },
            {
                "time_ms": 1_200,
                "message": losses.PREFILL_WASTED,
                "request_id": "b",
                "tokens": 2_000,
                "step": "decode",
                "code": "upstream_refused",
                "reason": "full",
            },
        ]
        self.assertEqual(
            {
                "no answer, prefill upstream_timeout": 3_000,
                "decode upstream_refused, full": 2_000,
            },
            losses.summarize(lines).wasted_tokens,
        )

    def test_failures_and_the_report(self):
        """A stream is refused, and one breaks off in the middle; a plain
        call's line counts as neither.
        """
        failed = {"step": "queue", "code": "overloaded"}
        lines = [
            make_end("a", 1, first_ms=0, **failed),
            make_end("b", 2, step="decode", code="upstream_failed"),
            {"time_ms": 3, "message": losses.REQUEST_ENDED, "request_id": "c"},
        ]
        report = losses.format_report(losses.summarize(lines))
        self.assertIn("2 streams", report)
        self.assertIn("failed before it: queue overloaded", report)
        self.assertIn(
            "failed after its first piece: decode upstream_failed", report
        )
