"""Records of the requests that a stub server received and executed."""

import collections

import attrs

MAX_HEADER_VALUES = 20_000


@attrs.frozen
class Snapshot:
    """Records of a stub server at one point in time.

    :ivar headers: distinct values of each header, by lower-case name.
    :ivar executions: executions per idempotency key.
    :ivar accounts: executions per client account.
    :ivar started: requests that acquired a slot.
    :ivar finished: requests that completed with a response.
    :ivar cancelled: requests whose caller closed the connection.
    :ivar shed: requests that the server refused because of its load.
    :ivar most_in_flight: maximum number of concurrent requests.
    """

    service: str
    instance: str
    headers: dict[str, tuple[str, ...]]
    executions: dict[str, int]
    accounts: dict[str, int]
    started: int
    finished: int
    cancelled: int
    shed: int
    most_in_flight: int


class Records:
    """Record the requests that a stub server receives and executes."""

    def __init__(self):
        self._headers = collections.defaultdict(set)
        self._executions = collections.Counter()
        self._accounts = collections.Counter()
        self._counts = collections.Counter()
        self._most_in_flight = 0

    def record_headers(self, headers):
        """Record each header name and value of a request.

        :param headers: mapping in which a name can occur several times.
        """
        for name, value in headers.items():
            values = self._headers[name.lower()]
            if len(values) < MAX_HEADER_VALUES:
                values.add(value)

    def record_start(self, headers, in_flight):
        """Record that a request acquired a slot.

        :param in_flight: requests in flight, including this one.
        """
        self._counts['started'] += 1
        self._accounts[headers.get('Cactusloft-Client-Account', '')] += 1
        self._most_in_flight = max(self._most_in_flight, in_flight)
        idempotency_key = headers.get('Idempotency-Key')
        if idempotency_key is not None:
            self._executions[idempotency_key] += 1

    def count(self, outcome):
        """Count a request as ``finished``, ``cancelled`` or ``shed``."""
        self._counts[outcome] += 1

    def take_snapshot(self, service, instance):
        """Return the records as a :class:`Snapshot`."""
        headers = {
            name: tuple(sorted(values))
            for name, values in self._headers.items()
        }
        return Snapshot(
            service=service,
            instance=instance,
            headers=headers,
            executions=dict(self._executions),
            accounts=dict(self._accounts),
            started=self._counts['started'],
            finished=self._counts['finished'],
            cancelled=self._counts['cancelled'],
            shed=self._counts['shed'],
            most_in_flight=self._most_in_flight,
        )
