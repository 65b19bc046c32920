"""Tests of elections and leaders on slow disks and networks."""

import pytest

from cactusloft_consensus import documents

# Bound of the users' rule RECOVER for the return of all machines.
RECOVER_S = 15.0
# Bound of the users' rules for the acknowledgement of a change (``ack``).
ACK_S = 4.0
# Time after the end of a disruption from which the users' rules hold again.
CONTACT_S = 3.0
# Daemons without a confirmation for this long refuse calls with keys.
FRESHNESS_BOUND_S = 5.0
# Slowest sync that the design bears, docs/design.md section 5.7.
SLOWEST_SYNC_S = 2.0


def _make_group(make_group, voters, seed):
    group = make_group(voters, seed=seed, min_voters=3)
    assert group.apply(0, 'first').version == 1
    return group


def _slow_syncs(group, sync_s):
    group.draw_sync_s = lambda: group.random.uniform(0.7, 1.0) * sync_s


def _restart_all(group):
    for address in group.hosts:
        group.crash(address)
    group.run_for(0.3)
    for address in group.hosts:
        group.restart(address)


def _await_leader(group, limit_s=RECOVER_S):
    """Wait for a leader that holds the acknowledged change."""
    group.run_until(
        lambda: (
            group.find_leader() is not None
            and group.find_leader().store.version >= 1
        ),
        limit_s,
    )


def _stall_randomly(group, duration_s, most_stalled):
    """Stall hosts now and then for 0.1 to 2 s, at most some at a time."""
    end = group.now + duration_s
    while group.now < end:
        stalled = sum(
            h.stalled_until > group.now for h in group.hosts.values()
        )
        if stalled < most_stalled and group.random.random() < 0.02:
            host = group.random.choice(list(group.hosts.values()))
            host.stalled_until = group.now + group.random.uniform(0.1, 2.0)
        group.step()


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('voters', [3, 5, 11, 15])
@pytest.mark.parametrize('sync_s', [0.1, 0.2, 0.3, 0.5, 1.0, SLOWEST_SYNC_S])
def test_restarted_group_with_slow_syncs_elects(
    make_group, sync_s, voters, seed
):
    """A group must elect a leader when syncs outlast election timeouts.

    Candidates used to start again before the votes for them were synced.
    """
    group = _make_group(make_group, voters, seed)
    _slow_syncs(group, sync_s)
    _restart_all(group)
    _await_leader(group)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('voters', [3, 5, 11, 15])
@pytest.mark.parametrize('sync_s', [0.005, 0.1, 1.0, SLOWEST_SYNC_S])
def test_restarted_group_with_slow_messages_elects(
    make_group, sync_s, voters, seed
):
    """Late requests must not make candidates block each other for good."""
    group = _make_group(make_group, voters, seed)
    group.max_delay_s = 0.3
    _slow_syncs(group, sync_s)
    _restart_all(group)
    _await_leader(group)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('voters', [3, 5, 11, 15])
@pytest.mark.parametrize('sync_s', [0.02, 0.5, 1.0])
def test_restarted_group_with_stalls_elects_once_they_end(
    make_group, sync_s, voters, seed
):
    """Stalls during an election must not delay it after they have ended."""
    group = _make_group(make_group, voters, seed)
    group.max_delay_s = 0.3
    _slow_syncs(group, sync_s)
    _restart_all(group)
    _stall_randomly(group, 5.0, most_stalled=(voters - 1) // 2)
    _await_leader(group)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('voters', [3, 5, 11, 15])
@pytest.mark.parametrize('delay_s', [0.05, 0.3])
@pytest.mark.parametrize('sync_s', [0.1, 0.3, 1.0])
def test_leader_with_slow_syncs_keeps_leading(
    make_group, sync_s, delay_s, voters, seed
):
    """Slow syncs must not make a leader step down or changes fail.

    Confirmations of heartbeats used to wait for the sync of new entries.
    """
    group = _make_group(make_group, voters, seed)
    _await_leader(group)
    group.max_delay_s = delay_s
    _slow_syncs(group, sync_s)
    leader, term = group.find_leader(), group.find_leader().node.term
    for number in range(1, 30):
        group.propose(number, f'change-{number}', address=leader.address)
        group.run_until(
            lambda: f'change-{number}' in group.acknowledged, ACK_S
        )
        outcome, _ = group.acknowledged[f'change-{number}']
        assert outcome.kind is documents.OutcomeKind.ACCEPTED
        assert leader.node.is_leader and leader.node.term == term
    assert group.now - leader.node.confirmed_at < ACK_S


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('voters', [3, 5, 11, 15])
def test_group_elects_soon_after_a_long_partition(make_group, voters, seed):
    """Election timeouts that grew must not delay the end of a partition."""
    group = _make_group(make_group, voters, seed)
    for address in group.hosts:
        group.isolate(address)
    group.run_for(30.0)
    group.blocked_links.clear()
    _await_leader(group, CONTACT_S)


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('voters', [3, 5, 11])
def test_group_recovers_from_hung_disk_of_a_candidate(
    make_group, voters, seed
):
    """A candidate whose vote is never synced must not hold up the others."""
    group = _make_group(make_group, voters, seed)
    _restart_all(group)
    group.draw_sync_s = lambda: 0.01
    group.run_until(
        lambda: any(
            host.node.role == 'candidate' for host in group.hosts.values()
        )
    )
    for host in group.hosts.values():
        if host.node.role == 'candidate':
            host.synced_at = float('inf')
    _await_leader(group)


@pytest.mark.parametrize('seed', range(6))
def test_random_faults_on_slow_disks(make_group, seed):
    """Slow disks must neither split replicas nor lose acknowledged changes."""
    group = _make_group(make_group, 5 if seed % 2 else 3, seed)
    group.loss_probability = 0.05
    group.max_delay_s = group.random.choice((0.05, 0.3))
    _slow_syncs(group, group.random.choice((0.05, 0.3, 1.0)))
    for number in range(60):
        address = group.random.choice(list(group.hosts))
        if group.random.random() < 0.3:
            group.crash(address)
            group.restart(address)
        for other in group.hosts:
            leader = group.find_leader()
            base = leader.store.version if leader else 0
            group.propose(base, f'{number}-{other}', address=other)
        _stall_randomly(group, group.random.uniform(0.0, 3.0), 1)
    group.loss_probability = 0.0
    versions = [o.version for o, _ in group.acknowledged.values()]
    group.run_until(
        lambda: (
            group.find_leader() is not None
            and group.find_leader().store.version >= max(versions)
        ),
        RECOVER_S,
    )


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('voters', [5, 11])
def test_hung_disk_of_a_voter_prolongs_an_election(make_group, voters, seed):
    """Hosts refuse calls with keys once no leader was confirmed for 5 s."""
    group = _make_group(make_group, voters, seed)
    group.run_for(2.0)
    group.draw_sync_s = lambda: 0.01
    former = group.find_leader()
    hung = next(h for h in group.hosts.values() if h is not former)
    sync_slowly = group._sync_slowly

    def sync(host):
        if host is hung and host.outputs and not host.syncing:
            host.syncing, host.outputs = host.outputs, []
            host.synced_at = float('inf')
        elif host is not hung:
            sync_slowly(host)

    group._sync_slowly = sync
    group.isolate(former.address)
    term = former.node.term
    group.run_until(
        lambda: any(
            host.node.is_ready and host.node.term > term
            for host in group.hosts.values()
        ),
        limit_s=FRESHNESS_BOUND_S,
    )
