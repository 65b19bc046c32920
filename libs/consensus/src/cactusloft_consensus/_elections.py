"""Follower side of the protocol: elections, appends and snapshots."""

import abc

from cactusloft_consensus import _messages
from cactusloft_consensus import _roles

KEPT_TOKENS = 64


class ConsensusError(Exception):
    """The group's state is inconsistent; the replica must stop."""


class Elections(abc.ABC):
    """Handlers of a replica that does not lead; base of ``Node``."""

    def _reset_election(self, now):
        timing = self._timing
        bounds = timing.first_min, timing.first_max
        if self._has_heard_leader:
            bounds = timing.election_min, timing.election_max
        self._election_at = now + self._randomness.uniform(*bounds)

    def _become_follower(self, term, leader_id, now):
        if term > self.term:
            self.term = term
            self._voted_for = ''
            self._record_vote()
        if self._leadership is not None:
            # The sync of own entries must not count in a later term.
            self._leadership = None
            self._has_heard_leader = True
        if self._role.state != _roles.FOLLOWER:
            self._role.step_down()
        self.leader_id = leader_id
        self._reset_election(now)

    def _list_other_voters(self):
        return [
            member.replica_id
            for member in self.log.members
            if member.is_voter and member.replica_id != self.replica_id
        ]

    def _has_majority(self):
        voters = {m.replica_id for m in self.log.members if m.is_voter}
        return len(self._grants & voters) > len(voters) // 2

    def _start_pre_vote(self, now):
        self._role.start_pre_vote()
        self.leader_id = ''
        self._reset_election(now)
        self._grants = {self.replica_id}
        if self._has_majority():
            self._start_election(now)
            return
        request = _messages.PreVote(
            self.term + 1, self.log.last_index, self.log.last_term
        )
        for replica_id in self._list_other_voters():
            self._send(replica_id, request)

    def _start_election(self, now):
        self._role.start_election()
        self.term += 1
        self._voted_for = self.replica_id
        self._record_vote()
        self._reset_election(now)
        self._election_started_at = now
        # The own vote counts once it is synced (see Node.note_synced).
        self._grants = set()
        request = _messages.Vote(
            self.term, self.log.last_index, self.log.last_term
        )
        for replica_id in self._list_other_voters():
            # Without the own vote on disk, a restart could vote again.
            self._send_synced(replica_id, request)

    def _hears_leader(self, now):
        if self._leadership is not None:
            return True
        return now - self._leader_seen_at < self._timing.election_min

    def _receive_pre_vote(self, sender, request, now):
        granted = (
            request.term > self.term
            and not self._hears_leader(now)
            and self.log.is_covered_by(request.last_index, request.last_term)
        )
        reply = _messages.PreVoteReply(self.term, request.term, granted)
        self._send_synced(sender, reply)

    def _receive_pre_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if self._role.state != _roles.PRE_CANDIDATE:
            return
        if not reply.granted or reply.asked_term != self.term + 1:
            return
        self._grants.add(sender)
        if self._has_majority():
            self._start_election(now)

    def _receive_vote(self, sender, request, now):
        # A replica that hears its leader ignores elections, so that a
        # removed replica cannot disturb the group.
        if request.term > self.term and self._hears_leader(now):
            return
        if request.term > self.term:
            self._become_follower(request.term, '', now)
        granted = (
            request.term == self.term
            and self._voted_for in ('', sender)
            and self.log.is_covered_by(request.last_index, request.last_term)
        )
        if granted and not self._voted_for:
            self._voted_for = sender
            self._record_vote()
            self._reset_election(now)
        reply = _messages.VoteReply(self.term, granted)
        self._send_synced(sender, reply)

    def _receive_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if self._role.state != _roles.CANDIDATE or reply.term < self.term:
            return
        if not reply.granted:
            return
        self._grants.add(sender)
        if self._has_majority():
            self._take_lead(now)

    def _follow(self, sender, term, now):
        """Return whether ``sender`` leads ``term`` as far as known here."""
        if term < self.term:
            return False
        self._has_heard_leader = True
        self._become_follower(term, sender, now)
        self._leader_seen_at = now
        return True

    def _receive_append(self, sender, append, now):
        if not self._follow(sender, append.term, now):
            self._reply(sender, False, 0, 0, now)
            return
        prev_index, prev_term = append.prev_index, append.prev_term
        is_held = prev_index < self.log.snapshot.index
        if not is_held and self.log.find_term(prev_index) != prev_term:
            hint = min(self.log.last_index, prev_index - 1)
            self._reply(sender, False, hint, append.round_id, now)
            return
        missing = self.log.list_missing(append.entries)
        if missing and missing[0].index <= self.commit:
            raise ConsensusError('the leader contradicts a committed entry')
        if missing:
            self.log.append(missing)
            self._records.append(_messages.EntriesRecord(missing))
        match = prev_index + len(append.entries)
        self.commit = max(self.commit, min(append.commit, match))
        self._note_confirmation(append)
        self._reply(sender, True, match, append.round_id, now)

    def _note_confirmation(self, append):
        sent_at = self._sent_tokens.get(append.echo)
        if sent_at is None or append.confirmed_age is None:
            return
        if self.commit < append.commit:
            return
        confirmed_at = sent_at - append.confirmed_age
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def _receive_snapshot(self, sender, message, now):
        if not self._follow(sender, message.term, now):
            self._reply(sender, False, 0, 0, now)
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.replace(snapshot)
            self.commit = self._handed = snapshot.index
            self._restore = snapshot
            self._record_rewrite()
        self._reply(sender, True, snapshot.index, message.round_id, now)

    def _reply(self, sender, accepted, match, round_id, now):
        self._token += 1
        self._sent_tokens[self._token] = now
        if len(self._sent_tokens) > KEPT_TOKENS:
            self._sent_tokens.popitem(last=False)
        reply = _messages.AppendReply(
            self.term, accepted, match, round_id, self._token
        )
        self._send_synced(sender, reply)

    @abc.abstractmethod
    def _receive_append_reply(self, sender, reply, now):
        """Handle a member's reply; the leader's side."""

    @abc.abstractmethod
    def _take_lead(self, now):
        """Become the leader after an election was won."""

    _HANDLERS = {
        _messages.PreVote: _receive_pre_vote,
        _messages.PreVoteReply: _receive_pre_vote_reply,
        _messages.Vote: _receive_vote,
        _messages.VoteReply: _receive_vote_reply,
        _messages.Append: _receive_append,
        _messages.InstallSnapshot: _receive_snapshot,
        _messages.AppendReply: lambda self, *args: self._receive_append_reply(
            *args
        ),
    }
