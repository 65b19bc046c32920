"""Assembly of a resident, for the main program of an adapter."""

from cactusloftd.resident._wiring import HostContext
from cactusloftd.resident._wiring import Resident

__all__ = ['Resident', 'HostContext']
