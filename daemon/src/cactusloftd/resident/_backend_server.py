"""State of the local backend server, as reported by its heartbeats.

The messages of one process are ordered by sequence number. A heartbeat of
another process replaces the current one only once the current one is known to
have ended: it may be delayed, or come from a program that is no backend server
here. No single message makes the daemon deaf to the later ones of the backend
server, whatever numbers it holds.
"""

import collections

import attrs

from cactusloft_membership import registry

# Bounds the memory; the oldest departures are forgotten first.
MAX_KEPT_DEPARTURES = 64
# Four heartbeat intervals. A crash is detected sooner, by failed connections.
LEASE_S = 6.0
# Two heartbeats in a row are missing.
SILENCE_S = 3.0
# A process that claims to start later than this, on the clock of the daemon,
# does not exist. Clocks of hosts differ by seconds at most.
MAX_START_AHEAD_MS = 5 * 60 * 1000
# A process warms up for seconds; a longer warm-up is cut to this.
MAX_WARM_UP_S = 10.0


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
    :ivar lost_at: monotonic time in seconds at which the process was last seen
        not to be there: a connection was refused, or another one answered.
    """

    daemon: str = ''
    departures: AnnouncedDepartures = attrs.field(factory=AnnouncedDepartures)
    departed: object = None
    heartbeat: object = None
    heard_at: float = float('-inf')
    has_left: bool = False
    is_unreachable: bool = False
    lost_at: float = float('-inf')
    # Newest heartbeat of another process, which may succeed the current one.
    _candidate: object = None
    # Sequence number of the last heartbeat that looked delayed.
    _delayed_sequence: int | None = None
    # Slots in the last heartbeat if they differed from those in use.
    _claimed_slots: int | None = None

    @property
    def process(self):
        """Return the :class:`registry.BackendProcess`, None if unknown."""
        if self.heartbeat is None:
            return self.departed
        return registry.BackendProcess(
            self.daemon, self.heartbeat.instance, self.heartbeat.born_ms
        )

    def apply_heartbeat(self, heartbeat, now):
        """Apply a heartbeat.

        :param now: monotonic time in seconds.
        :returns: whether its process is the current one from now on.
        """
        current = self.heartbeat
        if current is not None and _is_same_process(heartbeat, current):
            self._renew(heartbeat, now)
            return False
        if current is not None and not self._is_successor(heartbeat, now):
            self._candidate = heartbeat
            return False
        self._install(heartbeat, now)
        return True

    def is_newest(self, heartbeat):
        """Tell whether a heartbeat is the newest of the current process."""
        return (
            _is_same_process(heartbeat, self.heartbeat)
            and heartbeat.sequence == self.heartbeat.sequence
        )

    def record_loss(self, now):
        """Record that the current process was seen not to be there.

        :param now: monotonic time in seconds.
        """
        self.is_unreachable = True
        self.lost_at = now

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

    def _is_successor(self, heartbeat, now):
        """Tell whether a heartbeat of another process replaces the current."""
        silence_s = now - self.heard_at
        if self.lost_at > self.heard_at or silence_s >= LEASE_S:
            return True
        candidate = self._candidate
        is_confirmed = (
            candidate is not None
            and _is_same_process(heartbeat, candidate)
            and heartbeat.sequence > candidate.sequence
        )
        return is_confirmed and silence_s >= SILENCE_S

    def _install(self, heartbeat, now):
        self.heartbeat = heartbeat
        # A process that announced its departure never serves again.
        self.has_left = heartbeat.is_draining or self.departures.includes(
            heartbeat
        )
        self._delayed_sequence = self._claimed_slots = None
        self._record_life(now)

    def _renew(self, heartbeat, now):
        """Apply a heartbeat of the current process."""
        # True of the process also if it is delayed.
        self.has_left = self.has_left or heartbeat.is_draining
        if not self._is_live(heartbeat):
            self._delayed_sequence = heartbeat.sequence
            return
        self._delayed_sequence = None
        self.heartbeat = attrs.evolve(
            heartbeat, slots=self._confirm_slots(heartbeat.slots)
        )
        self._record_life(now)

    def _is_live(self, heartbeat):
        """Tell whether a heartbeat is not a delayed one.

        Several with low numbers that grow mean that a higher one was wrong.
        """
        latest, delayed = self.heartbeat.sequence, self._delayed_sequence
        return heartbeat.sequence > latest or (
            delayed is not None and heartbeat.sequence > delayed
        )

    def _confirm_slots(self, slots):
        """Return the slots to use; another number counts once repeated."""
        in_use = self.heartbeat.slots
        is_repeated = slots == self._claimed_slots
        self._claimed_slots = None if slots == in_use else slots
        return slots if is_repeated else in_use

    def _record_life(self, now):
        self.heard_at = now
        self.is_unreachable = False
        self._candidate = None


def find_fault(heartbeat, address, service, wall_ms):
    """Return why a heartbeat is not from the local backend server, or None.

    :param heartbeat: :class:`protocol.Heartbeat`.
    :param address: ``IP:port`` of the local backend server.
    :param service: its service, empty if unknown.
    :param wall_ms: wall clock time in milliseconds.
    """
    if heartbeat.address != address:
        return 'other address'
    if service and heartbeat.service != service:
        return 'other service'
    if heartbeat.born_ms > wall_ms + MAX_START_AHEAD_MS:
        return 'start in the future'
    return None


def _is_same_process(heartbeat, other):
    return (heartbeat.instance, heartbeat.born_ms) == (
        other.instance,
        other.born_ms,
    )
