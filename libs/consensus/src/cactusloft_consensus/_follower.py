"""Follower side of the protocol: appends and snapshots."""

import abc

from cactusloft_consensus import _elections
from cactusloft_consensus import _messages

# Replies whose send times are kept to date the confirmations that echo them.
MAX_KEPT_TOKENS = 64


class ConsensusError(Exception):
    """The leader's log contradicts a committed entry of this replica.

    The replica must stop.
    """


class FollowerBase(_elections.ElectionBase):
    """Follower handlers of ``Node``."""

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

    def _accept_leader(self, sender, term, now):
        """Follow ``sender``, or return False if its term is over."""
        if term < self.term:
            return False
        self._has_heard_leader = True
        self._reset_elections()
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
            if entries[0].index <= self.log.last_index:
                self._syncs.truncate(entries[0].index - 1)
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
            self._syncs.truncate(0)
            self.commit_index = self._collected_index = snapshot.index
            self._pending_snapshot = snapshot
            self._record_rewrite()
        self._reply(
            sender, True, snapshot.index, message.round_id, now, is_synced=True
        )

    def _reply(self, sender, accepted, match, round_id, now, is_synced=False):
        """Reply to the leader, with ``match`` at most the synced index.

        A reply without new records does not wait for the sync of earlier
        ones, or a slow disk would make the leader lose its majority. It does
        wait for the current term, and for a disk that counts as failed.
        """
        is_immediate = (
            not is_synced
            and not self._records
            and not self._syncs.is_vote_pending
            and self._is_disk_busy(now)
        )
        if is_immediate and accepted:
            match = min(match, self._syncs.synced_index)
        self._last_token += 1
        self._token_times[self._last_token] = now
        if len(self._token_times) > MAX_KEPT_TOKENS:
            self._token_times.popitem(last=False)
        reply = _messages.AppendReply(
            self.term, accepted, match, round_id, self._last_token
        )
        if is_immediate:
            self._send(sender, reply)
        else:
            self._send_synced(sender, reply)

    @abc.abstractmethod
    def _handle_append_reply(self, sender, reply, now):
        """Handle a reply to an append or a snapshot, as the leader."""

    _HANDLERS = {
        _messages.PreVote: _elections.ElectionBase._handle_pre_vote,
        _messages.PreVoteReply: _elections.ElectionBase._handle_pre_vote_reply,
        _messages.Vote: _elections.ElectionBase._handle_vote,
        _messages.VoteReply: _elections.ElectionBase._handle_vote_reply,
        _messages.Append: _handle_append,
        _messages.InstallSnapshot: _handle_snapshot,
        _messages.AppendReply: lambda self, *args: self._handle_append_reply(
            *args
        ),
    }
