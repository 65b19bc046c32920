"""Tests that no bytes of a client or backend server raise an unexpected error.

An error in a callback of the event loop would leave the connection open with a
request that is never answered.
"""

import asyncio

import hypothesis
from hypothesis import strategies

from cactusloftd.resident import _exchange
from cactusloftd.resident import _http_connection
from cactusloftd.resident import _http_listener

from . import test_delivery as delivery_tests
from . import test_http_listener as listener_tests

ATTEMPT_ID = 'a1'
REQUEST_PIECES = (
    b'GET /1 HTTP/1.1\r\n',
    b'POST /1 HTTP/1.1\r\n',
    b'CONNECT x:1 HTTP/1.1\r\n',
    b'GET http://x.example/1 HTTP/1.0\r\n',
    b'Expect: 100-continue\r\n',
    b'Upgrade: websocket\r\nConnection: upgrade\r\n',
)
RESPONSE_PIECES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n',
    b'HTTP/1.1 204 None\r\n',
    b'HTTP/1.0 503 S\r\n',
    b'X-Id: a1\r\n',
    b'X-Id: a2\r\n',
    b'Keep-Alive: timeout=1\r\n',
)
COMMON_PIECES = (
    b'\r\n',
    b'Content-Length: 0\r\n',
    b'Content-Length: 3\r\n',
    b'Content-Length: 99999999999999999999\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Connection: close\r\n',
    b'Connection: keep-alive\r\n',
    b'3\r\nabc\r\n',
    b'0\r\n\r\n',
    b'fffffffffffffffff\r\n',
    b'abc',
    b'X: \xff\x00\r\n',
    b': \r\n',
)


def draw_bytes(pieces):
    """Return a strategy of lists of bytes that a peer may send one by one."""
    piece = strategies.sampled_from(pieces + COMMON_PIECES)
    return strategies.lists(piece | strategies.binary(max_size=8))


class Transport:
    """A transport that keeps what is written."""

    def __init__(self):
        self.written = b''
        self.is_open = True

    def write(self, data):
        """Keep bytes."""
        self.written += data

    def close(self):
        """Close; nothing is in transit."""
        self.is_open = False

    abort = close

    def is_closing(self):
        """Tell whether it was closed."""
        return not self.is_open

    def get_write_buffer_size(self):
        """Return that all bytes were sent."""
        return 0

    def pause_reading(self):
        """Do nothing; the test goes on sending."""

    resume_reading = pause_reading

    def write_eof(self):
        """Do nothing; the test goes on sending."""

    def set_write_buffer_limits(self, high):
        """Do nothing; nothing is buffered."""


async def send_to_listener(parts):
    """Send bytes as a client; return transport, handler and log lines."""
    handler, log = listener_tests.Handler(), listener_tests.Log()
    listener = _http_listener.HttpListener(handler, log)
    connection = _http_connection.Connection(listener)
    transport = Transport()
    connection.connection_made(transport)
    for part in parts:
        if transport.is_open:
            connection.data_received(part)
            await asyncio.sleep(0)
    # Requests in progress end, their responses in the order of the requests.
    for _ in range(10):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return transport, handler, log.lines


@hypothesis.given(draw_bytes(REQUEST_PIECES))
def test_bytes_of_a_client_raise_an_unexpected_error(parts):
    """Each request that is read gets one response, others at most one."""
    transport, handler, lines = asyncio.run(send_to_listener(parts))
    assert not [line for line in lines if line.startswith('INTERNAL_ERROR')]
    final = transport.written.replace(_http_connection.CONTINUE_RESPONSE, b'')
    responses = final.count(b'HTTP/1.1 ')
    assert len(handler.requests) <= responses <= len(handler.requests) + 1


async def receive_from_backend_server(parts, is_reset):
    """Send bytes as a backend server; return the response, None if lost."""
    connection = _exchange.Connection(
        delivery_tests.Protocol().read_metadata, lambda lost: None
    )
    transport = Transport()
    connection.connection_made(transport)
    connection.send(ATTEMPT_ID, 'GET', b'GET /1 HTTP/1.1\r\n\r\n')
    waiting = asyncio.ensure_future(connection.receive_whole())
    for part in parts:
        await asyncio.sleep(0)
        if transport.is_open:
            connection.data_received(part)
    if not is_reset:
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if is_reset else None)
    try:
        response = await waiting
    except _exchange.ExchangeLostError:
        response = None
    connection.finish(0.0)
    assert connection.is_closed
    return response


@hypothesis.given(draw_bytes(RESPONSE_PIECES), strategies.booleans())
@hypothesis.example([b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n', b'\r\n'], True)
def test_bytes_of_a_backend_server_raise_an_unexpected_error(parts, is_reset):
    """A response is whole, has the id of the request, or counts as lost."""
    response = asyncio.run(receive_from_backend_server(parts, is_reset))
    if response is not None:
        assert response.metadata.attempt_id == ATTEMPT_ID
        assert response.is_complete
        assert response.length in (None, len(response.body))
