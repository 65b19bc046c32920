"""Error kinds and the answer that a caller gets for each."""

from cactusloft_model._errors import Answer
from cactusloft_model._errors import CallError
from cactusloft_model._errors import ERROR_RESPONSES
from cactusloft_model._errors import ErrorKind
from cactusloft_model._errors import NotRun
from cactusloft_model._errors import UserError

__all__ = [
    'Answer',
    'CallError',
    'ERROR_RESPONSES',
    'ErrorKind',
    'NotRun',
    'UserError',
]
