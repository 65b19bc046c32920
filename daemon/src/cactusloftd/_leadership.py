"""Leadership of the control group by the local replica."""

from cactusloft_model import events
import cactusloft_quota as quota


class Leadership:
    """The leadership of the local control replica.

    :param view: :class:`_group.GroupView`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :ivar term: term in which this daemon is the leader, None if it is not.
    :ivar started_at: monotonic seconds at which it was seen to be the leader.
    """

    def __init__(self, view, log, now):
        self._view = view
        self._log = log
        self._now = now
        self.term = None
        self.started_at = 0.0

    def is_confirmed(self):
        """Tell whether this daemon leads and was recently confirmed.

        Without a recent confirmation another leader may have been elected,
        which relies on this one to act as leader no longer.
        """
        replica = self._view.replica
        if replica is None or not replica.is_leader:
            self.term = None
            return False
        if replica.term != self.term:
            self.term = replica.term
            self.started_at = self._now()
            self._log.record(events.Event.ALLOCATOR_STARTED, term=self.term)
        confirmed_at = replica.confirmed_at
        if confirmed_at is None:
            return False
        return self._now() - confirmed_at < quota.CONFIRMATION_VALIDITY_S
