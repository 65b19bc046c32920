"""Contract tests of the exchange of registrations between control hosts."""

import attrs
import pytest

from cactusloft_membership import exchange
from cactusloft_membership import registry

TICK_S = 0.5


class Host:
    """A control host with its home table and its copies of other tables."""

    def __init__(self, name, incarnation=1):
        self.name = name
        self.registry = registry.Registry()
        self.table = exchange.HomeTable(name, incarnation, self.registry)
        self.copies = exchange.HomeCopies(self.registry)
        self.acks = {}


class Simulation:
    """Simulate control hosts a, b and c and the messages between them.

    :ivar homes: maps a daemon to its home and the fields of its registration.
    :ivar lost_links: pairs (source, target) whose messages are lost.
    :ivar are_acks_lost: whether every ack is lost.
    """

    def __init__(self):
        self.now = 0.0
        self.hosts = {name: Host(name) for name in 'abc'}
        self.homes = {}
        self.sequence = 0
        self.lost_links = set()
        self.are_acks_lost = False

    def report(self, daemon, host, **fields):
        """Register a daemon at a host, as the watch of the daemon does."""
        self.sequence += 1
        registration = registry.Registration(
            name=daemon,
            incarnation=1,
            sequence=self.sequence,
            host=daemon,
            data_centre='dc1',
            peers='127.0.0.1:1',
            admin='127.0.0.1:2',
            public_key='k' * 40,
            service='maps',
            **({'is_serving': True} | fields),
        )
        has_changed_home = self.homes.get(daemon, (None,))[0] != host
        self.homes[daemon] = host, fields
        home_registry = self.hosts[host].registry
        home_registry.register(
            registration, self.now, has_changed_home=has_changed_home
        )

    def send(self, source, target):
        """Send the updates of one host's home table to another host."""
        sender = self.hosts[source]
        for update in sender.table.list_updates(sender.acks.get(target)):
            if (source, target) in self.lost_links:
                return
            ack = self.hosts[target].copies.apply(update, self.now)
            if not self.are_acks_lost:
                sender.acks[target] = ack

    def run(self, duration_s):
        """Advance the time, with all heartbeats and renewals."""
        for _ in range(int(duration_s / TICK_S)):
            self.now += TICK_S
            for daemon, (host, fields) in list(self.homes.items()):
                self.report(daemon, host, **fields)
            for host in self.hosts.values():
                host.registry.expire(self.now)
                host.copies.expire(self.now)
            self.send_all()

    def send_all(self):
        for source in self.hosts:
            for target in set(self.hosts) - {source}:
                self.send(source, target)

    def isolate(self, name):
        """Lose all messages from and to a host."""
        others = set(self.hosts) - {name}
        self.lost_links |= {(name, other) for other in others} | {
            (other, name) for other in others
        }

    def list_known(self, host):
        """Return whether each member that a host knows is serving."""
        members = self.hosts[host].registry.list_members(['maps'], self.now)
        return {member.name: member.is_serving for member in members}


def lose_difference(simulation):
    simulation.lost_links.add(('a', 'c'))
    simulation.report('d1', 'a', is_serving=False)
    simulation.run(1)
    simulation.lost_links.clear()


def lose_ack(simulation):
    simulation.are_acks_lost = True
    simulation.report('d1', 'a', is_serving=False)
    simulation.run(1)
    simulation.are_acks_lost = False


def reorder(simulation):
    """Deliver a difference twice, both times after its successor."""
    host, copies = simulation.hosts['a'], simulation.hosts['c'].copies
    simulation.report('d1', 'a')
    late = host.table.list_updates(host.acks['c'])
    simulation.report('d1', 'a', is_serving=False)
    simulation.send('a', 'c')
    for update in late * 2:
        copies.apply(update, simulation.now)


def skip_difference(simulation):
    """Deliver a difference whose predecessor was lost."""
    host, copies = simulation.hosts['a'], simulation.hosts['c'].copies
    before = host.acks['c']
    simulation.report('d1', 'a', is_serving=False)
    missed = attrs.evolve(before, sequence=host.table.sequence)
    simulation.report('d2', 'a')
    (update,) = host.table.list_updates(missed)
    assert copies.apply(update, simulation.now) == before


def restart_home(simulation):
    simulation.hosts['a'] = Host('a', incarnation=2)
    simulation.homes.pop('d2')
    simulation.report('d1', 'a', is_serving=False)


def isolate_home(simulation):
    simulation.isolate('a')
    for daemon in ('d1', 'd2'):
        simulation.report(daemon, 'b', is_serving=daemon == 'd2')


