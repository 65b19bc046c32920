"""HTTP exchanges with callers, for adapters of other platforms."""

from cactusloftd._calls import Call
from cactusloftd._headers import select_end_to_end
from cactusloftd._http import read_body
from cactusloftd._http import read_target
from cactusloftd._http import write_answer
from cactusloftd._http_server import listen
from cactusloftd._metrics import CONTENT_TYPE as METRICS_CONTENT_TYPE

__all__ = [
    'Call',
    'METRICS_CONTENT_TYPE',
    'listen',
    'read_body',
    'read_target',
    'select_end_to_end',
    'write_answer',
]
