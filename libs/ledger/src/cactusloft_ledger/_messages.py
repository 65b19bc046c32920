"""Messages between entries and ledger members, and the stored form of a key.

All are attrs classes that msgspec encodes; the same ``KeyState`` is written to
a segment and sent to a member that copies.
"""

import enum

import attrs

MAX_KEPT_BODY_BYTES = 64 * 1024


class OutcomeKind(enum.Enum):
    """What the ledger knows about a call that ended."""

    KEPT = 'kept'
    DIGEST = 'digest'
    UNKNOWN = 'unknown'


@attrs.frozen
class Outcome:
    """How the winning call ended.

    :ivar call_id: identity of the call that ran.
    :ivar fingerprint: digest of the request that ran.
    :ivar status: HTTP status, 0 when the outcome is unknown.
    :ivar headers: names and values in their order.
    :ivar body: the whole body when it is kept.
    :ivar digest: digest of a body that is too long to keep.
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
    :ivar remaining_ms: milliseconds until the call's deadline; 0 when passed.
    """

    call_id: str
    attempt: int
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class Bar:
    """Attempts of a call up to ``attempt`` get no vote.

    :ivar is_dead: the attempts are known to have won nothing that ran. A bar
        that is not dead is only this member's promise.
    """

    call_id: str
    attempt: int
    is_dead: bool


@attrs.frozen
class KeyState:
    """Everything that a member holds about one idempotency key."""

    client_account: str
    idempotency_key: str
    holders: list[Holder] = attrs.field(factory=list)
    bars: list[Bar] = attrs.field(factory=list)
    outcome: Outcome | None = None


@attrs.frozen
class Reserve:
    """Ask for a member's vote."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class Deny:
    """Ask a member to promise that it never votes for this attempt."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int


@attrs.frozen
class Release:
    """State that this attempt won nothing that ran."""

    client_account: str
    idempotency_key: str
    epoch: int
    call_id: str
    attempt: int


@attrs.frozen
class Complete:
    """State how the winning call ended."""

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
    """A member's answer to a message."""

    GRANTED = 'granted'
    HELD = 'held'
    BARRED = 'barred'
    FREE = 'free'
    DONE = 'done'
    REFUSED = 'refused'


class Refusal(enum.Enum):
    """Why a member does not take part."""

    NONE = ''
    OTHER_EPOCH = 'other_epoch'
    NOT_READY = 'not_ready'
    NO_STORAGE = 'no_storage'


@attrs.frozen
class LedgerReply:
    """Reply of a member.

    :ivar epoch: the member's epoch.
    :ivar holders: calls that hold the key at this member.
    :ivar outcome: set when the key's call ended.
    """

    status: Status
    epoch: int
    holders: list[Holder] = attrs.field(factory=list)
    outcome: Outcome | None = None
    refusal: Refusal = Refusal.NONE


@attrs.frozen
class CopyRequest:
    """Ask a member for the keys that changed after ``position``.

    :ivar position: 0 for the first page.
    """

    epoch: int
    position: int


@attrs.frozen
class CopyPage:
    """Some keys of a member, in the order of their last change.

    :ivar is_source: False when the sender cannot serve copies in this epoch.
    :ivar boot: identity of the sender's process; positions are valid within.
    :ivar position: where the next page starts.
    """

    is_source: bool
    epoch: int
    boot: str = ''
    position: int = 0
    is_last: bool = False
    states: list[KeyState] = attrs.field(factory=list)
