"""Tests of the tables of members that a control host sends to daemons."""

import asyncio
import types

import attrs

from cactusloft_membership import registry
from cactusloftd import _control_hosts
from cactusloftd import _members
from cactusloftd import _messages
from cactusloftd import _registrations

OWN = registry.Registration('d0', 1, 1, 'd0', 'east', 'd0:1', '', '', 'desk')
SERVICES = ('stock',)


def make_member(name, **changes):
    """Return the registration of a daemon beside a stock server."""
    member = registry.Registration(
        name, 1, 1, name, 'east', f'{name}:1', '', '', 'stock', 'i', 4, True
    )
    return attrs.evolve(member, **changes)


class Home:
    """A control host with a table of members, and one daemon."""

    def __init__(self):
        self._clock = 100.0
        self.services = SERVICES
        self.restart_server()
        self.settle()
        self.members = _members.Members(
            types.SimpleNamespace(connect=lambda address: None),
            (),
            lambda: OWN,
            View(self),
            lambda: 0.0,
        )
        self.sent_bytes = 0

    def restart_server(self):
        """Replace the control host by one that knows no members."""
        settings = types.SimpleNamespace(
            name='c1', document_file='', control_hosts=()
        )
        self.server = _registrations.RegistrationServer(
            settings,
            1,
            None,
            types.SimpleNamespace(age_s=0.1),
            lambda: self._clock,
        )
        self._known = 0
        self._registry = self.server._registry

    def settle(self):
        """Wait until all daemons have had time to register."""
        self._clock += 10.0

    def store(self, *members):
        """Register members at this home."""
        for member in members:
            self._registry.register(member, self._clock)

    def exchange(self, loses_reply=False):
        """Send a report; apply the reply unless it is lost."""
        request = _messages.TableRequest(
            'members', self._known, self.members.make_report()
        )
        table = self.server.exchange('d0', request)
        if table is None or loses_reply:
            return
        self.sent_bytes = len(table.content)
        self._known = table.version
        self.members.apply_table(table.content)

    def list_known(self):
        """Return the registrations that the daemon has, by name."""
        return self.members._registrations


class View:
    """A view of the services that the daemon uses."""

    def __init__(self, home):
        self._home = home

    def list_services(self, now):
        return self._home.services

    def list_recent_departures(self, now):
        return []

    def update(self, services, members, now):
        list(members)

    def list_members(self):
        return []


def run(function):
    """Call ``function`` with a new home inside an event loop."""

    async def call():
        return function(Home())

    return asyncio.run(call())


def test_change_of_one_member_is_sent_alone():
    """Sending all members for each restart filled the links between sites."""

    def check(home):
        home.store(*(make_member(f'd{i}') for i in range(1, 100)))
        home.exchange()
        complete_bytes = home.sent_bytes
        home.store(make_member('d7', sequence=2, is_serving=False))
        home.exchange()
        assert not home.list_known()['d7'].is_serving
        assert len(home.list_known()) == 99
        assert home.sent_bytes < complete_bytes / 20

    run(check)


def test_removed_member_is_not_kept():
    """A server that left must not get work after a difference."""

    def check(home):
        home.store(make_member('d1'), make_member('d2'))
        home.exchange()
        home.store(make_member('d2', sequence=2, service='other'))
        home.exchange()
        assert set(home.list_known()) == {'d1'}

    run(check)


def test_lost_reply_is_followed_by_all_members():
    """A difference to a table that never arrived would lose its members."""

    def check(home):
        home.store(make_member('d1'))
        home.exchange()
        home.store(make_member('d2'))
        home.exchange(loses_reply=True)
        home.store(make_member('d3'))
        home.exchange()
        assert set(home.list_known()) == {'d1', 'd2', 'd3'}

    run(check)


def test_control_host_of_the_own_data_centre_is_watched():
    """Daemons watched hosts far away, over links that may be cut."""
    hosts = _control_hosts.DiscoveredControlHosts(
        [_control_hosts.ControlHost('c1', '', None)]
    )
    settings = types.SimpleNamespace(
        name='d0', data_centre='east', control_hosts=hosts
    )
    rotation = _control_hosts.Rotation(
        settings, types.SimpleNamespace(shuffle=lambda items: None)
    )
    assert rotation.find_current().name == 'c1'
    hosts.update_members(
        _messages.ControlMember(name, name, f'{name}:1', '', True, data_centre)
        for name, data_centre in (('c1', 'west'), ('c2', 'east'))
    )
    assert rotation.find_current().name == 'c2'


def test_first_call_to_a_service_while_control_hosts_settle():
    """It found no member for up to 3 s after all control hosts restarted.

    The members of other services, which the restarted host may not know yet,
    must be kept until it has settled.
    """

    def check(home):
        home.store(make_member('d1'), make_member('d2'))
        home.exchange()
        home.restart_server()
        home.store(make_member('d3', service='track'))
        home.services = ('stock', 'track')
        home.exchange()
        assert set(home.list_known()) == {'d1', 'd2', 'd3'}
        home.store(make_member('d4', service='track'))
        home.exchange()
        assert set(home.list_known()) == {'d1', 'd2', 'd3', 'd4'}
        home.settle()
        home.store(make_member('d1', sequence=2))
        home.store(make_member('d3', sequence=2, service='track'))
        home.exchange()
        assert set(home.list_known()) == {'d1', 'd3'}

    run(check)


def test_member_of_an_unused_service_outlives_its_departure():
    """Members kept while the home settles must not stay for good."""

    def check(home):
        home.services = ('stock',)
        home.store(make_member('old'))
        home.exchange()
        known = home._known
        home.restart_server()
        home._known = known
        home.services = ('track',)
        home.exchange()
        home.settle()
        home.exchange()
        home.services = ('stock', 'track')
        home.store(make_member('new'))
        home.exchange()
        assert set(home.list_known()) == {'new'}

    run(check)
