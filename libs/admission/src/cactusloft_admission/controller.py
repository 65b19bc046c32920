"""Admission at the owner of a backend server."""

from cactusloft_admission._controller import Admission
from cactusloft_admission._tickets import AdmissionPolicy
from cactusloft_admission._tickets import Decision
from cactusloft_admission._tickets import Outcome
from cactusloft_admission._tickets import Ticket
from cactusloft_admission._tickets import Verdict

__all__ = [
    'Admission',
    'AdmissionPolicy',
    'Decision',
    'Outcome',
    'Ticket',
    'Verdict',
]
