"""Elections: pre-votes, votes and their timeouts.

An election may need more time than an election timeout, because a candidate
and its voters sync their votes. Three rules keep a second election from
ending a first one that could still succeed. A replica grants pre-votes to one
replica at a time, for a short time that a candidate renews while its own vote
is synced. A replica grants no pre-vote while its disk syncs a vote, because it
could not vote again before the sync ends. Votes for a candidate count until
its term ends, even after it has asked for pre-votes for the next one.
"""

import abc

from cactusloft_consensus import _messages
from cactusloft_consensus import _roles

# Exponent at which every timeout has reached its limit.
MAX_DOUBLINGS = 10


class ElectionBase(abc.ABC):
    """Election handlers of ``Node``."""

    def _find_timeout_bounds(self):
        timing = self._timing
        low, high = timing.min_initial_timeout_s, timing.max_initial_timeout_s
        if self._has_heard_leader:
            low = timing.min_election_timeout_s
            high = timing.max_election_timeout_s
        # Candidates that block each other need timeouts that differ by more
        # than the time in which they learn of each other.
        growth = 2.0 ** min(self._failed_elections, MAX_DOUBLINGS)
        growth = max(1.0, min(growth, timing.max_backoff_timeout_s / high))
        return low * growth, high * growth

    def _schedule_election(self, now):
        bounds = self._find_timeout_bounds()
        self._election_due_at = now + self._randomness.uniform(*bounds)

    def _postpone_election(self, now):
        """Leave another replica time to win its election."""
        timing = self._timing
        delay_s = self._randomness.uniform(
            timing.min_election_timeout_s, timing.max_election_timeout_s
        )
        self._election_due_at = max(self._election_due_at, now + delay_s)

    def _reset_elections(self):
        self._failed_elections = 0
        self._postponed_for.clear()
        self._pre_vote_holder, self._pre_vote_held_until = '', 0.0
        self._candidacy_term = 0
        self._votes_due_at = 0.0

    def _become_follower(self, term, leader_id, now):
        if term > self.term:
            self.term = term
            self._voted_for = ''
            self._votes_due_at = 0.0
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
        self._candidacy_term = 0
        self.leader_id = leader_id
        self._schedule_election(now)

    def _list_other_voters(self):
        return [
            member.replica_id
            for member in self.log.members
            if member.is_voter and member.replica_id != self.replica_id
        ]

    def _is_majority(self, replica_ids):
        voters = {m.replica_id for m in self.log.members if m.is_voter}
        return len(replica_ids & voters) > len(voters) // 2

    def _tick_election(self, now):
        if self._role.state == _roles.CANDIDATE:
            self._continue_election(now)
        # While its vote is synced, a replica could not vote for itself.
        if (
            now >= self._election_due_at
            and self._is_voter()
            and not self._syncs.is_vote_pending
            and not self._is_disk_hung(now)
        ):
            self._start_pre_vote(now)

    def _start_pre_vote(self, now):
        self._role.start_pre_vote()
        self.leader_id = ''
        self._schedule_election(now)
        self._hold_pre_vote(self.replica_id, now)
        self._failed_elections += 1
        self._postponed_for.clear()
        self._pre_granted_by = {self.replica_id}
        if self._is_majority(self._pre_granted_by):
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
        self._election_started_at = self._request_due_at = now
        self._candidacy_term = self.term
        # Its own vote counts once it is synced; see Node.mark_synced.
        self._granted_by = set()
        request = self._make_vote_request()
        for replica_id in self._list_other_voters():
            # Sent only after the own vote is synced. A replica that restarts
            # without that vote could vote a second time in the term.
            self._send_synced(replica_id, request)

    def _make_vote_request(self):
        return _messages.Vote(
            self.term, self.log.last_index, self.log.last_term
        )

    def _continue_election(self, now):
        """Renew the pre-votes, or repeat the requests for votes.

        Ends after the time that two syncs may take, the one in progress and
        the one of the vote. The first election expects fast disks, so that
        one that hangs does not hold up the others for as long.
        """
        longest_s = min(
            self._timing.max_election_timeout_s
            * 2 ** (self._failed_elections - 1),
            2 * self._timing.max_sync_s,
        )
        if (
            now < self._request_due_at
            or now - self._election_started_at > longest_s
        ):
            return
        self._request_due_at = now + self._timing.heartbeat_interval_s
        request = self._make_vote_request()
        if self._syncs.is_vote_pending:
            request = _messages.PreVote(
                self.term, self.log.last_index, self.log.last_term
            )
        for replica_id in self._list_other_voters():
            if replica_id not in self._granted_by:
                self._send(replica_id, request)

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
            and not self._syncs.is_vote_pending
            and now >= self._votes_due_at
            and self._grant_pre_vote(sender, request, now)
        )
        # An unsynced term is not reported: the sender would sync it too, and
        # could not vote meanwhile.
        term = self._syncs.synced_term
        reply = _messages.PreVoteReply(term, request.term, granted)
        if self._is_disk_busy(now) and not self._syncs.is_vote_pending:
            self._send(sender, reply)
        else:
            self._send_synced(sender, reply)

    def _grant_pre_vote(self, sender, request, now):
        """Tell whether ``sender`` may start an election.

        Of two replicas that ask for pre-votes at the same time, one gives
        way to the other.
        """
        is_held = now < self._pre_vote_held_until
        is_renewal = is_held and self._pre_vote_holder == sender
        is_own = self._role.state == _roles.PRE_CANDIDATE
        if is_held and not is_renewal:
            is_own_hold = is_own and self._pre_vote_holder == self.replica_id
            if not is_own_hold or not self._gives_way(sender, request):
                return False
        # The own pre-vote now counts for the sender.
        self._pre_granted_by.discard(self.replica_id)
        self._hold_pre_vote(sender, now, is_renewal)
        # A replica whose requests never lead to a leader must not postpone
        # the election of the others for ever.
        if is_renewal or sender not in self._postponed_for:
            self._postponed_for.add(sender)
            self._postpone_election(now)
        return True

    def _gives_way(self, sender, request):
        own = self.log.last_term, self.log.last_index, self.replica_id
        return (request.last_term, request.last_index, sender) > own

    def _hold_pre_vote(self, holder, now, is_renewal=False):
        # Of replicas that ask at the same time, none may win. The next one
        # must not find the others still holding for these, so the time does
        # not grow with the timeouts.
        duration_s = self._timing.min_initial_timeout_s
        if is_renewal:
            duration_s = self._timing.min_election_timeout_s
        elif self._failed_elections:
            duration_s *= 2
        self._pre_vote_holder = holder
        self._pre_vote_held_until = now + duration_s

    def _handle_pre_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if self._role.state != _roles.PRE_CANDIDATE:
            return
        if not reply.granted or reply.asked_term != self.term + 1:
            return
        self._pre_granted_by.add(sender)
        if self._is_majority(self._pre_granted_by):
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
        if granted:
            if not self._voted_for:
                self._voted_for = sender
                self._record_vote()
            self._postpone_election(now)
        missed_rounds = self._list_missed_rounds(now) if granted else ()
        reply = _messages.VoteReply(self.term, granted, missed_rounds)
        self._send_synced(sender, reply)

    def _handle_vote_reply(self, sender, reply, now):
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if reply.granted and reply.term == self.term:
            self._add_missed_rounds(reply.missed_rounds)
            self._add_vote(sender, now)

    def _handle_synced_vote(self, now):
        # The others learn of the vote only now.
        if self._voted_for != self.replica_id:
            if self._voted_for and not self.leader_id:
                self._hold_pre_vote(self._voted_for, now, is_renewal=True)
            self._postpone_election(now)
            return
        if self._candidacy_term == self.term:
            # Disks of voters are taken to be as slow, and each may have to
            # end another sync first.
            sync_s = now - self._election_started_at
            self._votes_due_at = now + 2 * min(sync_s, self._timing.max_sync_s)
            self._schedule_election(now)
            self._add_vote(self.replica_id, now)

    def _add_vote(self, replica_id, now):
        """Count a synced vote for this replica in its current term."""
        if self._candidacy_term != self.term:
            return
        self._granted_by.add(replica_id)
        if self._is_majority(self._granted_by):
            self._become_leader(now)

    def _is_disk_hung(self, now):
        """Tell whether a sync takes longer than an election may."""
        limit_s = self._timing.max_election_timeout_s
        return self._syncs.measure_wait_s(now) > limit_s

    def _is_disk_busy(self, now):
        return self._syncs.is_disk_busy(now, self._timing.max_sync_s)

    @abc.abstractmethod
    def _become_leader(self, now):
        """Become the leader after winning an election."""
