"""Contract tests of leases, registrations, subsets and choice."""

import collections
import random

import attrs
import pytest

from cactusloft_membership import announcements
from cactusloft_membership import choice
from cactusloft_membership import registry

SERVER = announcements.Announcement('maps', 'm1', 'http://127.0.0.1:1', 4, 9)
RESTARTED = attrs.evolve(SERVER, instance='m2')


def make_member(name, data_centre='east', **fields):
    values = {'incarnation': 1, 'sequence': 1, 'service': 'maps', 'slots': 4}
    return registry.Registration(
        name=name,
        data_centre=data_centre,
        host=name,
        peers='127.0.0.1:1',
        admin='127.0.0.1:2',
        public_key='k' * 40,
        is_serving=fields.pop('is_serving', True),
        **(values | fields),
    )


# (steps of (time, action, argument), time of the check, whether the server
# gets new work then)
LEASE_CASES = {
    'renewed': ([(0, 'announce', SERVER), (2, 'announce', SERVER)], 4, True),
    'expired': ([(0, 'announce', SERVER)], 3, False),
    'drained': ([(0, 'announce', SERVER), (1, 'drain', None)], 1, False),
    'renewal does not end the drain': (
        [
            (0, 'announce', SERVER),
            (1, 'drain', None),
            (2, 'announce', SERVER),
        ],
        2,
        False,
    ),
    'new process ends the drain': (
        [
            (0, 'announce', SERVER),
            (1, 'drain', None),
            (2, 'announce', RESTARTED),
        ],
        2,
        True,
    ),
    'left': ([(0, 'announce', SERVER), (1, 'leave', None)], 1, False),
    'announced again after the lease expired': (
        [(0, 'announce', SERVER), (5, 'announce', SERVER)],
        5,
        True,
    ),
    'drain without a server': ([(0, 'drain', None)], 0, False),
}


@pytest.mark.parametrize('name', LEASE_CASES)
def test_only_a_live_undrained_server_gets_work(name):
    """Calls to a server that is gone or shutting down would be lost."""
    steps, checked_at, expected = LEASE_CASES[name]
    server = announcements.LocalServer()
    for now, action, argument in steps:
        if action == 'announce':
            server.announce(argument, now)
        elif action == 'drain':
            server.drain(now)
        else:
            server.leave()
    assert server.is_serving(checked_at) is expected


def test_lost_server_is_reported_once():
    """Crash marks are wrong if a loss is missed or reported twice."""
    server = announcements.LocalServer()
    server.announce(SERVER, 0)
    assert server.expire(2.9) is None
    assert server.expire(3.0) == SERVER
    assert server.expire(3.1) is None


NEWER = {'sequence': 2, 'slots': 8}
# (registrations with arrival time, time of the check, expected slots)
REGISTRY_CASES = {
    'renewed': ([(0, {}), (2, NEWER)], 4, 8),
    'expired': ([(0, {})], 3, None),
    'stale one arrives late': ([(0, NEWER), (1, {})], 1, 8),
    'stale one does not extend the lease': ([(0, NEWER), (2, {})], 3, None),
    'stale one after the lease expired': ([(0, NEWER), (5, {})], 5, None),
    'repeat does not extend the lease': ([(0, {}), (2, {})], 3, None),
    'incarnation takes precedence over sequence': (
        [(0, {'sequence': 9}), (1, {'incarnation': 2, 'slots': 6})],
        1,
        6,
    ),
    'previous process after a restart': (
        [(0, {'incarnation': 2, 'slots': 6}), (1, {'sequence': 9})],
        1,
        6,
    ),
    'clock set back at a restart, long after the lease expired': (
        [(0, {'incarnation': 9}), (40, {'incarnation': 3, 'slots': 5})],
        41,
        5,
    ),
}


@pytest.mark.parametrize('name', REGISTRY_CASES)
def test_newest_live_registration_is_listed(name):
    """With an old registration, calls go to a process that is gone."""
    registrations, checked_at, expected = REGISTRY_CASES[name]
    table = registry.Registry()
    for now, fields in registrations:
        table.register(make_member('d1', **fields), now)
    members = table.list_members(['maps'], checked_at)
    assert [m.slots for m in members] == ([expected] if expected else [])


def test_exchange_never_extends_a_lease():
    """Control hosts must not renew a dead member's lease for each other."""
    first, second = registry.Registry(), registry.Registry()
    first.register(make_member('d1'), 0)
    for now in (1, 2, 2.9):
        for source, target in ((first, second), (second, first)):
            for lease in source.list_leases(now):
                target.register(lease.registration, now, lease.remaining_s)
    assert not first.list_all(3.01)
    assert not second.list_all(3.01)


