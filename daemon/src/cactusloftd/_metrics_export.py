"""Export of the metrics through OpenTelemetry, in the Prometheus format.

Counters and gauges are observable instruments, read on each scrape. Histograms
of OpenTelemetry can only be synchronous and cost about 50 microseconds for
each duration, so the histograms are exported by a Prometheus collector of
their own.
"""

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

from cactusloftd import _metrics


class _HistogramCollector(registry.Collector):
    """Collect the histograms on each scrape.

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
            for labels, histogram in list(by_labels.items()):
                family.add_metric(
                    labels, histogram.list_buckets(), histogram.sum_s
                )
            yield family


class Exporter:
    """Render the metrics of one daemon.

    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_HistogramCollector(metrics))
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, registry=self._registry
        )
        self._provider = otel_sdk.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter('cactusloftd')
        for definition in _metrics.DEFINITIONS:
            self._create_instrument(definition)

    def render(self):
        """Return the metrics in the Prometheus format, as bytes."""
        return prometheus_client.generate_latest(self._registry)

    def close(self):
        """Shut down the meter provider."""
        self._provider.shutdown()

    def _create_instrument(self, definition):
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
        """Yield an observation for each combination of label values."""
        values = self._metrics.read(definition)
        for labels, value in list(values.items()):
            attributes = dict(zip(definition.labels, labels, strict=True))
            yield otel.Observation(value, attributes)


def _split_name(definition):
    """Return name and unit of the instrument.

    The exporter appends the unit and ``_total`` to the name again.
    """
    name = definition.name
    if definition.kind is _metrics.Kind.COUNTER:
        name = name.removesuffix('_total')
    if name.endswith('_seconds'):
        return name.removesuffix('_seconds'), 's'
    return name, ''
