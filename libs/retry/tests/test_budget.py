"""Tests of the retry budgets."""

from cactusloft_model import calls
from cactusloft_retry import budgets

SHARE = 0.2


def spend_all(budget, rank):
    """Repeat as often as the budget allows; return how often."""
    count = 0
    while budget.allows_retry(rank):
        budget.spend()
        count += 1
    return count


def test_repeats_stay_within_the_share_of_requests():
    """Repeats must not multiply the load of a service that fails."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=2)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    assert spend_all(budget, rank=1.0) == SHARE * 100 + 2


def test_nested_calls_of_repeats_use_the_budget():
    """Repeats high in a chain multiply the calls of the services below."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=0)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    for _ in range(15):
        budget.record_request(is_repeat=True)
    assert spend_all(budget, rank=1.0) == SHARE * 100 - 15


def test_scarce_budget_is_kept_for_high_ranks():
    """Repeats spread evenly over all trees complete none of them."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=0)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    assert spend_all(budget, rank=0.5) == SHARE * 100 / 2
    assert not budget.allows_retry(0.5)
    assert budget.allows_retry(1.0)


def test_old_requests_and_repeats_are_forgotten():
    """A budget for one window must not add up over a day."""
    now = [0.0]
    budget = budgets.RequestBudget(SHARE, lambda: now[0], reserve=1)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    spend_all(budget, rank=1.0)
    now[0] = 30.0
    assert spend_all(budget, rank=1.0) == 1


def test_all_calls_of_a_tree_rank_alike_and_orders_above():
    """Hosts decide apart from each other, and orders are shed last."""
    low, high = calls.Priority.LOW, calls.Priority.CRITICAL
    for name in map(str, range(100)):
        ranks = [
            calls.compute_rank(name, low, idempotent=True),
            calls.compute_rank(name, high, idempotent=True),
            calls.compute_rank(name, high, idempotent=False),
        ]
        assert 0 < ranks[0] <= ranks[1] <= ranks[2] <= 1
