"""Tests of the expected costs of calls."""

import random

import pytest

from cactusloft_placement import costs


def record_many(call_costs, route, values):
    for value in values:
        call_costs.record(route, value)


def test_mean_follows_each_route():
    """Calls of 15 ms and of 800 ms share a service."""
    call_costs = costs.CallCosts()
    record_many(call_costs, 'read', [0.015] * 40)
    record_many(call_costs, 'status', [0.8] * 40)
    assert call_costs.expect('read') == pytest.approx(0.015)
    assert call_costs.expect('status') == pytest.approx(0.8)
    assert call_costs.expect('other') is None


def test_few_long_calls_change_little():
    """3% of the calls take seven times as long and must not be expected."""
    rng = random.Random(3)
    values = [0.2 * (7 if rng.random() < 0.03 else 1) for _ in range(2000)]
    call_costs = costs.CallCosts()
    record_many(call_costs, 'read', values)
    assert 0.2 <= call_costs.expect('read') < 0.27


def test_one_garbled_time_is_bounded():
    """A single absurd time must not send all calls elsewhere."""
    call_costs = costs.CallCosts()
    record_many(call_costs, 'read', [0.2] * 50)
    call_costs.record('read', 1e9)
    call_costs.record('read', float('nan'))
    call_costs.record('read', -1.0)
    assert call_costs.expect('read') < 0.23


def test_lasting_change_is_learned():
    """A release that makes calls five times as long shows within 60 calls."""
    call_costs = costs.CallCosts()
    record_many(call_costs, 'read', [0.1] * 100)
    record_many(call_costs, 'read', [0.5] * 60)
    assert call_costs.expect('read') > 0.4


def test_tail_is_between_usual_and_longest():
    """A call with a tight deadline needs more than the mean."""
    rng = random.Random(5)
    call_costs = costs.CallCosts()
    values = [rng.uniform(0.1, 0.3) for _ in range(2000)]
    record_many(call_costs, 'read', values)
    assert 0.25 < call_costs.expect_tail('read') < 0.35


def test_number_of_routes_is_bounded():
    """A host with ever new routes must not fill its memory."""
    call_costs = costs.CallCosts()
    for number in range(1000):
        call_costs.record('kept', 0.1)
        call_costs.record(f'route {number}', 0.2)
    assert call_costs.expect('kept') is not None
    assert call_costs.expect('route 0') is None
    assert call_costs.expect('route 999') is not None
