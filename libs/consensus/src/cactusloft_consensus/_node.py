"""Consensus protocol of one replica, without I/O.

Inputs are messages, ticks, proposals and notices of completed syncs. Each may
leave messages to send, records to persist and committed entries to apply;
:meth:`Node.collect` returns them.
"""

import collections

import attrs

from returns import result

from cactusloft_consensus import _elections
from cactusloft_consensus import _leading
from cactusloft_consensus import _log
from cactusloft_consensus import _messages
from cactusloft_consensus import _roles
from cactusloft_model import errors

TOKEN_BITS = 62
ConsensusError = _elections.ConsensusError


@attrs.frozen
class Timing:
    """Time constants of a group, in seconds.

    :ivar election_min: silence of the leader after which a replica may ask
        for an election; the actual value is random up to ``election_max``.
    :ivar first_min: time after the start in which a replica that has never
        heard a leader asks for an election, again after as long; the actual
        value is random up to ``first_max``. A leader that there is would have
        been heard, or its followers refuse the pre-vote.
    :ivar heartbeat: interval of heartbeat rounds.
    """

    election_min: float = 0.6
    election_max: float = 1.2
    first_min: float = 0.2
    first_max: float = 0.5
    heartbeat: float = 0.15


@attrs.frozen
class Persisted:
    """State read from storage at the start.

    :ivar replica_id: random identity of the data folder.
    """

    replica_id: str
    vote: _messages.VoteRecord
    snapshot: _messages.Snapshot
    entries: tuple[_messages.Entry, ...]


@attrs.frozen
class Output:
    """What the caller must do next, in this order.

    :ivar messages: envelopes to send at once.
    :ivar records: records to persist before ``synced_messages`` are sent.
    :ivar synced_messages: envelopes to send after ``records`` are synced.
    :ivar sync_point: last index, its term and the vote's term, for
        :meth:`Node.note_synced` after the sync.
    :ivar snapshot: snapshot to restore before ``entries``, or None.
    :ivar entries: committed entries to apply.
    """

    messages: tuple[_messages.Envelope, ...]
    records: tuple[object, ...]
    synced_messages: tuple[_messages.Envelope, ...]
    sync_point: tuple[int, int, int]
    snapshot: _messages.Snapshot | None
    entries: tuple[_messages.Entry, ...]


