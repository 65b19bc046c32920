"""Rate limits of accounts: leases for large shares, debits for few calls."""

from cactusloft_quota._allocator import Allocator
from cactusloft_quota._allocator import CONFIRMATION_VALIDITY_S
from cactusloft_quota._debits import AccountDebit
from cactusloft_quota._debits import AccountGrant
from cactusloft_quota._debits import CentralBucket
from cactusloft_quota._debits import DebitHolder
from cactusloft_quota._debits import DebitRequest
from cactusloft_quota._holder import Debit
from cactusloft_quota._holder import LeaseHolder
from cactusloft_quota._holder import REPORT_INTERVAL_S
from cactusloft_quota._messages import Grant
from cactusloft_quota._messages import LeaseRequest
from cactusloft_quota._messages import LIFETIME_S

__all__ = [
    'AccountDebit',
    'AccountGrant',
    'Allocator',
    'CONFIRMATION_VALIDITY_S',
    'CentralBucket',
    'Debit',
    'DebitHolder',
    'DebitRequest',
    'Grant',
    'LIFETIME_S',
    'LeaseHolder',
    'LeaseRequest',
    'REPORT_INTERVAL_S',
]
