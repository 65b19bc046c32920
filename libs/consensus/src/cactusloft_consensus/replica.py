"""A node with storage, timers and a transport."""

from cactusloft_consensus._applier import Applier
from cactusloft_consensus._applier import Limits
from cactusloft_consensus._replica import Replica

__all__ = ['Applier', 'Limits', 'Replica']
