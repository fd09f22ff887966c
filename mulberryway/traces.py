"""Spans for each hop, and the trace context in and out of the process."""

import importlib
import random
import types

from opentelemetry import context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export

from mulberryway import errors

__all__ = ["NO_SPAN", "Span", "Tracer"]

VERSION = "00"
PARTS = 4
TRACE_DIGITS = 32
SPAN_DIGITS = 16


class Span:
    """One hop's time; used as a context manager or ended by hand.

    :param span: the library's span
    """

    __slots__ = ("_span",)

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        """The W3C header's value that names this span as a parent."""
        found = self._span.get_span_context()
        return (
            f"{VERSION}-{found.trace_id:032x}-{found.span_id:016x}"
            f"-{int(found.trace_flags):02x}"
        )

    def note(self, name: str, value: str | int) -> None:
        """Add an attribute.

        :param name: its name
        :param value: its value; never a key or a body
        """
        self._span.set_attribute(name, value)

    def fail(self, fault: errors.Fault) -> None:
        """Mark the hop as failed.

        :param fault: what went wrong
        """
        self._span.set_attribute("error.type", fault.code.value)
        self._span.set_attribute("peer", fault.peer)
        self._span.set_attribute("run", fault.run.value)
        self._span.set_status(trace.Status(trace.StatusCode.ERROR))

    def begin(self, tracer: "Tracer", step: errors.Step) -> "Span":
        """Begin a span below this one.

        :param tracer: makes it
        :param step: the hop
        :returns: the new span
        """
        return tracer.begin(step, self._span)

    def end(self) -> None:
        """End the hop."""
        self._span.end()

    def __enter__(self) -> "Span":
        return self

    def __exit__(
        self,
        type_: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.end()


NO_SPAN = Span(trace.INVALID_SPAN)


class Tracer:
    """Begins spans; without an exporter a span is only its two ids.

    A recorded span costs about 37 us, which a hop can bear and a token
    cannot.  Where nothing is exported even that would be for nobody, but
    the ids still go on to upstreams, whose own traces then join.

    :param vm: the VM's name
    :param otlp_url: where spans are sent; empty for nowhere
    :param processor: receives spans instead, in tests
    """

    def __init__(
        self,
        vm: str,
        otlp_url: str = "",
        processor: sdk.SpanProcessor | None = None,
    ) -> None:
        # Ids have to differ, not to be secret; the system's own source
        # would cost a call into the kernel for each.
        self._random = random.Random(random.SystemRandom().getrandbits(128))
        self._provider: sdk.TracerProvider | None = None
        self._tracer: trace.Tracer | None = None
        if otlp_url:
            # Loaded only where it is used, like that of metrics.
            exporters = importlib.import_module(
                "opentelemetry.exporter.otlp.proto.http.trace_exporter"
            )
            exporter = exporters.OTLPSpanExporter(
                endpoint=otlp_url.rstrip("/") + "/v1/traces"
            )
            processor = processor or export.BatchSpanProcessor(exporter)
        if processor is not None:
            self._provider = sdk.TracerProvider(
                resource=resources.Resource(
                    {"service.name": "mulberryway", "host.name": vm}
                ),
                shutdown_on_exit=False,
            )
            self._provider.add_span_processor(processor)
            # Calls to peers and to the platform begin their own spans.
            trace.set_tracer_provider(self._provider)
            self._tracer = self._provider.get_tracer("mulberryway")

    def begin(self, step: errors.Step, parent: trace.Span) -> Span:
        """Begin a span.

        :param step: the hop
        :param parent: the span above it; invalid for a new trace
        :returns: the span
        """
        if self._tracer is None:
            return Span(self._make_light(parent.get_span_context()))
        above = trace.set_span_in_context(parent, context.Context())
        return Span(self._tracer.start_span(step.value, above))

    def begin_from(self, step: errors.Step, traceparent: str | None) -> Span:
        """Begin a span below one of another process.

        :param step: the hop
        :param traceparent: the W3C header's value, if any came
        :returns: the span
        """
        found = _read_traceparent(traceparent or "")
        return self.begin(step, trace.NonRecordingSpan(found))

    def stop(self) -> None:
        """Send what is still to be sent."""
        if self._provider is not None:
            self._provider.shutdown()

    def _make_light(self, above: trace.SpanContext) -> trace.Span:
        trace_id = above.trace_id or self._random.getrandbits(128)
        return trace.NonRecordingSpan(
            trace.SpanContext(
                trace_id,
                self._random.getrandbits(64),
                False,
                above.trace_flags,
            )
        )


def _read_traceparent(text: str) -> trace.SpanContext:
    parts = text.split("-")
    if (
        len(parts) != PARTS
        or len(parts[1]) != TRACE_DIGITS
        or len(parts[2]) != SPAN_DIGITS
    ):
        return trace.INVALID_SPAN_CONTEXT
    try:
        trace_id, span_id, flags = (int(part, 16) for part in parts[1:])
    except ValueError:
        return trace.INVALID_SPAN_CONTEXT
    return trace.SpanContext(
        trace_id, span_id, True, trace.TraceFlags(flags & 1)
    )
