"""State of the local backend server, as reported by its heartbeats.

Processes are ordered by start time and the messages of one process by sequence
number, so that a delayed heartbeat of an earlier process is ignored.
"""

import collections

import attrs

from cactusloft_membership import registry

# Bounds the memory; the oldest departures are forgotten first.
MAX_KEPT_DEPARTURES = 64
# Four heartbeat intervals. A crash is detected sooner, by failed connections.
LEASE_S = 6.0


class AnnouncedDepartures:
    """Processes that announced their departure to this daemon.

    An announcement may arrive before any heartbeat of its process, as after
    a restart of the daemon.
    """

    def __init__(self):
        self._arrivals_ms = collections.OrderedDict()

    def record(self, instance, born_ms, wall_ms):
        """Record an announcement.

        :param born_ms: wall clock time in milliseconds at which the process
            started, None if unknown.
        :param wall_ms: wall clock time in milliseconds of its arrival.
        """
        self._arrivals_ms[instance, born_ms] = wall_ms
        if len(self._arrivals_ms) > MAX_KEPT_DEPARTURES:
            self._arrivals_ms.popitem(last=False)

    def includes(self, heartbeat):
        """Tell whether the process of a heartbeat announced its departure."""
        instance, born_ms = heartbeat.instance, heartbeat.born_ms
        if (instance, born_ms) in self._arrivals_ms:
            return True
        # Processes that use the same identity later start after the arrival.
        arrival_ms = self._arrivals_ms.get((instance, None))
        return arrival_ms is not None and born_ms <= arrival_ms


@attrs.define
class BackendServerState:
    """State of the backend server process with the newest heartbeat.

    :ivar daemon: name of the daemon beside it.
    :ivar departures: :class:`AnnouncedDepartures`.
    :ivar departed: :class:`registry.BackendProcess` that left before any
        heartbeat, or None.
    :ivar heartbeat: the newest :class:`protocol.Heartbeat`, or None.
    :ivar heard_at: monotonic time in seconds at which it arrived.
    :ivar has_left: whether the process will never accept new calls again.
    :ivar is_unreachable: whether a connection was refused since then.
    """

    daemon: str = ''
    departures: AnnouncedDepartures = attrs.field(factory=AnnouncedDepartures)
    departed: object = None
    heartbeat: object = None
    heard_at: float = float('-inf')
    has_left: bool = False
    is_unreachable: bool = False

    @property
    def process(self):
        """Return the :class:`registry.BackendProcess`, None if unknown."""
        if self.heartbeat is None:
            return self.departed
        return registry.BackendProcess(
            self.daemon, self.heartbeat.instance, self.heartbeat.born_ms
        )

    def apply_heartbeat(self, heartbeat, now):
        """Apply a heartbeat, unless a newer one was applied before.

        :param now: monotonic time in seconds.
        :returns: whether the heartbeat is the first one of a new process.
        """
        current = self.heartbeat
        if current is not None and _sort_key(heartbeat) <= _sort_key(current):
            return False
        is_new = current is None or _process_key(heartbeat) != _process_key(
            current
        )
        # A process that announced its departure never serves again.
        is_leaving = (
            self.departures.includes(heartbeat) if is_new else self.has_left
        )
        self.heartbeat = heartbeat
        self.heard_at = now
        self.has_left = is_leaving or heartbeat.is_draining
        self.is_unreachable = False
        return is_new

    def leave(self, instance, born_ms, wall_ms):
        """Record that a process announced its departure.

        :param instance: identity of the process.
        :param born_ms: wall clock time in milliseconds at which the process
            started, None if unknown.
        :param wall_ms: wall clock time in milliseconds.
        :returns: whether it is the current process.
        """
        self.departures.record(instance, born_ms, wall_ms)
        current = self.heartbeat
        if current is None:
            self.departed = registry.BackendProcess(
                self.daemon, instance, born_ms or 0
            )
        elif current.instance != instance or born_ms not in (
            None,
            current.born_ms,
        ):
            return False
        self.has_left = True
        return True

    def is_serving(self, now):
        """Tell whether it accepts new calls.

        :param now: monotonic time in seconds.
        """
        if self.heartbeat is None or self.has_left or self.is_unreachable:
            return False
        return now - self.heard_at < LEASE_S


def _sort_key(heartbeat):
    return heartbeat.born_ms, heartbeat.sequence


def _process_key(heartbeat):
    return heartbeat.instance, heartbeat.born_ms, heartbeat.service
