"""Follower side of the protocol: elections, appends and snapshots."""

import abc

from cactusloft_consensus import _messages
from cactusloft_consensus import _roles

# Replies whose send times are kept to date the confirmations that echo them.
MAX_KEPT_TOKENS = 64


class ConsensusError(Exception):
    """The leader's log contradicts a committed entry of this replica.

    The replica must stop.
    """


class FollowerBase(abc.ABC):
    """Election and follower handlers of ``Node``."""

    def _schedule_election(self, now):
        timing = self._timing
        bounds = timing.min_initial_timeout_s, timing.max_initial_timeout_s
        if self._has_heard_leader:
            bounds = (
                timing.min_election_timeout_s,
                timing.max_election_timeout_s,
            )
        self._election_due_at = now + self._randomness.uniform(*bounds)

    def _count_earlier_missed_rounds(self, now):
        """Return the rounds that members missed before this election.

        The last leader is included: it has sent no heartbeat for a while.

        :returns: numbers of rounds by replica id.
        """
        silence_s = now - self._last_contact_at
        rounds = {item.replica_id: item.rounds for item in self._missed_rounds}
        if self._last_leader_id:
            rounds[self._last_leader_id] = int(
                silence_s / self._timing.heartbeat_interval_s
            )
        return rounds

    def _list_missed_rounds(self, now):
        """Return what this voter knows as :class:`MissedRounds`."""
        rounds = self._count_earlier_missed_rounds(now)
        return tuple(
            _messages.MissedRounds(replica_id, count)
            for replica_id, count in rounds.items()
        )

    def _add_missed_rounds(self, missed_rounds):
        """Add what a voter knows; the higher number of rounds counts."""
        rounds = {item.replica_id: item for item in self._missed_rounds}
        for item in missed_rounds:
            known = rounds.get(item.replica_id)
            if known is None or known.rounds < item.rounds:
                rounds[item.replica_id] = item
        self._missed_rounds = tuple(rounds.values())

    def _become_follower(self, term, leader_id, now):
        if term > self.term:
            self.term = term
            self._voted_for = ''
            self._record_vote()
        if self._leader_state is not None:
            # A sync of own entries that ends after this must not advance the
            # commit index of a later term.
            self._missed_rounds = self._leader_state.list_missed_rounds(
                self.log.members
            )
            self._last_leader_id = ''
            self._leader_state = None
            self._has_heard_leader = True
        if self._role.state != _roles.FOLLOWER:
            self._role.step_down()
        self.leader_id = leader_id
        self._schedule_election(now)

    def _list_other_voters(self):
        return [
            member.replica_id
            for member in self.log.members
            if member.is_voter and member.replica_id != self.replica_id
        ]

    def _has_majority(self):
        voters = {m.replica_id for m in self.log.members if m.is_voter}
        return len(self._granted_by & voters) > len(voters) // 2

    def _start_pre_vote(self, now):
        self._role.start_pre_vote()
        self.leader_id = ''
        self._schedule_election(now)
        self._granted_by = {self.replica_id}
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
        self._schedule_election(now)
        self._election_started_at = now
        # Its own vote counts once it is synced; see Node.mark_synced.
        self._granted_by = set()
        request = _messages.Vote(
            self.term, self.log.last_index, self.log.last_term
        )
        for replica_id in self._list_other_voters():
            # Sent only after the own vote is synced. A replica that restarts
            # without that vote could vote a second time in the term.
            self._send_synced(replica_id, request)

    def _has_recent_leader(self, now):
        if self._leader_state is not None:
            return True
        return (
            now - self._last_contact_at < self._timing.min_election_timeout_s
        )

    def _handle_pre_vote(self, sender, request, now):
        granted = (
            request.term > self.term
            and not self._has_recent_leader(now)
            and self.log.is_covered_by(request.last_index, request.last_term)
        )
        reply = _messages.PreVoteReply(self.term, request.term, granted)
        self._send_synced(sender, reply)

    def _handle_pre_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if self._role.state != _roles.PRE_CANDIDATE:
            return
        if not reply.granted or reply.asked_term != self.term + 1:
            return
        self._granted_by.add(sender)
        if self._has_majority():
            self._start_election(now)

    def _handle_vote(self, sender, request, now):
        # Ignored while a leader is heard, so that a removed replica, which
        # gets no heartbeats, cannot force elections.
        if request.term > self.term and self._has_recent_leader(now):
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
            self._schedule_election(now)
        missed_rounds = self._list_missed_rounds(now) if granted else ()
        reply = _messages.VoteReply(self.term, granted, missed_rounds)
        self._send_synced(sender, reply)

    def _handle_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if self._role.state != _roles.CANDIDATE or reply.term < self.term:
            return
        if not reply.granted:
            return
        self._add_missed_rounds(reply.missed_rounds)
        self._granted_by.add(sender)
        if self._has_majority():
            self._become_leader(now)

    def _accept_leader(self, sender, term, now):
        """Follow ``sender``, or return False if its term is over."""
        if term < self.term:
            return False
        self._has_heard_leader = True
        self._become_follower(term, sender, now)
        self._last_contact_at = now
        self._last_leader_id = sender
        return True

    def _handle_append(self, sender, append, now):
        if not self._accept_leader(sender, append.term, now):
            self._reply(sender, False, 0, 0, now)
            return
        self._missed_rounds = append.missed_rounds
        prev_index, prev_term = append.prev_index, append.prev_term
        is_in_snapshot = prev_index < self.log.snapshot.index
        if not is_in_snapshot and self.log.find_term(prev_index) != prev_term:
            retry_index = min(self.log.last_index, prev_index - 1)
            self._reply(sender, False, retry_index, append.round_id, now)
            return
        entries = self.log.list_differing(append.entries)
        if entries and entries[0].index <= self.commit_index:
            raise ConsensusError('the leader contradicts a committed entry')
        if entries:
            self.log.append(entries)
            self._records.append(_messages.EntriesRecord(entries))
        match = prev_index + len(append.entries)
        self.commit_index = max(self.commit_index, min(append.commit, match))
        self._update_confirmation(append)
        self._reply(sender, True, match, append.round_id, now)

    def _update_confirmation(self, append):
        sent_at = self._token_times.get(append.echo)
        if sent_at is None or append.confirmed_age is None:
            return
        if self.commit_index < append.commit:
            return
        confirmed_at = sent_at - append.confirmed_age
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def _handle_snapshot(self, sender, message, now):
        if not self._accept_leader(sender, message.term, now):
            self._reply(sender, False, 0, 0, now)
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.replace(snapshot)
            self.commit_index = self._collected_index = snapshot.index
            self._pending_snapshot = snapshot
            self._record_rewrite()
        self._reply(sender, True, snapshot.index, message.round_id, now)

    def _reply(self, sender, accepted, match, round_id, now):
        self._last_token += 1
        self._token_times[self._last_token] = now
        if len(self._token_times) > MAX_KEPT_TOKENS:
            self._token_times.popitem(last=False)
        reply = _messages.AppendReply(
            self.term, accepted, match, round_id, self._last_token
        )
        self._send_synced(sender, reply)

    @abc.abstractmethod
    def _handle_append_reply(self, sender, reply, now):
        """Handle a reply to an append or a snapshot, as the leader."""

    @abc.abstractmethod
    def _become_leader(self, now):
        """Become the leader after winning an election."""

    _HANDLERS = {
        _messages.PreVote: _handle_pre_vote,
        _messages.PreVoteReply: _handle_pre_vote_reply,
        _messages.Vote: _handle_vote,
        _messages.VoteReply: _handle_vote_reply,
        _messages.Append: _handle_append,
        _messages.InstallSnapshot: _handle_snapshot,
        _messages.AppendReply: lambda self, *args: self._handle_append_reply(
            *args
        ),
    }
