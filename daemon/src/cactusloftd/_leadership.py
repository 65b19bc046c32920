"""Whether this daemon leads the control group, and since when."""

from cactusloft_model import events
import cactusloft_quota as quota


class Leadership:
    """The leadership of the local control replica.

    :param view: :class:`_group.GroupView`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :ivar term: term in which this daemon leads, None while it does not.
    :ivar since: monotonic seconds of its beginning.
    """

    def __init__(self, view, log, now):
        self._view = view
        self._log = log
        self._now = now
        self.term = None
        self.started_at = 0.0

    def is_confirmed(self):
        """Tell whether this daemon leads and was confirmed just now.

        Without the confirmation another leader may already have been elected
        and count on the silence of this one.
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
