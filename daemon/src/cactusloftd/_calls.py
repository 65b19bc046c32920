"""Calls, responses and failures, as the modules of a daemon exchange them."""

from collections import abc
import typing

import attrs
from returns import result

from cactusloft_admission import pressure
from cactusloft_model import calls
from cactusloft_model import errors

Headers = tuple[tuple[str, str], ...]
Chunks = abc.AsyncIterator[bytes]

# Response bodies up to this size are read and sent in one piece.
SMALL_BODY_BYTES = 64 * 1024
MAX_NESTED_BODY_BYTES = 8 * 1024 * 1024


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class Call:
    """A request that is ready to be sent to a backend server.

    :ivar target: path with query.
    :ivar headers: end-to-end headers, without the caller key.
    :ivar route: name of the route, by the document of the entry.
    :ivar idempotency_key: key of a root call that runs at most once, else
        empty.
    :ivar host: host name that the caller addressed.
    :ivar caller_service: service of the backend server on whose host the call
        began, empty if unknown.
    :ivar needs_free_slot: whether the owner is to refuse the call at once
        unless its backend server has a free slot.
    :ivar patience_s: seconds from arrival after which the caller has little
        use for the response, 0 if unknown.
    """

    context: calls.CallContext
    method: str
    target: str
    headers: Headers
    body: bytes
    route: str = ''
    idempotency_key: str = ''
    host: str = ''
    caller_service: str = ''
    patience_s: float = 0.0
    needs_free_slot: bool = False

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]

    def make_offer(self):
        """Return this call for an owner that is only asked for a free slot."""
        return Call(
            self.context,
            self.method,
            self.target,
            self.headers,
            self.body,
            self.route,
            self.idempotency_key,
            self.host,
            self.caller_service,
            self.patience_s,
            True,
        )


class ResponseCut(Exception):
    """The body of a response broke off before its end."""


@attrs.define
class Response:
    """A response whose body may still be arriving.

    :ivar length: size of the body in bytes, or None if not known beforehand.
    :ivar chunks: the body; raises :class:`ResponseCut` when it breaks off.
    :ivar close: coroutine function that ends the exchange and frees its
        resources; must be called once.
    :ivar is_replayed: whether it is the stored response of an earlier call.
    :ivar is_caused_below: whether a nested call of the run failed.
    :ivar leaving_process: :class:`registry.BackendProcess` that responded, if
        it is about to leave, else None.
    :ivar owner: name of the owner whose backend server responded.
    :ivar ends_at: time of the event loop in seconds by which the client must
        have the whole body, else it is cut; None for no limit.
    """

    status: int
    headers: Headers
    length: int | None
    chunks: Chunks
    close: abc.Callable[[], abc.Awaitable[None]]
    is_replayed: bool = False
    is_caused_below: bool = False
    leaving_process: object = None
    owner: str = ''
    ends_at: float | None = None


Outcome = result.Result[Response, errors.CallError]


class Runner(typing.Protocol):
    """Interface of the local owner and of remote owners."""

    async def run(self, call: Call) -> Outcome:
        """Run ``call`` and return its response or its failure."""

    def read_pressure(self, call: Call) -> pressure.Pressure:
        """Return the pressure to report; call after ``run`` of ``call``."""


class _WholeBody:
    """An iterator over one chunk.

    The event loop keeps a list of running generators, which costs more than
    the rest of passing on a small body.
    """

    __slots__ = ('_body',)

    def __init__(self, body):
        self._body = body

    def __aiter__(self):
        return self

    async def __anext__(self):
        body = self.take()
        if not body:
            raise StopAsyncIteration
        return body

    def take(self):
        body, self._body = self._body, b''
        return body


def iterate_once(body):
    """Return ``body`` as the only chunk of a response."""
    return _WholeBody(body)


async def join_chunks(chunks):
    """Return the whole body of a response.

    :raises ResponseCut: when it breaks off.
    """
    if isinstance(chunks, _WholeBody):
        return chunks.take()
    return b''.join([chunk async for chunk in chunks])


async def close_nothing():
    """Close a response that holds no resources."""


def fail(kind, detail='', not_run=None, retry_after_s=None):
    """Return the failure of a call.

    :param not_run: :class:`errors.NotRun` that replaces the default of the
        error kind, or None.
    :param retry_after_s: seconds after which to retry, in place of the default
        of the error kind, or None.
    """
    return result.Failure(
        errors.CallError(kind, detail, not_run, retry_after_s)
    )
