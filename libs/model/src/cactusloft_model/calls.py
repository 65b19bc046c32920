"""The context that travels with a call through the call graph."""

from cactusloft_model._calls import CALL_ID_BYTES
from cactusloft_model._calls import CallContext
from cactusloft_model._calls import compute_fingerprint
from cactusloft_model._calls import compute_rank
from cactusloft_model._calls import Fingerprint
from cactusloft_model._calls import make_call_id
from cactusloft_model._calls import Priority

__all__ = [
    'CALL_ID_BYTES',
    'CallContext',
    'Fingerprint',
    'Priority',
    'compute_fingerprint',
    'compute_rank',
    'make_call_id',
]
