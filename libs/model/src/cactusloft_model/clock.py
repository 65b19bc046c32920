"""Hybrid logical clock that orders events of all daemons, and boot time."""

from cactusloft_model._clock import HybridClock
from cactusloft_model._clock import read_boot_time
from cactusloft_model._clock import Stamp

__all__ = ['HybridClock', 'Stamp', 'read_boot_time']
