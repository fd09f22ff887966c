"""The metrics of a router; docs/operators/metrics.md lists them."""

import collections.abc
import importlib
import threading
import typing

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export

__all__ = ["Metrics"]

Labels = dict[str, str | int | float | bool]
Gauge = collections.abc.Callable[[], int]
LabeledValues = collections.abc.Callable[[], list[tuple[Labels, int]]]


class Metrics:
    """All instruments, readable in the process and optionally exported.

    Nothing is counted per token, because a count costs microseconds; a
    stream's tokens are added at its end.

    :param vm: the VM's name
    :param otlp_url: the URL to export metrics to; empty for no export
    :param export_ms: the export interval in ms
    :param serves_text: whether the Prometheus text format is available
    """

    def __init__(
        self,
        vm: str,
        otlp_url: str = "",
        export_ms: int = 10_000,
        serves_text: bool = False,
    ) -> None:
        self._memory_reader = export.InMemoryMetricReader()
        readers: list[export.MetricReader] = [self._memory_reader]
        if otlp_url:
            # Imported only when needed: the import takes a third of the
            # process's startup time and delays a restarted VM.
            exporters = importlib.import_module(
                "opentelemetry.exporter.otlp.proto.http.metric_exporter"
            )
            exporter = exporters.OTLPMetricExporter(
                endpoint=otlp_url.rstrip("/") + "/v1/metrics"
            )
            readers.append(
                export.PeriodicExportingMetricReader(exporter, export_ms)
            )
        self._serves_text = serves_text
        self._text: typing.Any = None
        self._text_lock = threading.Lock()
        self._provider = sdk.MeterProvider(
            readers,
            resources.Resource(
                {"service.name": "mulberryway", "host.name": vm}
            ),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("mulberryway")
        self._meter = meter
        self.requests = meter.create_counter(
            "mulberryway.requests",
            description="requests that ended, by account and code",
        )
        self.tokens = meter.create_counter(
            "mulberryway.tokens",
            description="tokens used, by account and kind",
        )
        self.first_token = meter.create_histogram(
            "mulberryway.first_token",
            "ms",
            "time from a request's arrival to its first token",
        )
        self.request_time = meter.create_histogram(
            "mulberryway.request_time",
            "ms",
            "time from a request's arrival to its end, by pool",
        )
        self.queue_wait = meter.create_histogram(
            "mulberryway.queue_wait",
            "ms",
            "time that a request waited for a decode slot",
        )
        self.attempts = meter.create_counter(
            "mulberryway.attempts",
            description="attempts that failed, by step, code and run",
        )
        self.cancels = meter.create_counter(
            "mulberryway.cancels",
            description="cancels sent to engines, by result",
        )
        self.reconciled = meter.create_counter(
            "mulberryway.reconciled",
            description="requests freed that dead owners had left behind",
        )

    def register_gauge(self, name: str, description: str, read: Gauge) -> None:
        """Register a gauge that is read by a callback.

        :param name: the instrument's name, without the common prefix
        :param description: the instrument's description
        :param read: returns the current value
        """
        self._meter.create_observable_gauge(
            f"mulberryway.{name}",
            [lambda options: [metrics.Observation(read())]],
            description=description,
        )

    def register_labeled_gauge(
        self, name: str, description: str, read: LabeledValues
    ) -> None:
        """Register a gauge whose values by label are read by a callback.

        :param name: the instrument's name, without the common prefix
        :param description: the instrument's description
        :param read: returns pairs of labels and value
        """
        self._meter.create_observable_gauge(
            f"mulberryway.{name}",
            [
                lambda options: [
                    metrics.Observation(value, labels)
                    for labels, value in read()
                ]
            ],
            description=description,
        )

    def register_counter(
        self, name: str, description: str, read: LabeledValues
    ) -> None:
        """Register a counter whose totals by label are read by a callback.

        :param name: the instrument's name, without the common prefix
        :param description: the instrument's description
        :param read: returns pairs of labels and total
        """
        self._meter.create_observable_counter(
            f"mulberryway.{name}",
            [
                lambda options: [
                    metrics.Observation(total, labels)
                    for labels, total in read()
                ]
            ],
            description=description,
        )

    def read(self) -> dict[str, list[dict[str, typing.Any]]]:
        """Return all current values, for status pages and tests.

        :returns: the points of each instrument by its name: labels and a
            value, or labels, a count and a sum
        """
        data = self._memory_reader.get_metrics_data()
        if data is None:
            return {}
        return {
            metric.name: [_read_point(p) for p in metric.data.data_points]
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        }

    def write_text(self) -> bytes:
        """Return all current values in the Prometheus text format."""
        if not self._serves_text:
            return b""
        with self._text_lock:
            if self._text is None:
                # Imported only when needed; many VMs are never scraped.
                module = importlib.import_module("mulberryway.metrics_text")
                self._text = module.MetricsText(
                    self._memory_reader.get_metrics_data
                )
        exposition: bytes = self._text.write()
        return exposition

    def stop(self) -> None:
        """Export pending values and shut down."""
        self._provider.shutdown()
        if self._text is not None:
            self._text.shutdown()


def _read_point(point: typing.Any) -> dict[str, typing.Any]:
    labels = dict(point.attributes or {})
    if hasattr(point, "value"):
        return {"labels": labels, "value": point.value}
    return {"labels": labels, "count": point.count, "sum": point.sum}
