"""Consensus protocol of one replica, without I/O."""

from cactusloft_consensus._log import Membership
from cactusloft_consensus._node import ConsensusError
from cactusloft_consensus._node import Node
from cactusloft_consensus._node import Output
from cactusloft_consensus._node import PersistedState
from cactusloft_consensus._node import Timing

__all__ = [
    'ConsensusError',
    'Membership',
    'Node',
    'Output',
    'PersistedState',
    'Timing',
]
