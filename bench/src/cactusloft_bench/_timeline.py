"""Events of all daemons of a fleet, merged into one causal order."""

import attrs


@attrs.frozen(order=True)
class TimelineEntry:
    """One event; entries sort by the hybrid clock of the daemons."""

    wall_ms: int
    counter: int
    daemon: str
    number: int
    fields: dict = attrs.field(order=False)

    def mentions(self, text):
        """Tell whether a field has the value ``text``."""
        return text in self.fields.values()


def merge_events(lists):
    """Return the entries of all daemons in causal order.

    :param lists: for each daemon the list that its admin listener gave.

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
        for records in lists
        for record in records
    )
