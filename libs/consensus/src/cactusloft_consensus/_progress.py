"""Bookkeeping of a leader: progress of members and heartbeat rounds."""

import collections

import attrs

# A snapshot is sent again when it was not acknowledged for this long.
SNAPSHOT_RESEND_S = 3.0


@attrs.define
class Progress:
    """What the leader knows about one member.

    :ivar match: highest index known to be synced there.
    :ivar next_index: first index to send.
    :ivar acked_round: latest heartbeat round that it acknowledged.
    :ivar echo: token of its latest reply.
    :ivar snapshot_sent_at: monotonic seconds, or None while none is sent.
    :ivar first_round: heartbeat round at which it became a member here.
    """

    match: int
    next_index: int
    acked_round: int = 0
    echo: int = 0
    snapshot_sent_at: float | None = None
    first_round: int = 0

    def is_snapshot_pending(self, now):
        """Tell whether a snapshot may still be on its way."""
        if self.snapshot_sent_at is None:
            return False
        return now - self.snapshot_sent_at < SNAPSHOT_RESEND_S


class LeaderState:
    """State that a leader holds during one term.

    :param replica_id: identity of the leader.
    :param first_index: index of the no-op entry of the term.
    :param now: monotonic seconds at the start of the term.
    """

    def __init__(self, replica_id, first_index, now):
        self.first_index = first_index
        self.confirmed_at = now
        self.progress = {}
        self._replica_id = replica_id
        self._round_id = 0
        self._rounds = collections.deque()

    @property
    def round_id(self):
        """Return the current heartbeat round."""
        return self._round_id

    def start_round(self, now):
        """Begin a heartbeat round at monotonic seconds ``now``."""
        self._round_id += 1
        self._rounds.append((self._round_id, now))

    def update_members(self, members, last_index):
        """Keep progress for exactly ``members``."""
        known = self.progress
        self.progress = {
            member.replica_id: known.get(member.replica_id)
            or Progress(0, last_index + 1, first_round=self._round_id)
            for member in members
        }

    def list_unresponsive_members(self, rounds):
        """Return the members that acknowledged none of the last rounds."""
        oldest = self._round_id - rounds
        return [
            replica_id
            for replica_id, progress in self.progress.items()
            if max(progress.acked_round, progress.first_round) < oldest
        ]

    def find_majority(self, members, read_value):
        """Return the highest value that a majority of voters reached."""
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
        """Move ``confirmed_at`` to the latest round that a majority acked."""
        own = self.progress.get(self._replica_id)
        if own is not None:
            own.acked_round = self._round_id
        acked = self.find_majority(members, lambda p: p.acked_round)
        while self._rounds and self._rounds[0][0] <= acked:
            self.confirmed_at = self._rounds.popleft()[1]
