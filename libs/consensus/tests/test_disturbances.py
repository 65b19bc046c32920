"""Tests of groups with one-way links and with a disk that hangs."""

import pytest

SIZE = 5
# Twice the time after which a leader that nobody confirms steps down, and as
# long again for the election.
TAKEOVER_S = 5.0
SEEDS = range(5)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('is_outgoing', [True, False])
def test_leader_that_one_direction_is_cut_from_stays(
    make_group, is_outgoing, seed
):
    """One that hears but is not heard, or is heard but deaf, must give way.

    The others go on under one leader, whose term the cut one does not end.
    """
    group = make_group(SIZE, seed=seed)
    group.apply(0, 'first')
    cut = group.find_leader()
    group.cut_one_way(cut.address, is_outgoing)
    begun_at = group.now
    group.run_until(lambda: not cut.node.is_leader)
    group.run_until(lambda: group.find_leader() is not None)
    assert group.now - begun_at < TAKEOVER_S
    assert group.apply(1, 'second').version == 2
    term = group.find_leader().node.term
    group.run_for(30)
    assert group.find_leader().node.term == term
    group.blocked_links.clear()
    group.run_until(lambda: cut.store.version == 2)
    assert group.find_leader().node.term == term


@pytest.mark.parametrize('seed', SEEDS)
def test_hung_disk_of_the_leader_stops_changes(make_group, seed):
    """The other disks are a majority, and the hung one catches up."""
    group = make_group(SIZE, seed=seed)
    group.apply(0, 'first')
    hung = group.find_leader()
    sync, hung_until = group._sync, group.now + 10.0

    def sync_unless_hung(host):
        if host is not hung or group.now >= hung_until:
            sync(host)

    group._sync = sync_unless_hung
    begun_at = group.now
    assert group.apply(1, 'second').version == 2
    assert group.now - begun_at < TAKEOVER_S
    group.run_for(15)
    assert hung.store.version == 2
    assert group.find_leader() is not None
