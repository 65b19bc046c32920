"""Tests of what a resident believes of the backend server beside it."""

import attrs

from cactusloftd.resident import _worker
from cactusloftd.resident import protocol

FIRST = protocol.Heartbeat('i-1', 's', 1000, 1, 50, False, 0.0)


def make_worker(*heartbeats):
    """Return a worker that was heard at second 0."""
    worker = _worker.Worker()
    for heartbeat in heartbeats:
        worker.take(heartbeat, 0.0)
    return worker


def test_late_heartbeat_of_a_former_process_changes_nothing():
    """A heartbeat from behind a cut must not bring a dead process back."""
    successor = attrs.evolve(FIRST, instance='i-2', born_ms=2000)
    late = attrs.evolve(FIRST, sequence=99)
    worker = make_worker(FIRST, successor, late)
    assert worker.heartbeat == successor


def test_restart_under_the_same_name_is_a_new_process():
    """Its sequence begins anew and it takes work again."""
    worker = make_worker(attrs.evolve(FIRST, sequence=50, is_draining=True))
    assert worker.take(attrs.evolve(FIRST, born_ms=2000), 1.0)
    assert worker.is_serving(1.0)


def test_late_ready_does_not_end_a_drain():
    """An older message must not bring new work to one that leaves."""
    draining = attrs.evolve(FIRST, sequence=3, is_draining=True)
    worker = make_worker(draining, attrs.evolve(FIRST, sequence=2))
    assert not worker.is_serving(0.0)


def test_ready_after_a_departure_changes_nothing():
    """A process that deregistered serves its last calls only."""
    worker = make_worker(FIRST)
    assert worker.leave('i-1', None)
    worker.take(attrs.evolve(FIRST, sequence=2), 0.0)
    assert not worker.is_serving(0.0)


def test_departure_of_a_former_process_changes_nothing():
    """A late message of the dead must not stop its successor."""
    worker = make_worker(attrs.evolve(FIRST, born_ms=2000))
    assert not worker.leave('i-1', 1000)
    assert not worker.leave('i-0', None)
    assert worker.is_serving(0.0)


def test_silence_ends_the_service():
    """A process that stopped speaking gets no work for ever."""
    worker = make_worker(FIRST)
    assert worker.is_serving(_worker.LEASE_S - 0.1)
    assert not worker.is_serving(_worker.LEASE_S)
