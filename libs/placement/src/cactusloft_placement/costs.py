"""Expected cost of calls."""

from cactusloft_placement._costs import CallCosts

__all__ = ['CallCosts']
