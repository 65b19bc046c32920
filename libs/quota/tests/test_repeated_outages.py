"""Tests of the calls that are admitted in several outages close together.

They replay a leader that hosts lose and find again within a window of the
operators, while an account sends several times its usual. Each outage by
itself stays within what the operators tolerate; together they must do so too.
"""

import random

import pytest

import cactusloft_quota as quota

HOSTS = 74
WARM_UP_S = 8.0
WINDOW_S = 5.0
TOLERATED_EXCESS, TOLERATED_TOKENS = 0.1, 20
# Share of its rate that the account sends before the outages.
DEMAND_SHARE = 2 / 3
SURGE = 5.0
OUTAGES = 5


class Replay:
    """Calls of one account at all hosts.

    :param rate: tokens per second and burst of the account.
    """

    def __init__(self, rate, seed):
        self._random = random.Random(seed)
        self._rate = rate
        self._now = self._contact_at = 0.0
        self._is_short = False
        self._bucket = quota.CentralBucket(rate, rate, -100.0, 0.0)
        self._holders = [quota.DebitHolder(0.0) for _ in range(HOSTS)]
        self._admitted_at = []

    def run(self, duration_s, demand, has_leader):
        """Send calls at random hosts.

        :param demand: calls per second.
        """
        ends_at = self._now + duration_s
        while self._now < ends_at:
            self._now += self._random.expovariate(demand)
            holder = self._random.choice(self._holders)
            if has_leader:
                self.renew_contact()
                is_admitted = self._ask_leader(holder)
            else:
                is_admitted = self._take_without_leader(holder)
            if is_admitted:
                self._admitted_at.append(self._now)

    def renew_contact(self):
        """Let all hosts reach the leader for other accounts."""
        self._contact_at = self._now
        self._is_short = self._bucket.is_short(self._now)

    def find_fullest_window(self):
        """Return the most calls that were admitted in one window."""
        return max(
            sum(start <= at < start + WINDOW_S for at in self._admitted_at)
            for start in self._admitted_at
        )

    def _ask_leader(self, holder):
        debit = holder.make_debit('a', 1, self._now)
        if debit.borrowed:
            self._bucket.charge_borrowed(
                debit.borrowed, debit.borrowed_s, self._now
            )
        taken = self._bucket.debit(
            id(holder), debit.wanted, debit.returned, self._now
        )
        grant = quota.AccountGrant('a', *taken, self._bucket.level)
        return bool(holder.apply_grant(grant, 1, self._now))

    def _take_without_leader(self, holder):
        draw, now = self._random.random(), self._now
        if holder.take_spare_token(self._rate, now, self._contact_at, draw):
            return True
        limits = self._rate, self._rate
        return not self._is_short and holder.take_outage_token(
            limits, HOSTS, now, self._contact_at, draw
        )


def compute_limit(rate):
    """Return the most calls that the operators tolerate in a window."""
    earned = rate * WINDOW_S + rate
    return earned * (1 + TOLERATED_EXCESS) + TOLERATED_TOKENS


@pytest.mark.parametrize('rate', [3.0, 12.0, 30.0, 90.0])
def test_tokens_used_without_contact_are_charged_to_the_same_leader(rate):
    """Its bucket is refilled meanwhile, so they would be used twice."""
    for seed in range(4):
        replay = Replay(rate, seed)
        demand = DEMAND_SHARE * rate
        replay.run(WARM_UP_S, demand, has_leader=True)
        for _ in range(OUTAGES):
            replay.run(0.6, SURGE * demand, has_leader=False)
            replay.run(0.2, SURGE * demand, has_leader=True)
        assert replay.find_fullest_window() <= compute_limit(rate)


@pytest.mark.parametrize('rate', [3.0, 12.0, 30.0, 90.0])
def test_outages_in_one_window_have_the_tokens_of_one(rate):
    """Short contacts for other accounts must not renew them."""
    for seed in range(4):
        replay = Replay(rate, seed)
        demand = DEMAND_SHARE * rate
        replay.run(WARM_UP_S, demand, has_leader=True)
        for _ in range(OUTAGES):
            replay.run(0.8, SURGE * demand, has_leader=False)
            replay.renew_contact()
        assert replay.find_fullest_window() <= compute_limit(rate)


@pytest.mark.parametrize(
    'created_at, charged', [(-100.0, 10.0), (9.5, 5.0), (10.0, 0.0)]
)
def test_new_leader_charges_only_what_was_used_in_its_time(
    created_at, charged
):
    """Its bucket was not refilled for the time before."""
    bucket = quota.CentralBucket(5.0, 5.0, created_at, 10.0)
    bucket.is_short(10.0)
    level = bucket.level
    bucket.charge_borrowed(10, 1.0, 10.0)
    assert bucket.level == pytest.approx(level - charged)


def test_bucket_in_debt_grants_nothing():
    """A negative number of tokens would be given to the waiting calls."""
    bucket = quota.CentralBucket(5.0, 5.0, -100.0, 0.0)
    bucket.charge_borrowed(20, 1.0, 0.0)
    tokens, _, retry_after_s = bucket.debit('h', 2, 0, 0.0)
    assert tokens == 0
    assert retry_after_s > 0


def test_tokens_used_without_contact_are_reported_once():
    """Also by a host that has no further calls of the account."""
    holder = quota.DebitHolder(0.0)
    assert holder.take_outage_token((90.0, 90.0), 1, 0.1, 0.0, 0.0)
    assert not holder.is_idle()
    debit = holder.make_debit('a', 0, 0.3)
    assert (debit.borrowed, debit.borrowed_s) == (1, pytest.approx(0.2))
    holder.apply_grant(quota.AccountGrant('a', 0, 0.0, 0.0), 0, 0.3)
    assert holder.make_debit('a', 0, 0.4) is None
