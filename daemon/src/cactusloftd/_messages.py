"""Messages between daemons, and the number of each.

A number is never used again for another message.
"""

import attrs

import cactusloft_ledger as ledger
import cactusloft_link as link
from cactusloft_membership import registry
from cactusloft_model import calls
from cactusloft_model import errors
import cactusloft_quota as quota
from cactusloft_retry import marks as retry_marks


@attrs.frozen
class CallStart:
    """Open the stream of a call; the payload starts the body.

    :ivar remaining_ms: milliseconds until the deadline when it was sent.
    :ivar body_bytes: size of the whole body.
    """

    call_id: str
    root_call_id: str
    parent_call_id: str
    root_entry: str
    client_account: str
    service: str
    priority: calls.Priority
    remaining_ms: int
    depth: int
    idempotent: bool
    fingerprint: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    route: str


@attrs.frozen
class BodyChunk:
    """The payload continues a body.

    :ivar is_last: whether the body ends with this payload.
    """

    is_last: bool


@attrs.frozen
class AnswerStart:
    """Head of an answer; the payload starts its body.

    :ivar length: bytes of the body, or None when not known beforehand.
    :ivar is_complete: whether the payload is the whole body.
    :ivar pressure: level of the pressure on this call's route, 0 for none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    is_complete: bool
    pressure: float


@attrs.frozen
class Refusal:
    """The owner's reason for giving no answer.

    :ivar pressure: level of the pressure on this call's route, 0 for none.
    """

    kind: errors.ErrorKind
    detail: str
    not_run: errors.NotRun | None
    pressure: float


@attrs.frozen
class RetryCreditRequest:
    """Ask the entry of a root call for one retry credit."""

    root_call_id: str


@attrs.frozen
class RetryCredit:
    """Reply to :class:`RetryCreditRequest`."""

    is_given: bool


@attrs.frozen
class MarkNews:
    """Crash marks that another daemon made or cleared.

    :ivar is_for_all: whether the receiver, a control host, passes them on.
    """

    marks: tuple[retry_marks.Mark, ...]
    is_for_all: bool


@attrs.frozen
class MarkReceipt:
    """Acknowledgement of :class:`MarkNews`."""


@attrs.frozen
class PermitRequest:
    """Ask the origin of a mark for the run alone, or give it back."""

    fingerprint: str
    is_return: bool


@attrs.frozen
class Permit:
    """Reply to :class:`PermitRequest`."""

    is_given: bool


@attrs.frozen
class Register:
    """A daemon's registration with a control host.

    :ivar services: services whose members the daemon asks for.
    """

    registration: registry.Registration
    services: tuple[str, ...]


@attrs.frozen
class Registrations:
    """Members of the services that were asked for."""

    members: tuple[registry.Registration, ...]


@attrs.frozen
class Lookup:
    """Ask a control host for the registration of one daemon."""

    name: str


@attrs.frozen
class LeaseReply:
    """Reply to ``quota.LeaseRequest``.

    :ivar grant: the lease, or None when this daemon gives none.
    :ivar leader: replica id of the control leader, empty when not known.
    """

    grant: quota.Grant | None
    leader: str


LEDGER_MESSAGES = (
    ledger.Reserve,
    ledger.Deny,
    ledger.Release,
    ledger.Complete,
    ledger.Query,
)

CODEC = link.Codec(
    {
        1: CallStart,
        2: BodyChunk,
        3: AnswerStart,
        4: Refusal,
        10: Register,
        11: Registrations,
        12: Lookup,
        30: RetryCreditRequest,
        31: RetryCredit,
        32: MarkNews,
        33: MarkReceipt,
        34: PermitRequest,
        35: Permit,
        **dict(enumerate(LEDGER_MESSAGES, 40)),
        45: ledger.LedgerReply,
        46: ledger.CopyRequest,
        47: ledger.CopyPage,
        50: quota.LeaseRequest,
        51: LeaseReply,
    }
)
