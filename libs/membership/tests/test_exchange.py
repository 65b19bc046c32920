"""Contract tests of the exchange of registrations between control hosts."""

import attrs
import pytest

from cactusloft_membership import exchange
from cactusloft_membership import registry

TICK_S = 0.5


class Host:
    """A control host with its home table and its copies of the others."""

    def __init__(self, name, incarnation=1):
        self.name = name
        self.held = registry.Registry()
        self.table = exchange.HomeTable(name, incarnation, self.held)
        self.copies = exchange.HomeCopies(self.held)
        self.receipts = {}


class World:
    """Control hosts a, b and c, and the messages between them."""

    def __init__(self):
        self.now = 0.0
        self.hosts = {name: Host(name) for name in 'abc'}
        self.homes = {}
        self.sequence = 0
        self.lost = set()
        self.is_reply_lost = False

    def report(self, daemon, host, **fields):
        """Register a daemon, as its watch does."""
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
        held = self.hosts[host].held
        held.register(
            registration, self.now, has_changed_home=has_changed_home
        )

    def send(self, source, target):
        """Bring a host to the present state of another one's home table."""
        sender = self.hosts[source]
        for news in sender.table.list_updates(sender.receipts.get(target)):
            if (source, target) in self.lost:
                return
            receipt = self.hosts[target].copies.apply(news, self.now)
            if not self.is_reply_lost:
                sender.receipts[target] = receipt

    def run(self, duration_s):
        """Let time pass with all heartbeats and renewals."""
        for _ in range(int(duration_s / TICK_S)):
            self.now += TICK_S
            for daemon, (host, fields) in list(self.homes.items()):
                self.report(daemon, host, **fields)
            for host in self.hosts.values():
                host.held.expire(self.now)
                host.copies.expire(self.now)
            self.send_all()

    def send_all(self):
        for source in self.hosts:
            for target in set(self.hosts) - {source}:
                self.send(source, target)

    def isolate(self, name):
        others = set(self.hosts) - {name}
        self.lost |= {(name, o) for o in others} | {(o, name) for o in others}

    def list_known(self, host):
        """Return names and states of the members that a host knows."""
        members = self.hosts[host].held.list_members(['maps'], self.now)
        return {member.name: member.is_serving for member in members}


def lose_difference(world):
    world.lost.add(('a', 'c'))
    world.report('d1', 'a', is_serving=False)
    world.run(1)
    world.lost.clear()


def lose_receipt(world):
    world.is_reply_lost = True
    world.report('d1', 'a', is_serving=False)
    world.run(1)
    world.is_reply_lost = False


def reorder(world):
    """Deliver a difference after its successor, and once more."""
    host, copies = world.hosts['a'], world.hosts['c'].copies
    world.report('d1', 'a')
    late = host.table.list_updates(host.receipts['c'])
    world.report('d1', 'a', is_serving=False)
    world.send('a', 'c')
    for news in late * 2:
        copies.apply(news, world.now)


def skip_difference(world):
    """Deliver a difference whose predecessor is missing."""
    host, copies = world.hosts['a'], world.hosts['c'].copies
    before = host.receipts['c']
    world.report('d1', 'a', is_serving=False)
    missed = attrs.evolve(before, sequence=host.table.sequence)
    world.report('d2', 'a')
    (news,) = host.table.list_updates(missed)
    assert copies.apply(news, world.now) == before


def restart_home(world):
    world.hosts['a'] = Host('a', incarnation=2)
    world.homes.pop('d2')
    world.report('d1', 'a', is_serving=False)


def isolate_home(world):
    world.isolate('a')
    for daemon in ('d1', 'd2'):
        world.report(daemon, 'b', is_serving=daemon == 'd2')


def claim_twice(world):
    """Let a daemon go to another home and back before any news."""
    world.lost.add(('b', 'a'))
    world.report('d1', 'b')
    world.send('b', 'c')
    world.report('d1', 'a')


def fall_behind(world):
    """Change more than the home remembers while a host hears nothing."""
    world.lost.add(('a', 'c'))
    for number in range(1100):
        world.report(f'x{number}', 'a')
    for number in range(1100):
        world.homes.pop(f'x{number}')
    world.report('d1', 'a', is_serving=False)
    world.lost.clear()


BOTH = {'d1': False, 'd2': True}
# (fault, hosts that must agree afterwards, what they must know)
CASES = {
    'difference lost': (lose_difference, 'abc', BOTH),
    'receipt lost': (lose_receipt, 'abc', BOTH),
    'differences reordered and repeated': (reorder, 'abc', BOTH),
    'difference before the one it follows': (skip_difference, 'abc', BOTH),
    'home restarted': (restart_home, 'abc', {'d1': False}),
    'home isolated, daemons moved': (isolate_home, 'bc', BOTH),
    'two homes claim a daemon': (
        claim_twice,
        'abc',
        {'d1': True, 'd2': True},
    ),
    'more changes than remembered': (fall_behind, 'abc', BOTH),
}


@pytest.mark.parametrize('name', CASES)
def test_hosts_agree_after_a_fault(name):
    """A control host that misses a change would mislead its daemons."""
    fault, hosts, expected = CASES[name]
    world = World()
    for daemon in ('d1', 'd2'):
        world.report(daemon, 'a')
    world.run(2)
    assert world.list_known('c') == {'d1': True, 'd2': True}
    fault(world)
    for _ in range(12):
        world.run(TICK_S)
        # Daemons that have a home are never unknown in between.
        for host in hosts:
            assert set(world.list_known(host)) >= set(world.homes)
    for host in hosts:
        assert world.list_known(host) == expected


def test_silent_home_lapses_as_a_whole():
    """Daemons of a lost home that moved nowhere are lost as well."""
    world = World()
    world.report('d1', 'a')
    world.run(2)
    world.isolate('a')
    world.run(2)
    assert world.list_known('b') == {'d1': True}
    world.run(2)
    assert world.list_known('b') == {}
    world.lost.clear()
    world.run(1)
    assert world.list_known('b') == {'d1': True}


def test_message_that_was_long_under_way_is_no_heartbeat():
    """A delayed message would keep the copy of a lost home alive."""
    world = World()
    world.report('d1', 'a')
    world.run(1)
    host, copies = world.hosts['a'], world.hosts['b'].copies
    (late,) = host.table.list_updates(host.receipts['b'])
    assert copies.apply(late, world.now + 2, age_s=1.9).incarnation == 1
    assert 'a' in copies.expire(world.now + 3.2)
    copies.apply(late, world.now + 4, age_s=4)
    assert not world.hosts['b'].held.list_all(world.now + 4)


def test_idle_exchange_is_small():
    """Heartbeats that repeat the table would cost what differences save."""
    world = World()
    for number in range(600):
        world.report(f'd{number}', 'a')
    world.run(2)
    host = world.hosts['a']
    (news,) = host.table.list_updates(host.receipts['b'])
    assert not news.changed and not news.gone
    assert len(host.table.list_updates(None)) == 3
