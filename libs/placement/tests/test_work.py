"""Tests of the remaining work of a server."""

import pytest

from cactusloft_placement import work


def test_free_slot_means_no_delay():
    """A call that can start at once must not be sent elsewhere."""
    server = work.ServerWork()
    server.start(0.8, 0.0)
    assert server.compute_start_delay(2, 1.0, True, 0.1) == 0.0


def test_delay_counts_work_and_not_calls():
    """Four queued calls of 15 ms are less to wait for than one of 800 ms."""
    short, long = work.ServerWork(), work.ServerWork()
    for server in (short, long):
        for _ in range(4):
            server.start(0.2, 0.0)
    for _ in range(4):
        short.enqueue(0.015)
    long.enqueue(0.8)
    delays = [s.compute_start_delay(4, 1.0, False, 0.1) for s in (short, long)]
    assert delays[0] < 0.05
    assert delays[1] > 0.2


def test_slow_server_takes_longer_to_its_next_slot():
    """A spell stretches what is queued as well as what runs."""
    server = work.ServerWork()
    for _ in range(2):
        server.start(0.2, 0.0)
    usual_s = server.compute_start_delay(2, 1.0, False, 0.0)
    slow_s = server.compute_start_delay(2, 2.5, False, 0.0)
    assert slow_s == pytest.approx(2.5 * usual_s)


def test_overdue_calls_still_hold_their_slots():
    """Calls that run longer than expected must not count as ended."""
    server = work.ServerWork()
    server.start(0.2, 0.0)
    assert server.compute_start_delay(1, 1.0, False, 5.0) > 0.0


def test_sums_return_to_nothing():
    """Rounding over a day must leave no work behind."""
    server = work.ServerWork()
    for number in range(1000):
        cost_s = 0.1 + number / 7000
        server.enqueue(cost_s)
        server.dequeue(cost_s)
        server.start(cost_s, number / 3)
        server.finish(cost_s, number / 3)
    assert server.compute_remaining(1e6) == 0.0
    assert server.compute_start_delay(1, 1.0, False, 1e6) == 0.0


# (cost in slot-seconds, slowness, patience, whether to go elsewhere)
SLOW_CASES = {
    'short call pays no second hop': (0.015, 2.5, 1.0, False),
    'tight call would be late': (0.17, 2.5, 0.5, True),
    'long call outlives the spell': (0.8, 2.5, 2.5, False),
    'server is as usual': (0.4, 1.0, 0.5, False),
    'server is quick': (0.4, 0.5, 0.5, False),
    'unknown patience': (0.2, 2.5, 0.0, False),
}


@pytest.mark.parametrize('name', SLOW_CASES)
def test_slow_server_declines_only_calls_that_suffer(name):
    """Each decline costs a hop, so it must spare the caller more."""
    cost_s, slowness, patience_s, expected = SLOW_CASES[name]
    assert work.is_too_slow(cost_s, slowness, patience_s) is expected
