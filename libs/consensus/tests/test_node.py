"""Tests of the rules of the consensus protocol."""

import random

import msgspec
import pytest

from cactusloft_consensus import messages
from cactusloft_consensus import node

MEMBERS = tuple(messages.Member(name, name, True) for name in 'abc')
SNAPSHOT = messages.Snapshot(1, 1, MEMBERS, b'')
LATER = 100.0


def _make_node(term=3, entries=()):
    vote = messages.VoteRecord(term, '')
    persisted = node.PersistedState('a', vote, SNAPSHOT, entries)
    return node.Node(persisted, node.Timing(), random.Random(1), 0.0)


def _entry(index, term):
    return messages.Entry(index, term, messages.EntryKind.NO_OP, b'')


def _receive(replica, sender, message, now=LATER):
    replica.receive(messages.Envelope(sender, 'a', message), now)
    return replica.collect()


def _append(term, prev, entries=(), commit=0, echo=0, age=None):
    return messages.Append(term, *prev, entries, commit, 1, echo, age)


def _elect(replica):
    """Make ``replica`` win an election in the next term."""
    replica.tick(LATER)
    term = replica.term + 1
    _receive(replica, 'b', messages.PreVoteReply(replica.term, term, True))
    assert replica.role == 'candidate'
    _receive(replica, 'b', messages.VoteReply(term, True))
    assert not replica.is_leader, 'won with its own vote not yet synced'
    replica.mark_synced((1, 1, term), LATER)
    assert replica.is_leader


def test_restarted_group_elects_soon():
    """A group that restarts must elect a leader within the initial timeout.

    After a power loss no change is accepted before there is a leader.
    """
    replica = _make_node()
    timing = node.Timing()
    replica.tick(timing.max_initial_timeout_s)
    sent = [envelope.message for envelope in replica.collect().messages]
    assert messages.PreVote(4, 1, 1) in sent


def test_known_leader_gets_full_election_timeout():
    """A follower must not start an election over one late heartbeat."""
    replica = _make_node()
    _receive(replica, 'b', _append(3, (1, 1)), now=0.1)
    replica.tick(0.1 + node.Timing().min_election_timeout_s - 0.01)
    assert replica.role == 'follower'


def test_one_vote_in_a_term():
    """A replica votes once in a term, or two leaders could be elected."""
    replica = _make_node()
    first = _receive(replica, 'b', messages.Vote(4, 9, 3))
    second = _receive(replica, 'c', messages.Vote(4, 9, 3))
    assert first.records[-1] == messages.VoteRecord(4, 'b')
    assert first.synced_messages[0].message.granted
    assert not first.messages, 'a vote was sent before its sync'
    assert not second.synced_messages[0].message.granted


@pytest.mark.parametrize('last_index,last_term', [(1, 1), (2, 2), (9, 2)])
def test_no_vote_for_a_shorter_log(last_index, last_term):
    """A candidate with a shorter log must get no vote.

    As the leader it could overwrite a committed entry.
    """
    replica = _make_node(entries=(_entry(2, 3),))
    request = messages.Vote(4, last_index, last_term)
    output = _receive(replica, 'b', request)
    assert not output.synced_messages[0].message.granted
    asked = messages.PreVote(5, last_index, last_term)
    output = _receive(replica, 'b', asked)
    assert not output.synced_messages[0].message.granted


def test_append_is_acknowledged_after_sync():
    """An entry must be synced before it is acknowledged."""
    replica = _make_node()
    append = _append(3, (1, 1), (_entry(2, 3),))
    output = _receive(replica, 'b', append)
    assert output.records == (messages.EntriesRecord((_entry(2, 3),)),)
    assert output.synced_messages[0].message.match == 2
    assert not output.messages


def test_entry_of_earlier_term_does_not_commit_alone():
    """An entry of an earlier term must not commit by its majority alone.

    A later leader could still replace it.
    """
    replica = _make_node(entries=(_entry(2, 3),))
    _elect(replica)
    replica.mark_synced((2, 3, 4), LATER)
    round_id = replica.collect().messages[-1].message.round_id
    _receive(replica, 'b', messages.AppendReply(4, True, 2, round_id, 7))
    assert replica.commit_index == 1 and not replica.is_ready
    replica.mark_synced((3, 4, 4), LATER)
    _receive(replica, 'b', messages.AppendReply(4, True, 3, round_id, 7))
    assert replica.commit_index == 3 and replica.is_ready


def test_contradicted_commit_stops_the_replica():
    """A replica must stop when a leader contradicts a committed entry."""
    replica = _make_node()
    _receive(replica, 'b', _append(3, (1, 1), (_entry(2, 3),), commit=2))
    assert replica.commit_index == 2
    with pytest.raises(node.ConsensusError):
        _receive(replica, 'c', _append(4, (1, 1), (_entry(2, 4),)))


def test_snapshot_keeps_entries_that_agree():
    """Entries after a snapshot are kept if the log agrees with it.

    The leader may already count them as replicated.
    """
    entries = tuple(_entry(index, 3) for index in range(2, 6))
    replica = _make_node(entries=entries)
    snapshot = messages.Snapshot(3, 3, MEMBERS, b'state', 1)
    message = messages.InstallSnapshot(3, snapshot, 1)
    output = _receive(replica, 'b', message)
    assert output.snapshot == snapshot
    assert replica.log.last_index == 5


def test_confirmation_counts_from_own_reply():
    """A confirmation dates from the reply that the heartbeat echoes.

    A delayed heartbeat would otherwise confirm its time of arrival.
    """
    replica = _make_node()
    output = _receive(replica, 'b', _append(3, (1, 1)), now=50.0)
    token = output.synced_messages[0].message.token
    late = _append(3, (1, 1), commit=1, echo=token, age=0.5)
    _receive(replica, 'b', late, now=90.0)
    assert replica.confirmed_at == 49.5
    ahead = _append(3, (1, 1), commit=2, echo=token, age=0.0)
    _receive(replica, 'b', ahead, now=91.0)
    assert replica.confirmed_at == 49.5, (
        'confirmed without the last committed entry'
    )


def test_message_to_a_former_replica_is_ignored():
    """A host with a new disk must not reply for its former replica."""
    replica = _make_node()
    envelope = messages.Envelope('b', 'former', messages.Vote(4, 9, 3))
    replica.receive(envelope, LATER)
    assert not replica.collect().synced_messages


def test_membership_version_outlives_a_snapshot():
    """The membership version must not depend on snapshots.

    The call ledger uses it as its epoch, so replicas must agree on it.
    """
    data = msgspec.msgpack.encode(MEMBERS[:2])
    kind = messages.EntryKind.MEMBERS
    changes = tuple(messages.Entry(i, 3, kind, data) for i in (2, 3))
    replica = _make_node(entries=changes)
    before = replica.log.find_membership(3).version
    replica.compact(2, b'state')
    assert replica.log.find_membership(3).version == before == 2
    assert replica.log.snapshot.version == 1
