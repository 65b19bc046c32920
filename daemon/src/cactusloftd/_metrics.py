"""Metrics of a daemon, scraped in the Prometheus format.

Handling a call only adds to plain numbers, which ``_metrics_export`` reads on
each scrape. That module is imported with the first scrape, because its import
takes a tenth of the start of a process. ``docs/metrics.md`` lists every
metric; a test compares it with ``DEFINITIONS``.
"""

import bisect
import collections
import enum
import itertools

import attrs

from cactusloft_model import events

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
# Upper bounds of the buckets: fine around the target of 1.9 ms and wide enough
# for deadlines.
DURATION_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Kind(enum.Enum):
    """Type of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@attrs.frozen
class Definition:
    """Definition of a metric.

    :ivar name: name in the scrape, with unit and suffix.
    :ivar labels: names of the labels.
    """

    name: str
    kind: Kind
    labels: tuple[str, ...]
    help: str


_C, _G, _H = Kind.COUNTER, Kind.GAUGE, Kind.HISTOGRAM

DEFINITIONS = (
    Definition(
        'cactusloft_calls_total',
        _C,
        ('service', 'status'),
        'root calls answered at this entry, by class of HTTP status',
    ),
    Definition(
        'cactusloft_refusals_total',
        _C,
        ('listener', 'kind'),
        'refusals by this daemon, by error kind',
    ),
    Definition(
        'cactusloft_cut_answers_total',
        _C,
        ('service',),
        'answers that broke off after their start',
    ),
    Definition(
        'cactusloft_deliveries_total',
        _C,
        ('outcome',),
        'calls sent to the backend server, by outcome',
    ),
    Definition(
        'cactusloft_retries_total',
        _C,
        ('outcome',),
        'retries that this daemon asked a credit for: sent or denied',
    ),
    Definition(
        'cactusloft_rate_grants_total',
        _C,
        ('outcome',),
        'rate leases asked for, by outcome',
    ),
    Definition(
        'cactusloft_events_total',
        _C,
        ('event',),
        'logged events, see docs/events.md',
    ),
    Definition(
        'cactusloft_call_duration_seconds',
        _H,
        ('service',),
        'root call from its head to the head of its answer',
    ),
    Definition(
        'cactusloft_queue_wait_seconds',
        _H,
        ('priority',),
        'wait of admitted calls for a slot of the backend server',
    ),
    Definition(
        'cactusloft_in_flight_calls',
        _G,
        (),
        'calls that run at the backend server or wait for a slot',
    ),
    Definition(
        'cactusloft_queued_calls',
        _G,
        (),
        'calls that wait for a slot',
    ),
    Definition(
        'cactusloft_concurrency_limit_calls',
        _G,
        (),
        'calls that may be at the backend server at once',
    ),
    Definition(
        'cactusloft_open_exchanges',
        _G,
        (),
        'HTTP requests in progress on all listeners',
    ),
    Definition(
        'cactusloft_members',
        _G,
        ('service',),
        'members in the subset of each service in use',
    ),
    Definition(
        'cactusloft_backend_server_lease',
        _G,
        (),
        '1 while the backend server has a live announcement, else 0',
    ),
    Definition(
        'cactusloft_backend_server_rate_limit',
        _G,
        (),
        'requests a second that the backend server accepts, absent if it '
        'names no limit',
    ),
    Definition(
        'cactusloft_client_connections',
        _G,
        (),
        'open connections of clients at all listeners',
    ),
    Definition(
        'cactusloft_client_memory_bytes',
        _G,
        (),
        'memory that requests of clients and other daemons hold',
    ),
    Definition(
        'cactusloft_client_memory_refusals',
        _G,
        (),
        'times that there was no memory for a request since the start',
    ),
    Definition(
        'cactusloft_clients_dropped',
        _G,
        (),
        'connections closed to make room for others since the start',
    ),
    Definition(
        'cactusloft_holds_granted_total',
        _C,
        ('resource',),
        'slots, places in the queue, calls to members, connections and tokens '
        'that were handed out',
    ),
    Definition(
        'cactusloft_holds_released_total',
        _C,
        ('resource',),
        'those that were given back',
    ),
    Definition(
        'cactusloft_holds',
        _G,
        ('resource',),
        'those that are in use, by a count of their own',
    ),
    Definition(
        'cactusloft_holds_missing',
        _G,
        ('resource',),
        'granted less released less in use; other than 0 for longer than a '
        'moment is a fault',
    ),
    Definition(
        'cactusloft_rate_leases',
        _G,
        (),
        'live rate leases that this daemon holds',
    ),
    Definition(
        'cactusloft_document_version',
        _G,
        (),
        'version of the installed document',
    ),
    Definition(
        'cactusloft_confirmation_age_seconds',
        _G,
        (),
        'time since the document was confirmed as current',
    ),
)
_RETRY_OUTCOMES = {
    events.Event.CALL_RETRIED: 'sent',
    events.Event.RETRY_DENIED: 'denied',
}
# Cached, because ``Enum`` computes the name of a member on each access.
_EVENT_NAMES = {event: event.name.lower() for event in events.Event}
_DEFINITIONS_BY_NAME = {
    definition.name: definition for definition in DEFINITIONS
}


class _Histogram:
    """Counts of durations by bucket, for one combination of label values."""

    def __init__(self):
        self._buckets = [0] * (len(DURATION_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds):
        self._buckets[bisect.bisect_left(DURATION_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def list_buckets(self):
        """Return pairs of upper bound and cumulative count."""
        bounds = [*map(str, DURATION_BOUNDS_S), '+Inf']
        return list(zip(bounds, itertools.accumulate(self._buckets)))


class Metrics:
    """Metrics of one daemon.

    :ivar counts: values of the counters, by name and label values.
    :ivar durations: :class:`_Histogram` by name and label values.
    """

    def __init__(self):
        self.counts = collections.defaultdict(collections.Counter)
        self.durations = {
            definition.name: {}
            for definition in DEFINITIONS
            if definition.kind is Kind.HISTOGRAM
        }
        self._readers = {}
        self._exporter = None

    def count(self, name, *labels):
        """Add 1 to a counter.

        :param name: name of a definition.
        :param labels: values of the labels, in order.
        """
        self.counts[name][labels] += 1

    def count_event(self, event, _fields):
        """Count a logged event; for ``EventLog.on_record``."""
        self.count('cactusloft_events_total', _EVENT_NAMES[event])
        outcome = _RETRY_OUTCOMES.get(event)
        if outcome is not None:
            self.count('cactusloft_retries_total', outcome)

    def grant(self, resource, number=1):
        """Count what was handed out and must be given back once."""
        self.counts['cactusloft_holds_granted_total'][resource,] += number

    def release(self, resource, number=1):
        """Count what was given back."""
        self.counts['cactusloft_holds_released_total'][resource,] += number

    def observe_holds(self, read):
        """Register the function that counts what is in use.

        :param read: function that returns a mapping from the resource to the
            number in use.
        """

        def read_holds():
            return {(resource,): held for resource, held in read().items()}

        def read_missing():
            granted = self.counts['cactusloft_holds_granted_total']
            released = self.counts['cactusloft_holds_released_total']
            return {
                labels: granted[labels] - released[labels] - held
                for labels, held in read_holds().items()
            }

        self.observe('cactusloft_holds', read_holds)
        self.observe('cactusloft_holds_missing', read_missing)

    def record(self, name, seconds, *labels):
        """Add a duration to a histogram."""
        by_labels = self.durations[name]
        histogram = by_labels.get(labels)
        if histogram is None:
            histogram = by_labels[labels] = _Histogram()
        histogram.add(seconds)

    def observe(self, name, read):
        """Register the function that reads a gauge on each scrape.

        :param name: name of a definition.
        :param read: function that returns a mapping from label values to the
            value; the key of a gauge without labels is the empty tuple.
        """
        if _DEFINITIONS_BY_NAME[name].kind is not Kind.GAUGE:
            raise ValueError(f'{name} is not a gauge')
        self._readers[name] = read

    def observe_number(self, name, read):
        """Register the function that reads a gauge without labels.

        :param read: function that returns the value, or None to omit the
            gauge from the scrape.
        """

        def read_mapping():
            value = read()
            return {} if value is None else {(): value}

        self.observe(name, read_mapping)

    def read(self, definition):
        """Return the values of a counter or gauge by label values."""
        if definition.kind is Kind.GAUGE:
            return self._readers.get(definition.name, dict)()
        return self.counts[definition.name]

    def render(self):
        """Return the metrics in the Prometheus format, as bytes."""
        if self._exporter is None:
            from cactusloftd import _metrics_export

            self._exporter = _metrics_export.Exporter(self)
        return self._exporter.render()

    def close(self):
        """Shut down the exporter if there is one."""
        if self._exporter is not None:
            self._exporter.close()
