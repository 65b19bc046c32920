"""Lease of the backend server beside a daemon.

The backend server renews its announcement; one that stays silent is lost when
its lease has expired. A drained backend server takes no new work until a new
process announces itself.
"""

import enum

import attrs
import transitions

ANNOUNCEMENT_LEASE_S = 3.0


class State(enum.Enum):
    """What is known of the backend server."""

    ABSENT = 'absent'
    SERVING = 'serving'
    DRAINING = 'draining'


@attrs.frozen
class Announcement:
    """What a backend server says of itself.

    :ivar instance: identity of the process, new after a restart.
    :ivar url: base URL under which it takes calls.
    :ivar slots: calls that it can run at once.
    :ivar connections: connections that it accepts.
    """

    service: str
    instance: str
    url: str
    slots: int
    connections: int


_TRANSITIONS = [
    {
        'trigger': 'begin',
        'source': '*',
        'dest': State.SERVING,
    },
    {
        'trigger': 'stop_new_work',
        'source': [State.SERVING, State.DRAINING],
        'dest': State.DRAINING,
    },
    {
        'trigger': 'end',
        'source': '*',
        'dest': State.ABSENT,
    },
]


class LocalServer:
    """State of the one backend server beside a daemon."""

    def __init__(self):
        self._announcement = None
        self._lease_until = 0.0
        self._machine = transitions.Machine(
            self,
            states=State,
            transitions=_TRANSITIONS,
            initial=State.ABSENT,
            auto_transitions=False,
        )

    def announce(self, announcement, now):
        """Take an announcement and extend its lease.

        A renewal during a drain does not end the drain.

        :param announcement: :class:`Announcement`.
        :param now: monotonic seconds.
        :returns: whether this is a new process, and not a renewal.
        """
        is_known = self.find_announcement(now) is not None
        is_renewal = is_known and announcement == self._announcement
        self._announcement = announcement
        self._lease_until = now + ANNOUNCEMENT_LEASE_S
        if not is_renewal:
            self.begin()
        return not is_renewal

    def drain(self, now):
        """Take no new work; return whether this is a change."""
        if not self.is_serving(now):
            return False
        self.stop_new_work()
        return True

    def leave(self):
        """Forget the backend server; return whether there was one."""
        was_present = self.state is not State.ABSENT
        self._announcement = None
        self.end()
        return was_present

    def expire(self, now):
        """Forget a backend server with an expired lease.

        :returns: its :class:`Announcement`, or None when nothing expired.
        """
        if self.state is State.ABSENT or now < self._lease_until:
            return None
        lost = self._announcement
        self.leave()
        return lost

    def find_announcement(self, now):
        """Return the live :class:`Announcement`, or None."""
        is_live = self.state is not State.ABSENT and now < self._lease_until
        return self._announcement if is_live else None

    def is_serving(self, now):
        """Tell whether new work may go to the backend server."""
        return self.state is State.SERVING and now < self._lease_until
