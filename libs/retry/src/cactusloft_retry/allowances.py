"""Retry credits of root calls, and detection of repeated requests."""

from cactusloft_retry._allowances import RootAllowances
from cactusloft_retry._repeats import digest_request
from cactusloft_retry._repeats import NestedRequests

__all__ = ['NestedRequests', 'RootAllowances', 'digest_request']
