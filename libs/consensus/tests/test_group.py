"""Tests of groups of replicas under crashes, partitions and disk faults."""

import pytest

from cactusloft_consensus import documents
from cactusloft_consensus import messages
from cactusloft_model import errors

ACCEPTED = documents.OutcomeKind.ACCEPTED
CONFLICT = documents.OutcomeKind.CONFLICT


def _apply_many(group, count, prefix='change'):
    first = group.find_leader().store.version
    for number in range(first, first + count):
        outcome = group.apply(number, f'{prefix}-{number}', f'text {number}')
        assert outcome.kind is ACCEPTED


def _has_all(group, version):
    return all(
        host.store.version == version
        for host in group.hosts.values()
        if host.node is not None
    )


def test_restart_of_all_after_300_changes(make_group):
    """A restart of all replicas must not restore an older version.

    The log has been compacted many times by then.
    """
    group = make_group(3)
    _apply_many(group, 300)
    for address in group.hosts:
        group.crash(address)
    for address in group.hosts:
        group.restart(address)
    group.run_until(lambda: _is_settled(group))
    assert _has_all(group, 300)
    assert group.find_leader().store.text == 'text 299'
    assert group.apply(300, 'after').version == 301


def test_equal_bases_and_resends(make_group):
    """Changes with the same base version must not overwrite each other.

    A resent change must not be applied again, even by a new leader.
    """
    group = make_group(3)
    first = group.apply(0, 'one', 'text of one')
    second = group.apply(0, 'two', 'text of two')
    assert (first.kind, second.kind) == (ACCEPTED, CONFLICT)
    _apply_many(group, 30)
    group.crash(group.find_leader().address)
    del group.acknowledged['one']
    assert group.apply(0, 'one', 'text of one') == first
    assert group.find_leader().store.version == 31


def test_isolated_leader_stops_leading(make_group):
    """An isolated leader must not confirm changes that others replaced."""
    group = make_group(3)
    _apply_many(group, 3)
    leader = group.find_leader()
    group.isolate(leader.address)
    group.propose(3, 'lost', address=leader.address)
    isolated_at = group.now
    group.run_until(lambda: not leader.node.is_leader)
    group.run_until(lambda: group.find_leader() is not None)
    _apply_many(group, 25, 'majority')
    group.run_for(60)
    assert leader.node.confirmed_at <= isolated_at
    assert leader.store.version == 3
    term = group.find_leader().node.term
    group.blocked_links.clear()
    group.run_until(lambda: leader.store.version == 28)
    assert 'lost' not in group.acknowledged
    assert group.find_leader().node.term == term, 'rejoining forced a term'


def test_membership_change_waits_until_the_last_is_settled(make_group):
    """A membership change must wait until the last one has taken effect.

    State derived from the members could otherwise skip a membership and
    find no member to copy from.
    """
    group = make_group(1)
    group.run_until(lambda: group.find_leader() is not None)
    leader = group.find_leader().node
    group.add_host('new')
    joining = group.hosts['new'].node.replica_id
    leader.is_change_settled = lambda: False
    member = messages.Member(joining, 'new', False)
    changed = (*leader.log.members, member)
    refused = leader.change_members(changed, group.now).failure()
    assert refused.kind is errors.ErrorKind.CONTROL_UNAVAILABLE
    leader.is_change_settled = lambda: True
    assert leader.change_members(changed, group.now).unwrap()
    leader.is_change_settled = lambda: False
    group.run_for(10)
    assert member in leader.log.members, (
        'promoted before the change was settled'
    )
    assert leader.log.find_membership(leader.commit_index).version == 2


def test_lost_disk_neither_votes_nor_counts(make_group):
    """A replica that lost its log must not vote or count in a majority.

    Its vote could elect a leader without a committed change.
    """
    group = make_group(3)
    _apply_many(group, 5)
    leader = group.find_leader().address
    replaced, kept = [a for a in group.hosts if a != leader]
    former = group.hosts[replaced].node.replica_id
    group.replace_disk(replaced)
    assert group.hosts[replaced].node.replica_id != former
    group.crash(leader)
    group.run_for(20)
    assert group.find_leader() is None
    assert not group.hosts[kept].node.is_leader
    group.restart(leader)
    _await_version(group, 5)
    _apply_many(group, 1)


