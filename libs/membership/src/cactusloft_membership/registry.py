"""Registrations of daemons at a control host."""

from cactusloft_membership._departures import BackendProcess
from cactusloft_membership._registrations import Registration
from cactusloft_membership._registry import Lease
from cactusloft_membership._registry import REGISTRATION_LEASE_S
from cactusloft_membership._registry import Registry

__all__ = [
    'BackendProcess',
    'Lease',
    'REGISTRATION_LEASE_S',
    'Registration',
    'Registry',
]
