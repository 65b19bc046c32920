"""Which member a leader removes and when it promotes a learner.

A host that is lost for good stays a voter until it is removed, while its
successor joins as a further voter. Removals and promotions alternate here, so
that the group never has more than one voter too many, however fast hosts are
replaced.
"""

import attrs

# A voter that missed more heartbeats counts as silent.
SILENT_ROUNDS = 3
# A silent voter of an even number of voters is removed after this time: the
# group survives no more losses with it than without it. Shorter than the time
# that a lost host and its successor get before a further host may be lost.
# A voter that returns joins again.
REPLACEMENT_TIMEOUT_S = 5.0
# Any other unresponsive member is removed after this time. Longer than a
# restart, a process freeze or a short network partition.
UNRESPONSIVE_TIMEOUT_S = 12.0


@attrs.frozen
class MemberState:
    """What a leader knows about one member.

    :ivar missed_rounds: latest heartbeats, of this leader and the leaders
        before it, that the member has not acknowledged.
    :ivar own_missed_rounds: those of this leader among them.
    """

    replica_id: str
    is_voter: bool
    missed_rounds: int
    own_missed_rounds: int

    @property
    def is_silent(self):
        """Tell whether the member does not reply to this leader."""
        return self.own_missed_rounds > SILENT_ROUNDS


def find_removable_member(states, round_s, min_voters):
    """Return the id of the member to remove next, or None.

    :param states: :class:`MemberState` sequence of all members.
    :param round_s: seconds between two heartbeats.
    :param min_voters: minimum number of responsive voters that must be left
        when a voter is removed.
    """
    timeout_s = UNRESPONSIVE_TIMEOUT_S
    if _has_excess_voter(states):
        timeout_s = REPLACEMENT_TIMEOUT_S
    can_remove_voter = _count_responsive_voters(states) >= min_voters
    removable = (
        state
        for state in states
        if state.is_silent
        and state.missed_rounds * round_s
        >= (timeout_s if state.is_voter else UNRESPONSIVE_TIMEOUT_S)
        and (can_remove_voter or not state.is_voter)
    )
    longest = max(removable, key=lambda s: s.missed_rounds, default=None)
    return None if longest is None else longest.replica_id


def can_promote(states, min_voters):
    """Tell whether a learner may become a further voter.

    It waits while an excess voter is about to be removed.
    """
    return (
        not _has_excess_voter(states)
        or _count_responsive_voters(states) < min_voters
    )


def _has_excess_voter(states):
    """Tell whether the group would be as safe with one silent voter less."""
    voters = [state for state in states if state.is_voter]
    return len(voters) % 2 == 0 and any(voter.is_silent for voter in voters)


def _count_responsive_voters(states):
    return sum(state.is_voter and not state.is_silent for state in states)