def _await_version(group, version):
    group.run_until(
        lambda: (
            group.find_leader() is not None
            and group.find_leader().store.version >= version
        )
    )


def test_second_loss_right_after_repair(make_group):
    """A replaced replica must hold all changes before it becomes a voter.

    Otherwise a second disk lost right after the repair loses changes.
    """
    group = make_group(3)
    _apply_many(group, 50)
    leader = group.find_leader().address
    replaced, kept = [a for a in group.hosts if a != leader]
    former = group.hosts[replaced].node.replica_id
    group.replace_disk(replaced)
    group.remove(former)
    group.join(replaced)
    group.replace_disk(kept)
    _await_version(group, 50)
    _apply_many(group, 1)
    group.crash(leader)
    group.run_for(10)
    assert group.find_leader() is None, 'one of three voters became the leader'
    group.restart(leader)
    _await_version(group, 51)


def test_learner_counts_only_once_caught_up(make_group):
    """A learner must not be promoted before it has caught up.

    Promoting an unreachable learner could cost the group its majority.
    """
    group = make_group(2)
    _apply_many(group, 3)
    group.add_host('late')
    group.isolate('late')
    joining = group.join('late', wait_for_promotion=False)
    group.run_for(10)
    members = group.find_leader().node.log.members
    learner = next(m for m in members if m.replica_id == joining)
    assert not learner.is_voter
    _apply_many(group, 30)
    group.blocked_links.clear()
    group.run_until(lambda: _has_all(group, 33))
    group.run_until(lambda: group._is_voter(joining))


def test_one_membership_change_at_a_time(make_group):
    """Only one membership change may be in progress.

    Two overlapping changes could form two disjoint majorities.
    """
    group = make_group(3)
    leader = group.find_leader().node
    members = leader.log.members
    assert leader.change_members(members[:1], group.now).failure()
    assert leader.change_members((), group.now).failure()
    assert leader.change_members(members[:2], group.now).unwrap()
    assert leader.change_members(members[:1], group.now).failure()


def test_membership_version_survives_compaction(make_group):
    """A snapshot must not change the membership version.

    The call ledger uses the version as its epoch, so it must be the same on
    all replicas.
    """
    group = make_group(3)
    epoch = group.find_leader().node.membership.version
    changed_at = group.find_leader().node.log.members_index
    _apply_many(group, 50)
    for address in group.hosts:
        group.crash(address)
        group.restart(address)
    group.run_until(lambda: _has_all(group, 50))
    nodes = [host.node for host in group.hosts.values()]
    assert all(node.log.snapshot.index > changed_at for node in nodes)
    assert {node.membership.version for node in nodes} == {epoch}


def test_leader_removes_itself(make_group):
    """A removed leader must step down and must not force elections."""
    group = make_group(3)
    removed = group.find_leader()
    group.remove(removed.node.replica_id)
    group.run_until(lambda: not removed.node.is_leader)
    group.run_until(lambda: group.find_leader() is not None)
    term = group.find_leader().node.term
    group.run_for(10)
    assert group.find_leader().node.term == term
    assert group.apply(0, 'after').kind is ACCEPTED


def test_full_disk_stops_voting(make_group):
    """A replica with a full disk must not acknowledge entries."""
    group = make_group(3)
    leader = group.find_leader()
    leader.disk.is_full = True
    group.propose(0, 'unsynced', address=leader.address)
    group.run_until(lambda: leader.node is None)
    group.run_until(lambda: group.find_leader() is not None)
    assert group.apply(0, 'unsynced').version == 1
    leader.disk.is_full = False
    leader.disk.lose_power()
    group.restart(leader.address)
    group.run_until(lambda: _has_all(group, 1))


