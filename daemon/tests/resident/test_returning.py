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


def test_caller_returns_when_a_new_leader_is_likely():
    """A repetition during the same outage of the leader is lost.

    Replays calls that arrive during an outage of 2.5 s with 5 s left: those
    of its last 1.5 s must come back after its end.
    """
    outage_s = _returning.LEADER_OUTAGE_S
    for step in range(10, 25):
        since_s = step / 10
        after_s = _returning.compute_outage_retry_after('a1', 5.0, since_s)
        assert since_s + after_s >= outage_s
        assert after_s <= 5.0 / 3


def test_return_during_a_long_outage_is_not_endless():
    """Without any contact, a caller still gets a time that it can obey."""
    after_s = _returning.compute_outage_retry_after('a1', 1.0, float('inf'))
    assert 0 < after_s <= 1.0 / 3
