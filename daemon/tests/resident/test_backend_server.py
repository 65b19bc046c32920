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
    state = make_state(FIRST, successor, late)
    assert state.heartbeat == successor


def test_restart_under_the_same_name_is_a_new_process():
    """Its sequence numbers start again, and it accepts calls again."""
    state = make_state(attrs.evolve(FIRST, sequence=50, is_draining=True))
    assert state.apply_heartbeat(attrs.evolve(FIRST, born_ms=2000), 1.0)
    assert state.is_serving(1.0)


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
    state.apply_heartbeat(later, 1.0)
    assert state.is_serving(1.0)


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
    state.apply_heartbeat(attrs.evolve(FIRST, born_ms=2000), 0.0)
    assert not state.is_serving(0.0)


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
