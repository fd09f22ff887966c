"""Tests of spans and of the trace context that upstreams see."""

import unittest

from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from mulberryway import errors
from mulberryway import traces

TRACE_ID = "1" * 32
TRACEPARENT = f"00-{TRACE_ID}-{'2' * 16}-01"


class TracerTest(unittest.TestCase):
    def test_spans_reach_their_exporter(self):
        """Spans get lost, as the SDK is loaded only for an export."""
        exporter = in_memory_span_exporter.InMemorySpanExporter()
        tracer = traces.Tracer(
            "a1", processor=export.SimpleSpanProcessor(exporter)
        )
        self.addCleanup(tracer.stop)
        with tracer.begin_from(errors.Step.SERVICE, TRACEPARENT) as span:
            span.begin(tracer, errors.Step.DECODE).end()
        self.assertEqual(
            [
                (span.name, f"{span.context.trace_id:032x}")
                for span in exporter.get_finished_spans()
            ],
            [("decode", TRACE_ID), ("service", TRACE_ID)],
        )

    def test_trace_goes_on_without_an_export(self):
        """An upstream's spans cannot be joined with those of its caller."""
        span = traces.Tracer("a1").begin_from(errors.Step.SERVICE, TRACEPARENT)
        self.assertEqual(span.traceparent.split("-")[1], TRACE_ID)


if __name__ == "__main__":
    unittest.main()
