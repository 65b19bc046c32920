"""What links report, as events of the log."""

from cactusloft_model import events

_V = events.Event
_EVENTS = {
    'peer_refused': _V.PEER_REFUSED,
    'peer_lost': _V.PEER_LOST,
    'peer_connected': _V.PEER_CONNECTED,
    'handler_failed': _V.INTERNAL_ERROR,
}


def make_recorder(log):
    """Return the function that a node calls with name and fields.

    :param log: :class:`events.EventLog`.
    """

    def record(name, **fields):
        log.record(_EVENTS.get(name, _V.REQUEST_MALFORMED), **fields)

    return record
