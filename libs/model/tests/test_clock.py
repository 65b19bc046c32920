"""Tests of the hybrid logical clock."""

from cactusloft_model import clock


def test_receipt_stamp_is_above_sending_stamp():
    """An effect must not precede its cause if a wall clock is behind."""
    sender = clock.HybridClock(lambda: 1000)
    receiver = clock.HybridClock(lambda: 10)
    sent = sender.tick()
    assert receiver.merge(sent) > sent
    assert receiver.tick() > sent
