"""Tests of responses that end early or that no request asked for."""

import asyncio
import socket
import struct

import pytest

from cactusloftd.resident import _exchange
from cactusloftd.resident import protocol

from . import servers

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 10
HEAD = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n'
CHUNKS = b'6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n'
# Each with its body; one without a length ends with its connection.
RESPONSES = {
    'length': HEAD + b'Content-Length: 12\r\n\r\nwhole answer',
    'chunked': HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS,
    'chunked in capitals': HEAD
    + b'Transfer-Encoding: Chunked\r\n\r\n'
    + CHUNKS,
    'two codings': HEAD
    + b'Transfer-Encoding: identity\r\nTransfer-Encoding: CHUNKED\r\n\r\n'
    + CHUNKS,
    'no length': HEAD + b'Connection: close\r\n\r\nwhole answer',
    'after an interim response': b'HTTP/1.1 102 Processing\r\n\r\n'
    + HEAD
    + b'Content-Length: 12\r\n\r\nwhole answer',
    'after a foreign response': b'HTTP/1.1 200 OK\r\nX-Id: b2\r\n'
    b'Content-Length: 5\r\n\r\nother'
    + HEAD
    + b'Content-Length: 12\r\n\r\nwhole answer',
}


def read_metadata(status, headers):
    """Return the metadata of a response."""
    return protocol.ResponseMetadata(
        headers.get('x-id', ''), status == 503, False, None, None
    )


async def receive(content, is_reset):
    """Return the body that a client takes for whole, None if it takes none.

    :param content: what the server sends before it closes.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(content)
        await writer.drain()
        if is_reset:
            # What has been sent arrives before the reset.
            await asyncio.sleep(0.05)
            # A linger time of 0 sends RST instead of FIN.
            linger = struct.pack('ii', 1, 0)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    server, port = await servers.start(serve)
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: _exchange.Connection(read_metadata, lambda c: None),
        '127.0.0.1',
        port,
    )
    connection.send('a1', 'GET', REQUEST)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            response = await connection.receive_whole()
            body = b''.join(
                [chunk async for chunk in connection.iterate_body()]
            )
            return body if response.is_complete else None
    except _exchange.ExchangeLostError:
        return None
    finally:
        connection.abort()
        server.close()


@pytest.mark.parametrize('is_reset', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('name', RESPONSES)
def test_response_that_was_cut_off_looks_whole(name, is_reset):
    """Clients must not get a success with an empty or short body."""
    content = RESPONSES[name]

    async def run():
        return await asyncio.gather(
            *(
                receive(content[:size], is_reset)
                for size in range(len(content))
            )
        )

    bodies = asyncio.run(run())
    if name == 'no length' and not is_reset:
        # Only the close of the connection tells where the body ends.
        bodies = bodies[: content.index(b'\r\n\r\n') + 4]
    assert set(bodies) == {None}


@pytest.mark.parametrize('name', RESPONSES)
def test_whole_response_is_taken_for_cut_off(name):
    """Each of the responses arrives if it is not cut."""
    assert asyncio.run(receive(RESPONSES[name], False)) == b'whole answer'
