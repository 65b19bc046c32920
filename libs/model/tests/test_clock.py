"""Tests of the hybrid logical clock."""

from cactusloft_model import clock


def test_receipt_follows_sending():
    """A daemon whose wall clock is behind must not order effects first."""
    ahead = clock.HybridClock(lambda: 1000)
    behind = clock.HybridClock(lambda: 10)
    sent = ahead.tick()
    assert behind.merge(sent) > sent
    assert behind.tick() > sent
