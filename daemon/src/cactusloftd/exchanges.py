"""HTTP exchanges with callers; public interface for platform adapters."""

from cactusloftd._calls import Call
from cactusloftd._headers import select_end_to_end_headers
from cactusloftd._metrics import CONTENT_TYPE as METRICS_CONTENT_TYPE
from cactusloftd.resident._http_listener import HttpListener
from cactusloftd.resident._http_messages import HeaderFields
from cactusloftd.resident._http_messages import HttpResponse
from cactusloftd.resident._http_messages import Request

__all__ = [
    'Call',
    'HeaderFields',
    'HttpListener',
    'HttpResponse',
    'METRICS_CONTENT_TYPE',
    'Request',
    'select_end_to_end_headers',
]
