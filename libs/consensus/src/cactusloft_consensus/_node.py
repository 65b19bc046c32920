"""Consensus protocol of one replica, without I/O.

The inputs are messages, ticks, proposals and completed syncs. An input may
produce messages to send, records to persist and committed entries to apply;
:meth:`Node.collect` returns these outputs.
"""

import collections

import attrs

from returns import result

from cactusloft_consensus import _follower
from cactusloft_consensus import _leader
from cactusloft_consensus import _log
from cactusloft_consensus import _messages
from cactusloft_consensus import _roles
from cactusloft_consensus import _syncs
from cactusloft_consensus import _voters
from cactusloft_model import errors

TOKEN_BITS = 62
ConsensusError = _follower.ConsensusError


@attrs.frozen
class Timing:
    """Timeouts and intervals of a group.

    An election timeout is drawn at random between its minimum and maximum.

    :ivar min_election_timeout_s: shortest time without a message from the
        leader after which a replica starts a pre-vote.
    :ivar max_election_timeout_s: longest such time. A leader steps down when
        no majority has confirmed it for this long.
    :ivar min_initial_timeout_s: shortest election timeout of a replica that
        has not heard from a leader since its start. It may be shorter than
        the usual one: if there is a leader, its heartbeat arrives before the
        timeout ends, or its followers refuse the pre-vote.
    :ivar max_initial_timeout_s: longest such timeout.
    :ivar heartbeat_interval_s: time between two heartbeat rounds.
    :ivar max_backoff_timeout_s: limit of the timeouts, which double with each
        election that brings no leader. Short enough that a group whose network
        is repaired has a leader within 3 s.
    :ivar max_sync_s: duration of a sync after which a disk counts as failed.
        Until then an election waits for it, and a follower acknowledges
        heartbeats meanwhile.
    """

    min_election_timeout_s: float = 0.6
    max_election_timeout_s: float = 1.2
    min_initial_timeout_s: float = 0.2
    max_initial_timeout_s: float = 0.5
    heartbeat_interval_s: float = 0.15
    max_backoff_timeout_s: float = 2.0
    max_sync_s: float = 2.5


@attrs.frozen
class PersistedState:
    """State that a replica reads from storage at its start.

    :ivar replica_id: random identity of the data folder.
    """

    replica_id: str
    vote: _messages.VoteRecord
    snapshot: _messages.Snapshot
    entries: tuple[_messages.Entry, ...]


@attrs.frozen
class Output:
    """Actions that the caller must carry out.

    :ivar messages: envelopes to send at once.
    :ivar records: records to persist before ``synced_messages`` are sent.
    :ivar synced_messages: envelopes to send after ``records`` are synced.
    :ivar sync_point: last index, term of the last entry, current term and
        number of the latest output with records, to be passed to
        :meth:`Node.mark_synced` after the sync.
    :ivar snapshot: snapshot to restore before ``entries``, or None.
    :ivar entries: committed entries to apply.
    """

    messages: tuple[_messages.Envelope, ...]
    records: tuple[object, ...]
    synced_messages: tuple[_messages.Envelope, ...]
    sync_point: tuple[int, int, int, int]
    snapshot: _messages.Snapshot | None
    entries: tuple[_messages.Entry, ...]


