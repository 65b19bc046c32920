"""State of a leader: replication progress and heartbeat rounds."""

import collections

import attrs

from cactusloft_consensus import _messages
from cactusloft_consensus import _voters

# Time after which a snapshot that was not acknowledged is sent again.
SNAPSHOT_RESEND_INTERVAL_S = 3.0


@attrs.define
class Progress:
    """What the leader knows about one member.

    :ivar match_index: highest index known to be synced by the member.
    :ivar next_index: index of the next entry to send.
    :ivar acked_round: latest heartbeat round that the member acknowledged.
    :ivar last_token: token of its latest reply.
    :ivar snapshot_sent_at: monotonic time at which a snapshot was sent that
        the member has not acknowledged, or None.
    :ivar first_round: heartbeat round in which the leader added the member.
    :ivar earlier_missed_rounds: rounds of earlier leaders that the member
        had not acknowledged when this leader was elected.
    """

    match_index: int
    next_index: int
    acked_round: int = 0
    last_token: int = 0
    snapshot_sent_at: float | None = None
    first_round: int = 0
    earlier_missed_rounds: int = 0

    def is_snapshot_pending(self, now):
        """Tell whether a snapshot was sent recently and not acknowledged."""
        if self.snapshot_sent_at is None:
            return False
        return now - self.snapshot_sent_at < SNAPSHOT_RESEND_INTERVAL_S


class LeaderState:
    """State of a leader during its term.

    :param replica_id: identity of the leader.
    :param first_index: index of the no-op entry of the term.
    :param now: monotonic time, in seconds, of the first confirmation.
    :param missed_rounds: by replica id, heartbeat rounds of earlier leaders
        that the members have not acknowledged.
    """

    def __init__(self, replica_id, first_index, now, missed_rounds):
        self.first_index = first_index
        self.confirmed_at = now
        self.progress = {}
        self._replica_id = replica_id
        self._round_id = 0
        self._earlier_missed_rounds = missed_rounds
        self._rounds = collections.deque()

    @property
    def round_id(self):
        """Return the number of the current heartbeat round."""
        return self._round_id

    def start_round(self, now):
        """Start a heartbeat round at the monotonic time ``now``."""
        self._round_id += 1
        self._rounds.append((self._round_id, now))

    def update_members(self, members, last_index):
        """Track ``members``: add new ones and remove all others."""
        previous = self.progress
        self.progress = {
            member.replica_id: previous.get(member.replica_id)
            or self._add_member(member.replica_id, last_index)
            for member in members
        }

    def list_member_states(self, members):
        """Return a :class:`MemberState` of each of ``members``."""
        return [self._make_member_state(member) for member in members]

    def list_missed_rounds(self, members):
        """Return a :class:`MissedRounds` of each silent member."""
        return tuple(
            _messages.MissedRounds(state.replica_id, state.missed_rounds)
            for state in self.list_member_states(members)
            if state.is_silent
        )

    def find_majority_value(self, members, read_value):
        """Return the highest value that a majority of voters has reached."""
        values = sorted(
            (
                read_value(self.progress[member.replica_id])
                for member in members
                if member.is_voter
            ),
            reverse=True,
        )
        return values[len(values) // 2] if values else 0

    def confirm_rounds(self, members):
        """Set ``confirmed_at`` to the start of the latest confirmed round.

        A round is confirmed once a majority of voters acknowledged it.
        """
        progress = self.progress.get(self._replica_id)
        if progress is not None:
            progress.acked_round = self._round_id
        acked = self.find_majority_value(members, lambda p: p.acked_round)
        while self._rounds and self._rounds[0][0] <= acked:
            self.confirmed_at = self._rounds.popleft()[1]

    def _add_member(self, replica_id, last_index):
        # A member that is added again replies again.
        missed_rounds = self._earlier_missed_rounds.pop(replica_id, 0)
        return Progress(
            0,
            last_index + 1,
            first_round=self._round_id,
            earlier_missed_rounds=missed_rounds,
        )

    def _make_member_state(self, member):
        progress = self.progress[member.replica_id]
        acked_round = max(progress.acked_round, progress.first_round)
        own_missed_rounds = self._round_id - acked_round
        has_replied = progress.acked_round > 0
        return _voters.MemberState(
            replica_id=member.replica_id,
            is_voter=member.is_voter,
            missed_rounds=own_missed_rounds
            + (0 if has_replied else progress.earlier_missed_rounds),
            own_missed_rounds=own_missed_rounds,
        )
