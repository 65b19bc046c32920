"""Replicated document store."""

from cactusloft_consensus._documents import Change
from cactusloft_consensus._documents import DocumentStore
from cactusloft_consensus._documents import Outcome
from cactusloft_consensus._documents import OutcomeKind
from cactusloft_consensus._documents import Revision

__all__ = ['Change', 'DocumentStore', 'Outcome', 'OutcomeKind', 'Revision']
