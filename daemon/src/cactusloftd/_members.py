"""Reports to the home of this daemon, and the members that it knows."""

import asyncio
import itertools

import msgspec

import cactusloft_link as link
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_placement import work as placement_work
from cactusloftd import _messages
from cactusloftd import _peers

LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
# A daemon that shuts down waits this long for the ack of its last report.
REPORT_TIMEOUT_S = 1.0
# A departure is acknowledged once the home has confirmed it. The sender waits
# one second for the acknowledgement.
DEPARTURE_TIMEOUT_S = 0.7
# The first call to a service waits this long for its members.
FIRST_USE_TIMEOUT_S = 1.0
# Pressure level at which calls of no priority are admitted.
MAX_PRESSURE_LEVEL = len(calls.Priority)
# A peer that hasn't responded for this time gets no new calls. Its link is
# closed only after a longer time.
SUSPECT_AFTER_S = 0.6


class Members:
    """This daemon's view of the members of the services that it uses.

    :param node: :class:`link.LinkNode`.
    :param control_hosts: :class:`ControlHost` tuple of the settings.
    :param make_registration: function that returns this daemon's
        ``Registration``.
    :param view: :class:`cactusloft_membership.choice.MembershipView`.
    :param now: function that returns monotonic seconds.

    :ivar find_home: function that returns the :class:`ControlHost` that this
        daemon watches, or None.
    :ivar on_report_due: function called when a report must be sent at once.
    :ivar on_departure: function called with the process of the local backend
        server when the home knows that it has announced its departure.
    :ivar find_evacuated: function that returns the names of the data centres
        whose members must not be chosen.
    :ivar on_call: function called when a call to a member begins.
    :ivar on_call_end: function called when it is no longer in flight.
    :ivar on_work_report: function called when an owner reports its work.
    """

    def __init__(self, node, control_hosts, make_registration, view, now):
        self._node = node
        self._control_hosts = control_hosts
        self._make_registration = make_registration
        self._view = view
        self._now = now
        # Services of which a complete list of members was received.
        self._complete_services = set()
        # Registrations by name that the home sent.
        self._registrations = {}
        self._first_used_at = {}
        self._table_received = asyncio.Event()
        self._reported_sequence = 0
        self._is_settled = False
        self._links = {}
        self._acked_sequence = 0
        self._confirmed_departure = None
        self.find_home = lambda: None
        self.find_evacuated = lambda: ()
        self.on_report_due = lambda: None
        self.on_departure = lambda process: None
        self.on_call = self.on_call_end = lambda: None
        self.on_work_report = lambda: None

    def list_members(self):
        """Return the registrations of the services in use."""
        return self._view.list_members()

    async def prepare(self, service):
        """Request the members of ``service`` at its first use.

        This call and those that follow wait for a member or a complete list,
        until ``FIRST_USE_TIMEOUT_S`` after the first call.
        """
        now = self._now()
        if self._view.record_use(service, now):
            self._first_used_at[service] = now
            self.on_report_due()
        if self._is_known(service):
            return
        # The timeout starts with the first call. If each call waited in full,
        # calls would pile up while a control host settles.
        remaining_s = self._first_used_at[service] + FIRST_USE_TIMEOUT_S - now
        if remaining_s > 0:
            await self._wait_until(
                lambda: self._is_known(service), remaining_s
            )

    def _is_known(self, service):
        """Tell whether the members of a service may be chosen from.

        Just after a restart of the control hosts a list may be empty although
        members run, since they have not registered there yet.
        """
        return service in self._complete_services or any(
            member.service == service and member.is_serving
            for member in self._registrations.values()
        )

    async def report_now(self):
        """Report a change of state and wait for the ack of the home."""
        previous_sequence = self._reported_sequence
        self.on_report_due()
        await self._wait_until(
            lambda: self._acked_sequence > previous_sequence, REPORT_TIMEOUT_S
        )

    async def report_departure(self, process):
        """Report that the local backend server leaves; wait for the home.

        :param process: :class:`registry.BackendProcess` that leaves.
        :returns: whether the home has confirmed that it knows.
        """
        if self._confirmed_departure != process:
            self.on_report_due()
            await self._wait_until(
                lambda: self._confirmed_departure == process,
                DEPARTURE_TIMEOUT_S,
            )
        return self._confirmed_departure == process

    def make_report(self):
        """Return the report to the home of this daemon."""
        services = tuple(self._view.list_services(self._now()))
        self._complete_services.intersection_update(services)
        for service in set(self._first_used_at).difference(services):
            del self._first_used_at[service]
        registration = self._make_registration()
        self._reported_sequence = registration.sequence
        report = _messages.MembersReport(
            registration,
            services,
            not self._is_settled,
            tuple(self._view.list_recent_departures(self._now())),
            tuple(s for s in services if s not in self._complete_services),
        )
        return msgspec.msgpack.encode(report)

    def apply_table(self, content):
        """Apply the table of members that the home sent."""
        table = msgspec.msgpack.decode(content, type=_messages.MembersTable)
        self._is_settled = self._is_settled or table.is_settled
        if not table.is_difference:
            self._registrations = self._list_kept(table)
        for name in table.removed:
            self._registrations.pop(name, None)
        self._registrations.update((m.name, m) for m in table.members)
        self._view.update(
            table.services, self._registrations.values(), self._now()
        )
        if table.is_settled:
            self._complete_services.update(table.services)
        if table.leaving_process is not None:
            self._confirmed_departure = table.leaving_process
            self.on_departure(table.leaving_process)
        self._acked_sequence = max(self._acked_sequence, table.sequence)
        self._table_received.set()
        self._table_received = asyncio.Event()
        # Connect in advance, since connecting takes longer than a call may
        # wait for it.
        self._links = {
            member.name: self.connect(member)
            for member in self._view.list_members()
        }

    def _list_kept(self, table):
        """Return the registrations that a table does not replace, by name.

        A table that may be incomplete covers only its services.
        """
        if table.is_settled:
            return {}
        return {
            name: member
            for name, member in self._registrations.items()
            if member.service not in table.services
        }

    async def _wait_until(self, is_true, timeout_s):
        """Wait for a condition that a table of the home makes true."""
        try:
            async with asyncio.timeout(timeout_s):
                while not is_true():
                    await self._table_received.wait()
        except TimeoutError:
            # The home is unresponsive; the last known members stay in use.
            return

    async def resolve(self, name):
        """Return the registration of a daemon of the fleet by name, or None.

        Asks the control hosts for a daemon that is not a known member.
        """
        known = next((m for m in self.list_members() if m.name == name), None)
        if known is not None:
            return known
        message = _messages.Lookup(name)
        for peer in self.list_control_links():
            members = await _look_up(peer, message)
            if members:
                return members[0]
        return None

    async def list_fleet(self):
        """Return the registrations of all daemons, from all control hosts."""
        latest = {}
        message = _messages.Lookup('')
        peers = self.list_control_links()
        replies = await asyncio.gather(*(_look_up(p, message) for p in peers))
        for member in itertools.chain.from_iterable(replies):
            known = latest.get(member.name)
            if known is None or known.position < member.position:
                latest[member.name] = member
        return list(latest.values())

    def list_control_links(self):
        """Return the links to the control hosts."""
        return [self._node.connect(h.address) for h in self._control_hosts]

    def list_report_links(self):
        """Return the links to the control hosts, the home first."""
        home = self.find_home()
        hosts = sorted(self._control_hosts, key=lambda host: host != home)
        return [self._node.connect(host.address) for host in hosts]

    def choose(self, service, excluded, call=None):
        """Return a member that serves ``service``, or None.

        Members whose link is down or unresponsive are chosen only if there is
        no other.

        :param excluded: names of daemons that must not be chosen.
        :param call: the call, for a choice that depends on it, or None.
        """
        chooser = self._view.find_chooser(service)
        now = self._now()
        evacuated = self.find_evacuated()
        if evacuated:
            left = (m for m in chooser.members if m.data_centre in evacuated)
            excluded = {*excluded, *(member.name for member in left)}
        chosen = chooser.choose(now, excluded, call)
        if chosen is None or not self._is_suspect(chosen):
            return chosen
        suspects = filter(self._is_suspect, chooser.members)
        names = (member.name for member in suspects)
        chosen = chooser.choose(now, {*excluded, *names}, call)
        # A link that is still being established is better than none.
        return chosen or chooser.choose(now, excluded, call)

    def _is_suspect(self, member):
        peer = self._links.get(member.name)
        if peer is None or not peer.is_up:
            return True
        return peer.unresponsive_s > SUSPECT_AFTER_S

    def record_outcome(self, service, name, is_failed):
        """Record whether the backend server of a member failed a call."""
        self._view.find_chooser(service).record_outcome(name, is_failed)

    def find_mean_latency(self, service, kind):
        """Return the mean latency in seconds of a kind of call, or None.

        It covers the calls that this daemon sent to members.
        """
        return self._view.find_chooser(service).find_mean_latency(kind)

    def count_in_flight(self):
        """Return the calls to members that have not finished."""
        return self._view.count_in_flight()

    def record_departure(self, process):
        """Send no more calls to a :class:`registry.BackendProcess`."""
        self._view.record_departure(process, self._now())

    def make_runner(self, member):
        """Return the :class:`_calls.Runner` that sends calls to a member."""
        return _MemberRunner(
            member,
            self._links.get(member.name) or self.connect(member),
            self._view.find_chooser(member.service),
            self._now,
            self.record_departure,
            self.on_call,
            self.on_call_end,
            self.on_work_report,
        )

    def connect(self, member):
        """Return the link to a member's daemon."""
        address = link.PeerAddress(member.peers, member.public_key)
        return self._node.connect(address)