class Node(_leader.LeaderBase):
    """One replica of a group.

    :param persisted: :class:`PersistedState` of the replica.
    :param timing: :class:`Timing` of the group.
    :param randomness: ``random.Random`` for timeouts and tokens.
    :param now: monotonic time in seconds.
    :param min_voters: minimum number of responsive voters that must be left
        when an unresponsive member is removed.
    """

    def __init__(self, persisted, timing, randomness, now, min_voters=1):
        self.replica_id = persisted.replica_id
        self.term = persisted.vote.term
        self.leader_id = ''
        self.log = _log.Log(persisted.snapshot, persisted.entries)
        self.commit_index = persisted.snapshot.index
        self.confirmed_at = None
        self._voted_for = persisted.vote.voted_for
        self._timing = timing
        self._min_voters = min_voters
        self._randomness = randomness
        self._role = _roles.RoleMachine()
        self._leader_state = None
        self._now = now
        self._election_started_at = now
        self._last_contact_at = now - timing.max_election_timeout_s
        self._last_leader_id = ''
        self._missed_rounds = ()
        self._has_heard_leader = False
        self._pre_granted_by = set()
        self._granted_by = set()
        self._postponed_for = set()
        self._request_due_at = now
        self._reset_elections()
        self._syncs = _syncs.SyncTracker(self.log.last_index, self.term, now)
        self._collected_index = persisted.snapshot.index
        self._pending_snapshot = persisted.snapshot
        self._messages = []
        self._synced_messages = []
        self._records = []
        self._heartbeat_due_at = now
        self._last_token = randomness.getrandbits(TOKEN_BITS)
        self._token_times = collections.OrderedDict()
        # Tells whether all state derived from the membership reflects the
        # last membership change. No further change is accepted before that.
        self.is_change_settled = lambda: True
        self._schedule_election(now)

    @property
    def role(self):
        """Return the name of the current role."""
        return self._role.state

    @property
    def is_leader(self):
        """Tell whether this replica leads its term."""
        return self._leader_state is not None

    @property
    def is_ready(self):
        """Tell whether this leader has committed an entry of its term.

        Until then it may not know that entries which an earlier leader
        acknowledged are committed.
        """
        state = self._leader_state
        return state is not None and self.commit_index >= state.first_index

    @property
    def membership(self):
        """Return the committed :class:`Membership`."""
        return self.log.find_membership(self.commit_index)

    def measure_silence_s(self, now):
        """Return the seconds since the last message of a leader.

        :param now: monotonic time in seconds.
        """
        return 0.0 if self.is_leader else now - self._last_contact_at

    def list_match_indexes(self):
        """Return the synced index of each member; empty unless leader."""
        if self._leader_state is None:
            return {}
        progress = self._leader_state.progress
        return {
            replica_id: member.match_index
            for replica_id, member in progress.items()
        }

    def find_removable_member(self):
        """Return the id of an unresponsive member to remove, or None.

        Always None unless this replica leads.
        """
        if not self.is_ready:
            return None
        return _voters.find_removable_member(
            self._leader_state.list_member_states(self.log.members),
            self._timing.heartbeat_interval_s,
            self._min_voters,
        )

    def bootstrap(self, address):
        """Found a group whose only member is this new replica.

        :param address: name under which the transport reaches the replica.
        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if self.log.last_index or self.log.members:
            return _refuse('this replica already belongs to a group')
        member = _messages.Member(self.replica_id, address, True)
        snapshot = _messages.Snapshot(1, 1, (member,), b'', 1)
        self.log = _log.Log(snapshot)
        self.term = max(self.term, 1)
        self.commit_index = self._collected_index = snapshot.index
        self._record_rewrite()
        return result.Success(None)

    def receive(self, envelope, now):
        """Handle a message.

        :param envelope: :class:`Envelope` addressed to this replica.
        :param now: monotonic time in seconds.
        """
        if envelope.target != self.replica_id:
            # Addressed to an earlier replica of this host that lost its disk.
            return
        self._now = now
        message = envelope.message
        handler = self._HANDLERS[type(message)]
        handler(self, envelope.sender, message, now)

    def tick(self, now):
        """Send due heartbeats or start a due election.

        Must be called at least every ``heartbeat_interval_s / 2``.
        """
        self._now = now
        if self._leader_state is not None:
            self._tick_leader(now)
        else:
            self._tick_election(now)

    def propose(self, data, now):
        """Append a command to the log and replicate it.

        :returns: ``Success(Entry)``, or ``Failure(CallError)`` on a replica
            that does not lead.
        """
        self._now = now
        if self._leader_state is None:
            return _refuse_unavailable()
        entry = self._append_entry(_messages.EntryKind.COMMAND, data)
        self._broadcast()
        return result.Success(entry)

    def change_members(self, members, now):
        """Propose a membership that differs in exactly one replica.

        :returns: ``Success(Entry)`` or ``Failure(CallError)``.
        """
        self._now = now
        if not self.is_ready:
            return _refuse_unavailable()
        if self.log.members_index > self.commit_index:
            # CONTROL_UNAVAILABLE invites a retry: the change ends by itself.
            return _refuse_unavailable('a membership change is in progress')
        if not self.is_change_settled():
            return _refuse_unavailable('the last change is not settled')
        changed = set(members) ^ set(self.log.members)
        if len({member.replica_id for member in changed}) != 1:
            return _refuse('exactly one replica may change at a time')
        if not any(member.is_voter for member in members):
            return _refuse('the last voter cannot be removed')
        data = _log.encode_members(members)
        entry = self._append_entry(_messages.EntryKind.MEMBERS, data)
        state = self._leader_state
        state.update_members(members, self.log.last_index)
        self._broadcast()
        return result.Success(entry)

    def compact(self, index, data):
        """Replace the entries up to ``index`` by a snapshot.

        :param index: index of the last applied entry.
        :param data: state of the state machine after that entry.
        """
        term = self.log.find_term(index)
        membership = self.log.find_membership(index)
        snapshot = _messages.Snapshot(
            index, term, membership.members, data, membership.version
        )
        self.log.replace(snapshot)
        self._record_rewrite()

    def mark_synced(self, sync_point, now):
        """Mark all records of an output as durable.

        :param sync_point: ``sync_point`` of that :class:`Output`. Without its
            number, all records collected so far.
        """
        self._now = now
        index, term, vote_term, *number = sync_point
        number = number[0] if number else self._syncs.latest
        was_vote_pending = self._syncs.is_vote_pending
        self._syncs.mark(number, vote_term, now)
        if self.log.find_term(index) == term:
            self._syncs.mark_index(number, index)
        if was_vote_pending and not self._syncs.is_vote_pending:
            self._handle_synced_vote(now)
        if self._leader_state is None:
            return
        progress = self._leader_state.progress.get(self.replica_id)
        if progress is not None and self.log.find_term(index) == term:
            progress.match_index = max(progress.match_index, index)
        self._advance_commit()

    def collect(self):
        """Return the output since the last call and clear it."""
        snapshot, self._pending_snapshot = self._pending_snapshot, None
        entries = ()
        if self.commit_index > self._collected_index:
            entries = self.log.list_entries(
                self._collected_index + 1, self.commit_index
            )
            self._collected_index = self.commit_index
        number = self._syncs.latest
        if self._records:
            number = self._syncs.collect(self._now)
        output = Output(
            messages=tuple(self._messages),
            records=tuple(self._records),
            synced_messages=tuple(self._synced_messages),
            sync_point=(
                self.log.last_index,
                self.log.last_term,
                self.term,
                number,
            ),
            snapshot=snapshot,
            entries=entries,
        )
        self._messages.clear()
        self._records.clear()
        self._synced_messages.clear()
        return output

    def _is_voter(self):
        return any(
            member.is_voter and member.replica_id == self.replica_id
            for member in self.log.members
        )

    def _record_vote(self):
        record = _messages.VoteRecord(self.term, self._voted_for)
        self._records.append(record)
        self._syncs.add_vote()

    def _record_rewrite(self):
        vote = _messages.VoteRecord(self.term, self._voted_for)
        entries = self.log.list_entries(self.log.snapshot.index + 1)
        record = _messages.Rewrite(vote, self.log.snapshot, entries)
        self._records.append(record)

    def _send(self, target, message):
        envelope = _messages.Envelope(self.replica_id, target, message)
        self._messages.append(envelope)

    def _send_synced(self, target, message):
        envelope = _messages.Envelope(self.replica_id, target, message)
        self._synced_messages.append(envelope)


def _refuse(detail):
    kind = errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED
    return result.Failure(errors.CallError(kind, detail))


def _refuse_unavailable(detail='this replica is not the leader'):
    kind = errors.ErrorKind.CONTROL_UNAVAILABLE
    # Nothing was appended, so the change has no effect.
    return result.Failure(errors.CallError(kind, detail))
