"""Logging of the events that links report."""

from cactusloft_model import events

_V = events.Event
_EVENTS_BY_NAME = {
    'peer_refused': _V.PEER_REFUSED,
    'peer_lost': _V.PEER_LOST,
    'peer_connected': _V.PEER_CONNECTED,
    'handler_failed': _V.INTERNAL_ERROR,
}


def make_recorder(log):
    """Return the function that a node calls with an event's name and fields.

    Any other name, such as ``malformed_frame``, is logged as
    ``REQUEST_MALFORMED``.

    :param log: :class:`events.EventLog`.
    """

    def record(name, **fields):
        log.record(_EVENTS_BY_NAME.get(name, _V.REQUEST_MALFORMED), **fields)

    return record
