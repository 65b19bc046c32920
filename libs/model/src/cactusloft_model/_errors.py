"""The closed list of error kinds, and the HTTP response for each.

Every error that a daemon reports to a caller or an operator is one of these
kinds. The table sets the HTTP status and whether the request is reported as
not run.
"""

import enum

import attrs


class NotRun(enum.Enum):
    """Whether a failed request is known not to have run."""

    TRUE = 'true'
    FALSE = 'false'
    UNKNOWN = 'unknown'

    @property
    def as_json(self):
        """Return the JSON value: a boolean, or the string ``unknown``."""
        return {'true': True, 'false': False}.get(self.value, self.value)


class ErrorKind(enum.Enum):
    """Every kind of error that callers and operators receive."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    BAD_CALL_TOKEN = 'bad_call_token'
    NO_ROUTE = 'no_route'
    BODY_TOO_LARGE = 'body_too_large'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    CALL_IN_PROGRESS = 'call_in_progress'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    QUARANTINED = 'quarantined'
    RATE_EXCEEDED = 'rate_exceeded'
    RATE_UNAVAILABLE = 'rate_unavailable'
    OVERLOADED = 'overloaded'
    EXPIRED_IN_QUEUE = 'expired_in_queue'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    RETRY_REFUSED = 'retry_refused'
    NO_BACKEND_SERVER = 'no_backend_server'
    CONFIG_STALE = 'config_stale'
    LEDGER_UNAVAILABLE = 'ledger_unavailable'
    SHUTTING_DOWN = 'shutting_down'
    BACKEND_SERVER_FAILED = 'backend_server_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal'
    DOCUMENT_INVALID = 'document_invalid'
    VERSION_CONFLICT = 'version_conflict'
    CONTROL_UNAVAILABLE = 'control_unavailable'
    MEMBERSHIP_CHANGE_REFUSED = 'membership_change_refused'
    NOT_FOUND = 'not_found'


@attrs.frozen
class ErrorResponse:
    """HTTP response to an error kind.

    :ivar status: HTTP status.
    :ivar title: short human-readable summary.
    :ivar not_run: whether the request is known not to have run.
    :ivar retry_after_s: seconds for ``Retry-After``, or None.
    """

    status: int
    title: str
    not_run: NotRun
    retry_after_s: float | None = None


_Kind = ErrorKind
_TRUE = NotRun.TRUE
_FALSE = NotRun.FALSE
_UNKNOWN = NotRun.UNKNOWN

ERROR_RESPONSES = {
    _Kind.BAD_REQUEST: ErrorResponse(400, 'malformed request', _TRUE),
    _Kind.UNAUTHENTICATED: ErrorResponse(401, 'no valid key', _TRUE),
    _Kind.BAD_CALL_TOKEN: ErrorResponse(401, 'no valid call token', _TRUE),
    _Kind.NO_ROUTE: ErrorResponse(
        404, 'no route for this method and path', _TRUE
    ),
    _Kind.BODY_TOO_LARGE: ErrorResponse(413, 'request body too large', _TRUE),
    _Kind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, 'idempotency key used for another request', _TRUE
    ),
    _Kind.CALL_IN_PROGRESS: ErrorResponse(
        409, 'first request with this key still runs', _UNKNOWN, 1
    ),
    _Kind.ANSWER_NOT_KEPT: ErrorResponse(
        409, 'request ran; its answer was too large to keep', _FALSE
    ),
    _Kind.QUARANTINED: ErrorResponse(
        422, 'request is quarantined after losing backend servers', _TRUE
    ),
    _Kind.RATE_EXCEEDED: ErrorResponse(
        429, 'rate of the account exceeded', _TRUE, 1
    ),
    _Kind.RATE_UNAVAILABLE: ErrorResponse(
        503, 'rate lease cannot be renewed', _TRUE, 1
    ),
    _Kind.OVERLOADED: ErrorResponse(503, 'overloaded', _TRUE, 1),
    _Kind.EXPIRED_IN_QUEUE: ErrorResponse(
        504, 'deadline passed before the request ran', _TRUE
    ),
    _Kind.DEADLINE_EXCEEDED: ErrorResponse(504, 'deadline passed', _UNKNOWN),
    _Kind.RETRY_REFUSED: ErrorResponse(
        503, 'no retry credit is left for this call', _TRUE
    ),
    _Kind.NO_BACKEND_SERVER: ErrorResponse(
        503, 'no backend server available', _TRUE, 1
    ),
    _Kind.CONFIG_STALE: ErrorResponse(
        503, 'configuration cannot be confirmed as current', _TRUE, 1
    ),
    _Kind.LEDGER_UNAVAILABLE: ErrorResponse(
        503, 'idempotency key cannot be reserved', _TRUE, 1
    ),
    _Kind.SHUTTING_DOWN: ErrorResponse(
        503, 'daemon is shutting down', _TRUE, 1
    ),
    _Kind.BACKEND_SERVER_FAILED: ErrorResponse(
        502, 'backend server failed during the request', _UNKNOWN
    ),
    _Kind.OUTCOME_UNKNOWN: ErrorResponse(
        502, 'outcome of the request is unknown', _UNKNOWN
    ),
    _Kind.INTERNAL: ErrorResponse(500, 'internal error', _UNKNOWN),
    _Kind.DOCUMENT_INVALID: ErrorResponse(422, 'document is not valid', _TRUE),
    _Kind.VERSION_CONFLICT: ErrorResponse(
        409, 'document has changed since the base version', _TRUE
    ),
    _Kind.CONTROL_UNAVAILABLE: ErrorResponse(
        503, 'no majority of control replicas answers', _UNKNOWN, 1
    ),
    _Kind.MEMBERSHIP_CHANGE_REFUSED: ErrorResponse(
        409, 'replica membership change refused', _TRUE
    ),
    _Kind.NOT_FOUND: ErrorResponse(404, 'no such resource', _TRUE),
}


@attrs.frozen
class CallError:
    """An error kind with its details, as the failure side of a Result.

    :ivar detail: human-readable sentence without secrets.
    :ivar not_run: overrides the value of :data:`ERROR_RESPONSES`, or None.
    :ivar retry_after_s: overrides the value of :data:`ERROR_RESPONSES`, or
        None.
    """

    kind: ErrorKind
    detail: str = ''
    not_run: NotRun | None = None
    retry_after_s: float | None = None

    @property
    def effective_not_run(self):
        """Return whether the request is known not to have run.

        >>> error = CallError(ErrorKind.INTERNAL, not_run=NotRun.TRUE)
        >>> error.effective_not_run
        <NotRun.TRUE: 'true'>
        """
        if self.not_run is not None:
            return self.not_run
        return ERROR_RESPONSES[self.kind].not_run

    @property
    def response(self):
        """Return the :class:`ErrorResponse` with the overrides applied.

        >>> CallError(ErrorKind.OVERLOADED).response.not_run.as_json
        True
        """
        response = ERROR_RESPONSES[self.kind]
        if self.not_run is not None:
            response = attrs.evolve(response, not_run=self.not_run)
        if self.retry_after_s is not None:
            response = attrs.evolve(response, retry_after_s=self.retry_after_s)
        return response


class UserError(Exception):
    """An error that the user can correct; shown without a traceback."""
