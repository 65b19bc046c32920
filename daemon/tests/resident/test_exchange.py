"""Tests of exchanges with the backend server, byte by byte."""

import asyncio
import socket
import struct

import pytest

from cactusloftd.resident import _exchange
from cactusloftd.resident import protocol

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'


def read_metadata(status, headers):
    """Return facts as a platform's adapter would."""
    return protocol.ResponseMetadata(
        attempt_id=headers.get('x-id', ''),
        is_not_run=False,
        is_other_instance=False,
        load=None,
        idle_s=None,
    )


def make_answer(attempt_id, body=b'body', status=200):
    """Return the bytes of an answer with a length."""
    return b'HTTP/1.1 %d OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        attempt_id.encode(),
        len(body),
        body,
    )


async def run_exchange(pieces, read, is_reset=False):
    """Let a server answer with ``pieces`` and return what ``read`` does.

    :param read: coroutine function(connection).
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        if is_reset:
            # Sends a reset instead of an orderly end.
            linger = struct.pack('ii', 1, 0)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
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
    """Return the whole answer, or raise ``ExchangeLost``."""
    return asyncio.run(
        run_exchange(pieces, lambda c: c.receive_whole(), **options)
    )


def test_answer_is_read_whole():
    """The body of an ordinary answer comes complete."""
    answer = receive([make_answer('a1', b'whole')])
    assert answer.is_complete
    assert bytes(answer.body) == b'whole'


def test_late_answer_to_an_earlier_request_is_skipped():
    """An extra answer in front must not be taken for the answer."""
    answer = receive([make_answer('a0', b'old') + make_answer('a1', b'new')])
    assert bytes(answer.body) == b'new'


def test_answer_without_an_id_belongs_to_nobody():
    """Bytes that name no request must not reach a caller."""
    with pytest.raises(_exchange.ExchangeLost):
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
def test_answer_that_breaks_off_is_lost(piece):
    """A part of an answer must not pass for the whole."""
    with pytest.raises(_exchange.ExchangeLost):
        receive([piece])


def test_answer_without_length_ends_with_the_connection():
    """A close is the end of an answer that has no length."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\n'
    answer = receive([head, b'one ', b'two'])
    assert answer.is_complete
    assert bytes(answer.body) == b'one two'


def test_reset_is_no_end_of_an_answer_without_length():
    """An answer without a length that was reset is not complete."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\n'
    with pytest.raises(_exchange.ExchangeLost):
        receive([head, b'one '], is_reset=True)


def test_second_answer_ends_the_connection():
    """After two answers to one request nothing is sure on a connection."""

    async def read(connection):
        answer = await connection.receive_whole()
        connection.finish(0.0)
        return answer, connection.is_closed

    answers = make_answer('a1', b'first') + make_answer('a1', b'second')
    answer, is_closed = asyncio.run(run_exchange([answers], read))
    assert bytes(answer.body) == b'first'
    assert is_closed


def test_large_answer_is_passed_on_in_parts():
    """A download must not be held in memory as a whole."""
    size = 4 * _exchange.MOST_UNREAD_BYTES

    async def read(connection):
        answer = await connection.receive_whole()
        assert not answer.is_complete
        return [chunk async for chunk in connection.iterate_body()]

    chunks = asyncio.run(run_exchange([make_answer('a1', b'x' * size)], read))
    assert sum(map(len, chunks)) == size
    assert len(chunks) > 1
