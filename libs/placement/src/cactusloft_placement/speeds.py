"""Speed of a backend server now."""

from cactusloft_placement._speeds import compute_duration
from cactusloft_placement._speeds import MAX_SLOWNESS
from cactusloft_placement._speeds import ServerSpeed

__all__ = ['MAX_SLOWNESS', 'ServerSpeed', 'compute_duration']
