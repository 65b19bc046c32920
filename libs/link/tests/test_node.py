"""Tests of links over loopback sockets."""

import asyncio
import contextlib

import attrs
import pytest
from returns import result

import cactusloft_link as link_lib
from cactusloft_link import _listener
from cactusloft_link import _node
from cactusloft_model import clock

TEST_TIMEOUT_S = 10.0
# Header of a request with message number 1 and a body length of 5 bytes.
HEADER = bytes((1, 1, 0, 1)) + bytes(31) + b'\x05'
HEADER_BYTES = 36
# A short header, a wrong version, an unknown message number, a missing body, a
# short body, a body that is not MessagePack, a body that does not match the
# class, and a message of several parts.
MALFORMED_FRAMES = (
    [b'x'],
    [b'\xff' * HEADER_BYTES],
    [b'\x01' * HEADER_BYTES],
    [HEADER],
    [HEADER + b'abc'],
    [HEADER + b'\xc1\xc1\xc1\xc1\xc1'],
    [HEADER + b'\x94\x01\x01\x01\x01'],
    [HEADER, b'', b''],
)


@attrs.frozen
class Message:
    """A request, a reply or a message of a stream."""

    text: str


@contextlib.contextmanager
def make_nodes(tmp_path, *, is_allowed=True):
    """Yield a listening node, a connecting node and the listener's address."""
    pairs = [link_lib.make_key_pair() for _ in range(2)]
    path = tmp_path / 'keys'
    path.write_bytes(pairs[1].public if is_allowed else b'')
    nodes = [
        link_lib.LinkNode(
            link_lib.Codec({1: Message}),
            pair,
            link_lib.AllowedKeys(path),
            clock.HybridClock(lambda: 0),
        )
        for pair in pairs
    ]
    port = nodes[0].listen('127.0.0.1:0')
    address = link_lib.PeerAddress(
        f'127.0.0.1:{port}', pairs[0].public.decode()
    )
    try:
        yield nodes[0], nodes[1], address
    finally:
        for node in nodes:
            node.close()


def run_scenario(tmp_path, scenario, **options):
    """Run coroutine function scenario(server, client, link, address)."""

    async def run():
        with make_nodes(tmp_path, **options) as (server, client, address):
            link = client.connect(address)
            await link.wait_until_up(TEST_TIMEOUT_S if options == {} else 0.5)
            return await scenario(server, client, link, address)

    return asyncio.run(run())


def test_replies_match_their_requests(tmp_path):
    """Replies must match their requests when they arrive out of order."""

    async def scenario(server, client, link, address):
        async def handle(message, age_s):
            # The first request gets the last reply.
            await asyncio.sleep(0.05 if message.text == 'a' else 0)
            return Message(message.text * 2)

        server.handle_requests(Message, handle)
        replies = await asyncio.gather(
            link.request(Message('a'), TEST_TIMEOUT_S),
            link.request(Message('b'), TEST_TIMEOUT_S),
        )
        return [reply.unwrap().text for reply in replies]

    assert run_scenario(tmp_path, scenario) == ['aa', 'bb']


def test_unknown_key_is_refused(tmp_path):
    """A process without an allowed key must not connect to a daemon."""

    async def scenario(server, client, link, address):
        return link.is_up, await link.request(Message('a'), 0.2)

    is_up, reply = run_scenario(tmp_path, scenario, is_allowed=False)
    assert not is_up
    assert reply.failure().failure is link_lib.LinkFailure.LOST


def test_slow_stream_does_not_block_others(tmp_path):
    """A reader that receives nothing must block only its own stream."""

    async def scenario(server, client, link, address):
        sent = {'slow': 0}

        async def serve(stream, frame):
            if frame.message.text == 'slow':
                for _ in range(100):
                    await stream.send(Message('x'), bytes(64 * 1024))
                    sent['slow'] += 1
            else:
                await stream.send(Message('done'))

        server.handle_streams(Message, serve)
        slow = link.open_stream(Message('slow'))
        fast = link.open_stream(Message('fast'))
        frame = await fast.receive()
        await asyncio.sleep(0.1)
        sent_unread = sent['slow']
        total = 0
        for _ in range(100):
            total += len((await slow.receive()).payload)
        return frame.message.text, sent_unread, total

    text, sent_unread, total = run_scenario(tmp_path, scenario)
    assert text == 'done'
    assert sent_unread < 10
    assert total == 100 * 64 * 1024