def test_revision_follows_changes_only():
    """A renewal must not wake all watches, which would use too much CPU."""
    table = registry.Registry()
    table.register(make_member('d1'), 0)
    before = table.find_revision(['maps'])
    table.register(make_member('d1', sequence=2), 1)
    assert table.find_revision(['maps']) == before
    table.register(make_member('d1', sequence=3, is_serving=False), 2)
    assert table.find_revision(['maps']) == before + 1
    table.expire(9)
    assert table.find_revision(['maps']) == before + 2
    assert table.find_revision(['permits']) == 0


# (registrations with arrival time and lifetime, time of the check, services
# that list the daemon)
INDEX_CASES = {
    'moved to another service': (
        [(0, 3, {}), (1, 3, {'sequence': 2, 'service': 'permits'})],
        2,
        ['permits'],
    ),
    'renewal with a shorter lease': (
        [(0, 3, {}), (1, 0.5, {'sequence': 2})],
        1.6,
        [],
    ),
    'renewed after the lease ended': (
        [(0, 3, {}), (4, 3, {'sequence': 2})],
        5,
        ['maps'],
    ),
    'other service long after the lease ended': (
        [(0, 3, {}), (50, 3, {'sequence': 2, 'service': 'permits'})],
        51,
        ['permits'],
    ),
}


@pytest.mark.parametrize('name', INDEX_CASES)
@pytest.mark.parametrize('expires', [True, False])
def test_index_follows_the_registrations(name, expires):
    """An index that misses a change lists daemons of other services."""
    registrations, checked_at, expected = INDEX_CASES[name]
    table = registry.Registry()
    for now, lifetime_s, fields in registrations:
        if expires:
            table.expire(now)
        table.register(make_member('d1', **fields), now, lifetime_s)
    if expires:
        table.expire(checked_at)
    members = table.list_members(['maps', 'permits'], checked_at)
    assert [member.service for member in members] == expected
    table.expire(200)
    assert not table.list_all(200)


def test_subset_prefers_the_data_centre_and_changes_little():
    """If a subset changes as a whole, connections close everywhere."""
    members = [make_member(f'e{n}') for n in range(8)]
    members += [make_member(f'w{n}', 'west') for n in range(30)]
    subset = choice.choose_subset('entry', 'east', members)
    assert len(subset) == choice.SUBSET_SIZE
    assert {m.name for m in members[:8]} <= {m.name for m in subset}
    for gone in subset:
        rest = [member for member in members if member != gone]
        changed = choice.choose_subset('entry', 'east', rest)
        assert len(set(subset) - set(changed)) == 1


def test_subsets_spread_over_the_members():
    """A member in no subset is idle; one in most subsets is overloaded."""
    members = [make_member(f'm{n}') for n in range(50)]
    counts = collections.Counter(
        member.name
        for n in range(200)
        for member in choice.choose_subset(f'entry-{n}', 'east', members)
    )
    mean = 200 * choice.SUBSET_SIZE / 50
    assert len(counts) == 50
    assert max(counts.values()) < 1.6 * mean
    assert min(counts.values()) > 0.5 * mean


def count_choices(chooser, calls, now=100.0):
    counts = collections.Counter()
    for _ in range(calls):
        name = chooser.choose(now).name
        chooser.begin(name)
        counts[name] += 1
    return counts


def make_chooser(members):
    chooser = choice.Chooser('east', random.Random(7))
    chooser.update(members, 0)
    return chooser


def test_calls_in_flight_spread_evenly():
    """The better of two random members keeps the longest queue short."""
    chooser = make_chooser([make_member(f'm{n}') for n in range(10)])
    counts = count_choices(chooser, 200)
    assert max(counts.values()) - min(counts.values()) <= 6


def test_new_process_starts_slowly():
    """Calls to a cold server fail if it gets its full share at once."""
    members = [make_member(f'm{n}', slots=50) for n in range(4)]
    chooser = make_chooser(members)
    restarted = attrs.evolve(members[0], instance='new')
    chooser.update([restarted, *members[1:]], 100.0)
    counts = count_choices(chooser, 100)
    assert 0 < counts['m0'] < 12


def test_local_data_centre_is_preferred_until_it_is_loaded():
    """Remote calls are slower, but a full member must not get them all."""
    members = [make_member('near', slots=4), make_member('far', 'west')]
    counts = count_choices(make_chooser(members), 12)
    assert counts['near'] >= 4
    assert counts['far'] >= 4


