"""Backend server processes that are known to have announced their departure.

A process announces it once and never accepts calls again. Its own daemon may
forget the announcement in a restart, so every daemon that has learnt of a
departure remembers it.
"""

import collections

import attrs

# Bounds the memory; the oldest departures are forgotten first.
MAX_KEPT_DEPARTURES = 4096


@attrs.frozen
class BackendProcess:
    """One process of a backend server.

    :ivar instance: identity, which a later process may use again.
    :ivar born_ms: wall clock time in milliseconds at which it started, 0 if
        unknown.
    """

    instance: str
    born_ms: int = 0


class Departures:
    """The processes that are about to leave or have left."""

    def __init__(self):
        self._processes = collections.OrderedDict()

    def record(self, process):
        """Record the departure of a :class:`BackendProcess`."""
        self._processes[process] = None
        self._processes.move_to_end(process)
        if len(self._processes) > MAX_KEPT_DEPARTURES:
            self._processes.popitem(last=False)

    def has_left(self, process):
        """Tell whether the departure of a process is known."""
        return process in self._processes
