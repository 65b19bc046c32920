"""Registration with the control hosts, and the members they know."""

import asyncio

import cactusloft_link as link
from cactusloft_membership import registry
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloftd import _messages
from cactusloftd import _peers

REGISTER_INTERVAL_S = 1.0
REGISTER_TIMEOUT_S = 1.0
# The first call to a service waits this long for its members.
FIRST_USE_WAIT_S = 1.0
# Bounds the requests for members of a service that has none.
ASK_INTERVAL_S = 0.2
# Levels of pressure, from everything to nothing admitted.
PRESSURE_LEVELS = len(calls.Priority)


class RegistrationServer:
    """Answer registrations at a control host.

    :param held: :class:`registry.Registry`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, held, now):
        self._held = held
        self._now = now

    async def register(self, message, age_s):
        """Take a registration and return the members that it asks for."""
        lifetime_s = registry.REGISTRATION_LEASE_S - age_s
        now = self._now()
        self._held.expire(now)
        self._held.register(message.registration, now, lifetime_s)
        members = self._held.list_members(message.services, now)
        return _messages.Registrations(tuple(members))

    async def look_up(self, message, _age_s):
        """Return the registration of one daemon, or all without a name."""
        name = message.name
        found = (m for m in self.list_all() if name in ('', m.name))
        return _messages.Registrations(tuple(found))

    def list_all(self):
        """Return all live registrations."""
        return self._held.list_all(self._now())


class Members:
    """This daemon's view of the members of the services that it uses.

    :param node: :class:`link.Node`.
    :param control_hosts: :class:`ControlHost` tuple of the settings.
    :param describe: function that returns this daemon's ``Registration``.
    :param view: :class:`cactusloft_membership.choice.View`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, node, control_hosts, describe, view, now):
        self._node = node
        self._control_hosts = control_hosts
        self._describe = describe
        self._view = view
        self._now = now
        self._asking = None
        self._asked_at = 0.0

    def list_members(self):
        """Return the registrations of the services in use."""
        return self._view.list_members()

    async def prepare(self, service):
        """Ask for the members of ``service`` when none are known.

        Calls that come meanwhile wait for the answer, at most
        ``FIRST_USE_WAIT_S``.
        """
        now = self._now()
        is_new = self._view.note_use(service, now)
        if not is_new and self._view.find_chooser(service).members:
            return
        is_due = is_new or now - self._asked_at > ASK_INTERVAL_S
        if self._asking is None and is_due:
            self._asked_at = now
            self._asking = asyncio.ensure_future(self.register_once())
            self._asking.add_done_callback(self._note_asked)
        if self._asking is not None:
            await asyncio.wait([self._asking], timeout=FIRST_USE_WAIT_S)

    def _note_asked(self, _task):
        self._asking = None

    async def resolve(self, name):
        """Return the registration of any daemon of the fleet, or None."""
        known = next((m for m in self.list_members() if m.name == name), None)
        if known is not None:
            return known
        message = _messages.Lookup(name)
        for peer in self.list_control_links():
            reply = await peer.request(message, REGISTER_TIMEOUT_S)
            answer = reply.value_or(None)
            if answer is not None and answer.members:
                return answer.members[0]
        return None

    async def list_fleet(self):
        """Return the registrations of all daemons."""
        found = {}
        message = _messages.Lookup('')
        for peer in self.list_control_links():
            reply = await peer.request(message, REGISTER_TIMEOUT_S)
            answer = reply.value_or(_messages.Registrations(()))
            found.update((m.name, m) for m in answer.members)
        return list(found.values())

    def list_control_links(self):
        """Return the links to the control hosts."""
        return [self._node.connect(h.address) for h in self._control_hosts]

    def choose(self, service, excluded):
        """Return a member that serves ``service``, or None.

        :param excluded: names of daemons that are not to be chosen.
        """
        chooser = self._view.find_chooser(service)
        return chooser.choose(self._now(), excluded)

    def make_runner(self, member):
        """Return the :class:`_calls.Runner` that sends calls to a member."""
        return _MemberRunner(
            member,
            self.connect(member),
            self._view.find_chooser(member.service),
            self._now,
        )

    def connect(self, member):
        """Return the link to a member's daemon."""
        address = link.PeerAddress(member.peers, member.public_key)
        return self._node.connect(address)

    async def register_once(self):
        """Register with every control host and merge their answers."""
        services = self._view.list_services(self._now())
        message = _messages.Register(self._describe(), tuple(services))
        links = self.list_control_links()
        replies = await asyncio.gather(
            *(peer.request(message, REGISTER_TIMEOUT_S) for peer in links)
        )
        answers = [reply.value_or(None) for reply in replies]
        if not any(answers):
            # The last known members serve on while no control host answers.
            return
        merged = {}
        for answer in filter(None, answers):
            for member in answer.members:
                known = merged.get(member.name)
                if known is None or known.position < member.position:
                    merged[member.name] = member
        self._view.update(services, merged.values(), self._now())
        for member in self._view.list_members():
            # Connecting takes longer than a call may wait for it.
            self.connect(member)


class _MemberRunner:
    """Run calls on a member and keep count of those in flight."""

    def __init__(self, member, peer, chooser, now):
        self._name = member.name
        self._peer = peer
        self._owner = _peers.RemoteOwner(peer, now)
        self._chooser = chooser
        self._now = now

    def read_pressure(self, call):
        """Return the pressure that came with the answer."""
        return self._owner.read_pressure(call)

    async def run(self, call):
        """Run ``call`` on the member.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        self._chooser.begin(self._name)
        is_kept = False
        try:
            outcome = await self._owner.run(call)
            level = self._owner.read_pressure(call).level
            self._chooser.report(
                self._name, level / PRESSURE_LEVELS, self._now()
            )
            response = outcome.value_or(None)
            if response is not None:
                self._finish_on_close(response)
                is_kept = True
            elif _is_not_serving(outcome.failure()):
                self._chooser.avoid(self._name, self._now())
            return outcome
        finally:
            if not is_kept:
                self._chooser.finish(self._name)

    def _finish_on_close(self, response):
        close_inner = response.close

        async def close():
            self._chooser.finish(self._name)
            await close_inner()

        response.close = close


def _is_not_serving(error):
    return error.kind is errors.ErrorKind.NO_BACKEND_SERVER
