"""Leader side of the protocol: heartbeats, replication and commit."""

import attrs

from cactusloft_consensus import _elections
from cactusloft_consensus import _messages
from cactusloft_consensus import _progress

# A learner that missed more heartbeat rounds than this is not promoted.
RECENT_ROUNDS = 3


class Leading(_elections.Elections):
    """Handlers of a leader; base of ``Node``."""

    def _take_lead(self, now):
        self._role.win_election()
        self.leader_id = self.replica_id
        first_index = self.log.last_index + 1
        # Votes were given after the election began and not necessarily after
        # now, so the start of the election is the first confirmation.
        leads = _progress.LeaderState(
            self.replica_id, first_index, self._election_started_at
        )
        self._leadership = leads
        leads.update_members(self.log.members, self.log.last_index)
        self._append_own(_messages.EntryKind.NO_OP, b'')
        self._next_heartbeat = now
        self._lead(now)

    def _lead(self, now):
        leads = self._leadership
        leads.confirm_rounds(self.log.members)
        # A leader without a majority may have a successor already. It
        # stops leading by itself, which also bounds the age that it reports.
        if now - leads.confirmed_at > self._timing.election_max:
            self._become_follower(self.term, '', now)
            return
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._timing.heartbeat
            leads.start_round(now)
            self._broadcast()
            leads.confirm_rounds(self.log.members)
            self._promote_learner(now)
        self._note_own_confirmation()

    def _note_own_confirmation(self):
        if not self.is_ready:
            return
        confirmed_at = self._leadership.confirmed_at
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def _promote_learner(self, now):
        leads, members = self._leadership, self.log.members
        if not self.is_ready:
            return
        for learner in members:
            if learner.is_voter:
                continue
            progress = leads.progress[learner.replica_id]
            is_silent = progress.acked_round < leads.round_id - RECENT_ROUNDS
            if is_silent or progress.match < self.commit:
                continue
            promoted = attrs.evolve(learner, is_voter=True)
            changed = tuple(promoted if m == learner else m for m in members)
            self.change_members(changed, now)
            return

    def _append_own(self, kind, data):
        index = self.log.last_index + 1
        entry = _messages.Entry(index, self.term, kind, data)
        self.log.append((entry,))
        self._records.append(_messages.EntriesRecord((entry,)))
        return entry

    def _broadcast(self):
        for replica_id in self._leadership.progress:
            if replica_id != self.replica_id:
                self._send_append(replica_id)

    def _send_append(self, replica_id):
        leads = self._leadership
        progress = leads.progress[replica_id]
        base = self.log.snapshot.index
        if progress.next_index <= base:
            if progress.is_snapshot_pending(self._now):
                self._send_heartbeat(replica_id, progress, 0, 0, ())
                return
            progress.snapshot_sent_at = self._now
            message = _messages.InstallSnapshot(
                self.term, self.log.snapshot, leads.round_id
            )
            self._send(replica_id, message)
            return
        entries = self.log.list_batch(progress.next_index)
        prev_index = progress.next_index - 1
        prev_term = self.log.find_term(prev_index)
        self._send_heartbeat(
            replica_id, progress, prev_index, prev_term, entries
        )
        progress.next_index += len(entries)

    def _send_heartbeat(self, replica_id, progress, index, term, entries):
        leads = self._leadership
        age = self._now - leads.confirmed_at if self.is_ready else None
        message = _messages.Append(
            term=self.term,
            prev_index=index,
            prev_term=term,
            entries=entries,
            commit=self.commit,
            round_id=leads.round_id,
            echo=progress.echo,
            confirmed_age=age,
        )
        self._send(replica_id, message)

    def _receive_append_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        leads = self._leadership
        if leads is None or reply.term < self.term:
            return
        progress = leads.progress.get(sender)
        if progress is None:
            return
        progress.echo = reply.token
        progress.acked_round = max(progress.acked_round, reply.round_id)
        leads.confirm_rounds(self.log.members)
        if reply.accepted:
            self._note_match(sender, progress, reply.match)
        else:
            progress.next_index = max(progress.match, reply.match) + 1
            self._send_append(sender)
        if self._leadership is not None:
            self._note_own_confirmation()

    def _note_match(self, sender, progress, match):
        progress.match = max(progress.match, match)
        progress.next_index = max(progress.next_index, match + 1)
        if progress.match >= self.log.snapshot.index:
            progress.snapshot_sent_at = None
        self._advance_commit()
        leads = self._leadership
        if leads is not None and progress.next_index <= self.log.last_index:
            self._send_append(sender)

    def _advance_commit(self):
        leads = self._leadership
        index = leads.find_majority(self.log.members, lambda p: p.match)
        # Entries of earlier terms commit only together with one of this
        # term; a later leader could still replace them otherwise.
        if index <= self.commit or self.log.find_term(index) != self.term:
            return
        self.commit = index
        # Followers would otherwise learn of it with the next heartbeat.
        self._broadcast()
        if self.log.members_index <= index and not self._is_voter():
            self._become_follower(self.term, '', self._now)
