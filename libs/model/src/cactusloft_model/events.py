"""Numbered log events."""

from cactusloft_model._events import Event
from cactusloft_model._events import EventLog
from cactusloft_model._events import Record

__all__ = ['Event', 'EventLog', 'Record']
