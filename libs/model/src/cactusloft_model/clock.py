"""Hybrid logical clock that orders events over all daemons."""

from cactusloft_model._clock import HybridClock
from cactusloft_model._clock import Stamp

__all__ = ['HybridClock', 'Stamp']
