"""Registration with the control hosts, and the members they know."""

import asyncio

import attrs

import cactusloft_link as link
from cactusloftd import _messages

REGISTER_INTERVAL_S = 1.0
REGISTER_TIMEOUT_S = 1.0
LEASE_S = 3.0


class Registry:
    """Registrations at a control host, as soft state with a lease.

    :param now: function that returns monotonic seconds.
    """

    def __init__(self, now):
        self._now = now
        self._entries = {}

    async def register(self, message, _age_s):
        """Store a registration and return all live ones."""
        self._entries[message.name] = (message, self._now() + LEASE_S)
        return _messages.Registrations(tuple(self._list_live()))

    def _list_live(self):
        now = self._now()
        return (m for m, until in self._entries.values() if until > now)


class Members:
    """This daemon's view of the fleet.

    :param node: :class:`link.Node`.
    :param control_hosts: :class:`ControlHost` tuple of the settings.
    :param describe: function that returns this daemon's ``Register``.
    :param random: source of randomness for the choice.
    """

    def __init__(self, node, control_hosts, describe, random):
        self._node = node
        self._control_hosts = control_hosts
        self._describe = describe
        self._random = random
        self._members = {}

    def list_members(self):
        """Return all known registrations."""
        return list(self._members.values())

    def find(self, name):
        """Return the registration of a daemon, or None."""
        return self._members.get(name)

    def choose(self, service, excluded):
        """Return a member that serves ``service``, or None.

        :param excluded: names of daemons that are not to be chosen.
        """
        candidates = [
            member
            for member in self._members.values()
            if member.service == service
            and member.is_serving
            and member.name not in excluded
        ]
        return self._random.choice(candidates) if candidates else None

    def connect(self, member):
        """Return the link to a member's daemon."""
        address = link.PeerAddress(member.peers, member.public_key)
        return self._node.connect(address)

    async def run(self):
        """Register with every control host, again and again."""
        while True:
            await self.register_once()
            await asyncio.sleep(REGISTER_INTERVAL_S)

    async def register_once(self):
        """Register with every control host and merge their answers."""
        description = self._describe()
        replies = await asyncio.gather(
            *(
                self._node.connect(host.address).request(
                    description, REGISTER_TIMEOUT_S
                )
                for host in self._control_hosts
            )
        )
        merged = {}
        empty = _messages.Registrations(())
        for reply in replies:
            for member in reply.value_or(empty).members:
                merged[member.name] = member
        self._members = merged

    def report_draining(self, daemon):
        """Take note that ``daemon`` refused because it is not serving."""
        member = self._members.get(daemon)
        if member is not None:
            self._members[daemon] = attrs.evolve(member, is_serving=False)
