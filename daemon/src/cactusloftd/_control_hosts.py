"""The control hosts that a daemon knows.

They are fixed by the settings, or found: a daemon that is told only a few
seeds learns the others from the membership of the control group.
"""

import attrs

import cactusloft_link as link


@attrs.frozen
class ControlHost:
    """A control host and the address of its peer listener.

    :ivar data_centre: empty while it is not known.
    :ivar address: :class:`link.PeerAddress`.
    """

    name: str
    data_centre: str
    address: link.PeerAddress


class FixedControlHosts(tuple):
    """Control hosts as the settings list them."""

    def learn(self, members):
        """Ignore the membership: the settings decide."""


class DiscoveredControlHosts:
    """Seeds, and the members of the control group once it is known.

    :param seeds: :class:`ControlHost` iterable.
    """

    def __init__(self, seeds):
        self._seeds = {host.name: host for host in seeds}
        self._members = {}

    def __iter__(self):
        return iter({**self._seeds, **self._members}.values())

    def learn(self, members):
        """Take the members of the control group.

        :param members: iterable of :class:`_messages.ControlMember`.
        """
        found = (
            ControlHost(
                member.daemon,
                '',
                link.PeerAddress(member.peers, member.public_key),
            )
            for member in members
        )
        self._members = {host.name: host for host in found}

    def replace_seeds(self, seeds):
        """Take the seeds of changed settings."""
        self._seeds = {host.name: host for host in seeds}


def is_control_host(settings):
    """Tell whether the daemon with these settings is a control host."""
    names = {host.name for host in settings.control_hosts}
    return bool(settings.data_folder) or settings.name in names


def list_others(control_hosts, name):
    """Return the control hosts without the one called ``name``."""
    return [host for host in control_hosts if host.name != name]


class Rotation:
    """Control hosts in the order in which one daemon tries them.

    :param settings: :class:`_settings.Settings`.
    :param random_source: source of randomness for the order.
    """

    def __init__(self, settings, random_source):
        self._settings = settings
        self._random = random_source
        self._order = []

    def find_first(self):
        """Return the :class:`ControlHost` to use, or None without any."""
        self._refresh()
        return self._order[0] if self._order else None

    def move(self):
        """Try the first one last from now on."""
        self._refresh()
        self._order = self._order[1:] + self._order[:1]

    def _refresh(self):
        """Follow hosts that came, left or changed their address."""
        settings = self._settings
        others = list_others(settings.control_hosts, settings.name)
        self._order = [host for host in self._order if host in others]
        added = [host for host in others if host not in self._order]
        self._random.shuffle(added)
        # The own data centre goes first.
        added.sort(key=lambda host: host.data_centre != settings.data_centre)
        self._order += added
