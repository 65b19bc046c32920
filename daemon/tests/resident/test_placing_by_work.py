"""Replays of the loads that placing by work answers.

Each load runs once with members chosen by load and once by work.
"""

import random

import pytest

from cactusloft_membership import choice
from cactusloft_placement import choice as placement

from . import placing_replay as replay

# Servers of one data centre differ in speed for good.
SPEEDS = (0.6, 1.0, 1.4)
# A difference below this is one of the random order of events.
NOISE = 0.01


def make_load(rate, **fields):
    """Return a load of long, tight and short calls.

    :param rate: factor of all rates; 4 fills all slots.
    """
    kinds = (
        replay.Kind('lookup', 0.2, 1.5, 4.0 * rate),
        replay.Kind('claim', 0.14, 0.5, 4.0 * rate),
        replay.Kind('read', 0.015, 1.0, 20.0 * rate, tail_share=0.0),
        replay.Kind('status', 0.8, 2.5, 1.0 * rate),
    )
    return replay.Load(kinds, SPEEDS, entries=2, **fields)


def test_calls_stay_near_when_all_data_centres_are_busy():
    """Crossing gained nothing then, and nearly half of the sends crossed."""
    load = make_load(3.8, data_centres=3, has_spells=True, duration_s=15.0)
    (by_load,), (by_work,) = replay.compare(load, seeds=(1,))
    assert by_load.crossing_share > 0.3
    assert by_work.crossing_share < 0.1
    assert by_work.share_in_time() > by_load.share_in_time() - NOISE


def test_calls_cross_while_demand_swings():
    """Calls that stay near in a wave wait although others have free slots."""
    load = make_load(2.6, data_centres=3, swing=0.9, has_spells=True)
    (by_load,), (by_work,) = replay.compare(load, seeds=(1,))
    assert 0.0 < by_work.crossing_share < 0.5 * by_load.crossing_share
    for route in ('lookup', 'claim', 'read', 'status'):
        share = by_work.share_in_time(route)
        assert share > by_load.share_in_time(route) - NOISE


@pytest.mark.parametrize('rate', [1.0, 2.0])
def test_tight_calls_avoid_spells(rate):
    """A machine that is slow for 600 ms made tight calls late."""
    load = make_load(rate, data_centres=2, has_spells=True)
    by_load, by_work = replay.compare(load, seeds=(1, 2, 3))
    shares = [
        sum(outcome.share_in_time('claim') for outcome in outcomes)
        for outcomes in (by_load, by_work)
    ]
    assert shares[1] > shares[0]


def test_choice_is_as_before_without_reports():
    """Deployments whose servers tell no slowness must see no change."""
    members = [
        replay.make_member(f'm{number}', f'z{number % 2}', 4)
        for number in range(10)
    ]
    call = replay.PlacedCall('lookup', 1.5, 0.2, None, 0.0)
    names = []
    for policy in (None, placement.WorkChooser('z0', random.Random(2))):
        chooser = choice.Chooser('z0', random.Random(1), policy)
        chooser.update(members, 0.0)
        names.append([])
        for number in range(200):
            name = chooser.choose(number / 10, (), call).name
            chooser.begin(name)
            chooser.record_load(name, number % 7 / 5, number / 10)
            names[-1].append(name)
    assert names[0] == names[1]


def test_few_calls_of_many_entries_do_not_meet():
    """All entries must not send to the one server that looks free."""
    members = [replay.make_member(f'm{n}', 'z0', 4) for n in range(10)]
    first = []
    for seed in range(100):
        chooser = placement.WorkChooser('z0', random.Random(seed))
        chooser.update(members, 0.0)
        for number, member in enumerate(members):
            delay_s = 0.0 if number == 3 else 0.3
            chooser.record_report(member.name, delay_s, 1.0, 1.0, 0.0)
        call = replay.PlacedCall('lookup', 1.5, 0.2, None, 0.0)
        first.append(
            chooser.choose(members, call, lambda member: 0.0, 0.0).name
        )
    assert 10 < first.count('m3') < 40


def test_calls_stay_near_at_first_use():
    """All members are new then; a few calls of one entry fill none."""
    members = [replay.make_member(f'm{n}', f'z{n % 2}', 40) for n in range(6)]
    policy = placement.WorkChooser('z0', random.Random(1))
    chooser = choice.Chooser('z0', random.Random(1), policy)
    chooser.update(members, 0.0)
    chooser.policy.record_report('m0', 0.0, 1.0, 0.1, 0.0)
    call = replay.PlacedCall('read', 1.0, 0.015, None, 0.0)
    for number in range(8):
        chosen = chooser.choose(number / 10, (), call)
        assert chosen.data_centre == 'z0'
        chooser.begin(chosen.name)
