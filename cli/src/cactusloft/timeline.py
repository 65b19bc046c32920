"""Merging and filtering of the events of several daemons."""

from cactusloft._timeline import EventFilter
from cactusloft._timeline import merge_events

__all__ = ['EventFilter', 'merge_events']
