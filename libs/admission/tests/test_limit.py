"""Tests of the adaptive concurrency limit."""

import random

import pytest

from cactusloft_admission import controller
from cactusloft_admission import limits

SUCCESS = controller.Outcome.SUCCESS
ERROR = controller.Outcome.ERROR
ABANDONED = controller.Outcome.ABANDONED
SHED = controller.Outcome.SHED


class LimitDriver:
    """Report ended calls to a limit at a steady rate in simulated time."""

    def __init__(self, slots=40):
        self.now = 0.0
        self.limit = limits.ConcurrencyLimit(slots, 0.0)
        self._source = random.Random(3)

    def run(self, seconds, latency_s, outcome=SUCCESS, kind='', capacity=40):
        """Run at the limit; latency grows with calls above ``capacity``."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.005
            in_flight = self.limit.value
            factor = self._source.uniform(0.9, 1.1) * max(
                1.0, in_flight / capacity
            )
            self.limit.observe(
                kind, latency_s * factor, outcome, in_flight, self.now
            )
        return self.limit.value


def test_limit_recovers_after_a_slow_period():
    """Guards against a limit that stays low once latency is normal."""
    driver = LimitDriver()
    assert driver.run(2.0, 0.1) == 40
    assert driver.run(5.0, 0.1, capacity=5) < 20
    assert driver.run(3.0, 0.1) == 40


def test_limit_recovers_if_lowering_it_does_not_reduce_latency():
    """Guards against a low limit due to a slow service down the chain."""
    driver = LimitDriver()
    driver.run(2.0, 0.1)
    assert driver.run(10.0, 0.5) == 40
    assert driver.run(2.0, 0.1) == 40


@pytest.mark.parametrize('outcome', [ERROR, ABANDONED, SHED])
def test_quick_failures_do_not_raise_the_limit(outcome):
    """Guards against taking a failing backend server for a fast one."""
    driver = LimitDriver()
    driver.run(2.0, 0.1)
    lowered = driver.run(1.0, 0.1, capacity=5)
    assert driver.run(3.0, 0.001, outcome) <= lowered


def test_quick_failures_do_not_lower_the_baseline():
    """Guards against a baseline after which normal latency looks slow."""
    driver = LimitDriver()
    driver.run(2.0, 0.1)
    driver.run(3.0, 0.001, ERROR)
    assert driver.run(1.0, 0.1) == 40


@pytest.mark.parametrize('outcome', [ERROR, ABANDONED])
def test_slow_failures_lower_the_limit(outcome):
    """Guards against a high limit on a frozen server where all calls fail."""
    driver = LimitDriver()
    driver.run(2.0, 0.1)
    assert driver.run(5.0, 2.0, outcome) < 15


def test_each_kind_has_its_own_baseline():
    """Guards against taking a change in the mix of calls for load."""
    driver = LimitDriver()
    driver.run(1.0, 0.01, kind='cheap')
    driver.run(1.0, 0.5, kind='expensive')
    assert driver.run(1.0, 0.5, kind='expensive') == 40


def test_limit_never_exceeds_the_announced_slots():
    """Guards against more calls in flight than were announced."""
    driver = LimitDriver(slots=5)
    driver.run(5.0, 0.001)
    assert driver.limit.value == 5
    driver.limit.set_slots(3)
    assert driver.limit.value == 3
