"""Leader side of the protocol: heartbeats, replication and commit."""

import attrs

from cactusloft_consensus import _follower
from cactusloft_consensus import _messages
from cactusloft_consensus import _progress
from cactusloft_consensus import _voters


class LeaderBase(_follower.FollowerBase):
    """Leader handlers of ``Node``."""

    def _become_leader(self, now):
        self._role.win_election()
        self._reset_elections()
        self._elected_at = now
        self.leader_id = self.replica_id
        first_index = self.log.last_index + 1
        # The votes were granted after the election began but before now, so
        # the majority confirms this leader as of the start of the election.
        state = _progress.LeaderState(
            self.replica_id,
            first_index,
            self._election_started_at,
            self._count_earlier_missed_rounds(now),
        )
        self._leader_state = state
        state.update_members(self.log.members, self.log.last_index)
        self._append_entry(_messages.EntryKind.NO_OP, b'')
        self._heartbeat_due_at = now
        self._tick_leader(now)

    def _tick_leader(self, now):
        state = self._leader_state
        state.confirm_rounds(self.log.members)
        # A leader that has lost its majority may already have a successor.
        # Stepping down also bounds the confirmation age that it reports.
        # The votes may have taken longer than the timeout.
        heard_at = max(state.confirmed_at, self._elected_at)
        if now - heard_at > self._timing.max_election_timeout_s:
            self._become_follower(self.term, '', now)
            return
        if now >= self._heartbeat_due_at:
            self._heartbeat_due_at = now + self._timing.heartbeat_interval_s
            state.start_round(now)
            self._broadcast()
            state.confirm_rounds(self.log.members)
            self._promote_learner(now)
        self._update_own_confirmation()

    def _update_own_confirmation(self):
        if not self.is_ready:
            return
        confirmed_at = self._leader_state.confirmed_at
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def _promote_learner(self, now):
        state, members = self._leader_state, self.log.members
        if not self.is_ready:
            return
        member_states = state.list_member_states(members)
        if not _voters.can_promote(member_states, self._min_voters):
            return
        for learner in members:
            if learner.is_voter:
                continue
            progress = state.progress[learner.replica_id]
            # An unresponsive voter could cost the group its majority.
            is_unresponsive = (
                progress.acked_round < state.round_id - _voters.SILENT_ROUNDS
            )
            if is_unresponsive or progress.match_index < self.commit_index:
                continue
            promoted = attrs.evolve(learner, is_voter=True)
            changed = tuple(promoted if m == learner else m for m in members)
            self.change_members(changed, now)
            return

    def _append_entry(self, kind, data):
        index = self.log.last_index + 1
        entry = _messages.Entry(index, self.term, kind, data)
        self.log.append((entry,))
        self._records.append(_messages.EntriesRecord((entry,)))
        return entry

    def _broadcast(self):
        for replica_id in self._leader_state.progress:
            if replica_id != self.replica_id:
                self._send_append(replica_id)

    def _send_append(self, replica_id):
        state = self._leader_state
        progress = state.progress[replica_id]
        base = self.log.snapshot.index
        if progress.next_index <= base:
            if progress.is_snapshot_pending(self._now):
                self._send_heartbeat(replica_id, progress, 0, 0, ())
                return
            progress.snapshot_sent_at = self._now
            message = _messages.InstallSnapshot(
                self.term, self.log.snapshot, state.round_id
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
        state = self._leader_state
        age = self._now - state.confirmed_at if self.is_ready else None
        message = _messages.Append(
            term=self.term,
            prev_index=index,
            prev_term=term,
            entries=entries,
            commit=self.commit_index,
            round_id=state.round_id,
            echo=progress.last_token,
            confirmed_age=age,
            missed_rounds=state.list_missed_rounds(self.log.members),
        )
        self._send(replica_id, message)

    def _handle_append_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        state = self._leader_state
        if state is None or reply.term < self.term:
            return
        progress = state.progress.get(sender)
        if progress is None:
            return
        progress.last_token = reply.token
        progress.acked_round = max(progress.acked_round, reply.round_id)
        state.confirm_rounds(self.log.members)
        if reply.accepted:
            self._update_match(sender, progress, reply.match)
        else:
            progress.next_index = max(progress.match_index, reply.match) + 1
            self._send_append(sender)
        if self._leader_state is not None:
            self._update_own_confirmation()

    def _update_match(self, sender, progress, match):
        progress.match_index = max(progress.match_index, match)
        progress.next_index = max(progress.next_index, match + 1)
        if progress.match_index >= self.log.snapshot.index:
            progress.snapshot_sent_at = None
        self._advance_commit()
        state = self._leader_state
        if state is not None and progress.next_index <= self.log.last_index:
            self._send_append(sender)

    def _advance_commit(self):
        state = self._leader_state
        index = state.find_majority_value(
            self.log.members, lambda p: p.match_index
        )
        # Entries of earlier terms commit only together with one of this
        # term; until then a later leader could still replace them.
        if (
            index <= self.commit_index
            or self.log.find_term(index) != self.term
        ):
            return
        self.commit_index = index
        # Otherwise followers would not learn the index before the next
        # heartbeat.
        self._broadcast()
        if self.log.members_index <= index and not self._is_voter():
            self._become_follower(self.term, '', self._now)
