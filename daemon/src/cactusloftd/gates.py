"""Admission as something that calls wait for."""

from cactusloftd._gate import AdmissionGate

__all__ = ['AdmissionGate']
