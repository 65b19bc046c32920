"""The operators' document: client accounts, services and routes."""

from cactusloft_model._document import ClientAccount
from cactusloft_model._document import Document
from cactusloft_model._document import EMPTY_DOCUMENT
from cactusloft_model._document import MAX_BODY_BYTES
from cactusloft_model._document import MAX_DOCUMENT_BYTES
from cactusloft_model._document import MAX_TARGET_EXCESS_MS
from cactusloft_model._document import parse_document
from cactusloft_model._document import patch_document
from cactusloft_model._document import Service
from cactusloft_model._routes import Route
from cactusloft_model._routes import TrafficShare
from cactusloft_model._sections import Changes
from cactusloft_model._sections import list_changes
from cactusloft_model._sections import make_section
from cactusloft_model._sections import Section

__all__ = [
    'Changes',
    'ClientAccount',
    'Document',
    'EMPTY_DOCUMENT',
    'MAX_BODY_BYTES',
    'MAX_DOCUMENT_BYTES',
    'MAX_TARGET_EXCESS_MS',
    'Route',
    'Section',
    'Service',
    'TrafficShare',
    'list_changes',
    'make_section',
    'parse_document',
    'patch_document',
]
