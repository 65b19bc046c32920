"""Tests of the speed of a server."""

import random

import pytest

from cactusloft_placement import speeds


def test_figure_counts_while_it_is_new():
    """A spell of some 600 ms must not be held against a server for long."""
    speed = speeds.ServerSpeed()
    speed.record_figure(2.5, 10.0)
    assert speed.compute_slowness(10.0) == pytest.approx(2.5)
    assert 1.4 < speed.compute_slowness(10.6) < 1.7
    assert speed.compute_slowness(15.0) < 1.01


@pytest.mark.parametrize('figure', [0.0, -1.0, float('nan'), float('inf')])
def test_unusable_figure_is_ignored(figure):
    """A garbled figure must not remove a server from service."""
    speed = speeds.ServerSpeed()
    speed.record_figure(figure, 1.0)
    assert not speed.has_figure
    assert speed.compute_slowness(1.0) == 1.0


def test_absurd_figure_is_bounded():
    """A lying server must not look as if it never ended."""
    speed = speeds.ServerSpeed()
    speed.record_figure(1e12, 1.0)
    assert speed.compute_slowness(1.0) == speeds.MAX_SLOWNESS


def run_calls(speed, figures, factor, count, standing=1.0):
    """Run calls of 0.1 s; return the time after the last one."""
    rng = random.Random(1)
    now = 0.0
    for number in range(count):
        now += 0.1
        figure = figures[number % len(figures)]
        speed.record_figure(figure, now)
        service_s = 0.1 * factor * standing * rng.uniform(0.8, 1.25)
        speed.record_response(service_s, 0.1, figure, now)
    return now


def test_figure_that_is_not_seen_loses_weight():
    """A server that claims to be slow and is not still gets its calls."""
    speed = speeds.ServerSpeed()
    now = run_calls(speed, [1.0, 3.0], 1.0, 120)
    assert speed.trust < 0.1
    assert speed.compute_slowness(now) * speed.standing < 1.4


def test_hidden_slowness_is_seen():
    """A server that claims to be quick and is slow gets fewer calls."""
    speed = speeds.ServerSpeed()
    now = run_calls(speed, [0.4], 2.0, 60)
    assert speed.trust < 0.1
    assert speed.compute_slowness(now) * speed.standing > 1.6


def test_true_figure_keeps_its_weight():
    """The figure is newer than any response time."""
    speed = speeds.ServerSpeed()
    now = run_calls(speed, [2.5], 2.5, 60)
    assert speed.trust > 0.9
    assert speed.compute_slowness(now) == pytest.approx(2.5, rel=0.1)


def test_standing_speed_is_learned_apart():
    """Servers differ for good between 0.5 and 1.6."""
    speed = speeds.ServerSpeed()
    now = run_calls(speed, [1.0], 1.0, 100, standing=1.6)
    assert speed.standing == pytest.approx(1.6, rel=0.1)
    assert speed.compute_slowness(now) == pytest.approx(1.0, rel=0.1)
