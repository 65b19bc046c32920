"""Merged events of all daemons."""

from cactusloft._timeline import Filter
from cactusloft._timeline import merge_events

__all__ = ['Filter', 'merge_events']
