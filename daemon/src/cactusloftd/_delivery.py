"""Delivery of calls over HTTP to the backend server beside the daemon."""

import asyncio

import aiohttp
from returns import result
import yarl

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _headers

# A body that stalls for this long is given up; the deadline of a call covers
# the time to the head of the answer only, since downloads may be long.
BODY_STALL_S = 30.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed early, so that a request is seldom written to
# one that the backend server is just closing.
KEEPALIVE_S = 10.0
CHUNK_BYTES = 64 * 1024
_SKIPPED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
_E = errors.ErrorKind


class Delivery:
    """Send calls to one backend server.

    :param url: base URL that the backend server announced.
    :param connections: most connections to it.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, url, connections, now):
        self._url = url.rstrip('/')
        self._now = now
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=BODY_STALL_S,
            ),
        )
        # The library would repeat a GET, PUT or DELETE by itself when a kept
        # connection breaks, without a retry credit and also on routes that
        # are not idempotent. It has no public switch for this.
        self._session._retry_connection = False

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def send(self, call, token):
        """Deliver ``call`` and return its outcome.

        :param token: call token for nested calls.
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
        return await _wrap(response)

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
            # The target reaches the backend server byte for byte; parsing
            # and quoting it again would change it, and costs time.
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


async def _wrap(response):
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
        # An unfinished exchange must not leave bytes on a kept connection.
        response.close()

    return result.Success(
        _calls.Response(
            response.status, headers, length, _iterate(response), close
        )
    )


async def _iterate(response):
    try:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise _calls.ResponseCut(repr(error)) from error
