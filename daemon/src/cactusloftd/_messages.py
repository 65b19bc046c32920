"""Messages between daemons, and the number of each.

A number is never used again for another message.
"""

import attrs

import cactusloft_link as link
from cactusloft_membership import registry
from cactusloft_model import calls
from cactusloft_model import errors


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
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    is_complete: bool


@attrs.frozen
class Refusal:
    """The owner's reason for giving no answer."""

    kind: errors.ErrorKind
    detail: str
    not_run: errors.NotRun | None


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


CODEC = link.Codec(
    {
        1: CallStart,
        2: BodyChunk,
        3: AnswerStart,
        4: Refusal,
        10: Register,
        11: Registrations,
    }
)
