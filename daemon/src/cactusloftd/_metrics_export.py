"""Export of the metrics by OpenTelemetry, in the Prometheus format.

Counters and gauges are observed when they are scraped. Histograms of
OpenTelemetry can only be synchronous and cost some 50 microseconds for each
duration, so a collector beside it shows the durations that were counted.
"""

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

from cactusloftd import _metrics


class _Durations(registry.Collector):
    """Scrapes the durations.

    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        for definition in _metrics.DEFINITIONS:
            if definition.kind is not _metrics.Kind.HISTOGRAM:
                continue
            family = metrics_core.HistogramMetricFamily(
                definition.name, definition.help, labels=definition.labels
            )
            by_labels = self._metrics.durations[definition.name]
            for labels, counts in list(by_labels.items()):
                family.add_metric(labels, counts.list_buckets(), counts.sum_s)
            yield family


class Exporter:
    """Renders the numbers of one daemon.

    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_Durations(metrics))
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, registry=self._registry
        )
        self._provider = otel_sdk.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter('cactusloftd')
        for definition in _metrics.DEFINITIONS:
            self._create(definition)

    def render(self):
        """Return the scrape as bytes."""
        return prometheus_client.generate_latest(self._registry)

    def close(self):
        """Release what the provider holds."""
        self._provider.shutdown()

    def _create(self, definition):
        if definition.kind is _metrics.Kind.HISTOGRAM:
            return
        create = self._meter.create_observable_gauge
        if definition.kind is _metrics.Kind.COUNTER:
            create = self._meter.create_observable_counter
        name, unit = _split_name(definition)
        create(
            name,
            callbacks=[lambda _options: self._read(definition)],
            unit=unit,
            description=definition.help,
        )

    def _read(self, definition):
        """Yield an observation for each combination of labels."""
        values = self._metrics.read(definition)
        for labels, value in list(values.items()):
            attributes = dict(zip(definition.labels, labels, strict=True))
            yield otel.Observation(value, attributes)


def _split_name(definition):
    """Return instrument name and unit; the exporter joins them again."""
    name = definition.name
    if definition.kind is _metrics.Kind.COUNTER:
        name = name.removesuffix('_total')
    if name.endswith('_seconds'):
        return name.removesuffix('_seconds'), 's'
    return name, ''
