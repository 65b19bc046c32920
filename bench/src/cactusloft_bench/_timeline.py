"""Merging of the event lists of all daemons into one causal order."""

import attrs


@attrs.frozen(order=True)
class TimelineEntry:
    """One event of a daemon; entries sort by their hybrid logical clock."""

    wall_ms: int
    counter: int
    daemon: str
    number: int
    fields: dict = attrs.field(order=False)

    def mentions(self, text):
        """Return whether the value of any field equals ``text``."""
        return text in self.fields.values()


def merge_events(event_lists):
    """Return the entries of all daemons in causal order.

    :param event_lists: for each daemon, its reply to ``GET /v1/events``.

    >>> first = {'stamp': {'wall_ms': 2, 'counter': 0}, 'daemon': 'a',
    ...          'event': 200, 'fields': {}}
    >>> second = first | {'stamp': {'wall_ms': 1, 'counter': 5}}
    >>> [entry.wall_ms for entry in merge_events([[first], [second]])]
    [1, 2]
    """
    return sorted(
        TimelineEntry(
            wall_ms=record['stamp']['wall_ms'],
            counter=record['stamp']['counter'],
            daemon=record['daemon'],
            number=record['event'],
            fields=record['fields'],
        )
        for records in event_lists
        for record in records
    )
