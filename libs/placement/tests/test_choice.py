"""Tests of the choice between members by the expected end of a call."""

import collections
import random

import attrs
import pytest

from cactusloft_placement import choice


@attrs.frozen
class Member:
    """A member to choose."""

    name: str
    data_centre: str = 'near'
    slots: int = 10
    process: tuple = (1, 'a')


@attrs.frozen
class Call:
    """A call of 0.2 s, which the chooser learns from the latencies."""

    route: str = 'lookup'
    patience_s: float = 1.5


TIGHT = Call(patience_s=0.4)


def make_chooser(*members, now=0.0):
    """Return a chooser whose members are idle and as quick as usual."""
    chooser = choice.WorkChooser('near', random.Random(5))
    chooser.update(members, now)
    for member in members:
        chooser.record_report(member.name, 0.0, 1.0, 0.1, now)
        for _ in range(20):
            chooser.record_latency(member.name, 'lookup', 0.2, 1.0, now)
    return chooser


def count_choices(chooser, members, call=TIGHT, now=0.0, penalties=()):
    """Return how often each member is chosen in 40 calls."""
    return collections.Counter(
        chooser.choose(
            members,
            call,
            lambda member: dict(penalties).get(member.name, 0.0),
            now,
        ).name
        for _ in range(40)
    )


A, B, FAR = Member('a'), Member('b'), Member('far', 'west')


def test_choice_is_active_while_members_report():
    """Entries go back to the load when reports cease, as after a downgrade."""
    chooser = choice.WorkChooser('near', random.Random(5))
    assert not chooser.is_active(0.0)
    chooser.update([A], 0.0)
    chooser.record_report('a', 0.0, 1.0, 0.1, 0.0)
    assert chooser.is_active(10.0)
    assert not chooser.is_active(60.0)


@pytest.mark.parametrize(
    'report',
    [(0.3, 1.0, 1.2), (0.0, 2.5, 0.1), (0.0, 1.0, 2.5)],
    ids=['queued work', 'slow host', 'held calls'],
)
def test_call_goes_to_the_earlier_end(report):
    """A call that waits or runs slowly misses its target latency."""
    chooser = make_chooser(A, B)
    chooser.record_report('a', *report, 0.0)
    assert count_choices(chooser, [A, B]) == {'b': 40}


def test_lasting_slowness_is_learned_from_latencies():
    """Servers of a service differ for good; tight calls need quick ones."""
    chooser = make_chooser(A, B)
    for number in range(60):
        now = number / 10
        chooser.record_latency('a', 'lookup', 0.32, 1.0, now)
        chooser.record_latency('b', 'lookup', 0.12, 1.0, now)
    assert count_choices(chooser, [A, B], now=60.0) == {'b': 40}


def test_failing_member_is_avoided():
    """One that fails its calls at once always looks free."""
    chooser = make_chooser(A, B)
    chosen = count_choices(chooser, [A, B], penalties={'a': 3.0})
    assert chosen == {'b': 40}


def test_restarted_process_is_judged_anew():
    """Its predecessor may have been slow for good."""
    chooser = make_chooser(A, B)
    chooser.record_report('a', 5.0, 9.0, 9.0, 0.0)
    restarted = attrs.evolve(A, process=(2, 'b'))
    chooser.update([restarted, B], 20.0)
    assert count_choices(chooser, [restarted, B], now=20.0)['a'] > 5


# (delay in seconds told near, told far, patience, whether the call crosses)
CROSSING_CASES = {
    'free slots near': (0.0, 0.0, 1.5, False),
    'gain is small for the patience': (0.1, 0.0, 1.5, False),
    'gain is large': (0.4, 0.0, 1.5, True),
    'gain is large for a tight call': (0.1, 0.0, 0.4, True),
    'equal overload': (0.6, 0.55, 1.5, False),
    'worse far': (0.3, 0.9, 0.5, False),
}


@pytest.mark.parametrize('name', CROSSING_CASES)
def test_call_crosses_only_for_a_gain(name):
    """Bytes between data centres are paid for."""
    near_s, far_s, patience_s, expected = CROSSING_CASES[name]
    chooser = make_chooser(A, B, FAR)
    for _ in range(20):
        chooser.record_report('a', near_s, 1.0, 1.0, 0.0)
        chooser.record_report('b', near_s, 1.0, 1.0, 0.0)
        chooser.record_report('far', far_s, 1.0, 1.0, 0.0)
    call = Call(patience_s=patience_s)
    chosen = count_choices(chooser, [A, B, FAR], call)
    assert ('far' in chosen) is expected


def test_call_crosses_when_no_near_member_is_usable():
    """A lost data centre must not make calls fail."""
    chooser = make_chooser(A, FAR)
    assert count_choices(chooser, [FAR]) == {'far': 40}
    assert chooser.choose([], TIGHT, lambda member: 0.0, 0.0) is None


def test_old_delay_of_a_data_centre_is_asked_anew():
    """Demand swings within seconds; nobody else tells that it is over."""
    chooser = make_chooser(A, FAR)
    for now in (0.0, 4.0):
        chooser.record_report('a', 0.6, 1.0, 1.0, now)
    chooser.record_report('far', 0.9, 1.0, 1.0, 0.0)
    assert count_choices(chooser, [A, FAR], now=0.0) == {'a': 40}
    assert count_choices(chooser, [A, FAR], now=4.0) == {'far': 40}


def test_garbled_reports_change_nothing():
    """A lying owner must neither raise an error nor look free."""
    chooser = make_chooser(A, B)
    chooser.record_report('a', 0.5, 1.0, 1.2, 0.0)
    for delay_s, slowness in ((-1.0, 1.0), (float('nan'), 0.0)):
        chooser.record_report('a', delay_s, slowness, 0.1, 0.0)
    chooser.record_report('unknown', 0.0, 1.0, 0.1, 0.0)
    assert count_choices(chooser, [A, B]) == {'b': 40}


def test_absurd_delay_ends():
    """A member that claims hours must get calls again."""
    chooser = make_chooser(A, B)
    chooser.record_report('a', 1e15, 1.0, 0.1, 0.0)
    assert count_choices(chooser, [A, B], now=5.0)['a'] > 5
