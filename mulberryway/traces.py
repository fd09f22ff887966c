"""Spans for each step, and propagation of the W3C trace context."""

import importlib
import random
import types
import typing

from opentelemetry import context
from opentelemetry import trace
from opentelemetry.sdk import resources

from mulberryway import errors

if typing.TYPE_CHECKING:
    from opentelemetry.sdk import trace as sdk

__all__ = ["NO_SPAN", "Span", "Tracer"]

VERSION = "00"
PARTS = 4
TRACE_DIGITS = 32
SPAN_DIGITS = 16


class Span:
    """The span of one step; a context manager, or ended explicitly.

    :param span: the OpenTelemetry span
    """

    __slots__ = ("_span",)

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        """The W3C ``traceparent`` value that refers to this span."""
        context = self._span.get_span_context()
        return (
            f"{VERSION}-{context.trace_id:032x}-{context.span_id:016x}"
            f"-{int(context.trace_flags):02x}"
        )

    def note(self, name: str, value: str | int) -> None:
        """Add an attribute to the span.

        :param name: the attribute's name
        :param value: the attribute's value; must not be a key or a body
        """
        self._span.set_attribute(name, value)

    def fail(self, fault: errors.Fault) -> None:
        """Mark the step as failed.

        :param fault: the cause of the failure
        """
        self._span.set_attribute("error.type", fault.code.value)
        self._span.set_attribute("peer", fault.peer)
        self._span.set_attribute("run", fault.run.value)
        self._span.set_status(trace.Status(trace.StatusCode.ERROR))

    def begin(self, tracer: "Tracer", step: errors.Step) -> "Span":
        """Start a child span.

        :param tracer: creates the span
        :param step: the step that the span covers
        :returns: the new span
        """
        return tracer.begin(step, self._span)

    def end(self) -> None:
        """End the span."""
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
    """Creates spans; without an exporter they only carry trace ids.

    Recording a span costs about 37 us, which is acceptable per step but not
    per token.  Without an export nothing is recorded, but the ids are still
    sent to upstreams, so that their traces can be joined.

    :param vm: the VM's name
    :param otlp_url: the URL to export spans to; empty for no export
    :param processor: receives spans instead of an exporter, in tests
    """

    def __init__(
        self,
        vm: str,
        otlp_url: str = "",
        processor: "sdk.SpanProcessor | None" = None,
    ) -> None:
        # Ids must be unique but not secret; the system's random source
        # would cost a system call for each.
        self._random = random.Random(random.SystemRandom().getrandbits(128))
        self._provider: "sdk.TracerProvider | None" = None
        self._tracer: trace.Tracer | None = None
        if otlp_url:
            # Imported only when needed, as in ``metrics``.
            exporters = importlib.import_module(
                "opentelemetry.exporter.otlp.proto.http.trace_exporter"
            )
            exporter = exporters.OTLPSpanExporter(
                endpoint=otlp_url.rstrip("/") + "/v1/traces"
            )
            export = importlib.import_module("opentelemetry.sdk.trace.export")
            processor = processor or export.BatchSpanProcessor(exporter)
        if processor is not None:
            recording = importlib.import_module("opentelemetry.sdk.trace")
            provider = self._provider = recording.TracerProvider(
                resource=resources.Resource(
                    {"service.name": "mulberryway", "host.name": vm}
                ),
                shutdown_on_exit=False,
            )
            provider.add_span_processor(processor)
            # Calls to peers and to the platform create their own spans.
            trace.set_tracer_provider(provider)
            self._tracer = provider.get_tracer("mulberryway")

    def begin(self, step: errors.Step, parent: trace.Span) -> Span:
        """Start a span.

        :param step: the step that the span covers
        :param parent: the parent span; invalid for a new trace
        :returns: the span
        """
        if self._tracer is None:
            return Span(self._make_unrecorded_span(parent.get_span_context()))
        parent_context = trace.set_span_in_context(parent, context.Context())
        return Span(self._tracer.start_span(step.value, parent_context))

    def begin_from(self, step: errors.Step, traceparent: str | None) -> Span:
        """Start a span whose parent belongs to another process.

        :param step: the step that the span covers
        :param traceparent: the W3C header's value, or none
        :returns: the span
        """
        parent = _read_traceparent(traceparent or "")
        return self.begin(step, trace.NonRecordingSpan(parent))

    def stop(self) -> None:
        """Export pending spans and shut down."""
        if self._provider is not None:
            self._provider.shutdown()

    def _make_unrecorded_span(
        self, parent_context: trace.SpanContext
    ) -> trace.Span:
        trace_id = parent_context.trace_id or self._random.getrandbits(128)
        return trace.NonRecordingSpan(
            trace.SpanContext(
                trace_id,
                self._random.getrandbits(64),
                False,
                parent_context.trace_flags,
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