def claim_at_two_homes(simulation):
    """Move a daemon to another home and back before its first home knows."""
    simulation.lost_links.add(('b', 'a'))
    simulation.report('d1', 'b')
    simulation.send('b', 'c')
    simulation.report('d1', 'a')


def fall_behind(simulation):
    """Make more changes than the home keeps while their messages are lost."""
    simulation.lost_links.add(('a', 'c'))
    for number in range(1100):
        simulation.report(f'x{number}', 'a')
    for number in range(1100):
        simulation.homes.pop(f'x{number}')
    simulation.report('d1', 'a', is_serving=False)
    simulation.lost_links.clear()


BOTH_DAEMONS = {'d1': False, 'd2': True}
# (fault, hosts that must agree afterwards, members that they must know)
CASES = {
    'difference lost': (lose_difference, 'abc', BOTH_DAEMONS),
    'ack lost': (lose_ack, 'abc', BOTH_DAEMONS),
    'differences reordered and repeated': (reorder, 'abc', BOTH_DAEMONS),
    'difference before the one it follows': (
        skip_difference,
        'abc',
        BOTH_DAEMONS,
    ),
    'home restarted': (restart_home, 'abc', {'d1': False}),
    'home isolated, daemons moved': (isolate_home, 'bc', BOTH_DAEMONS),
    'two homes claim a daemon': (
        claim_at_two_homes,
        'abc',
        {'d1': True, 'd2': True},
    ),
    'more changes than kept': (fall_behind, 'abc', BOTH_DAEMONS),
}


@pytest.mark.parametrize('name', CASES)
def test_hosts_agree_after_a_fault(name):
    """Hosts must converge: one that misses a change misleads its daemons.

    Messages between control hosts can be lost, repeated or reordered, and a
    home can restart or be isolated.
    """
    fault, hosts, expected = CASES[name]
    simulation = Simulation()
    for daemon in ('d1', 'd2'):
        simulation.report(daemon, 'a')
    simulation.run(2)
    assert simulation.list_known('c') == {'d1': True, 'd2': True}
    fault(simulation)
    for _ in range(12):
        simulation.run(TICK_S)
        # Meanwhile, no host may lose a daemon that has a home.
        for host in hosts:
            assert set(simulation.list_known(host)) >= set(simulation.homes)
    for host in hosts:
        assert simulation.list_known(host) == expected


def test_copy_of_an_unresponsive_home_expires():
    """Daemons of a lost home that did not move to another are lost too."""
    simulation = Simulation()
    simulation.report('d1', 'a')
    simulation.run(2)
    simulation.isolate('a')
    simulation.run(2)
    assert simulation.list_known('b') == {'d1': True}
    simulation.run(2)
    assert simulation.list_known('b') == {}
    simulation.lost_links.clear()
    simulation.run(1)
    assert simulation.list_known('b') == {'d1': True}


def test_delayed_message_does_not_extend_the_lease_of_a_home():
    """Otherwise a delayed message keeps the copy of a lost home alive."""
    simulation = Simulation()
    simulation.report('d1', 'a')
    simulation.run(1)
    host, copies = simulation.hosts['a'], simulation.hosts['b'].copies
    (late,) = host.table.list_updates(host.acks['b'])
    assert copies.apply(late, simulation.now + 2, age_s=1.9).incarnation == 1
    assert 'a' in copies.expire(simulation.now + 3.2)
    copies.apply(late, simulation.now + 4, age_s=4)
    assert not simulation.hosts['b'].registry.list_all(simulation.now + 4)


def test_idle_exchange_is_small():
    """A heartbeat must not contain the table, which may be large."""
    simulation = Simulation()
    for number in range(600):
        simulation.report(f'd{number}', 'a')
    simulation.run(2)
    host = simulation.hosts['a']
    (update,) = host.table.list_updates(host.acks['b'])
    assert not update.changed and not update.gone
    assert len(host.table.list_updates(None)) == 3


def test_restarted_home_removes_members_that_it_does_not_know_yet():
    """Calls failed for lack of members that ran and were registered.

    The daemons of a home that restarts need some time to register again. The
    full copy of its new table, which is repeated after a lost ack, lists none
    of them.
    """
    simulation = Simulation()
    simulation.report('d1', 'a')
    simulation.report('d2', 'a')
    simulation.run(1.0)
    simulation.hosts['a'] = Host('a', incarnation=2)
    simulation.are_acks_lost = True
    simulation.homes.clear()
    simulation.run(1.0)
    known = simulation.hosts['b'].registry.list_all(simulation.now)
    assert {member.name for member in known} == {'d1', 'd2'}
    simulation.report('d1', 'a')
    simulation.run(exchange.HOME_LEASE_S)
    known = simulation.hosts['b'].registry.list_all(simulation.now)
    assert {member.name for member in known} == {'d1'}
