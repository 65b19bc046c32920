"""Tests of debits from the central bucket of an account."""

import random

import pytest

import cactusloft_quota as quota

RATE, BURST = 57.0, 57.0
WINDOW_S = 5.0
# Excess over rate and burst in a window that the operators tolerate.
TOLERATED_EXCESS, TOLERATED_TOKENS = 0.1, 20


def make_bucket(now=0.0, since=-100.0):
    """Return a full bucket."""
    return quota.CentralBucket(RATE, BURST, since, now)


def test_bucket_gives_no_more_than_it_holds():
    """Guards against granting more tokens than the bucket holds."""
    tokens, _, retry_after_s = make_bucket().debit('h', 500, 0, 0.0)
    assert tokens == BURST
    assert retry_after_s > 0


def test_new_leader_gives_no_burst_twice():
    """Guards against granting the burst again after a failover."""
    bucket = quota.CentralBucket(RATE, BURST, 10.0, 10.0)
    assert bucket.debit('h', 50, 0, 10.0)[0] <= 1


def test_returned_tokens_never_exceed_the_burst():
    """Guards against returned tokens that exceed the burst."""
    bucket = make_bucket()
    bucket.debit('h', 0, 30, 0.0)
    assert bucket.debit('h', 500, 0, 0.0)[0] == BURST


def test_lower_limits_apply_after_a_delay():
    """Guards against a lowered limit that takes effect too early or late."""
    bucket = make_bucket()
    bucket.set_limits(5.0, 5.0, 0.0)
    assert bucket.debit('h', 50, 0, 0.0)[0] == 50
    bucket.set_limits(5.0, 5.0, 4.9)
    assert bucket.debit('h', 50, 0, 4.9)[0] == 50
    bucket.set_limits(5.0, 5.0, 5.1)
    assert bucket.debit('h', 50, 0, 5.1)[0] <= 5
    assert bucket.debit('h', 50, 0, 7.1)[0] <= 10


def test_limits_lowered_in_steps_apply_late():
    """Guards against a storm of changes that keeps the first limit in force.

    Each limit must apply its own delay after it was set.
    """
    bucket = make_bucket()
    for second in range(5):
        bucket.set_limits(50.0 - second, 50.0 - second, float(second))
    assert bucket.debit('h', 57, 57, 4.9)[0] == 57
    bucket.set_limits(5.0, 5.0, 5.0)
    assert bucket.debit('h', 500, 57, 5.1)[0] == 50
    assert bucket.debit('h', 500, 57, 9.9)[0] == 46
    assert bucket.debit('h', 500, 57, 10.1)[0] == 5


def test_higher_limits_apply_at_once():
    """Guards against a raised limit that takes effect late."""
    bucket = quota.CentralBucket(5.0, 5.0, -100.0, 0.0)
    bucket.set_limits(50.0, 50.0, 0.0)
    assert bucket.debit('h', 50, 0, 1.0)[0] == 50


def test_share_follows_the_demand():
    """Guards against a host without contact using another host's share."""
    bucket = make_bucket()
    bucket.debit('a', 30, 0, 0.0)
    _, share, _ = bucket.debit('b', 10, 0, 0.0)
    assert share == pytest.approx(0.25)


def test_holder_without_contact_stops():
    """Guards against a disconnected host using its share indefinitely."""
    holder = quota.DebitHolder(0.0)
    grant = quota.AccountGrant('a', 1, 1.0, 0.0)
    holder.apply_grant(grant, 1, 0.0)
    taken = [holder.take_spare_token(RATE, t / 100, 0.0) for t in range(1000)]
    used = sum(taken)
    assert 0 < used <= RATE * 2.5
    assert not any(taken[260:])


def test_calls_are_admitted_while_a_leader_is_elected():
    """Guards against refusing all calls of an account during an election.

    All hosts together stay within the tokens that the bucket held and earns.
    """
    bucket = make_bucket()
    holders = {f'h{i}': quota.DebitHolder(0.0) for i in range(16)}
    for _ in range(2):
        for name, holder in holders.items():
            taken = bucket.debit(name, 1, 0, 0.0)
            grant = quota.AccountGrant('a', *taken, bucket.level)
            holder.apply_grant(grant, 1, 0.0)
    tokens_left, outage_s = bucket.level, 1.0
    assert all(h.take_spare_token(RATE, 0.1, 0.0) for h in holders.values())
    used = len(holders)
    for holder in holders.values():
        while holder.take_spare_token(RATE, outage_s, 0.0):
            used += 1
    assert used <= tokens_left + RATE * outage_s


def test_outdated_share_gives_no_tokens():
    """Guards against using a share that no longer matches the demand."""
    holder = quota.DebitHolder(0.0)
    holder.apply_grant(quota.AccountGrant('a', 1, 1.0, 0.0, 50.0), 1, 0.0)
    assert not holder.take_spare_token(RATE, 20.1, 20.0)


def test_unused_tokens_are_returned():
    """Guards against losing tokens prefetched for calls that did not come."""
    holder = quota.DebitHolder(0.0)
    holder.apply_grant(quota.AccountGrant('a', 5, 1.0, 0.0), 1, 0.0)
    debit = holder.make_debit('a', 0, 1.0)
    assert debit.returned == 4


@pytest.mark.parametrize('seed', range(20))
def test_hosts_together_stay_within_rate_and_burst(seed):
    """Guards against an excess by lost replies and prefetched tokens."""
    rng = random.Random(seed)
    bucket = make_bucket()
    holders = {name: quota.DebitHolder(0.0) for name in 'abcdefgh'}
    started_at = []
    now = 0.0
    while now < 20.0:
        now += rng.expovariate(200.0)
        name = rng.choice('aaaabbcdefgh')
        holder = holders[name]
        holder.record_arrival()
        if holder.take(now):
            started_at.append(now)
            continue
        debit = holder.make_debit('x', 1, now)
        grant = quota.AccountGrant(
            'x', *bucket.debit(name, debit.wanted, debit.returned, now)
        )
        if rng.random() < 0.05:
            continue
        if holder.apply_grant(grant, 1, now):
            started_at.append(now)
    limit = (RATE * WINDOW_S + BURST) * (
        1 + TOLERATED_EXCESS
    ) + TOLERATED_TOKENS
    for start in started_at:
        count = sum(start <= at < start + WINDOW_S for at in started_at)
        assert count <= limit
    # Most of the rate is used.
    assert len(started_at) >= 0.9 * RATE * 20.0
