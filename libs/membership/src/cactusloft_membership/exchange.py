"""Exchange of registrations between control hosts."""

from cactusloft_membership._exchange import HOME_LEASE_S
from cactusloft_membership._exchange import HomeAck
from cactusloft_membership._exchange import HomeCopies
from cactusloft_membership._exchange import HomeTable
from cactusloft_membership._exchange import HomeUpdate
from cactusloft_membership._exchange import REGISTRATION_SETTLE_S

__all__ = [
    'HOME_LEASE_S',
    'HomeAck',
    'HomeCopies',
    'HomeTable',
    'HomeUpdate',
    'REGISTRATION_SETTLE_S',
]
