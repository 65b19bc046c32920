"""Tests of the replay of call trees whose deepest service declines calls."""

from cactusloft_bench import declined_trees


def test_refusing_roots_early_earns_no_more_than_running_them():
    """Guards the choice not to refuse roots early.

    If a change of ranks or budgets makes early refusal better in this replay,
    the choice in ``docs/design/sharing.md`` is due again.
    """
    run_all = declined_trees.simulate(0.0, 0.0).credit
    refused = [
        declined_trees.simulate(rank, return_after_s).credit
        for rank in (0.5, 0.75, 0.9)
        for return_after_s in (0.5, 1.5)
    ]
    assert run_all >= max(refused)


def test_trees_that_cannot_be_sent_again_get_the_repeats():
    """Guards against spending the budget on trees that their clients repeat.

    Orders are served more often than look-ups, although only look-ups are
    sent again by their clients.
    """
    look_ups, orders = declined_trees.simulate(0.0, 0.0).served
    assert orders > look_ups
