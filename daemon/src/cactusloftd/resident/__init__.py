"""Daemon for hosts of a platform that has its own protocols.

A resident handles requests, the local backend server and the control group
as the daemon does. An adapter implements the platform's protocols with
callers, backend servers and operators, see
:mod:`cactusloftd.resident.protocol`.
"""

from cactusloft_admission.memory import make_limits as make_client_limits
from cactusloftd.resident._settings import ControlHost
from cactusloftd.resident._settings import make_settings
from cactusloftd.resident._settings import SettingsError

__all__ = [
    'ControlHost',
    'SettingsError',
    'make_client_limits',
    'make_settings',
]
