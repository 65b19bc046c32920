"""Tests of bodies that are not finished when their request has to end."""

import asyncio
import itertools

import pytest
from returns import result

from cactusloftd import _calls
from cactusloftd.resident import _http_listener
from cactusloftd.resident import _http_messages

from . import entry_stubs as stubs

GET = b'GET /read/1 HTTP/1.1\r\nHost: one.example\r\n\r\n'
# Much more than the deadline of the call, which is 0.3 s.
TIMEOUT_S = 10


async def _write_without_end():
    for _ in itertools.count():
        yield b'x' * 10_000
        await asyncio.sleep(0.001)


async def _stall():
    yield b'x' * 10_000
    await asyncio.Event().wait()


@pytest.mark.parametrize('reads', [True, False], ids=['reads', 'reads not'])
@pytest.mark.parametrize('make_chunks', [_write_without_end, _stall])
def test_unfinished_body_keeps_its_slot(make_chunks, reads):
    """Neither the body nor a client that does not read may hold it longer."""

    async def run():
        closed = asyncio.Event()

        async def close():
            closed.set()

        response = _calls.Response(200, (), None, make_chunks(), close)
        members = stubs.make_members(result.Success(response))
        entry = stubs.make_entry(*members)

        async def handle(_request):
            outcome = await entry.serve(stubs.make_request(), 'track')
            return _http_messages.HttpResponse(200, response=outcome.unwrap())

        listener = _http_listener.HttpListener(handle, stubs.Log())
        await listener.start('127.0.0.1:0')
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        writer.write(GET)
        received = b''
        try:
            async with asyncio.timeout(TIMEOUT_S):
                if reads:
                    while chunk := await reader.read(1 << 16):
                        received = received[-16:] + chunk
                await closed.wait()
        except ConnectionResetError:
            await asyncio.wait_for(closed.wait(), TIMEOUT_S)
        finally:
            writer.close()
            await listener.close()
        return received

    # A body that is cut must not look complete.
    assert not asyncio.run(run()).endswith(b'0\r\n\r\n')
