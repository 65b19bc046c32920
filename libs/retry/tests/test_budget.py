"""Tests of the retry budgets."""

from cactusloft_model import calls
from cactusloft_retry import budgets

SHARE = 0.2


def use_up_budget(budget, rank):
    """Count retries until the budget allows no more; return the number."""
    count = 0
    while budget.allows_retry(rank):
        budget.spend()
        count += 1
    return count


def test_repeats_stay_within_the_share_of_requests():
    """Guards against repeats multiplying the load of a failing service."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=2)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    assert use_up_budget(budget, rank=1.0) == SHARE * 100 + 2


def test_nested_calls_of_repeats_use_the_budget():
    """Guards against a repeat multiplying the calls further downstream."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=0)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    for _ in range(15):
        budget.record_request(is_repeat=True)
    assert use_up_budget(budget, rank=1.0) == SHARE * 100 - 15


def test_scarce_budget_is_kept_for_high_ranks():
    """Guards against an even spread of repeats, which completes no tree."""
    budget = budgets.RequestBudget(SHARE, lambda: 0.0, reserve=0)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    assert use_up_budget(budget, rank=0.5) == SHARE * 100 / 2
    assert not budget.allows_retry(0.5)
    assert budget.allows_retry(1.0)


def test_old_requests_and_repeats_expire():
    """Guards against a budget that accumulates over many windows."""
    now = [0.0]
    budget = budgets.RequestBudget(SHARE, lambda: now[0], reserve=1)
    for _ in range(100):
        budget.record_request(is_repeat=False)
    use_up_budget(budget, rank=1.0)
    now[0] = 30.0
    assert use_up_budget(budget, rank=1.0) == 1


def test_all_calls_of_a_tree_rank_alike_and_orders_above():
    """Guards against ranks that differ between hosts or shed orders early.

    Hosts compute ranks independently of each other.
    """
    low, high = calls.Priority.LOW, calls.Priority.CRITICAL
    for name in map(str, range(100)):
        ranks = [
            calls.compute_rank(name, low, idempotent=True),
            calls.compute_rank(name, high, idempotent=True),
            calls.compute_rank(name, high, idempotent=False),
        ]
        assert 0 < ranks[0] <= ranks[1] <= ranks[2] <= 1
