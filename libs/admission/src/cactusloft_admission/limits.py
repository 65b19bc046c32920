"""Concurrency limit, cold-start ramp and load reports."""

from cactusloft_admission._limit import ConcurrencyLimit
from cactusloft_admission._limit import LimitSettings
from cactusloft_admission._load import ColdStartRamp
from cactusloft_admission._load import LoadReport
from cactusloft_admission._load import LoadReports

__all__ = [
    'ColdStartRamp',
    'ConcurrencyLimit',
    'LimitSettings',
    'LoadReport',
    'LoadReports',
]
