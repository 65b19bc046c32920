"""Resident of a host whose platform speaks a protocol of its own.

The resident decides on requests, the backend server beside it and the control
group as the daemon does. What is spoken with callers, backend servers and
operators comes from an adapter, see :mod:`cactusloftd.resident.protocol`.
"""

from cactusloftd.resident._settings import ControlHost
from cactusloftd.resident._settings import make_settings
from cactusloftd.resident._settings import SettingsError

__all__ = ['ControlHost', 'SettingsError', 'make_settings']
