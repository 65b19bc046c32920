"""Messages between entry daemons and ledger members, and stored key states.

The attrs classes are encoded with msgspec under their field names. A
:class:`KeyState` has the same form in a segment and in a :class:`CopyPage`.
"""

import enum

import attrs

MAX_KEPT_BODY_BYTES = 64 * 1024


class OutcomeKind(enum.Enum):
    """What the ledger stores about the response of a call that ended."""

    KEPT = 'kept'
    DIGEST = 'digest'
    UNKNOWN = 'unknown'


@attrs.frozen
class Outcome:
    """Outcome of the call that reserved the key.

    :ivar kind: whether the body is kept, only its digest, or nothing.
    :ivar call_id: id of the call that ran.
    :ivar fingerprint: digest of the request that ran.
    :ivar status: HTTP status, 0 when the outcome is unknown.
    :ivar headers: header names and values in their order.
    :ivar body: whole body when it is kept, else empty.
    :ivar digest: digest of a body that is too long to keep, else empty.
    """

    kind: OutcomeKind
    call_id: str
    fingerprint: str
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b''
    digest: str = ''


@attrs.frozen
class Holder:
    """A call that holds, or may hold, a key.

    :ivar attempt: number of the call's attempt to reserve, from 1.
    :ivar fingerprint: digest of the request.
    :ivar remaining_ms: milliseconds until the deadline of the call, 0 once it
        has passed.
    """

    call_id: str
    attempt: int
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class Bar:
    """Ban on votes for the attempts of a call up to ``attempt``.

    :ivar is_dead: the attempts are known not to have led to a run. Otherwise
        the bar is only a promise of this member.
    """

    call_id: str
    attempt: int
    is_dead: bool


@attrs.frozen
class KeyState:
    """Complete state of one idempotency key at a member."""

    client_account: str
    idempotency_key: str
    holders: list[Holder] = attrs.field(factory=list)
    bars: list[Bar] = attrs.field(factory=list)
    outcome: Outcome | None = None


@attrs.frozen
class Reserve:
    """Ask a member to vote for an attempt of a call."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class Deny:
    """Ask a member to promise that it will never vote for an attempt."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int


@attrs.frozen
class Release:
    """Tell a member that an attempt did not and will not lead to a run."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int


@attrs.frozen
class Complete:
    """Tell a member the outcome of the call that reserved the key."""

    client_account: str
    idempotency_key: str
    epoch: int
    outcome: Outcome


@attrs.frozen
class Query:
    """Ask what a member knows about a key."""

    client_account: str
    idempotency_key: str
    epoch: int


class Status(enum.Enum):
    """Status of a member's reply."""

    GRANTED = 'granted'
    HELD = 'held'
    BARRED = 'barred'
    FREE = 'free'
    DONE = 'done'
    REFUSED = 'refused'


class Refusal(enum.Enum):
    """Why a member refused a message."""

    NONE = ''
    OTHER_EPOCH = 'other_epoch'
    NOT_READY = 'not_ready'
    NO_STORAGE = 'no_storage'


@attrs.frozen
class LedgerReply:
    """Reply of a member.

    :ivar epoch: current epoch of the member.
    :ivar holders: calls that hold the key at this member.
    :ivar outcome: outcome of the key's call, None until it ended.
    :ivar refusal: reason when the status is ``REFUSED``.
    """

    status: Status
    epoch: int
    holders: list[Holder] = attrs.field(factory=list)
    outcome: Outcome | None = None
    refusal: Refusal = Refusal.NONE


@attrs.frozen
class CopyRequest:
    """Ask a member for the keys that changed after ``position``.

    :ivar position: ``position`` of the previous page, 0 for the first page.
    """

    epoch: int
    position: int


@attrs.frozen
class CopyPage:
    """One page of a member's keys, in the order of their last change.

    :ivar is_source: False when the sender cannot serve copies in this epoch.
    :ivar epoch: current epoch of the sender.
    :ivar boot: id of the sender's process; positions are valid only while it
        stays the same.
    :ivar position: position to request the next page with.
    :ivar is_last: True when no key changed after the requested position.
    """

    is_source: bool
    epoch: int
    boot: str = ''
    position: int = 0
    is_last: bool = False
    states: list[KeyState] = attrs.field(factory=list)
