"""Reading requests from HTTP listeners, and writing answers to them."""

import asyncio
import json
import traceback

from aiohttp import web
import attrs
from returns import result

from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _delivery
from cactusloftd import _entry

KEY_HEADER = 'Authorization'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
OWN_PREFIX = 'cactusloft-'
MAX_IDEMPOTENCY_KEY = 255
# A client that sends its body slower than this holds a connection for no use.
BODY_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
PROBLEM_TYPE = 'application/problem+json'
_E = errors.ErrorKind


def make_server(handler, log):
    """Return a low-level HTTP server for ``handler``.

    :param handler: coroutine function(request) that returns the answer.
    :param log: :class:`events.EventLog` for faults of the handler.
    """

    async def guard(request):
        try:
            return await handler(request)
        except (ConnectionError, _calls.ResponseCut):
            # The client went away or the connection was aborted on purpose.
            raise
        except Exception as error:
            log.record(
                events.Event.INTERNAL_ERROR,
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
            failure = errors.CallError(_E.INTERNAL)
            return await write_problem(request, failure)

    return web.Server(
        guard,
        # A closed connection is a cancellation.
        handler_cancellation=True,
        auto_decompress=False,
        keepalive_timeout=IDLE_TIMEOUT_S,
        lingering_time=1.0,
        access_log=None,
    )


def read_head(request, target):
    """Return the :class:`Inbound` of a request.

    :param target: path with query as the service shall see it.
    :returns: ``Success(Inbound)`` or ``Failure(CallError)``.
    """
    idempotency_key = request.headers.get(IDEMPOTENCY_HEADER, '')
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY:
        return _calls.fail(_E.BAD_REQUEST, 'Idempotency-Key is too long')
    deadline = request.headers.get(_delivery.DEADLINE_HEADER)
    if deadline is not None and not _is_positive(deadline):
        return _calls.fail(
            _E.BAD_REQUEST, f'{_delivery.DEADLINE_HEADER} must be positive'
        )
    scheme, _, key = request.headers.get(KEY_HEADER, '').partition(' ')
    is_bearer = scheme.lower() == 'bearer'
    return result.Success(
        _entry.Inbound(
            method=request.method,
            target=target,
            key=key.strip() if is_bearer else '',
            idempotency_key=idempotency_key,
            deadline_ms=None if deadline is None else int(deadline),
            headers=_select_headers(request.headers),
        )
    )


async def read_body(request, limit):
    """Return the body of a request.

    :param limit: most bytes that the route takes.
    :returns: ``Success(bytes)`` or ``Failure(CallError)``.
    """
    length = request.content_length
    if length is not None and length > limit:
        return _calls.fail(_E.BODY_TOO_LARGE, f'at most {limit} bytes')
    if not request.body_exists:
        return result.Success(b'')
    parts, size = [], 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if size > limit:
                    return _calls.fail(
                        _E.BODY_TOO_LARGE, f'at most {limit} bytes'
                    )
                parts.append(chunk)
    except TimeoutError:
        return _calls.fail(_E.BAD_REQUEST, 'body came too slowly')
    return result.Success(b''.join(parts))


async def write_response(request, response, call_id, extra=()):
    """Write a response whole, or abort the connection.

    :param extra: further header pairs.
    """
    out = web.StreamResponse(status=response.status)
    for name, value in response.headers:
        if not name.lower().startswith(OWN_PREFIX):
            out.headers.add(name, value)
    out.headers[_delivery.CALL_ID_HEADER] = call_id
    for name, value in extra:
        out.headers[name] = value
    if response.length is not None:
        out.content_length = response.length
    try:
        await _write_chunks(request, out, response)
    except _calls.ResponseCut:
        # Ending the body normally would pass a part off as the whole.
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        await response.close()
    return out


async def _write_chunks(request, out, response):
    await out.prepare(request)
    written = 0
    async for chunk in response.chunks:
        await out.write(chunk)
        written += len(chunk)
    if _has_body(request, response) and response.length not in (
        None,
        written,
    ):
        raise _calls.ResponseCut(f'{written} of {response.length} bytes')
    await out.write_eof()


def _has_body(request, response):
    return request.method != 'HEAD' and response.status not in (204, 304)


async def write_problem(request, error, call_id=''):
    """Write an error as a problem document (RFC 9457)."""
    answer = error.answer
    body = {
        'type': f'urn:cactusloft:error:{error.kind.value}',
        'title': answer.title,
        'status': answer.status,
        'kind': error.kind.value,
        'not_run': answer.not_run.as_json,
    }
    if error.detail:
        body['detail'] = error.detail
    headers = {}
    if call_id:
        body['call_id'] = call_id
        headers[_delivery.CALL_ID_HEADER] = call_id
    if answer.retry_after_s is not None:
        headers['Retry-After'] = str(answer.retry_after_s)
    if answer.status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return web.Response(
        status=answer.status,
        body=json.dumps(body).encode(),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def _select_headers(headers):
    pairs = _delivery.select_headers(headers)
    return tuple(
        (name, value)
        for name, value in pairs
        if name.lower() != 'authorization'
        and not name.lower().startswith(OWN_PREFIX)
    )


def _is_positive(text):
    return text.isascii() and text.isdigit() and 0 < int(text) < 10**9


@attrs.define
class Exchanges:
    """Count requests in progress, so that shutdown can wait for them.

    :ivar count: requests in progress.
    :ivar is_closing: whether new requests are refused.
    """

    count: int = 0
    is_closing: bool = False

    def __enter__(self):
        self.count += 1
        return self

    def __exit__(self, *_exc_info):
        self.count -= 1
