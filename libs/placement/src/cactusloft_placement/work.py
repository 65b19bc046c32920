"""Remaining work of a backend server."""

from cactusloft_placement._work import estimate_end
from cactusloft_placement._work import is_too_slow
from cactusloft_placement._work import ServerWork
from cactusloft_placement._work import WorkReport

__all__ = ['ServerWork', 'WorkReport', 'estimate_end', 'is_too_slow']
