"""Bounded queue with priority classes and fair shares."""

from cactusloft_admission._queue import CallQueue

__all__ = ['CallQueue']
