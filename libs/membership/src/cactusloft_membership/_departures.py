"""Backend server processes that are known to have announced their departure.

A process announces it once and never accepts calls again. Its own daemon may
forget the announcement in a restart, so every daemon that has learnt of a
departure remembers it.
"""

import collections
import itertools

import attrs

# Bounds the memory; the oldest departures are forgotten first.
MAX_KEPT_DEPARTURES = 4096
# Departures of this time are told to control hosts, which may have restarted.
# A process that has left ends within seconds.
RECENT_S = 30.0
MAX_RECENT_DEPARTURES = 32


@attrs.frozen
class BackendProcess:
    """One process of a backend server.

    :ivar daemon: name of the daemon beside it.
    :ivar instance: identity, which another backend server or a later process
        may use as well.
    :ivar born_ms: wall clock time in milliseconds at which it started, 0 if
        unknown.
    """

    daemon: str
    instance: str
    born_ms: int = 0


class Departures:
    """The processes that are about to leave or have left."""

    def __init__(self):
        self._processes = collections.OrderedDict()

    def record(self, process, now):
        """Record the departure of a :class:`BackendProcess`.

        :param now: monotonic seconds.
        :returns: whether it was unknown.
        """
        if process in self._processes:
            return False
        self._processes[process] = now
        if len(self._processes) > MAX_KEPT_DEPARTURES:
            self._processes.popitem(last=False)
        return True

    def list_recent(self, now):
        """Return the processes whose departure was learnt recently.

        :param now: monotonic seconds.
        """
        newest_first = itertools.takewhile(
            lambda item: now - item[1] < RECENT_S,
            reversed(self._processes.items()),
        )
        newest = itertools.islice(newest_first, MAX_RECENT_DEPARTURES)
        return [process for process, _ in newest]

    def has_left(self, process):
        """Tell whether the departure of a process is known."""
        return process in self._processes
