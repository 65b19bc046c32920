"""What a stand-in server saw and ran, kept for checks."""

import collections

import attrs

MAX_HEADER_VALUES = 20_000


@attrs.frozen
class Snapshot:
    """Records of a stand-in server at one moment.

    :ivar headers: values seen of each header, by name in lower case.
    :ivar executions: runs of each idempotency key.
    :ivar accounts: runs for each client account.
    :ivar started: requests that got a slot.
    :ivar finished: requests that were answered.
    :ivar cancelled: requests whose caller closed the connection.
    :ivar shed: requests that the server itself refused.
    :ivar most_in_flight: highest number of requests at once.
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
    """Collect what a stand-in server sees and runs."""

    def __init__(self):
        self._headers = collections.defaultdict(set)
        self._executions = collections.Counter()
        self._accounts = collections.Counter()
        self._counts = collections.Counter()
        self._most_in_flight = 0

    def note_headers(self, headers):
        """Keep each name and value of a request's headers.

        :param headers: mapping that may hold a name several times.
        """
        for name, value in headers.items():
            values = self._headers[name.lower()]
            if len(values) < MAX_HEADER_VALUES:
                values.add(value)

    def record_start(self, headers, in_flight):
        """Keep that a request got a slot.

        :param in_flight: requests in flight with this one.
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