class Node(_leading.Leading):
    """One replica of a group.

    :param persisted: :class:`Persisted` state.
    :param timing: :class:`Timing` of the group.
    :param randomness: ``random.Random`` for timeouts and tokens.
    :param now: monotonic seconds.
    """

    def __init__(self, persisted, timing, randomness, now):
        self.replica_id = persisted.replica_id
        self.term = persisted.vote.term
        self.leader_id = ''
        self.log = _log.Log(persisted.snapshot, persisted.entries)
        self.commit = persisted.snapshot.index
        self.confirmed_at = None
        self._voted_for = persisted.vote.voted_for
        self._timing = timing
        self._randomness = randomness
        self._role = _roles.RoleMachine()
        self._leadership = None
        self._now = now
        self._election_started_at = now
        self._leader_seen_at = now - timing.election_max
        self._has_heard_leader = False
        self._grants = set()
        self._handed = persisted.snapshot.index
        self._restore = persisted.snapshot
        self._messages = []
        self._synced_messages = []
        self._records = []
        self._next_heartbeat = now
        self._token = randomness.getrandbits(TOKEN_BITS)
        self._sent_tokens = collections.OrderedDict()
        # Tells whether state that depends on the members has taken over the
        # last change; the next one waits for it.
        self.is_change_settled = lambda: True
        self._reset_election(now)

    @property
    def role(self):
        """Return the name of the current role."""
        return self._role.state

    @property
    def is_leader(self):
        """Tell whether this replica leads its term."""
        return self._leadership is not None

    @property
    def is_ready(self):
        """Tell whether the leader has committed an entry of its term.

        Until then it may lack entries that an earlier leader acknowledged.
        """
        leads = self._leadership
        return leads is not None and self.commit >= leads.first_index

    @property
    def membership(self):
        """Return the committed :class:`Membership`."""
        return self.log.find_membership(self.commit)

    def list_match_indexes(self):
        """Return the synced index of each member, on the leader only."""
        if self._leadership is None:
            return {}
        progress = self._leadership.progress
        return {name: entry.match for name, entry in progress.items()}

    def list_unresponsive_members(self, silence_s):
        """Return the members that were silent, on the leader only.

        :param silence_s: seconds without an answer to a heartbeat.
        """
        if not self.is_ready:
            return []
        rounds = int(silence_s / self._timing.heartbeat)
        return self._leadership.list_unresponsive_members(rounds)

    def bootstrap(self, address):
        """Make this replica, which must be new, a group of one.

        :param address: name under which the transport reaches it.
        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if self.log.last_index or self.log.members:
            return _refuse('this replica already belongs to a group')
        member = _messages.Member(self.replica_id, address, True)
        snapshot = _messages.Snapshot(1, 1, (member,), b'', 1)
        self.log = _log.Log(snapshot)
        self.term = max(self.term, 1)
        self.commit = self._handed = snapshot.index
        self._record_rewrite()
        return result.Success(None)

    def receive(self, envelope, now):
        """Handle a message.

        :param envelope: :class:`Envelope` addressed to this replica.
        :param now: monotonic seconds.
        """
        if envelope.target != self.replica_id:
            # Meant for the former replica of this host, whose disk was lost.
            return
        self._now = now
        message = envelope.message
        handle = self._HANDLERS[type(message)]
        handle(self, envelope.sender, message, now)

    def tick(self, now):
        """Act on the passing of time; call at least every heartbeat / 2."""
        self._now = now
        if self._leadership is not None:
            self._lead(now)
        elif now >= self._election_at and self._is_voter():
            self._start_pre_vote(now)

    def propose(self, data, now):
        """Append a command to the log of the leader.

        :returns: ``Success(Entry)``, or ``Failure(CallError)`` on a replica
            that does not lead.
        """
        self._now = now
        if self._leadership is None:
            return _refuse_unavailable()
        entry = self._append_own(_messages.EntryKind.COMMAND, data)
        self._broadcast()
        return result.Success(entry)

    def change_members(self, members, now):
        """Propose a membership that differs by one replica.

        :returns: ``Success(Entry)`` or ``Failure(CallError)``.
        """
        self._now = now
        if not self.is_ready:
            return _refuse_unavailable()
        if self.log.members_index > self.commit:
            # Worth another attempt: the earlier change ends by itself.
            return _refuse_unavailable('a membership change is in progress')
        if not self.is_change_settled():
            return _refuse_unavailable('the last change is not settled')
        changed = set(members) ^ set(self.log.members)
        if len({member.replica_id for member in changed}) != 1:
            return _refuse('exactly one replica may change at a time')
        if not any(member.is_voter for member in members):
            return _refuse('the last voter cannot be removed')
        data = _log.encode_members(members)
        entry = self._append_own(_messages.EntryKind.MEMBERS, data)
        leads = self._leadership
        leads.update_members(members, self.log.last_index)
        self._broadcast()
        return result.Success(entry)

    def compact(self, index, data):
        """Replace the entries up to ``index`` by a snapshot.

        :param index: last applied index.
        :param data: state of the state machine after that entry.
        """
        term = self.log.find_term(index)
        membership = self.log.find_membership(index)
        snapshot = _messages.Snapshot(
            index, term, membership.members, data, membership.version
        )
        self.log.replace(snapshot)
        self._record_rewrite()

    def note_synced(self, sync_point, now):
        """Take note that all records of an output are durable.

        :param sync_point: ``sync_point`` of that :class:`Output`.
        """
        self._now = now
        index, term, vote_term = sync_point
        if self._role.state == _roles.CANDIDATE and vote_term == self.term:
            self._grants.add(self.replica_id)
            if self._has_majority():
                self._take_lead(now)
        if self._leadership is None:
            return
        own = self._leadership.progress.get(self.replica_id)
        if own is not None and self.log.find_term(index) == term:
            own.match = max(own.match, index)
        self._advance_commit()

    def collect(self):
        """Return and forget what is to be done since the last call."""
        restore, self._restore = self._restore, None
        entries = ()
        if self.commit > self._handed:
            entries = self.log.list_entries(self._handed + 1, self.commit)
            self._handed = self.commit
        output = Output(
            messages=tuple(self._messages),
            records=tuple(self._records),
            synced_messages=tuple(self._synced_messages),
            sync_point=(self.log.last_index, self.log.last_term, self.term),
            snapshot=restore,
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
    # Nothing was appended, so the change certainly has no effect.
    return result.Failure(errors.CallError(kind, detail))
