"""The control hosts that a daemon knows.

They are either listed in the settings or discovered: a daemon that is
configured with a few seeds learns the other control hosts from the membership
of the control group.
"""

import attrs

import cactusloft_link as link


@attrs.frozen
class ControlHost:
    """A control host and the address of its peer listener.

    :ivar data_centre: empty when unknown.
    :ivar address: :class:`link.PeerAddress`.
    """

    name: str
    data_centre: str
    address: link.PeerAddress


class FixedControlHosts(tuple):
    """Control hosts that the settings list in full."""

    def update_members(self, members):
        """Ignore the membership: the list of the settings is complete."""


class DiscoveredControlHosts:
    """Seeds, and the members of the control group once it is known.

    :param seeds: :class:`ControlHost` iterable.
    """

    def __init__(self, seeds):
        self._seeds = {host.name: host for host in seeds}
        self._members = {}

    def __iter__(self):
        return iter({**self._seeds, **self._members}.values())

    def update_members(self, members):
        """Replace the known members of the control group.

        :param members: iterable of :class:`_messages.ControlMember`.
        """
        hosts = (
            ControlHost(
                member.daemon,
                member.data_centre,
                link.PeerAddress(member.peers, member.public_key),
            )
            for member in members
        )
        self._members = {host.name: host for host in hosts}

    def replace_seeds(self, seeds):
        """Replace the seeds after a reload of the settings."""
        self._seeds = {host.name: host for host in seeds}


def is_control_host(settings):
    """Tell whether the daemon with these settings is a control host."""
    names = {host.name for host in settings.control_hosts}
    return bool(settings.data_folder) or settings.name in names


def list_others(control_hosts, name):
    """Return the control hosts other than the one called ``name``."""
    return [host for host in control_hosts if host.name != name]


class Rotation:
    """Order in which a daemon tries the control hosts.

    Newly known hosts are added in random order, those of the daemon's own
    data centre first.

    :param settings: :class:`_settings.Settings`.
    :param random_source: :class:`random.Random` that shuffles the hosts.
    """

    def __init__(self, settings, random_source):
        self._settings = settings
        self._random = random_source
        self._order = []

    def find_current(self):
        """Return the :class:`ControlHost` to use, or None without any."""
        self._refresh()
        return self._order[0] if self._order else None

    def advance(self):
        """Move the current control host to the end of the order."""
        self._refresh()
        self._order = self._order[1:] + self._order[:1]

    def list_backups(self):
        """Return the control hosts after the current one, in order."""
        self._refresh()
        return self._order[1:]

    def put_last(self, host):
        """Move a control host that may not answer to the end of the order."""
        if host in self._order[1:]:
            self._order.remove(host)
            self._order.append(host)

    def put_next(self, host):
        """Move a control host that answered behind the current one."""
        if host in self._order[1:]:
            self._order.remove(host)
            self._order.insert(1, host)

    def _refresh(self):
        """Apply added, removed and readdressed hosts to the order."""
        settings = self._settings
        others = list_others(settings.control_hosts, settings.name)
        self._order = [host for host in self._order if host in others]
        added = [host for host in others if host not in self._order]
        self._random.shuffle(added)
        # Hosts of the own data centre come first.
        added.sort(key=lambda host: host.data_centre != settings.data_centre)
        self._order += added
