"""Tests of the engine model: batch, prefills, link, cache and memory."""

import unittest

from standins import answers
from standins import engine_model
from standins import engine_types

FAR_MS = 100_000.0


def make_request(name, prompt=1_024, output=10, hashes=(), priority=0):
    return engine_types.EngineRequest(
        name, "a1/1", "m", hashes, prompt, output, priority
    )


class EngineModelTest(unittest.TestCase):
    def make_model(self, role="both", **values):
        parameters = engine_types.EngineParameters()
        for name, value in values.items():
            setattr(parameters, name, value)
        return engine_model.EngineModel(parameters, role, ("m",))

    def test_full_batch_has_the_configured_step(self):
        model = self.make_model(slots=2, link_bytes_per_s=10**15)
        requests = [make_request(name) for name in "ab"]
        for request in requests:
            self.assertIsNone(model.submit_decode(request, 0.0))
        self.assertEqual(
            model.submit_decode(make_request("c"), 0.0),
            engine_types.RejectReason.FULL,
        )
        events = model.advance(FAR_MS)
        times = [
            event.at_ms
            for event in events
            if event.kind is engine_types.EventKind.TOKEN
            and event.run is requests[0]
        ]
        self.assertEqual(len(times), 10)
        self.assertAlmostEqual(times[-1] - times[0], 9 * 37.0)
        self.assertEqual(model.held, {})
        self.assertEqual(model.free_blocks, model.parameters.total_blocks)

    def test_prefills_run_one_at_a_time_by_priority(self):
        model = self.make_model("prefill", prefill_base_ms=0.0)
        for name, priority in (("a", 1), ("b", 1), ("c", 0)):
            model.submit_prefill(make_request(name, priority=priority), 0.0)
        events = model.advance(FAR_MS)
        prefilled = [
            event
            for event in events
            if event.kind is engine_types.EventKind.PREFILLED
        ]
        self.assertEqual(
            [event.run.request_id for event in prefilled], ["a", "c", "b"]
        )
        self.assertAlmostEqual(prefilled[2].at_ms, 3 * 1_024 * 0.08)

    def test_cached_prefix_needs_no_work_and_is_reported_late(self):
        model = self.make_model("prefill", cache_gap_share=0.0)
        hashes = answers.hash_blocks("m", "x" * 8_192, 1_024)
        self.assertEqual(len(hashes), 2)
        for at_ms in (0.0, 1_000.0):
            request = make_request("a", prompt=2_048, hashes=hashes)
            model.submit_prefill(request, at_ms)
            prefilled = model.advance(at_ms + 500)[0]
        self.assertEqual(request.cached_tokens, 2_048)
        self.assertLess(prefilled.at_ms, 1_003)
        self.assertEqual(model.cache.read_events(0, 400.0), [])
        self.assertEqual(model.cache.read_events(0, 1_000)[0].stored, hashes)

    def test_transfers_share_the_link(self):
        model = self.make_model("decode", link_bytes_per_s=1_024 * 131_072)
        for name in "ab":
            model.submit_decode(make_request(name), 0.0)
        imported = [
            event.at_ms
            for event in model.advance(FAR_MS)
            if event.kind is engine_types.EventKind.IMPORTED
        ]
        self.assertEqual(len(imported), 2)
        for at_ms in imported:
            self.assertAlmostEqual(at_ms, 2_000, delta=1)

    def test_unclaimed_handle_expires(self):
        """A prefill result that no engine imports is freed.

        If a router crashes between prefill and decode, the engine's KV cache
        would fill up with unused results.
        """
        model = self.make_model("prefill")
        request = make_request("a")
        model.submit_prefill(request, 0.0)
        model.advance(500.0)
        self.assertIn(request, model.held)
        self.assertIsNotNone(model.pin_handle(request.handle, 500.0))
        handle = request.handle
        model.release_handle(handle, 501.0)
        self.assertIsNone(model.pin_handle(handle, 502.0))
        model.submit_prefill(make_request("b"), 1_000.0)
        model.advance(FAR_MS)
        self.assertEqual(model.held, {})

    def test_cancel_frees_in_each_phase(self):
        """Cancellation frees a request's memory in every phase.

        A caller may disconnect while its request is queued, in prefill, in
        transfer or decoding.
        """
        model = self.make_model("both")
        requests = [make_request(name, output=1_000) for name in "abcd"]
        model.submit_decode(requests[0], 0.0)
        model.advance(100.0)
        model.submit_decode(requests[1], 100.0)
        for request in requests[2:]:
            model.submit_prefill(request, 100.0)
        self.assertEqual(
            [request.phase.value for request in requests],
            ["decode", "transfer", "prefill", "queued"],
        )
        for request in requests:
            self.assertTrue(model.cancel(request, 101.0))
            self.assertFalse(model.cancel(request, 101.0))
        self.assertEqual(model.free_blocks, model.parameters.total_blocks)
        self.assertEqual(model.get_next_event_ms(), engine_model.NEVER)

    def test_load_report_lags(self):
        model = self.make_model("decode")
        model.submit_decode(make_request("a"), 1_000.0)
        self.assertEqual(model.get_delayed_load(1_100.0).running, 0)
        self.assertEqual(model.get_delayed_load(1_500.0).running, 1)

    def test_outdated_fencing_number_is_rejected(self):
        """An order with an outdated fencing number is rejected.

        A paused leader may resume and send its order after the order of its
        successor.  The engine would load a model that is no longer needed.
        """
        for checks, is_accepted in ((True, False), (False, True)):
            model = self.make_model("both", checks_fencing=checks)
            self.assertTrue(model.apply_order("load", "n", 7, 0.0))
            self.assertEqual(
                model.apply_order("load", "o", 6, 0.0), is_accepted
            )
            model.advance(FAR_MS)
            self.assertIn("n", model.models)
            self.assertEqual("o" in model.models, is_accepted)


if __name__ == "__main__":
    unittest.main()
