"""Tests of HTTP listeners: malformed input and forms of the target."""

import asyncio
import base64

from aiohttp import web
import pytest

from cactusloftd import _http
from cactusloftd import _http_server

KEY = 'clk_secret-of-a-caller'
AUTHORIZATION = f'Authorization: Bearer {KEY}\r\n'.encode()


class Log:
    """An event log that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def record(self, event, **fields):
        self.lines.append(f'{event.name} {fields!r}')


def exchange(content):
    """Send bytes to a listener; return response, targets and log lines."""

    async def run():
        log, targets = Log(), []

        async def handle(request):
            targets.append(_http.read_target(request))
            return web.Response(text='served')

        runner = await _http_server.listen('127.0.0.1:0', handle, log)
        host, port = runner.addresses[0]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(content)
        async with asyncio.timeout(5):
            response = await reader.read()
        writer.close()
        await runner.cleanup()
        return response, targets, log.lines

    return asyncio.run(run())


@pytest.mark.parametrize(
    'content',
    [
        b'GET /read HTTP/1.1\nHost: x\n' + AUTHORIZATION + b'\r\n',
        b'GET /read HTTP/9.9\r\n' + AUTHORIZATION + b'\r\n',
        b'GET /read\r\n' + AUTHORIZATION + b'\r\n',
        AUTHORIZATION + b'\r\n\r\n',
        b'GET /' + KEY.encode() + b' \x00 HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\nBad Name: ' + KEY.encode() + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: ' + KEY.encode() + b'\r\n\r\n',
        b'GET / HTTP/1.1\r\nX: ' + b'y' * 200_000 + KEY.encode() + b'\r\n\r\n',
    ],
)
def test_malformed_input_shows_no_key(content):
    """Neither log nor response may contain a key that the input contains.

    Messages of the parser quote the input that it refuses.
    """
    response, _, lines = exchange(content)
    encoded = base64.b64encode(KEY.encode()).decode().rstrip('=')
    for text in (response.decode('latin-1'), *lines):
        assert KEY not in text
        assert encoded not in text
        assert KEY.encode().hex() not in text


@pytest.mark.parametrize(
    'target, expected',
    [
        ('/read/a%20b?q=%2F', '/read/a%20b?q=%2F'),
        ('http://x.example/read/1?a=b', '/read/1?a=b'),
        ('http://x.example', '/'),
    ],
)
def test_target_is_taken_in_both_forms(target, expected):
    """Request targets in absolute form must be accepted as well."""
    content = f'GET {target} HTTP/1.1\r\nHost: x.example\r\n'
    content = content.encode() + b'Connection: close\r\n\r\n'
    response, targets, _ = exchange(content)
    assert response.startswith(b'HTTP/1.1 200')
    assert targets == [expected]
