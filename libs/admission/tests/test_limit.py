"""Tests of the adaptive concurrency limit."""

import random

import pytest

from cactusloft_admission import controller
from cactusloft_admission import limits

SUCCESS = controller.Outcome.SUCCESS
ERROR = controller.Outcome.ERROR
ABANDONED = controller.Outcome.ABANDONED
SHED = controller.Outcome.SHED


class Feed:
    """Give a limit a steady flow of ended calls in simulated time."""

    def __init__(self, slots=40):
        self.now = 0.0
        self.limit = limits.ConcurrencyLimit(slots, 0.0)
        self._source = random.Random(3)

    def run(self, seconds, latency_s, outcome=SUCCESS, kind='', room=40):
        """Run at the limit; latency grows with what exceeds ``room``."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.005
            busy = self.limit.value
            spread = self._source.uniform(0.9, 1.1) * max(1.0, busy / room)
            self.limit.observe(
                kind, latency_s * spread, outcome, busy, self.now
            )
        return self.limit.value


def test_limit_recovers_after_a_slow_period():
    """Guards against a limit that stays small once latency is normal."""
    feed = Feed()
    assert feed.run(2.0, 0.1) == 40
    assert feed.run(5.0, 0.1, room=5) < 20
    assert feed.run(3.0, 0.1) == 40


def test_slowness_that_a_cut_does_not_mend_is_accepted():
    """Guards against a small limit in front of a slow deeper service."""
    feed = Feed()
    feed.run(2.0, 0.1)
    assert feed.run(10.0, 0.5) == 40
    assert feed.run(2.0, 0.1) == 40


@pytest.mark.parametrize('outcome', [ERROR, ABANDONED, SHED])
def test_quick_failures_do_not_widen_the_limit(outcome):
    """Guards against a failing backend server that looks fast."""
    feed = Feed()
    feed.run(2.0, 0.1)
    narrow = feed.run(1.0, 0.1, room=5)
    assert feed.run(3.0, 0.001, outcome) <= narrow


def test_quick_failures_do_not_lower_the_baseline():
    """Guards against errors after which normal latency looks slow."""
    feed = Feed()
    feed.run(2.0, 0.1)
    feed.run(3.0, 0.001, ERROR)
    assert feed.run(1.0, 0.1) == 40


@pytest.mark.parametrize('outcome', [ERROR, ABANDONED])
def test_slow_failures_narrow_the_limit(outcome):
    """Guards against a frozen backend server of which no call succeeds."""
    feed = Feed()
    feed.run(2.0, 0.1)
    assert feed.run(5.0, 2.0, outcome) < 15


def test_kinds_are_compared_with_themselves():
    """Guards against a change of mix that looks like a change of load."""
    feed = Feed()
    feed.run(1.0, 0.01, kind='cheap')
    feed.run(1.0, 0.5, kind='dear')
    assert feed.run(1.0, 0.5, kind='dear') == 40


def test_limit_never_exceeds_the_announced_slots():
    """Guards against more calls in flight than the contract allows."""
    feed = Feed(slots=5)
    feed.run(5.0, 0.001)
    assert feed.limit.value == 5
    feed.limit.set_slots(3)
    assert feed.limit.value == 3
