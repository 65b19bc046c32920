"""Replicated store of idempotency reservations and kept responses."""

from cactusloft_ledger._claim import Claim
from cactusloft_ledger._claim import MemberRequest
from cactusloft_ledger._claim import Ticket
from cactusloft_ledger._claim import Verdict
from cactusloft_ledger._client import Group
from cactusloft_ledger._client import LedgerClient
from cactusloft_ledger._client import Reservation
from cactusloft_ledger._client import Transport
from cactusloft_ledger._member import count_majority
from cactusloft_ledger._member import Decision
from cactusloft_ledger._member import LedgerMember
from cactusloft_ledger._messages import Bar
from cactusloft_ledger._messages import Complete
from cactusloft_ledger._messages import CopyPage
from cactusloft_ledger._messages import CopyRequest
from cactusloft_ledger._messages import Deny
from cactusloft_ledger._messages import Holder
from cactusloft_ledger._messages import KeyState
from cactusloft_ledger._messages import LedgerReply
from cactusloft_ledger._messages import MAX_KEPT_BODY_BYTES
from cactusloft_ledger._messages import Outcome
from cactusloft_ledger._messages import OutcomeKind
from cactusloft_ledger._messages import Query
from cactusloft_ledger._messages import Refusal
from cactusloft_ledger._messages import Release
from cactusloft_ledger._messages import Reserve
from cactusloft_ledger._messages import Status
from cactusloft_ledger._service import MemberService
from cactusloft_ledger._storage import SegmentStore
from cactusloft_ledger._storage import StorageCorruptedError
from cactusloft_ledger._storage import StorageFailedError
from cactusloft_ledger._storage import StorageFullError

__all__ = [
    'Bar',
    'Claim',
    'Complete',
    'CopyPage',
    'CopyRequest',
    'Decision',
    'Deny',
    'Group',
    'Holder',
    'KeyState',
    'LedgerClient',
    'LedgerMember',
    'LedgerReply',
    'MAX_KEPT_BODY_BYTES',
    'MemberRequest',
    'MemberService',
    'Outcome',
    'OutcomeKind',
    'Query',
    'Refusal',
    'Release',
    'Reservation',
    'Reserve',
    'SegmentStore',
    'Status',
    'StorageCorruptedError',
    'StorageFailedError',
    'StorageFullError',
    'Ticket',
    'Transport',
    'Verdict',
    'count_majority',
]