async def _look_up(peer, message):
    """Return the registrations that a control host has for a lookup."""
    # A link that is still being established accepts no requests.
    if not await peer.wait_until_up(CONNECT_TIMEOUT_S):
        return ()
    reply = await peer.request(message, LOOKUP_TIMEOUT_S)
    return reply.value_or(_messages.Registrations(())).members


class _MemberRunner:
    """Run calls on a member, and record their number, pressure and latency."""

    def __init__(
        self,
        member,
        peer,
        chooser,
        now,
        record_departure,
        on_call,
        on_call_end,
        on_work_report,
    ):
        self._name = member.name
        self._peer = peer
        self._owner = _peers.RemoteOwner(peer, now)
        self._chooser = chooser
        self._now = now
        self._record_departure = record_departure
        self._on_call = on_call
        self._on_call_end = on_call_end
        self._on_work_report = on_work_report

    @property
    def load(self):
        """Return the calls per slot that the last reply reported, or None."""
        return self._owner.load

    @property
    def work(self):
        """Return the :class:`work.WorkReport` of the last reply, or None."""
        return self._owner.work

    def read_pressure(self, call):
        """Return the pressure that the response reported."""
        return self._owner.read_pressure(call)

    async def run(self, call):
        """Run ``call`` on the member.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        self._on_call()
        self._chooser.begin(self._name)
        finishes_on_close = False
        started_at = self._now()
        try:
            outcome = await self._owner.run(call)
            level = self._owner.read_pressure(call).level
            now = self._now()
            self._chooser.record_pressure(
                self._name, level / MAX_PRESSURE_LEVEL, now
            )
            if self._owner.load is not None:
                self._chooser.record_load(self._name, self._owner.load, now)
            response = outcome.value_or(None)
            if self._owner.work is not None:
                self._record_work(call, response, started_at, now)
            if response is not None:
                if response.status < 500:
                    self._chooser.record_latency(
                        self._name, call.route, now - started_at, now
                    )
                if response.leaving_process is not None:
                    self._record_departure(response.leaving_process)
                self._finish_on_close(response)
                finishes_on_close = True
            elif _is_not_serving(outcome.failure()):
                self._chooser.exclude_temporarily(self._name, self._now())
            return outcome
        finally:
            if not finishes_on_close:
                self._finish()

    def estimate_end(self, call):
        """Return the seconds until the end of a call that waits here.

        None if the last reply did not report the work of the member.
        """
        report, policy = self._owner.work, self._chooser.policy
        if report is None or policy is None:
            return None
        return placement_work.estimate_end(
            report, policy.expect_cost(call.route)
        )

    def _record_work(self, call, response, started_at, now):
        """Record what the reply reported of the work of the member."""
        policy, report = self._chooser.policy, self._owner.work
        if policy is None:
            return
        self._on_work_report()
        slowness = report.slowness / 100
        policy.record_report(
            self._name,
            report.start_delay_ms / 1000,
            slowness,
            self._owner.load,
            now,
        )
        # Other calls may have waited at the owner.
        if not call.needs_free_slot:
            return
        elapsed_s = now - started_at
        if response is None:
            policy.record_round_trip(self._name, elapsed_s)
        elif response.status < 500:
            policy.record_latency(
                self._name, call.route, elapsed_s, slowness, now
            )

    def _finish(self):
        self._chooser.finish(self._name)
        self._on_call_end()

    def _finish_on_close(self, response):
        """Count the call as in flight until its response is closed."""
        close_response = response.close

        async def close():
            self._finish()
            await close_response()

        response.close = close


def _is_not_serving(error):
    return error.kind is errors.ErrorKind.NO_BACKEND_SERVER
