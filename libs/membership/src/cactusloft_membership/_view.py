"""A daemon's view of the members of the services that it uses."""

from cactusloft_membership import _choice
from cactusloft_membership import _subset

# A service that no call went to for this time is watched no more.
SERVICE_KEPT_S = 600.0


class MembershipView:
    """Members and choosers of the services in use.

    The view keeps the last known members while no control host answers: an
    owner refuses what it must not run, whatever this view says.

    :param daemon: name of this daemon.
    :param data_centre: its data centre.
    :param random_source: source of randomness for the choice.
    """

    def __init__(self, daemon, data_centre, random_source):
        self._daemon = daemon
        self._data_centre = data_centre
        self._random = random_source
        self._choosers = {}
        self._used_at = {}

    def record_use(self, service, now):
        """Take note of a call to ``service``; return whether it is new."""
        is_new = service not in self._used_at
        self._used_at[service] = now
        return is_new

    def list_services(self, now):
        """Return the names of the services in use, in order."""
        self._used_at = {
            service: used_at
            for service, used_at in self._used_at.items()
            if now - used_at < SERVICE_KEPT_S
        }
        for service in set(self._choosers) - set(self._used_at):
            del self._choosers[service]
        return sorted(self._used_at)

    def update(self, services, members, now):
        """Replace the members of ``services``.

        :param services: the services that were asked for. Those that came
            into use meanwhile keep the members that they have.
        :param members: iterable of :class:`Registration`.
        """
        members = list(members)
        for service in set(services) & set(self._used_at):
            serving = [
                member
                for member in members
                if member.service == service
                and member.is_serving
                and member.name != self._daemon
            ]
            subset = _subset.choose_subset(
                self._daemon, self._data_centre, serving
            )
            self.find_chooser(service).update(subset, now)

    def find_chooser(self, service):
        """Return the :class:`Chooser` of a service, made on first use."""
        chooser = self._choosers.get(service)
        if chooser is None:
            chooser = _choice.Chooser(self._data_centre, self._random)
            self._choosers[service] = chooser
        return chooser

    def list_members(self):
        """Return the members in the subsets of the services in use."""
        return [
            member
            for chooser in self._choosers.values()
            for member in chooser.members
        ]
