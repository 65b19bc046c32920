"""Tests of frames that arrive after their exchange has ended."""

import asyncio

import attrs
import pytest

import cactusloft_link as link_lib
from cactusloft_link import _codec

TEST_TIMEOUT_S = 10.0
_DATA = _codec.FrameType.STREAM_DATA
_RESET = _codec.FrameType.STREAM_RESET


@attrs.frozen
class Message:
    """A request, a reply or a message of a stream."""

    text: str


def run_scenario(scenario):
    """Run coroutine function scenario(server, link) on an unencrypted link."""

    async def run():
        server, client = (
            link_lib.LinkNode(link_lib.Codec({1: Message}), None, None, None)
            for _ in range(2)
        )
        port = server.listen('127.0.0.1:0')
        link = client.connect(link_lib.PeerAddress(f'127.0.0.1:{port}', ''))
        try:
            assert await link.wait_until_up(TEST_TIMEOUT_S)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await scenario(server, link)
        finally:
            client.close()
            server.close()

    return asyncio.run(run())


@pytest.mark.parametrize('late_type', [_DATA, _RESET])
def test_late_frame_of_an_ended_stream_reaches_the_next_one(late_type):
    """A call would get the response to the call before it."""

    async def scenario(server, link):
        served = []

        async def serve(stream, frame):
            served.append(stream)
            if len(served) == 2:
                served[0]._send_frame(late_type, 1, Message('first'), b'')
                await stream.send(Message('second'))
            await stream.wait_closed()

        server.handle_streams(Message, serve)
        first = link.open_stream(Message('x'))
        while not served:
            await asyncio.sleep(0.001)
        first.close()
        second = link.open_stream(Message('y'))
        return (await second.receive()).message.text

    assert run_scenario(scenario) == 'second'


def test_late_frame_of_a_caller_reaches_its_next_stream():
    """An owner would take a part of one call for a part of another."""

    async def scenario(server, link):
        received = []
        has_ended = asyncio.Event()

        async def serve(stream, frame):
            try:
                received.append((await stream.receive()).message.text)
            finally:
                has_ended.set()

        server.handle_streams(Message, serve)
        first = link.open_stream(Message('x'))
        first.close()
        await has_ended.wait()
        has_ended.clear()
        second = link.open_stream(Message('y'))
        link._send(_DATA, 1, Message('late'))
        await second.send(Message('second'))
        await has_ended.wait()
        return received

    assert run_scenario(scenario) == ['second']


def test_late_reply_answers_the_next_request():
    """A request that timed out may still get its reply."""

    async def scenario(server, link):
        release = asyncio.Event()

        async def handle(message, age_s):
            if message.text == 'slow':
                await release.wait()
            else:
                release.set()
                await asyncio.sleep(0.05)
            return message

        server.handle_requests(Message, handle)
        slow = await link.request(Message('slow'), 0.05)
        next_reply = await link.request(Message('next'), TEST_TIMEOUT_S)
        return slow.failure().failure, next_reply.unwrap().text

    assert run_scenario(scenario) == (link_lib.LinkFailure.TIMEOUT, 'next')
