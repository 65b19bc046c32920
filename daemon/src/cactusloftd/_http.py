"""Reading of HTTP requests and writing of HTTP responses."""

import asyncio

from aiohttp import web
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _entry
from cactusloftd import _headers

MAX_IDEMPOTENCY_KEY_CHARS = 255
# Limits the time to receive a request body, so that slow clients do not keep
# connections occupied.
BODY_TIMEOUT_S = 20.0
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_E = errors.ErrorKind


def read_head(request, target):
    """Parse the head of a request.

    :param target: path with query, as it is sent to the service.
    :returns: ``Success(Inbound)`` or ``Failure(CallError)``.
    """
    idempotency_key = request.headers.get(_headers.IDEMPOTENCY_KEY, '')
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS:
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

    Scheme and authority of a target in absolute form are removed.
    """
    target = request.raw_path
    if target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    if not separator:
        return target
    return '/' + rest.partition('/')[2]


async def read_body(request, max_bytes):
    """Return the body of a request.

    :param max_bytes: maximum size of the body.
    :returns: ``Success(bytes)`` or ``Failure(CallError)``.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        return _calls.fail(_E.BODY_TOO_LARGE, f'at most {max_bytes} bytes')
    if not request.body_exists:
        return result.Success(b'')
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(CONTINUE_RESPONSE)
    if request.content.is_eof():
        # The whole body arrived with the head, as it does for most calls.
        body = request.content.read_nowait()
        if len(body) > max_bytes:
            return _calls.fail(_E.BODY_TOO_LARGE, f'at most {max_bytes} bytes')
        return result.Success(body)
    chunks, size = [], 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if size > max_bytes:
                    return _calls.fail(
                        _E.BODY_TOO_LARGE, f'at most {max_bytes} bytes'
                    )
                chunks.append(chunk)
    except TimeoutError:
        return _calls.fail(
            _E.BAD_REQUEST, 'request body was received too slowly'
        )
    return result.Success(b''.join(chunks))


async def write_response(request, response, call_id, extra=()):
    """Write a response to a caller, or abort the connection.

    :param extra: pairs of further headers.
    """
    headers = [*_headers.select_for_caller(response.headers)]
    headers.append((_headers.CALL_ID, call_id))
    if response.is_replayed:
        headers.append((_headers.REPLAYED, 'true'))
    return await write_with_headers(request, response, [*headers, *extra])


async def write_with_headers(request, response, headers, is_last=False):
    """Write status, headers and body, or abort the connection.

    :param headers: pairs of headers, without those of the connection.
    :param is_last: whether to close the connection afterwards.
    """
    is_whole = _fits_one_write(request, response)
    make = web.Response if is_whole else web.StreamResponse
    stream = make(status=response.status)
    for name, value in headers:
        stream.headers.add(name, value)
    if is_last:
        stream.force_close()
    if response.length is not None and not is_whole:
        stream.content_length = response.length
    write = _write_whole if is_whole else _write_chunks
    try:
        await write(request, stream, response)
    except _calls.ResponseCut:
        # A regular end would make the truncated body look complete.
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        await response.close()
    return stream


def _fits_one_write(request, response):
    """Return whether head and body are sent in one write."""
    length = response.length
    is_known = length is not None and _has_body(request, response)
    return is_known and length <= _calls.SMALL_BODY_BYTES


async def _write_whole(request, stream, response):
    body = b''.join([chunk async for chunk in response.chunks])
    if len(body) != response.length:
        raise _calls.ResponseCut(f'{len(body)} of {response.length} bytes')
    stream.body = body
    await stream.prepare(request)
    await stream.write_eof()


async def _write_chunks(request, stream, response):
    await stream.prepare(request)
    written = 0
    async for chunk in response.chunks:
        await stream.write(chunk)
        written += len(chunk)
    if _has_body(request, response) and response.length not in (
        None,
        written,
    ):
        raise _calls.ResponseCut(f'{written} of {response.length} bytes')
    await stream.write_eof()


def _has_body(request, response):
    return request.method != 'HEAD' and response.status not in (204, 304)


def _is_positive(text):
    return text.isascii() and text.isdigit() and 0 < int(text) < 10**9
