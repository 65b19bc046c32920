"""Pressure reports and early refusal at the entry."""

from cactusloft_admission._meter import PressureMeter
from cactusloft_admission._pressure import Dependencies
from cactusloft_admission._pressure import EarlyRefusal
from cactusloft_admission._pressure import NO_PRESSURE
from cactusloft_admission._pressure import Pressure
from cactusloft_admission._pressure import PressureTable

__all__ = [
    'Dependencies',
    'EarlyRefusal',
    'NO_PRESSURE',
    'Pressure',
    'PressureMeter',
    'PressureTable',
]
