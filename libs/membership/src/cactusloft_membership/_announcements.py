"""Lease of the backend server beside a daemon.

The backend server renews its lease by repeating its announcement. When the
lease expires, the backend server counts as lost. A drained backend server gets
no new work until a new process announces itself.
"""

import enum

import attrs
import transitions

ANNOUNCEMENT_LEASE_S = 3.0


class State(enum.Enum):
    """State of the backend server beside a daemon."""

    ABSENT = 'absent'
    SERVING = 'serving'
    DRAINING = 'draining'


@attrs.frozen
class Announcement:
    """Description that a backend server sends to its daemon.

    :ivar service: name of the service that it provides.
    :ivar instance: identity of the process; differs after a restart.
    :ivar url: base URL at which it accepts calls.
    :ivar slots: number of calls that it can run concurrently.
    :ivar connections: number of connections that it accepts.
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
    """Lease and state of the backend server beside a daemon."""

    def __init__(self):
        self._announcement = None
        self._lease_expires_at = 0.0
        self._machine = transitions.Machine(
            self,
            states=State,
            transitions=_TRANSITIONS,
            initial=State.ABSENT,
            auto_transitions=False,
        )

    def announce(self, announcement, now):
        """Accept an announcement and start its lease again.

        An unchanged announcement during a live lease is a renewal, which does
        not end a drain.

        :param announcement: :class:`Announcement`.
        :param now: monotonic seconds.
        :returns: False for a renewal.
        """
        is_known = self.find_announcement(now) is not None
        is_renewal = is_known and announcement == self._announcement
        self._announcement = announcement
        self._lease_expires_at = now + ANNOUNCEMENT_LEASE_S
        if not is_renewal:
            self.begin()
        return not is_renewal

    def drain(self, now):
        """Stop new work; return whether the backend server was serving."""
        if not self.is_serving(now):
            return False
        self.stop_new_work()
        return True

    def is_draining(self, now):
        """Tell whether the backend server gets no new work any more."""
        return self.state is State.DRAINING and now < self._lease_expires_at

    def leave(self):
        """Remove the backend server; return whether there was one."""
        was_present = self.state is not State.ABSENT
        self._announcement = None
        self.end()
        return was_present

    def expire(self, now):
        """Remove the backend server if its lease has expired.

        :returns: :class:`Announcement` of the lost backend server, or None.
        """
        if self.state is State.ABSENT or now < self._lease_expires_at:
            return None
        lost = self._announcement
        self.leave()
        return lost

    def find_announcement(self, now):
        """Return the :class:`Announcement` if its lease is live, else None."""
        is_live = (
            self.state is not State.ABSENT and now < self._lease_expires_at
        )
        return self._announcement if is_live else None

    def is_serving(self, now):
        """Return whether the backend server may get new work."""
        return self.state is State.SERVING and now < self._lease_expires_at
