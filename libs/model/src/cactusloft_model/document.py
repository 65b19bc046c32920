"""The operators' document: accounts, keys, rates, services and routes."""

from cactusloft_model._document import ClientAccount
from cactusloft_model._document import Document
from cactusloft_model._document import EMPTY_DOCUMENT
from cactusloft_model._document import MAX_DOCUMENT_BYTES
from cactusloft_model._document import parse_document
from cactusloft_model._document import Route
from cactusloft_model._document import Service

__all__ = [
    'ClientAccount',
    'Document',
    'EMPTY_DOCUMENT',
    'MAX_DOCUMENT_BYTES',
    'Route',
    'Service',
    'parse_document',
]
