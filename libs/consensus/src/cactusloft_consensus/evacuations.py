"""Replicated set of evacuated data centres."""

from cactusloft_consensus._evacuations import EvacuationOrder
from cactusloft_consensus._evacuations import Evacuations
from cactusloft_consensus._evacuations import NO_EVACUATIONS

__all__ = ['EvacuationOrder', 'Evacuations', 'NO_EVACUATIONS']
