"""Reading requests from HTTP listeners, and writing responses to them."""

import asyncio

from aiohttp import web
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _entry
from cactusloftd import _headers

MAX_IDEMPOTENCY_KEY = 255
# A client that sends its body slower than this holds a connection for no use.
BODY_TIMEOUT_S = 20.0
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_E = errors.ErrorKind


def read_head(request, target):
    """Return the :class:`Inbound` of a request.

    :param target: path with query as the service shall see it.
    :returns: ``Success(Inbound)`` or ``Failure(CallError)``.
    """
    idempotency_key = request.headers.get(_headers.IDEMPOTENCY_KEY, '')
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY:
        return _calls.fail(_E.BAD_REQUEST, 'Idempotency-Key is too long')
    deadline = request.headers.get(_headers.DEADLINE_MS)
    if deadline is not None and not _is_positive(deadline):
        return _calls.fail(
            _E.BAD_REQUEST, f'{_headers.DEADLINE_MS} must be positive'
        )
    scheme, _, key = request.headers.get(_headers.AUTHORIZATION, '').partition(
        ' '
    )
    is_bearer = scheme.lower() == 'bearer'
    return result.Success(
        _entry.Inbound(
            method=request.method,
            target=target,
            key=key.strip() if is_bearer else '',
            idempotency_key=idempotency_key,
            deadline_ms=None if deadline is None else int(deadline),
            headers=_headers.select_for_service(request.headers),
        )
    )


def read_target(request):
    """Return path and query of a request, byte for byte.

    A target in absolute form also names scheme and authority; these are left
    out.
    """
    target = request.raw_path
    if target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    if not separator:
        return target
    return '/' + rest.partition('/')[2]


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
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(CONTINUE)
    if request.content.is_eof():
        # All of it came with the head, as for most calls.
        body = request.content.read_nowait()
        if len(body) > limit:
            return _calls.fail(_E.BODY_TOO_LARGE, f'at most {limit} bytes')
        return result.Success(body)
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
    headers = [*_headers.select_for_caller(response.headers)]
    headers.append((_headers.CALL_ID, call_id))
    if response.is_replayed:
        headers.append((_headers.REPLAYED, 'true'))
    return await write_answer(request, response, [*headers, *extra])


async def write_answer(request, response, headers, is_last=False):
    """Write status, headers and body, or abort the connection.

    :param headers: header pairs, without those of the connection.
    :param is_last: whether the connection is closed after it.
    """
    is_small = _is_small(request, response)
    make = web.Response if is_small else web.StreamResponse
    out = make(status=response.status)
    for name, value in headers:
        out.headers.add(name, value)
    if is_last:
        out.force_close()
    if response.length is not None and not is_small:
        out.content_length = response.length
    write = _write_whole if is_small else _write_chunks
    try:
        await write(request, out, response)
    except _calls.ResponseCut:
        # Ending the body normally would pass a part off as the whole.
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        await response.close()
    return out


def _is_small(request, response):
    """Tell whether head and body fit into one write to the connection."""
    length = response.length
    is_known = length is not None and _has_body(request, response)
    return is_known and length <= _calls.SMALL_BODY_BYTES


async def _write_whole(request, out, response):
    body = b''.join([chunk async for chunk in response.chunks])
    if len(body) != response.length:
        raise _calls.ResponseCut(f'{len(body)} of {response.length} bytes')
    out.body = body
    await out.prepare(request)
    await out.write_eof()


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


def _is_positive(text):
    return text.isascii() and text.isdigit() and 0 < int(text) < 10**9
