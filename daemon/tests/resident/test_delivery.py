"""Tests of the connections to a backend server."""

import asyncio

import attrs
import pytest
from returns import result

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd.resident import _delivery
from cactusloftd.resident import protocol

from . import servers

DEADLINE_S = 5.0


class Protocol:
    """HTTP to a backend server that marks what it did not run."""

    def write_head(self, call, instance, remaining_ms):
        """Return the head of a request."""
        return (
            f'GET / HTTP/1.1\r\nX-Id: {call.context.call_id}\r\n\r\n'.encode()
        )

    def read_metadata(self, status, headers):
        """Return the metadata of a response."""
        return protocol.ResponseMetadata(
            attempt_id=headers.get('x-id', ''),
            is_not_run=status == 503,
            is_other_instance=False,
            load=None,
            idle_s=None,
        )


def make_call(now, call_id):
    """Return a call that may run once."""
    context = calls.CallContext(
        call_id=call_id,
        root_call_id=call_id,
        parent_call_id='',
        root_entry='here',
        client_account='estates',
        service='stock',
        priority=calls.Priority.NORMAL,
        deadline=now + DEADLINE_S,
        depth=0,
        idempotent=False,
        fingerprint='f',
    )
    return _calls.Call(context, 'GET', '/', (), b'')


class Server:
    """A backend server that declines each id once, then runs it.

    Before each later response on a connection it sends a copy of the first
    one, as a faulty server may do long after it was sent.

    :ivar run_ids: ids of the requests that it ran.
    """

    def __init__(self):
        self.run_ids = []
        self._declined = set()

    async def serve(self, reader, writer):
        """Serve one connection."""
        copy = b''
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            call_id = head.split(b'X-Id: ')[1].split(b'\r\n')[0].decode()
            status = 200
            if call_id in self._declined:
                self.run_ids.append(call_id)
            else:
                self._declined.add(call_id)
                status = 503
            response = (
                f'HTTP/1.1 {status} S\r\nX-Id: {call_id}\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
            writer.write(copy + response)
            copy = copy or response


def test_late_copy_does_not_answer_the_next_attempt():
    """A copy of a refusal must not hide that the second attempt ran.

    The same call is sent again to a server that declined it, with the same
    id. On the same connection, a late copy of the refusal would be taken for
    the response, and the caller would be told that an order had not run.
    """

    async def run():
        backend_server = Server()
        server, port = await servers.start(backend_server.serve)
        now = asyncio.get_running_loop().time
        delivery = _delivery.Delivery(
            f'127.0.0.1:{port}', 'i-1', Protocol(), now
        )
        call = make_call(now(), 'a1')
        outcomes = [await delivery.send(call) for _ in range(2)]
        # Other calls may use both connections, whatever was sent there.
        other = [await delivery.send(make_call(now(), 'b1')) for _ in range(2)]
        delivery.close()
        server.close()
        return outcomes, other, backend_server.run_ids

    outcomes, other, run_ids = asyncio.run(run())
    assert run_ids == ['a1', 'b1']
    for first, second in (outcomes, other):
        assert first.failure().kind is errors.ErrorKind.OVERLOADED
        assert isinstance(second, result.Success)


def test_body_without_an_end_is_cut_at_the_deadline(monkeypatch):
    """A download that never ends must free the slot of its server."""
    monkeypatch.setattr(_delivery, 'MAX_BODY_OVERTIME_S', 0.1)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 S\r\nX-Id: a1\r\n\r\n')
        while not writer.is_closing():
            writer.write(b'x' * 10_000)
            await asyncio.sleep(0.01)

    async def run():
        server, port = await servers.start(serve)
        now = asyncio.get_running_loop().time
        delivery = _delivery.Delivery(
            f'127.0.0.1:{port}', 'i-1', Protocol(), now
        )
        call = make_call(now(), 'a1')
        context = attrs.evolve(call.context, deadline=now() + 0.3)
        call = attrs.evolve(call, context=context)
        response = (await delivery.send(call)).unwrap()
        try:
            async with asyncio.timeout(5):
                async for _ in response.chunks:
                    pass
        except _calls.ResponseCut:
            return True
        finally:
            await response.close()
            delivery.close()
            server.close()
        return False

    assert asyncio.run(run())


KIB = 1024


async def _serve_bodies(reader, writer, sizes):
    """Answer each request with a body of the size for its id."""
    while True:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return
        call_id = head.split(b'X-Id: ')[1].split(b'\r\n')[0].decode()
        size = sizes[call_id]
        writer.write(
            f'HTTP/1.1 200 S\r\nX-Id: {call_id}\r\n'
            f'Content-Length: {size}\r\n\r\n'.encode()
            + b'b' * size
        )


@pytest.mark.parametrize('is_slow', [False, True])
@pytest.mark.parametrize(
    'size',
    [KIB, *range(64 * KIB - 2, 64 * KIB + 3), 66_000, 72 * KIB, 1024 * KIB],
)
def test_answer_after_a_large_response_is_never_read(size, is_slow):
    """Reading was paused for the large body and must go on for the next."""

    async def run():
        sizes = {'d1': size, 'o1': 10, 'd2': size, 'o2': 10}
        server, port = await servers.start(
            lambda reader, writer: _serve_bodies(reader, writer, sizes)
        )
        now = asyncio.get_running_loop().time
        delivery = _delivery.Delivery(
            f'127.0.0.1:{port}', 'i-1', Protocol(), now
        )
        received = []
        for call_id in sizes:
            outcome = await asyncio.wait_for(
                delivery.send(make_call(now(), call_id)), DEADLINE_S
            )
            response = outcome.unwrap()
            length = 0
            async for chunk in response.chunks:
                length += len(chunk)
                await asyncio.sleep(0.01 if is_slow and length < size else 0)
            await response.close()
            received.append(length)
        delivery.close()
        server.close()
        return received

    assert asyncio.run(run()) == [size, 10, size, 10]
