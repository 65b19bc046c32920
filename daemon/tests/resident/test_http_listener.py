"""Tests of the HTTP listeners of a resident, at the level of bytes."""

import asyncio
import base64

import pytest

from cactusloft_admission import memory
from cactusloftd import _calls
from cactusloftd.resident import _clients
from cactusloftd.resident import _http_connection
from cactusloftd.resident import _http_listener
from cactusloftd.resident import _http_messages

KEY = 'clk_secret-of-a-caller'
AUTHORIZATION = f'Authorization: Bearer {KEY}\r\n'.encode()
GET = b'GET /%s HTTP/1.1\r\nHost: x.example\r\n\r\n'


class Log:
    """An event log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def record(self, event, **fields):
        self.lines.append(f'{event.name} {fields!r}')


class Handler:
    """Records requests; echoes the target unless given a response."""

    def __init__(self, http_response=None, delay_s=0.0):
        self.requests = []
        self.cancelled = 0
        self._http_response = http_response
        self._delay_s = delay_s

    async def __call__(self, request):
        self.requests.append(request)
        try:
            await asyncio.sleep(self._delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self._http_response is not None:
            return self._http_response
        return _http_messages.HttpResponse(200, (), request.target.encode())


async def open_listener(handler, clients=None):
    """Return a listener, its log, and an open connection."""
    log = Log()
    listener = _http_listener.HttpListener(handler, log, clients)
    await listener.start('127.0.0.1:0')
    reader, writer = await asyncio.open_connection('127.0.0.1', listener.port)
    return listener, log, reader, writer


def exchange(content, handler=None, parts=1, timeout_s=0.3):
    """Send bytes and read until the connection closes or a timeout.

    :param parts: number of writes.
    :returns: received bytes, handler and log lines.
    """
    handler = handler or Handler()

    async def run():
        listener, log, reader, writer = await open_listener(handler)
        size = -(-len(content) // parts)
        for start in range(0, len(content), size):
            writer.write(content[start : start + size])
            await asyncio.sleep(0.002)
        received = b''
        try:
            async with asyncio.timeout(timeout_s):
                while chunk := await reader.read(1 << 16):
                    received += chunk
        except TimeoutError:
            pass
        writer.close()
        await listener.close()
        return received, log.lines

    received, lines = asyncio.run(run())
    return received, handler, lines


@pytest.mark.parametrize('parts', [1, 7, 60])
def test_requests_on_one_connection_are_handled_in_order(parts):
    """Requests may be pipelined and split at any byte."""
    content = GET % b'one' + GET % b'two?q=%2F'
    received, handler, _ = exchange(content, parts=parts)
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert received.index(b'/one') < received.index(b'/two?q=%2F')
    assert [r.path for r in handler.requests] == ['/one', '/two']


@pytest.mark.parametrize(
    'content',
    [
        b'POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello',
        b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n',
    ],
)
def test_request_body_is_read_whole(content):
    """Content-Length and chunked encoding must yield the same body."""
    _, handler, _ = exchange(content, parts=9)
    assert handler.requests[0].body == b'hello'


def test_client_that_expects_continue_gets_it():
    """Otherwise the client would wait forever before it sends its body."""
    content = (
        b'POST /x HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n'
        b'\r\nok'
    )
    received, handler, _ = exchange(content)
    assert received.startswith(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200')
    assert handler.requests[0].body == b'ok'


@pytest.mark.parametrize(
    'content',
    [
        b'GET /read HTTP/1.1\nHost: x\n' + AUTHORIZATION + b'\r\n',
        b'GET /read HTTP/9.9\r\n' + AUTHORIZATION + b'\r\n',
        b'GET /read\r\n' + AUTHORIZATION + b'\r\n',
        AUTHORIZATION + b'\r\n\r\n',
        b'GET / HTTP/1.1\r\nBad Name: ' + KEY.encode() + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: ' + KEY.encode() + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'GET / HTTP/1.1\r\nX: ' + b'y' * 200_000 + KEY.encode() + b'\r\n\r\n',
    ],
)
def test_malformed_request_is_refused_without_leaking_the_key(content):
    """It must not be handled, and no response or log line has the key."""
    received, handler, lines = exchange(content)
    encoded = base64.b64encode(KEY.encode()).decode().rstrip('=')
    for text in (received.decode('latin-1'), *lines):
        assert KEY not in text
        assert encoded not in text
    if handler.requests:
        # The parser accepts a bare line feed as the end of a line.
        assert handler.requests[0].headers.get('Authorization')
    else:
        assert received.startswith((b'HTTP/1.1 400', b'HTTP/1.1 431'))
        assert lines


def test_request_after_malformed_input_is_not_handled():
    """Malformed input must not be used to smuggle a request."""
    content = GET % b'one' + b'\x00\x01\x02\r\n\r\n' + GET % b'two'
    received, handler, _ = exchange(content)
    assert [r.path for r in handler.requests] == ['/one']
    assert received.count(b'HTTP/1.1 200') == 1


def test_closed_connection_cancels_its_request():
    """Work for a disconnected client is wasted."""
    handler = Handler(delay_s=5)

    async def run():
        listener, _, _, writer = await open_listener(handler)
        writer.write(GET % b'one')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        await listener.close()

    asyncio.run(run())
    assert handler.cancelled == 1


def make_response(chunks, length):
    """Return a response whose body arrives in chunks."""

    async def iterate():
        for chunk in chunks:
            yield chunk

    return _calls.Response(200, (), length, iterate(), _calls.close_nothing)


@pytest.mark.parametrize('length', [None, 200_000])
def test_large_response_is_streamed(length):
    """A large body must arrive whole, with or without Content-Length."""
    chunks = [b'x' * 50_000] * 4
    response = make_response(chunks, length)
    http_response = _http_messages.HttpResponse(
        200, (('X-A', 'b'),), response=response
    )
    received, _, _ = exchange(GET % b'one', Handler(http_response))
    assert b'X-A: b\r\n' in received
    assert received.count(b'x') >= 200_000
    assert received.endswith(b'0\r\n\r\n') == (length is None)


@pytest.mark.parametrize('length', [200_000, 40_000])
def test_truncated_response_does_not_look_complete(length):
    """The connection must be aborted, not closed in order."""
    response = make_response([b'x' * 1000], length)
    http_response = _http_messages.HttpResponse(200, (), response=response)

    async def run():
        listener, _, reader, writer = await open_listener(
            Handler(http_response)
        )
        writer.write(GET % b'one')
        try:
            async with asyncio.timeout(2):
                received = await reader.read()
        except ConnectionResetError:
            received = b''
        writer.close()
        await listener.close()
        return received

    assert asyncio.run(run()).count(b'x') < length


def test_last_response_closes_the_connection():
    """A host that shuts down must make its clients reconnect elsewhere.

    Requests that were already passed on are answered first; those that were
    not count as not read, and their clients send them again.
    """
    http_response = _http_messages.HttpResponse(200, (), b'bye', is_last=True)
    concurrent = _http_connection.MAX_CONCURRENT_REQUESTS
    received, handler, _ = exchange(
        b''.join(GET % b'%d' % i for i in range(concurrent + 2)),
        Handler(http_response, delay_s=0.02),
    )
    assert received.endswith(b'Connection: close\r\n\r\nbye')
    assert received.count(b'Connection: close') == 1
    assert received.count(b'bye') == len(handler.requests) == concurrent


def test_pipelined_requests_run_together_and_are_answered_in_order():
    """A slow response holds back later responses, but not their work."""
    started = []
    release = {}

    async def handle(request):
        started.append(request.target)
        release[request.target] = asyncio.Event()
        if len(started) == 3:
            # The responses become ready in the reverse order.
            for target in reversed(started):
                release[target].set()
                await asyncio.sleep(0.005)
        await release[request.target].wait()
        return _http_messages.HttpResponse(200, (), request.target.encode())

    received, _, _ = exchange(
        GET % b'one' + GET % b'two' + GET % b'three', handle
    )
    assert started == ['/one', '/two', '/three']
    places = [received.index(name) for name in (b'/one', b'/two', b'/three')]
    assert places == sorted(places)


def test_client_that_leaves_cancels_all_its_requests():
    """Pipelined requests of a client that left must free their servers."""
    handler = Handler(delay_s=10.0)

    async def run():
        listener, _, _, writer = await open_listener(handler)
        writer.write(GET % b'one' + GET % b'two')
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        await listener.close()

    asyncio.run(run())
    assert handler.cancelled == len(handler.requests) == 2


def test_response_that_waits_for_its_turn_keeps_a_slot():
    """The client leaves while the first of two responses is not ready."""
    closed = []

    async def handle(request):
        if request.target == '/one':
            await asyncio.sleep(10.0)
        return _http_messages.HttpResponse(
            200,
            (),
            response=_calls.Response(
                200,
                (),
                1,
                _calls.iterate_once(b'x'),
                lambda: close(request.target),
            ),
        )

    async def close(target):
        closed.append(target)

    async def run():
        listener, _, _, writer = await open_listener(handle)
        writer.write(GET % b'one' + GET % b'two' + GET % b'three')
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        await listener.close()

    asyncio.run(run())
    assert sorted(closed) == ['/three', '/two']


def test_malformed_input_behind_a_request_keeps_its_response():
    """Bytes that are no request must not cost the request before them."""
    received, handler, _ = exchange(
        GET % b'one' + b'\x00nonsense\r\n\r\n', Handler(delay_s=0.02)
    )
    assert received.startswith(b'HTTP/1.1 200 OK')
    assert received.endswith(b'/one')
    assert len(handler.requests) == 1


def test_exception_in_the_handler_closes_the_connection():
    """An exception must not leave the client waiting, nor log client data."""

    async def fail(request):
        raise ValueError(KEY)

    received, _, lines = exchange(GET % b'one', fail)
    assert received == b''
    assert any('INTERNAL_ERROR' in line for line in lines)
    assert KEY not in str(lines)


@pytest.mark.parametrize(
    'start, repeated',
    [
        (b'GET /one HTTP/1.1\r\n', b'X-Pad: padding\r\n'),
        (b'GET /one HTTP/1.1\r\nX-Pad: ', b'p'),
        (
            b'POST /one HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=',
            b'extension',
        ),
        (
            b'POST /one HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
            b'X-Pad: trailer\r\n',
        ),
    ],
    ids=['headers', 'header line', 'chunk extension', 'trailers'],
)
def test_request_without_an_end_is_refused(start, repeated):
    """A client must not fill the memory of a host with one request."""
    handler = Handler()

    async def run():
        listener, log, reader, writer = await open_listener(handler)
        piece = repeated * (65536 // len(repeated))
        writer.write(start)
        try:
            async with asyncio.timeout(5):
                while not reader.at_eof():
                    writer.write(piece)
                    await asyncio.sleep(0.005)
                    await writer.drain()
        except ConnectionError:
            # The listener closed the connection before it had read all.
            pass
        writer.close()
        await listener.close()
        return log.lines

    assert any('REQUEST_MALFORMED' in line for line in asyncio.run(run()))
    assert not handler.requests


def test_bodies_of_all_clients_have_one_limit():
    """Many half-read bodies together must stay within the host's memory.

    The refusal says that the request has not run, which is true: none of it
    was passed on.
    """
    limits = memory.ClientLimits(memory_bytes=100_000, connections=10)
    head = b'POST /%d HTTP/1.1\r\nContent-Length: 60000\r\n\r\n'
    handler = Handler()

    async def run():
        clients = _clients.make_clients(limits)
        listener, _, _, first = await open_listener(handler, clients)
        first.write(head % 1 + b'x' * 59_000)
        await asyncio.sleep(0.05)
        reader, second = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        second.write(head % 2 + b'x' * 59_000)
        refusal = await asyncio.wait_for(reader.readline(), 5)
        # Once the first body is handled, there is room again.
        first.write(b'x' * 1000)
        await asyncio.sleep(0.05)
        reader, third = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        third.write(head % 3 + b'x' * 60_000)
        status = await asyncio.wait_for(reader.readline(), 5)
        for writer in (first, second, third):
            writer.close()
        await listener.close()
        return refusal, status

    refusal, status = asyncio.run(run())
    assert refusal.startswith(b'HTTP/1.1 503')
    assert status.startswith(b'HTTP/1.1 200')
    assert [request.target for request in handler.requests] == ['/1', '/3']


def test_request_accepted_just_before_a_stop_is_answered():
    """A planned stop must not cut off what was accepted under load.

    A request that arrives between the last check for requests in progress and
    the close of the connections has already been passed on.
    """
    handler = Handler(delay_s=0.1)

    async def run():
        listener, _, reader, writer = await open_listener(handler)
        writer.write(GET % b'one')
        while not handler.requests:
            await asyncio.sleep(0.001)
        await listener.close()
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return received

    received = asyncio.run(run())
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'Connection: close\r\n\r\n/one')
    assert not handler.cancelled
