"""Tests of pressure reports and early refusal at the entry."""

import collections
import random

import pytest

from cactusloft_admission import pressure
from cactusloft_model import calls


@pytest.mark.parametrize(
    ('level', 'refused'),
    [(0.0, []), (1.0, ['LOW']), (3.0, ['LOW', 'NORMAL', 'HIGH'])],
)
def test_classes_below_the_lowest_admitted_are_refused(level, refused):
    """Guards against early refusal of a class that is admitted."""
    early = pressure.EarlyRefusal(random.Random(1).random)
    report = pressure.Pressure.from_level(level)
    found = [
        priority.name
        for priority in calls.Priority
        if early.is_refused('s', priority, 'a', 1.0, report, 0.0)
    ]
    assert found == refused


def test_early_refusal_spares_accounts_within_their_share():
    """Guards against random refusal that ignores the fair shares."""
    random_source = random.Random(7)
    early = pressure.EarlyRefusal(random_source.random)
    report = pressure.Pressure(calls.Priority.NORMAL, 0.4)
    offered, admitted = collections.Counter(), collections.Counter()
    for step in range(6000):
        name = random_source.choice(['hog'] * 8 + ['a', 'b'])
        offered[name] += 1
        refused = early.is_refused(
            's', calls.Priority.NORMAL, name, 1.0, report, step * 0.001
        )
        admitted[name] += not refused
    assert admitted['a'] >= 0.95 * offered['a']
    assert admitted['b'] >= 0.95 * offered['b']
    assert 0.3 < sum(admitted.values()) / 6000 < 0.5


def test_pressure_of_a_nested_service_is_reported_upstream():
    """Guards against starting calls whose nested calls will be shed."""
    table = pressure.PressureTable()
    dependencies = pressure.Dependencies()
    for number in range(100):
        dependencies.record_call('book')
        dependencies.record_nested_call('book', 'permits', 'check')
        if number % 10 == 0:
            dependencies.record_nested_call('book', 'maps', 'draw')
    high = pressure.Pressure.from_level(2.5)
    table.receive('permits', 'check', 'd1', high, 0.0)
    table.receive('maps', 'draw', 'd1', pressure.Pressure.from_level(3.5), 0.0)
    no_pressure = pressure.NO_PRESSURE
    assert dependencies.combine('book', no_pressure, table, 0.1) == high
    assert (
        dependencies.combine('other', no_pressure, table, 0.1) == no_pressure
    )


def test_pressure_fades_without_responses():
    """Guards against refusing all calls for good after an overload."""
    table = pressure.PressureTable()
    table.receive('s', 'k', 'd1', pressure.Pressure.from_level(3.0), 0.0)
    levels = [table.read('s', 'k', now).level for now in (0.1, 1.0, 2.0)]
    assert levels == [3.0, 1.5, 0.0]
