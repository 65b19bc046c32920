"""Tests of what clients may make a process hold."""

import pytest

from cactusloft_admission import memory

BUDGET_BYTES = 1_000_000
SMALL = 1000
# Above the size up to which a request counts as small.
LARGE = 100_000


def make_budget():
    """Return a budget that nothing holds yet."""
    return memory.MemoryBudget(BUDGET_BYTES)


def fill(budget, size):
    """Hold as many requests of a size as fit; return their holds."""
    holds = []
    while True:
        hold = budget.make_hold()
        if not hold.grow(size):
            return holds
        holds.append(hold)


def test_small_request_finds_room_beside_large_ones():
    """A crowd of large requests must not starve ordinary callers."""
    budget = make_budget()
    assert fill(budget, LARGE)
    assert budget.make_hold().grow(SMALL)


def test_request_that_grows_becomes_a_large_one():
    """Bodies that come in small pieces must not use the reserve."""
    budget = make_budget()
    fill(budget, LARGE)
    hold = budget.make_hold()
    while hold.grow(SMALL):
        pass
    assert hold.size < LARGE
    assert budget.make_hold().grow(SMALL)


def test_released_holds_leave_nothing_behind():
    """A crowd that has left must not keep later clients out."""
    budget = make_budget()
    for hold in fill(budget, LARGE):
        hold.release()
        hold.release()
    long_head = budget.make_hold()
    assert long_head.add_head(lines=200, head_bytes=SMALL)
    long_head.shrink(0)
    long_head.release()
    assert budget.held_bytes == 0
    assert long_head.add_head(lines=200, head_bytes=SMALL)


def test_long_heads_fill_only_their_share():
    """Decoded lines of a crowd must leave room for ordinary requests."""
    budget = make_budget()
    lines = 2 * memory.MAX_ORDINARY_LINES
    holds = [budget.make_hold() for _ in range(100)]
    admitted = [hold.add_head(lines, SMALL) for hold in holds]
    assert admitted[0]
    assert not admitted[-1]
    assert budget.make_hold().add_head(20, SMALL)
    assert budget.make_hold().grow(LARGE)


def test_room_is_made_before_a_request_is_refused():
    """What stalls goes first; only then newcomers are refused."""
    budget = make_budget()
    holds = fill(budget, LARGE)

    def make_room():
        if not holds:
            return False
        holds.pop().release()
        return True

    budget.make_room = make_room
    refused = budget.refused
    assert budget.make_hold().grow(LARGE)
    assert budget.refused == refused
    assert not budget.make_hold().grow(2 * BUDGET_BYTES)


def test_smallest_machine_serves_the_largest_legal_request():
    """64 MiB in one body, with the defaults."""
    budget = memory.MemoryBudget(memory.make_limits().memory_bytes)
    assert budget.make_hold().grow(64 * 1024 * 1024)


@pytest.mark.parametrize(
    'limits', [(50_000_000, 4000), (63_000_000, 4000), (200_000_000, 1)]
)
def test_limits_without_room_for_a_request_are_refused(limits):
    """They would refuse all callers."""
    with pytest.raises(memory.BudgetError):
        memory.make_limits(*limits)


def make_progress(*arrivals, began_at=0.0):
    """Return the progress of a sender.

    :param arrivals: pairs of time in seconds and received bytes.
    """
    progress = memory.Progress(began_at)
    for at, size in arrivals:
        progress.receive(size, at)
    return progress


def select(now, count=10, **progress):
    """Return the names of the senders to drop, in order."""
    return memory.select_slowest(
        ((name, entry) for name, entry in progress.items()), count, now
    )


def test_stalled_and_trickling_senders_are_dropped_first():
    """Those who send at an ordinary pace keep their place."""
    seconds = range(6)
    names = select(
        now=5.5,
        stalled=make_progress((0.0, 60_000_000)),
        trickling=make_progress(*((at, 10) for at in seconds)),
        sending=make_progress(*((at, 1_000_000) for at in seconds)),
        new=make_progress((5.9, 10)),
    )
    assert names == ['stalled', 'trickling']


def test_longest_idle_connection_is_dropped_first():
    """It is the one least likely to be used again."""
    names = select(
        now=60.0,
        count=2,
        old=make_progress(began_at=10.0),
        stalled=make_progress((5.0, 1000)),
        older=make_progress(began_at=1.0),
        fresh=make_progress(began_at=59.5),
    )
    assert names == ['older', 'old']


def test_head_has_one_deadline():
    """A byte from time to time must not keep a connection for ever."""
    progress = make_progress(*((float(at), 1) for at in range(25)))
    assert not progress.is_late(19.0, body_bytes=0)
    assert progress.is_late(25.0, body_bytes=0)


def test_body_has_time_for_its_size():
    """A long body on a slow link is not cut off while it arrives."""
    progress = make_progress((0.0, 1_000_000))
    assert not progress.is_late(60.0, body_bytes=1_000_000)
    assert progress.is_late(100.0, body_bytes=1_000_000)


def test_answered_request_ends_the_measure():
    """A kept connection is idle, not late, after its response."""
    progress = make_progress((0.0, 100))
    progress.finish(1.0)
    assert not progress.is_late(100.0, body_bytes=0)