def test_closed_stream_cancels_its_handler(tmp_path):
    """A handler must not go on after the peer has closed the stream."""

    async def scenario(server, client, link, address):
        cancelled = asyncio.Event()

        async def serve(stream, frame):
            try:
                await asyncio.sleep(TEST_TIMEOUT_S)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server.handle_streams(Message, serve)
        stream = link.open_stream(Message('x'))
        await asyncio.sleep(0.05)
        stream.close()
        await asyncio.wait_for(cancelled.wait(), TEST_TIMEOUT_S)
        return True

    assert run_scenario(tmp_path, scenario)


def test_streams_of_a_vanished_peer_end(tmp_path, monkeypatch):
    """A stream that never ends would occupy a slot and block the shutdown.

    A closed node sends no reset, so only the timeout ends its streams.
    """
    monkeypatch.setattr(_listener, 'BUSY_CONNECTION_TIMEOUT_S', 0.2)

    async def scenario(server, client, link, address):
        ended = asyncio.Event()

        async def serve(stream, frame):
            try:
                await stream.wait_closed()
            finally:
                ended.set()

        server.handle_streams(Message, serve)
        link.open_stream(Message('x'))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.wait_for(ended.wait(), TEST_TIMEOUT_S)
        return True

    assert run_scenario(tmp_path, scenario)


def test_requests_and_streams_fail_with_their_connection(tmp_path):
    """A request to a process that exits must fail before its timeout."""

    async def scenario(server, client, link, address):
        async def handle(message, age_s):
            await asyncio.sleep(TEST_TIMEOUT_S)

        async def serve(stream, frame):
            await asyncio.sleep(TEST_TIMEOUT_S)

        server.handle_requests(Message, handle)
        server.handle_streams(Message, serve)
        stream = link.open_stream(Message('x'))
        pending = asyncio.create_task(
            link.request(Message('a'), TEST_TIMEOUT_S)
        )
        await asyncio.sleep(0.05)
        server.close()
        reply = await asyncio.wait_for(pending, TEST_TIMEOUT_S / 2)
        with pytest.raises(link_lib.StreamLostError):
            await stream.receive()
        return reply

    reply = run_scenario(tmp_path, scenario)
    assert reply.failure().failure is link_lib.LinkFailure.LOST


def test_exception_in_handler_is_reported(tmp_path):
    """An exception in a handler must fail the request but keep the link."""

    async def scenario(server, client, link, address):
        async def handle(message, age_s):
            raise KeyError('x')

        server.handle_requests(Message, handle)
        reply = await link.request(Message('a'), TEST_TIMEOUT_S)
        return reply, link.is_up

    reply, is_up = run_scenario(tmp_path, scenario)
    assert reply.failure().failure is link_lib.LinkFailure.REFUSED
    assert is_up


def test_malformed_frames_are_ignored(tmp_path):
    """Malformed frames must not stop a daemon or break the connection."""

    async def scenario(server, client, link, address):
        async def handle(message, age_s):
            return message

        server.handle_requests(Message, handle)
        for parts in MALFORMED_FRAMES:
            link._socket.send(parts)
        return await link.request(Message('a'), TEST_TIMEOUT_S)

    assert run_scenario(tmp_path, scenario).unwrap().text == 'a'


def test_cancellation_is_not_swallowed_by_a_reply(tmp_path):
    """A task that is cancelled just as its reply arrives must stop.

    asyncio.wait_for() of Python 3.11 returns the reply instead.
    """

    async def scenario(server, client, link, address):
        task = asyncio.create_task(link.request(Message('a'), TEST_TIMEOUT_S))
        await asyncio.sleep(0)
        [waiter] = link._requests.values()
        waiter.set_result(result.Success(Message('b')))
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return True

    assert run_scenario(tmp_path, scenario)


def test_connection_state_is_detected_without_pings(tmp_path, monkeypatch):
    """Connecting and disconnecting must not be detected only by pings.

    Otherwise a first call, and one whose connection broke, would wait for the
    next ping.
    """
    monkeypatch.setattr(_node, 'PING_INTERVAL_S', 1000.0)

    async def scenario(server, client, link, address):
        async def handle(message, age_s):
            await asyncio.sleep(TEST_TIMEOUT_S)

        server.handle_requests(Message, handle)
        pending = asyncio.create_task(link.request(Message('a'), 1000.0))
        await asyncio.sleep(0.05)
        was_up = link.is_up
        server.close()
        return was_up, await asyncio.wait_for(pending, TEST_TIMEOUT_S)

    was_up, reply = run_scenario(tmp_path, scenario)
    assert was_up
    assert reply.failure().failure is link_lib.LinkFailure.LOST
