"""Tests of links over real sockets on loopback."""

import asyncio
import contextlib

import attrs
import pytest
from returns import result

import cactusloft_link as link_lib
from cactusloft_link import _listener
from cactusloft_link import _node
from cactusloft_model import clock

FAR = 10.0
# A request of class 1 whose body shall have 5 bytes, up to the body.
HEADER = bytes((1, 1, 0, 1)) + bytes(31) + b'\x05'
HEADER_BYTES = 36
# Another version, an unknown class, and bodies that are missing, short, no
# MessagePack, or of another class.
MALFORMED = (
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
class Ask:
    """A request or stream message of the tests."""

    text: str


@contextlib.contextmanager
def make_nodes(tmp_path, *, is_allowed=True):
    """Yield a listening node, a connecting node and the address."""
    pairs = [link_lib.make_key_pair() for _ in range(2)]
    path = tmp_path / 'keys'
    path.write_bytes(pairs[1].public if is_allowed else b'')
    nodes = [
        link_lib.LinkNode(
            link_lib.Codec({1: Ask}),
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


def run(tmp_path, scenario, **options):
    """Run a scenario(server, client, link, address) on new nodes."""

    async def body():
        with make_nodes(tmp_path, **options) as (server, client, address):
            link = client.connect(address)
            await link.wait_until_up(FAR if options == {} else 0.5)
            return await scenario(server, client, link, address)

    return asyncio.run(body())


def test_request_is_answered(tmp_path):
    """A reply must reach the request that asked, also when crossed."""

    async def scenario(server, client, link, address):
        async def answer(message, age_s):
            # The first request is answered last.
            await asyncio.sleep(0.05 if message.text == 'a' else 0)
            return Ask(message.text * 2)

        server.handle_requests(Ask, answer)
        replies = await asyncio.gather(
            link.request(Ask('a'), FAR), link.request(Ask('b'), FAR)
        )
        return [reply.unwrap().text for reply in replies]

    assert run(tmp_path, scenario) == ['aa', 'bb']


def test_unknown_key_is_refused(tmp_path):
    """A process without an allowed key must not reach a daemon."""

    async def scenario(server, client, link, address):
        return link.is_up, await link.request(Ask('a'), 0.2)

    is_up, reply = run(tmp_path, scenario, is_allowed=False)
    assert not is_up
    assert reply.failure().failure is link_lib.LinkFailure.LOST


def test_slow_stream_does_not_block_others(tmp_path):
    """A reader that takes nothing must hold up its own stream only."""

    async def scenario(server, client, link, address):
        sent = {'slow': 0}

        async def serve(stream, frame):
            if frame.message.text == 'slow':
                for _ in range(100):
                    await stream.send(Ask('x'), bytes(64 * 1024))
                    sent['slow'] += 1
            else:
                await stream.send(Ask('done'))

        server.handle_streams(Ask, serve)
        slow = link.open_stream(Ask('slow'))
        quick = link.open_stream(Ask('quick'))
        frame = await quick.receive()
        await asyncio.sleep(0.1)
        held = sent['slow']
        total = 0
        for _ in range(100):
            total += len((await slow.receive()).payload)
        return frame.message.text, held, total

    text, held, total = run(tmp_path, scenario)
    assert text == 'done'
    assert held < 10
    assert total == 100 * 64 * 1024


def test_abandoned_stream_cancels_the_handler(tmp_path):
    """Work for a caller that is gone must stop."""

    async def scenario(server, client, link, address):
        cancelled = asyncio.Event()

        async def serve(stream, frame):
            try:
                await asyncio.sleep(FAR)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server.handle_streams(Ask, serve)
        stream = link.open_stream(Ask('x'))
        await asyncio.sleep(0.05)
        stream.close()
        await asyncio.wait_for(cancelled.wait(), FAR)
        return True

    assert run(tmp_path, scenario)


def test_peer_that_vanishes_ends_its_streams(tmp_path, monkeypatch):
    """A slot would stay taken, and the shutdown would wait, without end."""
    monkeypatch.setattr(_listener, 'CONNECTION_SILENCE_S', 0.2)

    async def scenario(server, client, link, address):
        ended = asyncio.Event()

        async def serve(stream, frame):
            try:
                await stream.wait_closed()
            finally:
                ended.set()

        server.handle_streams(Ask, serve)
        link.open_stream(Ask('x'))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.wait_for(ended.wait(), FAR)
        return True

    assert run(tmp_path, scenario)


def test_lost_peer_ends_requests_and_streams(tmp_path):
    """A request to a process that died must not wait for its timeout."""

    async def scenario(server, client, link, address):
        async def wait(message, age_s):
            await asyncio.sleep(FAR)

        async def serve(stream, frame):
            await asyncio.sleep(FAR)

        server.handle_requests(Ask, wait)
        server.handle_streams(Ask, serve)
        stream = link.open_stream(Ask('x'))
        pending = asyncio.create_task(link.request(Ask('a'), FAR))
        await asyncio.sleep(0.05)
        server.close()
        reply = await asyncio.wait_for(pending, FAR / 2)
        with pytest.raises(link_lib.StreamLostError):
            await stream.receive()
        return reply

    reply = run(tmp_path, scenario)
    assert reply.failure().failure is link_lib.LinkFailure.LOST


def test_failing_handler_refuses(tmp_path):
    """A fault in a handler must give an error and keep the link."""

    async def scenario(server, client, link, address):
        async def fail(message, age_s):
            raise KeyError('x')

        server.handle_requests(Ask, fail)
        first = await link.request(Ask('a'), FAR)
        return first, link.is_up

    reply, is_up = run(tmp_path, scenario)
    assert reply.failure().failure is link_lib.LinkFailure.REFUSED
    assert is_up


def test_malformed_frames_are_dropped(tmp_path):
    """Bytes of another protocol must not stop a daemon."""

    async def scenario(server, client, link, address):
        async def answer(message, age_s):
            return message

        server.handle_requests(Ask, answer)
        for content in MALFORMED:
            link._socket.send(content)
        return await link.request(Ask('a'), FAR)

    assert run(tmp_path, scenario).unwrap().text == 'a'


def test_cancellation_is_not_lost_to_a_reply(tmp_path):
    """A task that is cancelled as its reply comes must not go on."""

    async def scenario(server, client, link, address):
        task = asyncio.create_task(link.request(Ask('a'), FAR))
        await asyncio.sleep(0)
        [waiter] = link._requests.values()
        waiter.set_result(result.Success(Ask('b')))
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return True

    assert run(tmp_path, scenario)


def test_connection_is_noticed_without_pings(tmp_path, monkeypatch):
    """A first call must not wait for the next ping, nor a lost one."""
    monkeypatch.setattr(_node, 'PING_INTERVAL_S', 1000.0)

    async def scenario(server, client, link, address):
        async def wait(message, age_s):
            await asyncio.sleep(FAR)

        server.handle_requests(Ask, wait)
        pending = asyncio.create_task(link.request(Ask('a'), 1000.0))
        await asyncio.sleep(0.05)
        was_up = link.is_up
        server.close()
        return was_up, await asyncio.wait_for(pending, FAR)

    was_up, reply = run(tmp_path, scenario)
    assert was_up
    assert reply.failure().failure is link_lib.LinkFailure.LOST
