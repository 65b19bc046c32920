"""A daemon's view of the members of the services that it calls."""

from cactusloft_membership import _choice
from cactusloft_membership import _departures
from cactusloft_membership import _subset

# A service without calls for this time is removed from the view.
SERVICE_RETENTION_S = 600.0


class MembershipView:
    """Members and choosers of the services in use.

    The view keeps the last known members while no control host replies. This
    is safe because an owner refuses calls that it must not run, even if the
    view is outdated.

    :param daemon: name of this daemon.
    :param data_centre: data centre of this daemon.
    :param random_source: like :class:`random.Random`.
    :param make_policy: function that returns the :class:`ChoicePolicy` of a
        service, None to choose by load only.
    """

    def __init__(self, daemon, data_centre, random_source, make_policy=None):
        self._daemon = daemon
        self._data_centre = data_centre
        self._random = random_source
        self._make_policy = make_policy
        self._choosers = {}
        self._last_used_at = {}
        self._departures = _departures.Departures()

    def record_use(self, service, now):
        """Record a call to ``service``; return whether the service is new."""
        is_new = service not in self._last_used_at
        self._last_used_at[service] = now
        return is_new

    def count_in_flight(self):
        """Return the calls to members that have not finished."""
        return sum(c.in_flight for c in self._choosers.values())

    def list_services(self, now):
        """Return the sorted names of services in use; remove the others."""
        self._last_used_at = {
            service: last_used_at
            for service, last_used_at in self._last_used_at.items()
            if now - last_used_at < SERVICE_RETENTION_S
        }
        for service in set(self._choosers) - set(self._last_used_at):
            del self._choosers[service]
        return sorted(self._last_used_at)

    def update(self, services, members, now):
        """Replace the members of ``services``.

        :param services: services that the request to the control host named.
            Services used for the first time since then keep their members.
        :param members: iterable of :class:`Registration`, complete for
            ``services``.
        :param now: monotonic seconds.
        """
        members = list(members)
        for member in members:
            if member.is_leaving:
                self._departures.record(member.process, now)
        for service in set(services) & set(self._last_used_at):
            serving = [
                member
                for member in members
                if member.service == service
                and member.is_serving
                and member.name != self._daemon
                and not self._departures.has_left(member.process)
            ]
            subset = _subset.choose_subset(
                self._daemon, self._data_centre, serving
            )
            self.find_chooser(service).update(subset, now)

    def record_departure(self, process, now):
        """Choose no member with this :class:`BackendProcess` any more.

        :param now: monotonic seconds.
        """
        if not self._departures.record(process, now):
            return
        for chooser in self._choosers.values():
            remaining = [m for m in chooser.members if m.process != process]
            if len(remaining) < len(chooser.members):
                chooser.update(remaining, now)

    def list_recent_departures(self, now):
        """Return the processes that were lately known to leave.

        :param now: monotonic seconds.
        """
        return self._departures.list_recent(now)

    def find_chooser(self, service):
        """Return the :class:`Chooser` of a service; create it on first use."""
        chooser = self._choosers.get(service)
        if chooser is None:
            policy = self._make_policy and self._make_policy()
            chooser = _choice.Chooser(self._data_centre, self._random, policy)
            self._choosers[service] = chooser
        return chooser

    def list_members(self):
        """Return the members in the subsets of all services in use."""
        return [
            member
            for chooser in self._choosers.values()
            for member in chooser.members
        ]
