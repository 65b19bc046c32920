"""Tests of what a node may send before a sync has ended."""

import random

from cactusloft_consensus import messages
from cactusloft_consensus import node

MEMBERS = tuple(messages.Member(name, name, True) for name in 'abc')
SNAPSHOT = messages.Snapshot(1, 1, MEMBERS, b'')
TIMING = node.Timing()


def _make_node(term=3, entries=()):
    vote = messages.VoteRecord(term, '')
    persisted = node.PersistedState('a', vote, SNAPSHOT, entries)
    return node.Node(persisted, TIMING, random.Random(1), 0.0)


def _entry(index, term):
    return messages.Entry(index, term, messages.EntryKind.NO_OP, b'')


def _receive(replica, sender, message, now):
    replica.receive(messages.Envelope(sender, 'a', message), now)
    return replica.collect()


def _append(term, prev, entries=(), round_id=1):
    return messages.Append(term, *prev, entries, 1, round_id, 0, None)


def _start_slow_sync(replica, now, term=3):
    """Receive an entry whose sync does not end, and return the output."""
    return _receive(replica, 'b', _append(term, (1, 1), (_entry(2, 3),)), now)


def test_heartbeat_during_a_sync_is_acknowledged_at_once():
    """Heartbeats must not wait for a sync, nor acknowledge its entries.

    The leader steps down without replies, and commits what is acknowledged.
    """
    replica = _make_node()
    _start_slow_sync(replica, 10.0)
    heartbeat = _append(3, (2, 3), round_id=2)
    output = _receive(replica, 'b', heartbeat, 10.1)
    (reply,) = (envelope.message for envelope in output.messages)
    assert (reply.accepted, reply.match, reply.round_id) == (True, 1, 2)
    assert not output.synced_messages


def test_heartbeat_of_a_term_that_is_not_synced_waits():
    """A replica that restarts without the term must not have confirmed it."""
    replica = _make_node()
    _start_slow_sync(replica, 10.0, term=4)
    output = _receive(replica, 'b', _append(4, (2, 3), round_id=2), 10.1)
    assert not output.messages
    assert output.synced_messages[0].message.round_id == 2


def test_replica_with_a_failed_disk_becomes_silent():
    """A voter whose disk hangs must not seem responsive for ever.

    The leader removes silent voters and takes the others for replicas that
    store changes.
    """
    replica = _make_node()
    _start_slow_sync(replica, 10.0)
    late = 10.1 + TIMING.max_sync_s
    output = _receive(replica, 'b', _append(3, (2, 3), round_id=2), late)
    assert not output.messages


def test_entries_replaced_during_their_sync_are_not_acknowledged():
    """A sync must not count for entries that were replaced meanwhile."""
    replica = _make_node()
    first = _start_slow_sync(replica, 10.0)
    replaced = _receive(
        replica, 'c', _append(4, (1, 1), (_entry(2, 4),)), 10.1
    )
    _receive(replica, 'b', _append(5, (1, 1), (_entry(2, 3),)), 10.2)
    replica.mark_synced(first.sync_point, 10.3)
    replica.mark_synced(replaced.sync_point, 10.4)
    assert replica._syncs.synced_index == 1


def test_snapshot_is_acknowledged_after_its_sync():
    """A snapshot that arrives again must not be acknowledged unsynced."""
    replica = _make_node()
    snapshot = messages.Snapshot(9, 3, MEMBERS, b'state', 1)
    message = messages.InstallSnapshot(3, snapshot, 1)
    output = _receive(replica, 'b', message, 10.0)
    assert output.synced_messages[0].message.match == 9
    output = _receive(replica, 'b', message, 10.1)
    assert output.synced_messages[0].message.match == 9
    output = _receive(replica, 'b', _append(3, (9, 3), round_id=2), 10.2)
    assert output.messages[0].message.match == 0


def _start_election(replica, now):
    replica.tick(now)
    term = replica.term + 1
    _receive(
        replica, 'b', messages.PreVoteReply(replica.term, term, True), now
    )
    assert replica.role == 'candidate'
    replica.mark_synced((1, 1, term), now)


def test_vote_that_arrives_after_the_timeout_counts():
    """A vote must count until the term ends, however late it arrives."""
    replica = _make_node()
    _start_election(replica, 10.0)
    replica.tick(20.0)
    assert replica.role == 'pre_candidate'
    _receive(replica, 'b', messages.VoteReply(4, True), 20.1)
    assert replica.is_leader and replica.term == 4


def test_vote_for_an_earlier_start_does_not_count():
    """A vote must not count for a replica that restarted since.

    Its log may be shorter than the one that the voter compared.
    """
    replica = _make_node(term=4)
    _receive(replica, 'b', messages.VoteReply(4, True), 0.1)
    _receive(replica, 'c', messages.VoteReply(4, True), 0.1)
    assert not replica.is_leader


def test_leader_that_stepped_down_is_not_elected_by_late_votes():
    """A late vote must not restore a leader that has lost its majority."""
    replica = _make_node()
    _start_election(replica, 10.0)
    _receive(replica, 'b', messages.VoteReply(4, True), 10.1)
    assert replica.is_leader
    replica.tick(10.2 + TIMING.max_election_timeout_s)
    assert not replica.is_leader
    _receive(replica, 'c', messages.VoteReply(4, True), 12.0)
    assert not replica.is_leader


def test_no_pre_vote_while_a_vote_is_under_way():
    """A pre-vote must not start an election that ends a running one."""
    replica = _make_node()
    voted = _receive(replica, 'b', messages.Vote(4, 9, 3), 10.0)
    asked = messages.PreVote(5, 9, 3)
    output = _receive(replica, 'c', asked, 12.0)
    assert not output.synced_messages[0].message.granted
    replica.mark_synced(voted.sync_point, 12.0)
    output = _receive(replica, 'c', asked, 12.1)
    assert not output.synced_messages[0].message.granted
    later = 12.0 + TIMING.min_election_timeout_s
    output = _receive(replica, 'c', asked, later)
    assert output.synced_messages[0].message.granted


def test_pre_vote_goes_to_one_replica_at_a_time():
    """Two replicas must not be told at once that they may win."""
    replica = _make_node()
    asked = messages.PreVote(4, 9, 3)
    output = _receive(replica, 'b', asked, 10.0)
    assert output.synced_messages[0].message.granted
    output = _receive(replica, 'c', asked, 10.1)
    assert not output.synced_messages[0].message.granted
    later = 10.0 + TIMING.min_initial_timeout_s
    output = _receive(replica, 'c', asked, later)
    assert output.synced_messages[0].message.granted


def test_requests_without_success_do_not_postpone_elections():
    """A replica that receives no replies must not block the others."""
    replica = _make_node()
    longest_s = TIMING.max_initial_timeout_s + TIMING.max_election_timeout_s
    roles = set()
    for number in range(int(longest_s / 0.25) + 1):
        now = 10.0 + number * 0.25
        _receive(replica, 'b', messages.PreVote(4, 9, 3), now)
        replica.tick(now)
        roles.add(replica.role)
    assert 'pre_candidate' in roles
