"""Tests of the time at which callers that were turned away come back."""

import collections

from cactusloftd.resident import _returning


def test_returns_of_a_burst_are_spread():
    """Callers turned away together must not come back together.

    Replays 600 calls that a saturated service turns away at the same moment.
    With one Retry-After for all, each of the returns falls into one tenth of
    a second.
    """
    returns = collections.Counter(
        int(10 * _returning.compute_retry_after(f'a{i}', 5.0, 1.0))
        for i in range(600)
    )
    assert max(returns.values()) < 600 / 5


def test_caller_with_little_time_comes_back_in_time():
    """A return after a third of the remaining time is not obeyed."""
    for remaining_s in (0.1, 0.3, 0.8, 2.0, 5.0):
        for index in range(50):
            after_s = _returning.compute_retry_after(
                f'a{index}', remaining_s, 1.0
            )
            assert after_s <= remaining_s / 3


def test_free_service_is_tried_again_soon():
    """After a short disturbance, callers must not wait as in an overload."""
    latest_s = max(
        _returning.compute_retry_after(f'a{i}', 5.0, 0.0) for i in range(200)
    )
    assert latest_s <= (_returning.MIN_RETRY_AFTER_S + _returning.MIN_SPREAD_S)
