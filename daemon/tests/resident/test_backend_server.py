"""Tests of the state of the local backend server."""

import attrs
import pytest

from cactusloftd.resident import _backend_server
from cactusloftd.resident import protocol

# Wall clock time at which departures arrive.
WALL_MS = 5000
FIRST = protocol.Heartbeat('i-1', 's', 1000, 1, 50, False, 0.0)


def make_state(*heartbeats):
    """Return the state after heartbeats at second 0."""
    state = _backend_server.BackendServerState()
    for heartbeat in heartbeats:
        state.apply_heartbeat(heartbeat, 0.0)
    return state


def test_delayed_heartbeat_of_an_earlier_process_is_ignored():
    """A heartbeat delayed by the network must not revive a dead process."""
    successor = attrs.evolve(FIRST, instance='i-2', born_ms=2000)
    late = attrs.evolve(FIRST, sequence=99)
    state = make_state(FIRST)
    state.record_loss(0.5)
    assert state.apply_heartbeat(successor, 1.0)
    assert not state.apply_heartbeat(late, 1.0)
    assert state.heartbeat == successor


def test_restart_under_the_same_name_is_a_new_process():
    """Its sequence numbers start again, and it accepts calls again."""
    state = make_state(attrs.evolve(FIRST, sequence=50, is_draining=True))
    restarted = attrs.evolve(FIRST, born_ms=2000)
    assert not state.apply_heartbeat(restarted, 1.5)
    restarted = attrs.evolve(restarted, sequence=2)
    assert state.apply_heartbeat(restarted, _backend_server.SILENCE_S)
    assert state.is_serving(_backend_server.SILENCE_S)


def test_delayed_heartbeat_does_not_end_a_drain():
    """An older heartbeat must not send new calls to a draining process."""
    draining = attrs.evolve(FIRST, sequence=3, is_draining=True)
    state = make_state(draining, attrs.evolve(FIRST, sequence=2))
    assert not state.is_serving(0.0)


def test_heartbeat_after_a_departure_is_ignored():
    """A process that deregistered only finishes its calls in progress."""
    state = make_state(FIRST)
    assert state.leave('i-1', None, WALL_MS)
    state.apply_heartbeat(attrs.evolve(FIRST, sequence=2), 0.0)
    assert not state.is_serving(0.0)


def test_departure_of_an_earlier_process_is_ignored():
    """A delayed departure message must not stop the successor."""
    state = make_state(attrs.evolve(FIRST, born_ms=2000))
    assert not state.leave('i-1', 1000, WALL_MS)
    assert not state.leave('i-0', None, WALL_MS)
    assert state.is_serving(0.0)


def test_lease_expires_without_heartbeats():
    """A process that stopped sending heartbeats must get no new calls."""
    state = make_state(FIRST)
    assert state.is_serving(_backend_server.LEASE_S - 0.1)
    assert not state.is_serving(_backend_server.LEASE_S)


@pytest.mark.parametrize('born_ms', [1000, None])
def test_late_heartbeat_revives_a_process_that_left_before_any(born_ms):
    """A restarted daemon may get the departure before any heartbeat."""
    state = make_state()
    assert state.leave('i-1', born_ms, WALL_MS)
    state.apply_heartbeat(FIRST, 0.0)
    assert state.has_left
    assert not state.is_serving(0.0)
    later = attrs.evolve(FIRST, born_ms=WALL_MS + 1)
    state.apply_heartbeat(later, _backend_server.LEASE_S)
    assert state.is_serving(_backend_server.LEASE_S)


def test_departure_before_any_heartbeat_is_unknown_to_other_hosts():
    """They remember it by the process, which a further restart forgets."""
    state = make_state()
    state.leave('i-1', 1000, WALL_MS)
    assert (state.process.instance, state.process.born_ms) == ('i-1', 1000)
    state.apply_heartbeat(FIRST, 0.0)
    assert (state.process.instance, state.process.born_ms) == ('i-1', 1000)


def test_departure_of_a_later_process_stops_the_current_one():
    """Its start differs, so it is not about the current process."""
    state = make_state(FIRST)
    assert not state.leave('i-1', 2000, WALL_MS)
    assert state.is_serving(0.0)
    later = attrs.evolve(FIRST, born_ms=2000)
    state.apply_heartbeat(later, _backend_server.LEASE_S)
    assert not state.is_serving(_backend_server.LEASE_S)


