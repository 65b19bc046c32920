"""Announcement and lease of the backend server beside a daemon."""

from cactusloft_membership._announcements import Announcement
from cactusloft_membership._announcements import ANNOUNCEMENT_LEASE_S
from cactusloft_membership._announcements import LocalServer
from cactusloft_membership._announcements import State

__all__ = ['ANNOUNCEMENT_LEASE_S', 'Announcement', 'LocalServer', 'State']
