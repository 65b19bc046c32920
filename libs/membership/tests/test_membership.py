"""Contract tests of leases, registrations, subset and choice."""

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


# Steps of (time, action, argument), and whether new work is taken at the
# time given last.
LEASE_CASES = {
    'renewed': ([(0, 'announce', SERVER), (2, 'announce', SERVER)], 4, True),
    'lapsed': ([(0, 'announce', SERVER)], 3, False),
    'drained': ([(0, 'announce', SERVER), (1, 'drain', None)], 1, False),
    'drain outlives a renewal': (
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
    'back after a lapse': (
        [(0, 'announce', SERVER), (5, 'announce', SERVER)],
        5,
        True,
    ),
    'drain without a server': ([(0, 'drain', None)], 0, False),
}


@pytest.mark.parametrize('name', LEASE_CASES)
def test_only_a_live_undrained_server_takes_work(name):
    """Work for a server that is gone or leaving would be lost."""
    steps, asked_at, expected = LEASE_CASES[name]
    server = announcements.LocalServer()
    for now, action, argument in steps:
        if action == 'announce':
            server.announce(argument, now)
        elif action == 'drain':
            server.drain(now)
        else:
            server.leave()
    assert server.is_serving(asked_at) is expected


def test_lost_server_is_reported_once():
    """A loss that is missed or repeated would falsify the crash marks."""
    server = announcements.LocalServer()
    server.announce(SERVER, 0)
    assert server.expire(2.9) is None
    assert server.expire(3.0) == SERVER
    assert server.expire(3.1) is None


NEWER = {'sequence': 2, 'slots': 8}
# (registrations with time of arrival, time of the question, slots expected)
REGISTRY_CASES = {
    'renewed': ([(0, {}), (2, NEWER)], 4, 8),
    'lapsed': ([(0, {})], 3, None),
    'stale one arrives late': ([(0, NEWER), (1, {})], 1, 8),
    'stale one does not extend the lease': ([(0, NEWER), (2, {})], 3, None),
    'stale one after a lapse': ([(0, NEWER), (5, {})], 5, None),
    'repeat does not extend the lease': ([(0, {}), (2, {})], 3, None),
    'restart counts above any sequence': (
        [(0, {'sequence': 9}), (1, {'incarnation': 2, 'slots': 6})],
        1,
        6,
    ),
    'former process after a restart': (
        [(0, {'incarnation': 2, 'slots': 6}), (1, {'sequence': 9})],
        1,
        6,
    ),
    'clock set back at a restart, once the lapse is long ago': (
        [(0, {'incarnation': 9}), (40, {'incarnation': 3, 'slots': 5})],
        41,
        5,
    ),
}


@pytest.mark.parametrize('name', REGISTRY_CASES)
def test_newest_live_registration_holds(name):
    """An old registration would send calls to a process that is gone."""
    arrivals, asked_at, expected = REGISTRY_CASES[name]
    held = registry.Registry()
    for now, fields in arrivals:
        held.register(make_member('d1', **fields), now)
    members = held.list_members(['maps'], asked_at)
    assert [m.slots for m in members] == ([expected] if expected else [])


def test_exchange_never_extends_a_lease():
    """Control hosts could keep a dead member alive by passing it round."""
    first, second = registry.Registry(), registry.Registry()
    first.register(make_member('d1'), 0)
    for now in (1, 2, 2.9):
        for source, target in ((first, second), (second, first)):
            for lease in source.list_leases(now):
                target.register(lease.registration, now, lease.remaining_s)
    assert not first.list_all(3.01)
    assert not second.list_all(3.01)


def test_revision_follows_changes_only():
    """Renewals that wake every watch would cost the fleet its CPU."""
    held = registry.Registry()
    held.register(make_member('d1'), 0)
    before = held.find_revision(['maps'])
    held.register(make_member('d1', sequence=2), 1)
    assert held.find_revision(['maps']) == before
    held.register(make_member('d1', sequence=3, is_serving=False), 2)
    assert held.find_revision(['maps']) == before + 1
    held.expire(9)
    assert held.find_revision(['maps']) == before + 2
    assert held.find_revision(['permits']) == 0


# (registrations with time of arrival and lifetime, time of the question,
# services under which the daemon is listed)
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
    """An index that misses a change would list daemons of other services."""
    arrivals, asked_at, expected = INDEX_CASES[name]
    held = registry.Registry()
    for now, lifetime_s, fields in arrivals:
        if expires:
            held.expire(now)
        held.register(make_member('d1', **fields), now, lifetime_s)
    if expires:
        held.expire(asked_at)
    members = held.list_members(['maps', 'permits'], asked_at)
    assert [member.service for member in members] == expected
    held.expire(200)
    assert not held.list_all(200)


def test_subset_prefers_the_data_centre_and_changes_little():
    """A subset that is drawn anew would drop connections everywhere."""
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
    """A member in no subset is idle, one in most of them is overloaded."""
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
    """Two random choices must keep the longest queue near the mean."""
    chooser = make_chooser([make_member(f'm{n}') for n in range(10)])
    counts = count_choices(chooser, 200)
    assert max(counts.values()) - min(counts.values()) <= 6


def test_new_process_starts_slowly():
    """A cold server that gets its full share at once would fail calls."""
    members = [make_member(f'm{n}', slots=50) for n in range(4)]
    chooser = make_chooser(members)
    restarted = attrs.evolve(members[0], instance='new')
    chooser.update([restarted, *members[1:]], 100.0)
    counts = count_choices(chooser, 100)
    assert 0 < counts['m0'] < 12


def test_own_data_centre_first_until_it_is_loaded():
    """Remote calls cost time; a full local member must still spill over."""
    members = [make_member('near', slots=4), make_member('far', 'west')]
    counts = count_choices(make_chooser(members), 12)
    assert counts['near'] >= 4
    assert counts['far'] >= 4


# What was reported of the member 'a', and which member gets the next call.
REPORT_CASES = {
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
    'only member is avoided': (
        lambda c: (
            c.update([make_member('a')], 100.0),
            c.exclude_temporarily('a', 100.0),
        ),
        None,
    ),
}


@pytest.mark.parametrize('name', REPORT_CASES)
def test_report_moves_the_choice(name):
    """Calls to a member that sheds or drains would be refused."""
    change, expected = REPORT_CASES[name]
    chooser = make_chooser([make_member('a'), make_member('b')])
    change(chooser)
    chosen = {chooser.choose(100.0) for _ in range(20)}
    assert {member and member.name for member in chosen} == {expected}


def test_old_report_fades():
    """A member that got no call since would be left out for ever."""
    chooser = make_chooser([make_member('a'), make_member('b')])
    chooser.record_pressure('a', 1.0, 100.0)
    assert count_choices(chooser, 40, now=103.0)['a'] >= 15


def test_view_drops_services_out_of_use():
    """State that grows with the fleet would break the memory bound."""
    view = choice.MembershipView('entry', 'east', random.Random(7))
    assert view.record_use('maps', 0)
    assert not view.record_use('maps', 1)
    members = [make_member('m1'), make_member('entry')]
    view.update(['maps'], members, 1)
    assert view.find_chooser('maps').choose(1).name == 'm1'
    assert view.list_services(100) == ['maps']
    assert view.list_services(1000) == []


def test_late_answer_keeps_services_that_it_does_not_cover():
    """An answer to an older question would empty a service just learned."""
    view = choice.MembershipView('entry', 'east', random.Random(7))
    view.record_use('maps', 0)
    view.update(['maps'], [make_member('m1')], 1)
    view.update([], [], 2)
    assert [member.name for member in view.list_members()] == ['m1']


def _share_of_first(note, rounds=400):
    """Return the share of calls that the first of three members gets.

    :param note: function(chooser, name, now) called after each call.
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
        note(chooser, chosen.name, now)
    return counts['m0'] / rounds


def test_slow_member_gets_fewer_calls():
    """A backend server that turned slow must not hold its share of calls."""

    def note(chooser, name, now):
        latency_s = 0.5 if name == 'm0' else 0.1
        chooser.record_latency(name, 'read', latency_s, now)

    assert _share_of_first(note) < 0.15


def test_failing_member_gets_fewer_calls():
    """One that fails half of its calls is found without any probe."""
    source = random.Random(7)

    def note(chooser, name, now):
        chooser.record_outcome(name, name == 'm0' and source.random() < 0.5)

    assert _share_of_first(note) < 0.2


def test_reported_load_counts_beside_own_calls():
    """What other daemons send to an owner fills its slots, too."""

    def note(chooser, name, now):
        chooser.record_load(name, 0.9 if name == 'm0' else 0.2, now)

    assert _share_of_first(note) < 0.15


def test_slowness_is_forgotten():
    """A member that got no calls meanwhile is tried again."""
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