def test_announced_departures_occupy_unbounded_memory():
    """The oldest ones are forgotten first."""
    state = make_state()
    for number in range(2 * _backend_server.MAX_KEPT_DEPARTURES):
        state.leave(f'other-{number}', None, WALL_MS)
    state.leave('i-1', 1000, WALL_MS)
    state.apply_heartbeat(FIRST, 0.0)
    assert not state.is_serving(0.0)
    kept = state.departures._arrivals_ms
    assert len(kept) == _backend_server.MAX_KEPT_DEPARTURES


# Heartbeats with the largest numbers that messages can hold, of the current
# process and of one that does not exist.
ODD_HEARTBEATS = [
    attrs.evolve(FIRST, **{**identity, **numbers})
    for identity in (
        {'sequence': 2},
        {'sequence': 1000},
        {'instance': 'i-9', 'sequence': 2},
        {'instance': 'i-9', 'born_ms': 2**63 - 1},
        {'born_ms': 2**63 - 1},
        {'born_ms': 0},
    )
    for numbers in (
        {},
        {'sequence': 2**63 - 1},
        {'slots': 10**6},
        {'slots': 1},
        {'service': 'other'},
        {'cold_left_s': 1e18},
    )
]


@pytest.mark.parametrize('count', [1, 2, 5])
@pytest.mark.parametrize('odd', ODD_HEARTBEATS)
def test_odd_heartbeat_makes_the_daemon_deaf_to_sound_ones(odd, count):
    """The backend server must keep its calls and its slots."""
    state = make_state(FIRST)
    for number in range(1, 12):
        now = 1.5 * number
        assert state.is_serving(now)
        sound = attrs.evolve(FIRST, sequence=1 + 2 * number)
        assert not state.apply_heartbeat(sound, now)
        if number == 3:
            for _ in range(count):
                assert not state.apply_heartbeat(odd, now + 0.1)
        if number != 4:
            assert state.heartbeat.slots == FIRST.slots
    assert state.process == make_state(FIRST).process
    assert state.leave('i-1', FIRST.born_ms, WALL_MS)
    assert not state.is_serving(now)


def test_sound_backend_server_stays_replaced_by_an_odd_one():
    """The first heartbeat after a restart of the daemon may be the odd one."""
    odd = attrs.evolve(FIRST, instance='i-9', born_ms=4000, sequence=9)
    state = make_state(odd)
    # Calls for the odd process are answered by the other one.
    state.record_loss(0.3)
    assert state.apply_heartbeat(FIRST, 0.5)
    assert state.is_serving(0.5)


def test_process_whose_clock_was_set_back_is_ignored():
    """Its start is before that of its predecessor, which has ended."""
    state = make_state(FIRST)
    restarted = attrs.evolve(FIRST, instance='i-2', born_ms=10)
    for number in range(3):
        now = 1.5 * (number + 1)
        heartbeat = attrs.evolve(restarted, sequence=number + 1)
        state.apply_heartbeat(heartbeat, now)
    assert state.heartbeat.instance == 'i-2'
    assert state.is_serving(now)


def test_changed_slots_are_taken_once_repeated():
    """A backend server may change its slots, but not by a single message."""
    state = make_state(FIRST)
    state.apply_heartbeat(attrs.evolve(FIRST, sequence=2, slots=7), 1.0)
    assert state.heartbeat.slots == 50
    state.apply_heartbeat(attrs.evolve(FIRST, sequence=3, slots=7), 2.0)
    assert state.heartbeat.slots == 7


@pytest.mark.parametrize(
    'changes, fault',
    [
        ({}, None),
        ({'address': '10.0.0.1:99999'}, 'other address'),
        ({'service': 'other'}, 'other service'),
        ({'born_ms': 2**63 - 1}, 'start in the future'),
    ],
)
def test_heartbeat_of_another_backend_server_is_believed(changes, fault):
    """The settings name the service and the address of the local one."""
    sound = attrs.evolve(FIRST, address='10.0.0.1:80')
    heartbeat = attrs.evolve(sound, **changes)
    found = _backend_server.find_fault(heartbeat, '10.0.0.1:80', 's', WALL_MS)
    assert found == fault
