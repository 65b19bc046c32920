"""Fleets of daemons and stub servers for tests and the demo.

A fleet is a context manager: it starts its processes on loopback addresses,
one address for each host, and stops each process by its process id.
"""

from cactusloft_bench._documents import Account
from cactusloft_bench._documents import render_document
from cactusloft_bench._documents import Route
from cactusloft_bench._fleet import command_stand_in
from cactusloft_bench._fleet import Fleet
from cactusloft_bench._hosts import Host
from cactusloft_bench._hosts import OPERATOR_TOKEN
from cactusloft_bench._processes import FleetError
from cactusloft_bench._processes import ManagedProcess

__all__ = [
    'Account',
    'Fleet',
    'FleetError',
    'Host',
    'ManagedProcess',
    'OPERATOR_TOKEN',
    'Route',
    'command_stand_in',
    'render_document',
]