@pytest.mark.parametrize('seed', range(12))
def test_random_schedule(make_group, seed):
    """Random faults must not lose acknowledged changes or split replicas.

    Hosts crash, links are blocked, and messages are lost and delayed.
    """
    group = make_group(3 if seed % 2 else 5, seed=seed)
    group.loss_probability = 0.1
    group.max_delay_s = group.random.choice((0.05, 0.15, 0.3))
    group.sync_probability = group.random.choice((0.1, 0.7))
    for number in range(200):
        _inject_fault(group)
        leader = group.find_leader()
        base = leader.store.version if leader else 0
        for address in group.hosts:
            group.propose(base, f'{number}-{address}', address=address)
        group.run_for(group.random.uniform(0.0, 1.0))
    _clear_faults(group)
    versions = [outcome.version for outcome, _ in group.acknowledged.values()]
    _await_version(group, max(versions))
    group.run_until(lambda: _is_settled(group))
    accepted = [
        o for o, _ in group.acknowledged.values() if o.kind is ACCEPTED
    ]
    assert len({outcome.version for outcome in accepted}) == len(accepted)
    assert len(accepted) > 10


@pytest.mark.parametrize('seed', range(8))
def test_confirmation_of_a_resumed_replica_covers_too_much(make_group, seed):
    """A read would be answered without a change acknowledged before it.

    Hosts are suspended for up to 3 s and read the messages of that time when
    they continue. Others restart, and catch up from a snapshot.
    """
    group = make_group(3 if seed % 2 else 5, seed=seed)
    group.loss_probability = 0.05
    resumed = 0
    for number in range(120):
        address = group.random.choice(list(group.hosts))
        if group.suspended and group.random.random() < 0.4:
            group.suspended.clear()
            resumed += 1
        elif group.random.random() < 0.5:
            group.suspended = {address}
        else:
            group.crash(address)
            group.run_for(group.random.uniform(0.0, 1.0))
            group.restart(address)
        _propose_changes(group, number)
    group.suspended.clear()
    accepted = [
        o for o, _ in group.acknowledged.values() if o.kind is ACCEPTED
    ]
    assert resumed > 5 and len(accepted) > 20
    _await_version(group, max(outcome.version for outcome in accepted))
    group.run_until(lambda: _is_settled(group))


@pytest.mark.parametrize('seed', range(6))
def test_random_repairs(make_group, seed):
    """Acknowledged changes must survive the loss of one disk after another."""
    group = make_group(3, seed=seed)
    group.loss_probability = 0.05
    for number in range(12):
        replaced = group.random.choice(list(group.hosts))
        former = group.hosts[replaced].node.replica_id
        _propose_changes(group, number)
        group.replace_disk(replaced)
        if group.random.random() < 0.5:
            # Restart another host in the middle of the repair.
            other = group.random.choice(
                [a for a in group.hosts if a != replaced]
            )
            group.crash(other)
            group.restart(other)
        group.remove(former)
        _propose_changes(group, number + 100)
        group.join(replaced)
    _clear_faults(group)
    accepted = [
        o for o, _ in group.acknowledged.values() if o.kind is ACCEPTED
    ]
    assert len(accepted) > 10
    _await_version(group, max(outcome.version for outcome in accepted))
    group.run_until(lambda: _is_settled(group))
    members = group.find_leader().node.membership.members
    living = {host.node.replica_id for host in group.hosts.values()}
    assert {m.replica_id for m in members if m.is_voter} == living


def _propose_changes(group, number):
    for attempt in range(group.random.randint(1, 4)):
        leader = group.find_leader()
        if leader is not None:
            version = leader.store.version
            group.propose(version, f'{number}-{attempt}')
        group.run_for(group.random.uniform(0.0, 0.4))


def _is_settled(group):
    leader = group.find_leader()
    return leader is not None and _has_all(group, leader.store.version)


def _inject_fault(group):
    address = group.random.choice(list(group.hosts))
    action = group.random.random()
    if action < 0.2:
        group.crash(address)
    elif action < 0.25:
        for other in group.hosts:
            group.crash(other)
    elif action < 0.35:
        group.isolate(address)
    elif action < 0.5:
        group.blocked_links.clear()
    elif action < 0.8:
        _restart_crashed(group)


def _restart_crashed(group):
    for host in group.hosts.values():
        if host.node is None:
            group.restart(host.address)


def _clear_faults(group):
    group.blocked_links.clear()
    group.loss_probability = 0.0
    group.max_delay_s = 0.05
    _restart_crashed(group)