# (observation of the member 'a', member that gets the next call)
OBSERVATION_CASES = {
    'pressure': (lambda c: c.record_pressure('a', 0.5, 100.0), 'b'),
    'in flight': (lambda c: [c.begin('a') for _ in range(2)], 'b'),
    'refused as not serving': (
        lambda c: c.exclude_temporarily('a', 100.0),
        'b',
    ),
    'drained': (
        lambda c: c.update(
            [make_member('a', is_serving=False), make_member('b')], 100.0
        ),
        'b',
    ),
    'only member is excluded': (
        lambda c: (
            c.update([make_member('a')], 100.0),
            c.exclude_temporarily('a', 100.0),
        ),
        None,
    ),
}


@pytest.mark.parametrize('name', OBSERVATION_CASES)
def test_observation_changes_the_choice(name):
    """Calls to a member that sheds load or drains would be refused."""
    change, expected = OBSERVATION_CASES[name]
    chooser = make_chooser([make_member('a'), make_member('b')])
    change(chooser)
    chosen = {chooser.choose(100.0) for _ in range(20)}
    assert {member and member.name for member in chosen} == {expected}


def test_old_pressure_is_ignored():
    """A member without calls sends no report and would stay excluded."""
    chooser = make_chooser([make_member('a'), make_member('b')])
    chooser.record_pressure('a', 1.0, 100.0)
    assert count_choices(chooser, 40, now=103.0)['a'] >= 15


def test_view_removes_unused_services():
    """State that grows with the fleet would exceed the memory limit."""
    view = choice.MembershipView('entry', 'east', random.Random(7))
    assert view.record_use('maps', 0)
    assert not view.record_use('maps', 1)
    members = [make_member('m1'), make_member('entry')]
    view.update(['maps'], members, 1)
    assert view.find_chooser('maps').choose(1).name == 'm1'
    assert view.list_services(100) == ['maps']
    assert view.list_services(1000) == []


def test_late_reply_keeps_services_that_it_does_not_cover():
    """A reply to an older request must not empty a service used since."""
    view = choice.MembershipView('entry', 'east', random.Random(7))
    view.record_use('maps', 0)
    view.update(['maps'], [make_member('m1')], 1)
    view.update([], [], 2)
    assert [member.name for member in view.list_members()] == ['m1']


def _measure_share_of_first(record, rounds=400):
    """Return the share of calls that the first of three members gets.

    :param record: function(chooser, name, now) called after each call.
    """
    chooser = choice.Chooser('dc1', random.Random(5))
    members = [
        make_member(f'm{index}', slots=50, is_serving=True)
        for index in range(3)
    ]
    chooser.update(members, 0.0)
    counts = collections.Counter()
    for index in range(rounds):
        now = 20.0 + index / 100
        chosen = chooser.choose(now)
        counts[chosen.name] += 1
        record(chooser, chosen.name, now)
    return counts['m0'] / rounds


def test_slow_member_gets_fewer_calls():
    """A backend server that becomes slow must not keep its share of calls."""

    def record(chooser, name, now):
        latency_s = 0.5 if name == 'm0' else 0.1
        chooser.record_latency(name, 'read', latency_s, now)

    assert _measure_share_of_first(record) < 0.15


def test_failing_member_gets_fewer_calls():
    """A member that fails half of its calls is detected without probes."""
    source = random.Random(7)

    def record(chooser, name, now):
        chooser.record_outcome(name, name == 'm0' and source.random() < 0.5)

    assert _measure_share_of_first(record) < 0.2


def test_reported_load_includes_calls_of_other_daemons():
    """Calls from other daemons occupy the slots of a member, too."""

    def record(chooser, name, now):
        chooser.record_load(name, 0.9 if name == 'm0' else 0.2, now)

    assert _measure_share_of_first(record) < 0.15


def test_slowness_decays():
    """A slow member that got no calls for a while is tried again."""
    chooser = choice.Chooser('dc1', random.Random(5))
    chooser.update(
        [
            make_member('m0', slots=50, is_serving=True),
            make_member('m1', slots=50, is_serving=True),
        ],
        0.0,
    )
    for _ in range(50):
        chooser.record_latency('m1', 'read', 0.1, 20.0)
        chooser.record_latency('m0', 'read', 0.5, 20.0)
    assert {chooser.choose(20.0).name for _ in range(30)} == {'m1'}
    assert {chooser.choose(60.0).name for _ in range(30)} == {'m0', 'm1'}
