"""Delivery of calls over HTTP to the backend server beside the daemon."""

import asyncio

import aiohttp
from returns import result
import yarl

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _headers

# Limits the time between two reads of a response body. The deadline of a call
# covers only the time to the head of the response: downloads may be long.
BODY_READ_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed early, so that a request is rarely written to a
# connection that the backend server is closing at the same moment.
KEEPALIVE_TIMEOUT_S = 10.0
CHUNK_BYTES = 64 * 1024
_UNWANTED_DEFAULT_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
_E = errors.ErrorKind


class Delivery:
    """Client of one backend server process.

    :param url: base URL that the backend server announced.
    :param connections: maximum number of connections to it.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, url, connections, now):
        self._url = url.rstrip('/')
        self._now = now
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_UNWANTED_DEFAULT_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=BODY_READ_TIMEOUT_S,
            ),
        )
        # aiohttp repeats a GET, PUT or DELETE when a kept connection breaks,
        # without a retry credit and also on routes that are not idempotent.
        # It has no public option to disable this.
        self._session._retry_connection = False

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def send(self, call, token):
        """Send ``call`` and return its outcome.

        :param token: call token that nested calls of this call present.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        remaining_s = call.context.deadline - self._now()
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._request(call, token)
        except TimeoutError:
            return _calls.fail(_E.DEADLINE_EXCEEDED)
        except aiohttp.ClientConnectorError as error:
            return _calls.fail(
                _E.BACKEND_SERVER_FAILED, str(error), errors.NotRun.TRUE
            )
        except (aiohttp.ClientError, OSError) as error:
            return _calls.fail(_E.BACKEND_SERVER_FAILED, repr(error))
        if _declares_not_run(response):
            response.release()
            return _calls.fail(_E.OVERLOADED, 'shed by the backend server')
        return await _convert_response(response)

    async def _request(self, call, token):
        context = call.context
        headers = [
            *call.headers,
            (_headers.CALL_TOKEN, token),
            (_headers.CALL_ID, context.call_id),
            (_headers.CLIENT_ACCOUNT, context.client_account),
            (_headers.DEADLINE_MS, str(context.remaining_ms(self._now()))),
        ]
        return await self._session.request(
            call.method,
            # Forwards the target byte for byte. Parsing and quoting it again
            # would change it, and costs time.
            yarl.URL(self._url + call.target, encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )


def _declares_not_run(response):
    return (
        response.status == 503
        and response.headers.get(_headers.NOT_RUN, '').lower() == 'true'
    )


async def _convert_response(response):
    headers = _headers.select_end_to_end_headers(response.headers)
    length = response.content_length
    if length is not None and length <= _calls.SMALL_BODY_BYTES:
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            response.close()
            return _calls.fail(_E.BACKEND_SERVER_FAILED, repr(error))
        except asyncio.CancelledError:
            response.close()
            raise
        chunks = _calls.iterate_once(body)
        return result.Success(
            _calls.Response(
                response.status, headers, length, chunks, _calls.close_nothing
            )
        )

    async def close():
        # Closes the connection as well, since unread bytes of this response
        # would be read as the start of the next one.
        response.close()

    return result.Success(
        _calls.Response(
            response.status, headers, length, _iterate_body(response), close
        )
    )


async def _iterate_body(response):
    try:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise _calls.ResponseCut(repr(error)) from error
