"""What the resident knows of the backend server beside it.

Messages of one process are ordered by its sequence, processes by their start,
so that a late heartbeat of an earlier process changes nothing.
"""

import attrs

# Four heartbeats; a backend server that crashed is noticed by its connections.
LEASE_S = 6.0


@attrs.define
class Worker:
    """The backend server process that was heard last.

    :ivar heartbeat: its newest :class:`protocol.Heartbeat`, or None.
    :ivar heard_at: monotonic seconds of that.
    :ivar has_left: whether it takes no new work for good.
    :ivar is_unreachable: whether it took no connection since that.
    """

    heartbeat: object = None
    heard_at: float = float('-inf')
    has_left: bool = False
    is_unreachable: bool = False

    def take(self, heartbeat, now):
        """Take a heartbeat.

        :returns: whether it is that of a new process.
        """
        known = self.heartbeat
        if known is not None and _order(heartbeat) <= _order(known):
            return False
        is_new = known is None or _process(heartbeat) != _process(known)
        # A process that said that it leaves does not come back.
        is_leaving = self.has_left and not is_new
        self.heartbeat = heartbeat
        self.heard_at = now
        self.has_left = is_leaving or heartbeat.is_draining
        self.is_unreachable = False
        return is_new

    def leave(self, instance, born_ms):
        """Take note that a process leaves.

        :param born_ms: start of the process, None when it does not say.
        :returns: whether it is the one that was heard last.
        """
        known = self.heartbeat
        if known is None or known.instance != instance:
            return False
        if born_ms is not None and born_ms < known.born_ms:
            return False
        self.has_left = True
        return True

    def is_serving(self, now):
        """Tell whether new work may go to it."""
        if self.heartbeat is None or self.has_left or self.is_unreachable:
            return False
        return now - self.heard_at < LEASE_S


def _order(heartbeat):
    return heartbeat.born_ms, heartbeat.sequence


def _process(heartbeat):
    return heartbeat.instance, heartbeat.born_ms, heartbeat.service
