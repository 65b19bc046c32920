"""A node with storage, timers and a transport."""

from cactusloft_consensus._applier import Applier
from cactusloft_consensus._applier import CompactionLimits
from cactusloft_consensus._replica import Replica

__all__ = ['Applier', 'CompactionLimits', 'Replica']
