"""Tests of the memory of departures of backend servers."""

import random

import attrs

from cactusloft_membership import _departures
from cactusloft_membership import choice
from cactusloft_membership import registry


def make_member(name, instance='i-1', incarnation=1, **fields):
    """Return the registration of a daemon with a serving backend server."""
    member = registry.Registration(
        name=name,
        incarnation=incarnation,
        sequence=1,
        host=name,
        data_centre='a',
        peers='',
        admin='',
        public_key='',
        service='stock',
        instance=instance,
        slots=10,
        is_serving=True,
        born_ms=100,
    )
    return attrs.evolve(member, **fields)


def make_view():
    """Return a view that uses the service."""
    view = choice.MembershipView('here', 'a', random.Random(1))
    view.record_use('stock', 0.0)
    return view


def list_names(view):
    """Return the names of the members to choose from."""
    return {member.name for member in view.find_chooser('stock').members}


def test_restarted_daemon_brings_a_leaving_process_back():
    """A daemon that has forgotten the departure registers it as serving."""
    view = make_view()
    view.update(['stock'], [make_member('m1'), make_member('m2', 'i-2')], 0.0)
    view.record_departure(registry.BackendProcess('m1', 'i-1', 100), 1.0)
    assert list_names(view) == {'m2'}
    restarted = make_member('m1', incarnation=2)
    view.update(['stock'], [restarted, make_member('m2', 'i-2')], 2.0)
    assert list_names(view) == {'m2'}


def test_departure_that_a_daemon_registered_is_forgotten():
    """A delayed heartbeat may make a restarted daemon report it as ready."""
    view = make_view()
    leaving = make_member('m1', is_serving=False, is_leaving=True)
    view.update(['stock'], [leaving], 0.0)
    view.update(['stock'], [make_member('m1', incarnation=2)], 1.0)
    assert not list_names(view)


def test_next_process_with_the_same_identity_is_excluded():
    """A backend server may start again under the identity that it had."""
    view = make_view()
    view.record_departure(registry.BackendProcess('m1', 'i-1', 100), 0.0)
    view.update(['stock'], [make_member('m1', born_ms=200)], 1.0)
    assert list_names(view) == {'m1'}


def test_control_host_forgets_a_departure_with_the_registration():
    """A host that starts later would believe the restarted daemon."""
    known = registry.Registry()
    known.register(make_member('m1', is_serving=False, is_leaving=True), 0.0)
    known.expire(100.0)
    restarted = make_member('m1', incarnation=2)
    known.register(restarted, 100.0)
    (member,) = known.list_members(['stock'], 100.1)
    assert not member.is_serving
    assert member.is_leaving
    assert known.has_left(member.process)
    # The next process at the same host serves.
    known.register(make_member('m1', incarnation=3, born_ms=200), 100.2)
    (member,) = known.list_members(['stock'], 100.3)
    assert member.is_serving


def test_other_home_brings_a_leaving_process_back():
    """It has not heard of the departure that another home knows."""
    known = registry.Registry()
    leaving = make_member('m1', is_serving=False, is_leaving=True)
    restarted = make_member('m1', incarnation=2)
    known.store_copy('c2', leaving, 0.0)
    known.register(restarted, 0.1)
    (member,) = known.list_members(['stock'], 0.2)
    assert not member.is_serving


def test_departure_that_arrives_after_the_restart_is_ignored():
    """The registration with it is older than that of the restarted owner."""
    changed = []
    known = registry.Registry()
    known.on_local_change = changed.append
    known.register(make_member('m1', incarnation=2), 0.0)
    changed.clear()
    leaving = make_member('m1', is_serving=False, is_leaving=True)
    known.store_copy('c2', leaving, 0.1)
    (member,) = known.list_members(['stock'], 0.2)
    assert not member.is_serving
    assert member.incarnation == 2
    assert changed == ['m1']


def test_restarted_control_hosts_believe_a_restarted_owner():
    """The hosts that stayed up tell them of the departure."""
    view = make_view()
    process = registry.BackendProcess('m1', 'i-1', 100)
    view.record_departure(process, 10.0)
    known = registry.Registry()
    known.register(make_member('m1', incarnation=2), 20.0)
    (member,) = known.list_members(['stock'], 20.0)
    assert member.is_serving
    for departed in view.list_recent_departures(20.0):
        known.record_departure(departed, 20.1)
    (member,) = known.list_members(['stock'], 20.2)
    assert not member.is_serving
    assert view.list_recent_departures(50.0) == []


def test_reports_grow_with_the_departures_of_a_day():
    """Only the newest are told, the newest first."""
    departures = _departures.Departures()
    for number in range(100):
        process = registry.BackendProcess('m1', f'i-{number}', number)
        departures.record(process, float(number))
    recent = [process.born_ms for process in departures.list_recent(100.0)]
    assert recent == list(range(99, 70, -1))
    many = _departures.Departures()
    for number in range(100):
        many.record(registry.BackendProcess('m1', f'i-{number}', number), 0.0)
    most = _departures.MAX_RECENT_DEPARTURES
    assert len(many.list_recent(1.0)) == most


def test_same_identity_beside_another_daemon_is_excluded():
    """Backend servers number their processes without each other."""
    view = make_view()
    view.record_departure(registry.BackendProcess('m1', 'i-1', 100), 0.0)
    view.update(['stock'], [make_member('m1'), make_member('m2')], 1.0)
    assert list_names(view) == {'m2'}


def test_stopping_daemon_is_taken_for_a_leaving_backend_server():
    """The backend server of a stopped daemon serves again after its start."""
    view = make_view()
    view.update(['stock'], [make_member('m1', is_serving=False)], 0.0)
    view.update(['stock'], [make_member('m1', incarnation=2)], 1.0)
    assert list_names(view) == {'m1'}


def test_departures_fill_the_memory():
    """Thousands of processes are replaced each day; the oldest are dropped."""
    departures = _departures.Departures()
    count = _departures.MAX_KEPT_DEPARTURES + 10
    processes = [
        registry.BackendProcess('m1', f'i-{n}', n) for n in range(count)
    ]
    for process in processes:
        departures.record(process, 0.0)
    known = [departures.has_left(process) for process in processes]
    assert known == [False] * 10 + [True] * (count - 10)
