"""Admission as something that calls wait for."""

from cactusloftd._gate import Gate

__all__ = ['Gate']
