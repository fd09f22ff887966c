"""Metrics in the Prometheus text format; imported for the first scrape."""

import collections.abc

from opentelemetry.exporter import prometheus
from opentelemetry.sdk.metrics import export
import prometheus_client

__all__ = ["MetricsText"]

DataReader = collections.abc.Callable[[], export.MetricsData | None]


class MetricsText(prometheus.PrometheusMetricReader):
    """Writes the metrics that another reader collects.

    So each measurement is aggregated once, and scrapes that begin late see
    all totals since the start.

    :param read_data: returns the cumulative values of all instruments
    """

    def __init__(self, read_data: DataReader) -> None:
        super().__init__()
        self._read_data = read_data

    def collect(self, timeout_millis: float = 10_000) -> None:
        """Pass the current values on to the Prometheus collector.

        :param timeout_millis: unused, as reading from memory is not limited
        """
        data = self._read_data()
        if data is not None:
            self._receive_metrics(data, timeout_millis)

    def write(self) -> bytes:
        """Return all current values in the text format."""
        exposition: bytes = prometheus_client.generate_latest()
        return exposition
