"""Tests of what a client may make a connection hold, and of how it ends."""

import asyncio
import contextlib
import socket
import struct

import pytest

from cactusloftd.resident import _http_messages

from .test_http_listener import exchange
from .test_http_listener import GET
from .test_http_listener import Handler
from .test_http_listener import open_listener

CHUNKED = (
    b'POST /%s HTTP/1.1\r\nHost: x.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
)
EXPECTING = (
    b'POST /%s HTTP/1.%d\r\nHost: x.example\r\nContent-Length: 2\r\n'
    b'Expect: 100-continue\r\n\r\n'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LEAVE_S = 0.5


def make_handler(body):
    """Return a handler that responds with a body at once."""
    return Handler(_http_messages.HttpResponse(200, (), body))


def test_client_that_reads_no_response_gets_no_further_ones():
    """Its responses would otherwise fill the memory of the process."""
    handler = make_handler(b'x' * 60_000)

    async def run():
        listener, _, reader, writer = await open_listener(handler)
        reader._transport.pause_reading()
        held = 0
        for _ in range(60):
            writer.write(GET % b'a' * 20)
            await asyncio.sleep(0.01)
            (connection,) = listener._connections
            held = max(held, connection._transport.get_write_buffer_size())
        handled = len(handler.requests)
        reader._transport.resume_reading()
        received = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                while chunk := await reader.read(1 << 20):
                    received += chunk.count(b'HTTP/1.1 200')
        writer.close()
        await listener.close()
        return held, handled, received

    held, handled, received = asyncio.run(run())
    assert held < 500_000
    assert handled < 1200
    # The others are handled once the client reads again.
    assert len(handler.requests) == 1200


def test_client_that_never_reads_is_closed_in_the_end():
    """Its response would keep a descriptor for ever."""

    async def run():
        handler = make_handler(b'x' * 60_000)
        listener, _, reader, writer = await open_listener(handler)
        reader._transport.pause_reading()
        writer.write(GET % b'a' * 300)
        await asyncio.sleep(0.2)
        (connection,) = listener._connections
        connection.expire(asyncio.get_running_loop().time() + 100.0)
        await asyncio.sleep(0.05)
        left = len(listener._connections)
        writer.transport.abort()
        await listener.close()
        return left

    assert asyncio.run(run()) == 0


@pytest.mark.parametrize(
    'requests, is_aborted', [(40_000, True), (6000, False)]
)
def test_client_that_leaves_while_reading_is_paused_is_noticed(
    requests, is_aborted
):
    """The work for it has to end within half a second.

    An orderly close that waits behind more bytes than the sockets buffer
    cannot be seen, so the second client sends fewer.
    """
    handler = Handler(delay_s=5)

    async def run():
        listener, _, _, writer = await open_listener(handler)
        writer.write(GET % b'one' * requests)
        await asyncio.sleep(0.1)
        if is_aborted:
            # Closing resets the connection.
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.transport.abort()
        await asyncio.sleep(LEAVE_S)
        cancelled = handler.cancelled
        await listener.close()
        return cancelled

    assert asyncio.run(run()) == 4


@pytest.mark.parametrize(
    'follower', [b'\x00nonsense\r\n\r\n', b'GET / HTTP/9.9\r\n\r\n']
)
def test_malformed_input_behind_a_chunked_body_keeps_its_response(follower):
    """The request before it is whole; its client would not send it again."""
    received, handler, _ = exchange(
        CHUNKED % b'one' + follower, Handler(delay_s=0.02)
    )
    assert received.startswith(b'HTTP/1.1 200 OK')
    assert received.endswith(b'/one')
    assert len(handler.requests) == 1


def test_continue_is_not_sent_into_an_earlier_response():
    """It would become part of the body, or count for another request."""
    received, handler, _ = exchange(
        GET % b'one' + EXPECTING % (b'two', 1) + b'ok', Handler(delay_s=0.02)
    )
    assert received.startswith(b'HTTP/1.1 200 OK')
    assert [r.path for r in handler.requests] == ['/one', '/two']


def test_client_behind_an_earlier_response_gets_its_continue():
    """It waits for it before it sends its body."""

    async def run():
        handler = Handler(delay_s=0.02)
        listener, _, reader, writer = await open_listener(handler)
        writer.write(GET % b'one' + EXPECTING % (b'two', 1))
        received = await reader.readuntil(b'/one')
        received = await reader.readuntil(CONTINUE)
        writer.write(b'ok')
        await reader.readuntil(b'/two')
        writer.close()
        await listener.close()
        return received

    assert asyncio.run(run()) == CONTINUE


def test_client_of_an_old_version_gets_no_continue():
    """HTTP/1.0 has no interim responses."""
    received, _, _ = exchange(EXPECTING % (b'one', 0) + b'ok')
    assert received.startswith(b'HTTP/1.1 200 OK')


def test_response_before_refused_bytes_is_not_lost():
    """A close with unread bytes would reset the connection."""
    body = b'x' * 50_000

    async def run():
        handler = Handler(
            _http_messages.HttpResponse(200, (), body), delay_s=0.05
        )
        listener, _, reader, writer = await open_listener(handler)
        writer.write(GET % b'one' + b'\x00nonsense\r\n\r\n')
        await asyncio.sleep(0.02)
        for _ in range(10):
            writer.write(b'y' * 20_000)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        received = await reader.read()
        writer.close()
        await listener.close()
        return received

    assert asyncio.run(run()).endswith(body)


def test_last_response_is_not_lost_with_many_requests_behind_it():
    """Reading is paused by then, so unread bytes wait in the socket."""

    async def run():
        handler = Handler(
            _http_messages.HttpResponse(200, (), b'bye', is_last=True),
            delay_s=0.1,
        )
        listener, _, reader, writer = await open_listener(handler)
        writer.write(GET % b'one' * 20_000)
        await asyncio.sleep(0.3)
        received = await reader.read()
        writer.close()
        await listener.close()
        return received

    assert asyncio.run(run()).count(b'bye') == 4
