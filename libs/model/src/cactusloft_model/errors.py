"""Error kinds and the HTTP response for each of them."""

from cactusloft_model._errors import CallError
from cactusloft_model._errors import ERROR_RESPONSES
from cactusloft_model._errors import ErrorKind
from cactusloft_model._errors import ErrorResponse
from cactusloft_model._errors import NotRun
from cactusloft_model._errors import UserError

__all__ = [
    'CallError',
    'ERROR_RESPONSES',
    'ErrorKind',
    'ErrorResponse',
    'NotRun',
    'UserError',
]
