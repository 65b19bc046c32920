"""The closed list of error kinds, and the table from kind to answer.

Every refusal and failure that leaves a daemon is one of these kinds. The
table fixes the HTTP status and what may be claimed about execution.
"""

import enum

import attrs


class NotRun(enum.Enum):
    """Whether a refused or failed request is known not to have run."""

    TRUE = 'true'
    FALSE = 'false'
    UNKNOWN = 'unknown'

    @property
    def as_json(self):
        """Return the JSON value: a boolean, or the string ``unknown``."""
        return {'true': True, 'false': False}.get(self.value, self.value)


class ErrorKind(enum.Enum):
    """Every kind of error that a caller or an operator can meet."""

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
    """How an error kind is answered.

    :ivar status: HTTP status.
    :ivar title: one line for a person.
    :ivar not_run: what may be claimed about execution.
    :ivar retry_after_s: seconds for ``Retry-After``, or None.
    """

    status: int
    title: str
    not_run: NotRun
    retry_after_s: float | None = None


_K = ErrorKind
_TRUE = NotRun.TRUE
_FALSE = NotRun.FALSE
_UNKNOWN = NotRun.UNKNOWN

ERROR_RESPONSES = {
    _K.BAD_REQUEST: ErrorResponse(400, 'malformed request', _TRUE),
    _K.UNAUTHENTICATED: ErrorResponse(401, 'no valid key', _TRUE),
    _K.BAD_CALL_TOKEN: ErrorResponse(401, 'no valid call token', _TRUE),
    _K.NO_ROUTE: ErrorResponse(
        404, 'no route for this method and path', _TRUE
    ),
    _K.BODY_TOO_LARGE: ErrorResponse(413, 'request body too large', _TRUE),
    _K.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, 'idempotency key used for another request', _TRUE
    ),
    _K.CALL_IN_PROGRESS: ErrorResponse(
        409, 'first request with this key still runs', _UNKNOWN, 1
    ),
    _K.ANSWER_NOT_KEPT: ErrorResponse(
        409, 'request ran; its answer was too large to keep', _FALSE
    ),
    _K.QUARANTINED: ErrorResponse(
        422, 'request is quarantined after losing backend servers', _TRUE
    ),
    _K.RATE_EXCEEDED: ErrorResponse(
        429, 'rate of the account exceeded', _TRUE, 1
    ),
    _K.RATE_UNAVAILABLE: ErrorResponse(
        503, 'rate lease cannot be renewed', _TRUE, 1
    ),
    _K.OVERLOADED: ErrorResponse(503, 'overloaded', _TRUE, 1),
    _K.EXPIRED_IN_QUEUE: ErrorResponse(
        504, 'deadline passed before the request ran', _TRUE
    ),
    _K.DEADLINE_EXCEEDED: ErrorResponse(504, 'deadline passed', _UNKNOWN),
    _K.RETRY_REFUSED: ErrorResponse(
        503, 'no retry credit is left for this call', _TRUE
    ),
    _K.NO_BACKEND_SERVER: ErrorResponse(
        503, 'no backend server available', _TRUE, 1
    ),
    _K.CONFIG_STALE: ErrorResponse(
        503, 'configuration cannot be confirmed as current', _TRUE, 1
    ),
    _K.LEDGER_UNAVAILABLE: ErrorResponse(
        503, 'idempotency key cannot be reserved', _TRUE, 1
    ),
    _K.SHUTTING_DOWN: ErrorResponse(503, 'daemon is shutting down', _TRUE, 1),
    _K.BACKEND_SERVER_FAILED: ErrorResponse(
        502, 'backend server failed during the request', _UNKNOWN
    ),
    _K.OUTCOME_UNKNOWN: ErrorResponse(
        502, 'outcome of the request is unknown', _UNKNOWN
    ),
    _K.INTERNAL: ErrorResponse(500, 'internal error', _UNKNOWN),
    _K.DOCUMENT_INVALID: ErrorResponse(422, 'document is not valid', _TRUE),
    _K.VERSION_CONFLICT: ErrorResponse(
        409, 'document has changed since the base version', _TRUE
    ),
    _K.CONTROL_UNAVAILABLE: ErrorResponse(
        503, 'no majority of control replicas answers', _UNKNOWN, 1
    ),
    _K.MEMBERSHIP_CHANGE_REFUSED: ErrorResponse(
        409, 'replica membership change refused', _TRUE
    ),
    _K.NOT_FOUND: ErrorResponse(404, 'no such resource', _TRUE),
}


@attrs.frozen
class CallError:
    """An error kind with its details, as the failure side of a Result.

    :ivar kind: the :class:`ErrorKind`.
    :ivar detail: one sentence for a person, without secrets.
    :ivar not_run: overrides the claim of the table where more is known.
    :ivar retry_after_s: overrides the seconds of the table.
    """

    kind: ErrorKind
    detail: str = ''
    not_run: NotRun | None = None
    retry_after_s: float | None = None

    @property
    def claim(self):
        """Return what may be claimed about execution.

        >>> CallError(ErrorKind.DEADLINE_EXCEEDED, not_run=NotRun.TRUE).claim
        <NotRun.TRUE: 'true'>
        """
        if self.not_run is not None:
            return self.not_run
        return ERROR_RESPONSES[self.kind].not_run

    @property
    def answer(self):
        """Return the :class:`ErrorResponse` with ``not_run`` applied.

        >>> CallError(ErrorKind.OVERLOADED).answer.not_run.as_json
        True
        """
        answer = ERROR_RESPONSES[self.kind]
        if self.not_run is not None:
            answer = attrs.evolve(answer, not_run=self.not_run)
        if self.retry_after_s is not None:
            answer = attrs.evolve(answer, retry_after_s=self.retry_after_s)
        return answer


class UserError(Exception):
    """An error that a person can mend; shown without a traceback."""
