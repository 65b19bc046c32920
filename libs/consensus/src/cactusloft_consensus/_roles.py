"""Roles of a replica and the transitions between them."""

import transitions

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre_candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'

_TRANSITIONS = [
    ['start_pre_vote', [FOLLOWER, PRE_CANDIDATE, CANDIDATE], PRE_CANDIDATE],
    ['start_election', PRE_CANDIDATE, CANDIDATE],
    ['win_election', [FOLLOWER, PRE_CANDIDATE, CANDIDATE], LEADER],
    ['step_down', '*', FOLLOWER],
]


class RoleMachine:
    """Role of one replica; a transition that is not listed raises.

    >>> role = RoleMachine()
    >>> role.start_pre_vote() and role.start_election()
    True
    >>> role.state
    'candidate'
    """

    def __init__(self):
        self._machine = transitions.Machine(
            model=self,
            states=[FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER],
            transitions=_TRANSITIONS,
            initial=FOLLOWER,
            auto_transitions=False,
        )
