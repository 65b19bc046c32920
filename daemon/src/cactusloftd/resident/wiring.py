"""A whole resident, for the program of an adapter."""

from cactusloftd.resident._wiring import Resident
from cactusloftd.resident._wiring import Site

__all__ = ['Resident', 'Site']
