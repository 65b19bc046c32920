"""Limits on what the clients of a process may make it hold."""

from cactusloft_admission._memory import BudgetError
from cactusloft_admission._memory import ClientLimits
from cactusloft_admission._memory import HEADER_LINE_BYTES
from cactusloft_admission._memory import Hold
from cactusloft_admission._memory import make_limits
from cactusloft_admission._memory import MAX_ORDINARY_LINES
from cactusloft_admission._memory import MemoryBudget
from cactusloft_admission._progress import MEASURE_S
from cactusloft_admission._progress import Progress
from cactusloft_admission._progress import select_slowest

__all__ = [
    'BudgetError',
    'ClientLimits',
    'HEADER_LINE_BYTES',
    'Hold',
    'MAX_ORDINARY_LINES',
    'MEASURE_S',
    'MemoryBudget',
    'Progress',
    'make_limits',
    'select_slowest',
]
