"""Admission control of calls to a backend server."""

from cactusloftd._gate import AdmissionGate

__all__ = ['AdmissionGate']
