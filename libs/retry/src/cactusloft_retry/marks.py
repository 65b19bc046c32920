"""Crash marks and quarantine of requests, by fingerprint."""

from cactusloft_retry._marks import CrashMark
from cactusloft_retry._marks import CrashMarkStore
from cactusloft_retry._marks import MARK_LIFETIME_S
from cactusloft_retry._marks import Treatment

__all__ = ['MARK_LIFETIME_S', 'CrashMark', 'CrashMarkStore', 'Treatment']
