"""Allocator and holder of rate leases."""

from cactusloft_quota._allocator import Allocator
from cactusloft_quota._allocator import CONFIRMATION_VALIDITY_S
from cactusloft_quota._holder import Debit
from cactusloft_quota._holder import Holder
from cactusloft_quota._holder import REPORT_INTERVAL_S
from cactusloft_quota._messages import Grant
from cactusloft_quota._messages import LeaseRequest
from cactusloft_quota._messages import LIFETIME_S

__all__ = [
    'Allocator',
    'CONFIRMATION_VALIDITY_S',
    'Debit',
    'Grant',
    'Holder',
    'LIFETIME_S',
    'LeaseRequest',
    'REPORT_INTERVAL_S',
]
