"""The engine model: batch, prefill queue, link, cache and memory."""

import unittest

from standins import answers
from standins import engine_model
from standins import engine_types

FAR_MS = 100_000.0


def make_run(name, prompt=1_024, output=10, hashes=(), priority=0):
    return engine_types.EngineRequest(
        name, "a1/1", "m", hashes, prompt, output, priority
    )


class EngineModelTest(unittest.TestCase):
    def make(self, role="both", **figures):
        shape = engine_types.EngineParameters()
        for name, value in figures.items():
            setattr(shape, name, value)
        return engine_model.EngineModel(shape, role, ("m",))

    def test_full_batch_has_the_stated_interval(self):
        model = self.make(slots=2, link_bytes_per_s=10**15)
        runs = [make_run(name) for name in "ab"]
        for run in runs:
            self.assertIsNone(model.submit_decode(run, 0.0))
        self.assertEqual(
            model.submit_decode(make_run("c"), 0.0),
            engine_types.RejectReason.FULL,
        )
        events = model.advance(FAR_MS)
        times = [
            event.at_ms
            for event in events
            if event.kind is engine_types.EventKind.TOKEN
            and event.run is runs[0]
        ]
        self.assertEqual(len(times), 10)
        self.assertAlmostEqual(times[-1] - times[0], 9 * 37.0)
        self.assertEqual(model.held, {})
        self.assertEqual(model.free_blocks, model.shape.total_blocks)

    def test_prefills_run_one_by_one_and_urgent_ones_first(self):
        model = self.make("prefill", prefill_base_ms=0.0)
        for name, priority in (("a", 1), ("b", 1), ("c", 0)):
            model.submit_prefill(make_run(name, priority=priority), 0.0)
        events = model.advance(FAR_MS)
        done = [
            event
            for event in events
            if event.kind is engine_types.EventKind.PREFILLED
        ]
        self.assertEqual(
            [event.run.request_id for event in done], ["a", "c", "b"]
        )
        self.assertAlmostEqual(done[2].at_ms, 3 * 1_024 * 0.08)

    def test_cached_prefix_costs_nothing_and_is_told_late(self):
        model = self.make("prefill", cache_gap_share=0.0)
        hashes = answers.hash_blocks("m", "x" * 8_192, 1_024)
        self.assertEqual(len(hashes), 2)
        for at_ms in (0.0, 1_000.0):
            run = make_run("a", prompt=2_048, hashes=hashes)
            model.submit_prefill(run, at_ms)
            done = model.advance(at_ms + 500)[0]
        self.assertEqual(run.cached_tokens, 2_048)
        self.assertLess(done.at_ms, 1_003)
        self.assertEqual(model.cache.read_events(0, 400.0), [])
        self.assertEqual(model.cache.read_events(0, 1_000)[0].stored, hashes)

    def test_transfers_share_the_link(self):
        model = self.make("decode", link_bytes_per_s=1_024 * 131_072)
        for name in "ab":
            model.submit_decode(make_run(name), 0.0)
        imported = [
            event.at_ms
            for event in model.advance(FAR_MS)
            if event.kind is engine_types.EventKind.IMPORTED
        ]
        self.assertEqual(len(imported), 2)
        for at_ms in imported:
            self.assertAlmostEqual(at_ms, 2_000, delta=1)

    def test_unclaimed_result_expires(self):
        """A router dies between prefill and decode.  Nobody would notice
        but the engine's memory, which would fill up.
        """
        model = self.make("prefill")
        run = make_run("a")
        model.submit_prefill(run, 0.0)
        model.advance(500.0)
        self.assertIn(run, model.held)
        self.assertIsNotNone(model.pin_handle(run.handle, 500.0))
        handle = run.handle
        model.release_handle(handle, 501.0)
        self.assertIsNone(model.pin_handle(handle, 502.0))
        model.submit_prefill(make_run("b"), 1_000.0)
        model.advance(FAR_MS)
        self.assertEqual(model.held, {})

    def test_cancel_frees_in_each_phase(self):
        """A caller goes while its request is queued, in prefill, in
        transfer or generating.  Its memory has to come back each time.
        """
        model = self.make("both")
        runs = [make_run(name, output=1_000) for name in "abcd"]
        model.submit_decode(runs[0], 0.0)
        model.advance(100.0)
        model.submit_decode(runs[1], 100.0)
        for run in runs[2:]:
            model.submit_prefill(run, 100.0)
        self.assertEqual(
            [run.phase.value for run in runs],
            ["decode", "transfer", "prefill", "queued"],
        )
        for run in runs:
            self.assertTrue(model.cancel(run, 101.0))
            self.assertFalse(model.cancel(run, 101.0))
        self.assertEqual(model.free_blocks, model.shape.total_blocks)
        self.assertEqual(model.get_next_event_ms(), engine_model.NEVER)

    def test_load_report_lags(self):
        model = self.make("decode")
        model.submit_decode(make_run("a"), 1_000.0)
        self.assertEqual(model.report_load(1_100.0).running, 0)
        self.assertEqual(model.report_load(1_500.0).running, 1)

    def test_old_fencing_number_is_refused(self):
        """A paused issuer wakes up and sends its order after the next
        issuer's.  The engine would load a model that nobody wants.
        """
        for checks, taken in ((True, False), (False, True)):
            model = self.make("both", checks_fencing=checks)
            self.assertTrue(model.give_order("load", "n", 7, 0.0))
            self.assertEqual(model.give_order("load", "o", 6, 0.0), taken)
            model.advance(FAR_MS)
            self.assertIn("n", model.models)
            self.assertEqual("o" in model.models, taken)


if __name__ == "__main__":
    unittest.main()
