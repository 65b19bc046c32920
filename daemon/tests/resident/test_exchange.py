"""Tests of exchanges with the backend server, at the level of bytes."""

import asyncio
import socket
import struct

import pytest

from cactusloftd.resident import _exchange
from cactusloftd.resident import protocol

from . import servers

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'


def read_metadata(status, headers):
    """Return metadata as the adapter of a platform would."""
    return protocol.ResponseMetadata(
        attempt_id=headers.get('x-id', ''),
        is_not_run=False,
        is_other_instance=False,
        load=None,
        idle_s=None,
    )


def make_response(attempt_id, body=b'body', status=200):
    """Return the bytes of a response with a Content-Length."""
    return b'HTTP/1.1 %d OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        attempt_id.encode(),
        len(body),
        body,
    )


async def run_exchange(pieces, read, is_reset=False):
    """Serve ``pieces`` as the response; return the result of ``read``.

    :param read: coroutine function(connection).
    :param is_reset: whether the server resets the connection at the end.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        if is_reset:
            # A linger time of 0 sends RST instead of FIN.
            linger = struct.pack('ii', 1, 0)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()

    server, port = await servers.start(serve)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: _exchange.Connection(read_metadata, lambda c: None),
        '127.0.0.1',
        port,
    )
    connection.send('a1', 'GET', REQUEST)
    try:
        async with asyncio.timeout(5):
            return await read(connection)
    finally:
        connection.abort()
        server.close()


def receive(pieces, **options):
    """Return the whole response, or raise ``ExchangeLostError``."""
    return asyncio.run(
        run_exchange(pieces, lambda c: c.receive_whole(), **options)
    )


def test_response_is_read_whole():
    """The body of an ordinary response is complete."""
    response = receive([make_response('a1', b'whole')])
    assert response.is_complete
    assert bytes(response.body) == b'whole'


def test_response_to_an_earlier_request_is_skipped():
    """A delayed response must not be returned for the next request."""
    response = receive(
        [make_response('a0', b'old') + make_response('a1', b'new')]
    )
    assert bytes(response.body) == b'new'


def test_response_without_an_id_is_skipped():
    """A response that names no request must not reach a caller."""
    with pytest.raises(_exchange.ExchangeLostError):
        receive([b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'])


@pytest.mark.parametrize(
    'piece',
    [
        b'garbage that is no answer at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nshort\r\n',
        b'HTTP/1.1 200',
        b'',
    ],
)
def test_malformed_or_truncated_response_is_lost(piece):
    """Part of a response must not be treated as the whole."""
    with pytest.raises(_exchange.ExchangeLostError):
        receive([piece])


def test_response_without_length_ends_with_the_connection():
    """An orderly close completes a response without a length."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\n'
    response = receive([head, b'one ', b'two'])
    assert response.is_complete
    assert bytes(response.body) == b'one two'


def test_reset_does_not_complete_a_response_without_length():
    """A connection reset means that the rest of the body is missing."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\n'
    with pytest.raises(_exchange.ExchangeLostError):
        receive([head, b'one '], is_reset=True)


def test_second_response_closes_the_connection():
    """After two responses to one request, later ones may not match either."""

    async def read(connection):
        response = await connection.receive_whole()
        connection.finish(0.0)
        return response, connection.is_closed

    responses = make_response('a1', b'first') + make_response('a1', b'second')
    response, is_closed = asyncio.run(run_exchange([responses], read))
    assert bytes(response.body) == b'first'
    assert is_closed


def test_large_response_is_streamed():
    """A large body must not be buffered in memory as a whole."""
    size = 4 * _exchange.MAX_UNREAD_BYTES

    async def read(connection):
        response = await connection.receive_whole()
        assert not response.is_complete
        return [chunk async for chunk in connection.iterate_body()]

    chunks = asyncio.run(
        run_exchange([make_response('a1', b'x' * size)], read)
    )
    assert sum(map(len, chunks)) == size
    assert len(chunks) > 1


def make_endless(start, repeated):
    """Return the pieces of a response that goes on for 4 MB."""
    return [start, *([repeated * (65536 // len(repeated))] * 64)]


@pytest.mark.parametrize(
    'pieces',
    [
        make_endless(b'HTTP/1.1 200 OK\r\n', b'X-Pad: %s\r\n' % (b'p' * 500)),
        make_endless(b'HTTP/1.1 200 OK\r\nX-Pad: ', b'p'),
        make_endless(b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        make_endless(b'', make_response('b2', b'other')),
        make_endless(
            b'HTTP/1.1 200 OK\r\nX-Id: b2\r\nContent-Length: 9999999\r\n\r\n',
            b'other',
        ),
        make_endless(
            b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked'
            b'\r\n\r\n5;x=',
            b'extension',
        ),
        make_endless(
            b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked'
            b'\r\n\r\n0\r\n',
            b'X-Pad: trailer\r\n',
        ),
    ],
    ids=[
        'headers',
        'header line',
        'interim responses',
        'responses with another id',
        'body with another id',
        'chunk extension',
        'trailers',
    ],
)
def test_bytes_without_an_end_are_cut_off(pieces):
    """A faulty server must not fill the memory nor hold its slot.

    The exchange fails long before the 5 s after which the test gives up, and
    the connection is not used again.
    """

    async def read(connection):
        with pytest.raises(_exchange.ExchangeLostError):
            await connection.receive_whole()
        return connection.is_reusable

    assert asyncio.run(run_exchange(pieces, read)) is False


def test_large_body_is_not_cut_off():
    """The bounds must not end a long download in many small chunks."""
    chunk = b'8\r\n12345678\r\n'
    head = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'
    pieces = [head, *([chunk * 8192] * 16), b'0\r\n\r\n']

    async def read(connection):
        await connection.receive_head()
        return sum([len(part) async for part in connection.iterate_body()])

    assert asyncio.run(run_exchange(pieces, read)) == 8 * 8192 * 16
