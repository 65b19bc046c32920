"""Client of the operator API of daemons."""

from cactusloft._client import AdminClient
from cactusloft._client import Problem
from cactusloft._views import DocumentView
from cactusloft._views import EventView
from cactusloft._views import MemberView
from cactusloft._views import ReplicaView
from cactusloft._views import RevisionView
from cactusloft._views import StatusView

__all__ = [
    'AdminClient',
    'DocumentView',
    'EventView',
    'MemberView',
    'Problem',
    'ReplicaView',
    'RevisionView',
    'StatusView',
]
