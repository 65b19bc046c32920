"""Tests of backend servers that write an earlier refusal once more."""

import asyncio

import pytest
from returns import result

from cactusloft_model import errors
from cactusloftd.resident import _delivery

from . import servers
from . import test_delivery as delivery_tests

TIMEOUT_S = 5
# When the copy arrives: before the next request, together with the response to
# it, split around it, or while the next request runs.
MOMENTS = ('idle', 'before', 'split', 'running', 'after')


class Server:
    """A backend server that refuses the first request of a connection.

    It runs all others, and writes the refusal once more before or after each.
    A request that it has refused before is run.

    :param moment: one of ``MOMENTS``.
    :param has_id: whether the refusals carry the id of the request.
    :ivar run_ids: ids of the requests that it ran.
    """

    def __init__(self, moment, has_id):
        self._moment = moment
        self._has_id = has_id
        self.run_ids = []
        self._refused_ids = set()

    def refuse_no_more(self, call_id):
        """Run a request even if it is the first one of its connection."""
        self._refused_ids.add(call_id.encode())

    async def serve(self, reader, writer):
        """Serve one connection."""
        refusal = b''
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            call_id = head.split(b'X-Id: ')[1].split(b'\r\n')[0]
            if not refusal and call_id not in self._refused_ids:
                self._refused_ids.add(call_id)
                refusal = _make_response(503, call_id)
                writer.write(refusal)
                if not self._has_id:
                    refusal = _make_response(503, None)
                if self._moment == 'idle':
                    writer.write(refusal)
                continue
            self.run_ids.append(call_id.decode())
            await self._answer(writer, refusal, _make_response(200, call_id))

    async def _answer(self, writer, refusal, response):
        if self._moment == 'running':
            writer.write(refusal)
            await asyncio.sleep(0.05)
        if self._moment == 'before':
            response = refusal + response
        if self._moment == 'split':
            writer.write(refusal[:20])
            await asyncio.sleep(0.02)
            response = refusal[20:] + response
        if self._moment == 'after':
            response += refusal
        writer.write(response)


def _make_response(status, call_id):
    lines = [f'HTTP/1.1 {status} S', 'Content-Length: 0']
    if call_id is not None:
        lines.append(f'X-Id: {call_id.decode()}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def send_all(backend_server, call_ids):
    """Send calls one after the other; return their outcomes."""
    server, port = await servers.start(backend_server.serve)
    now = asyncio.get_running_loop().time
    delivery = _delivery.Delivery(
        f'127.0.0.1:{port}', 'i-1', delivery_tests.Protocol(), now
    )
    outcomes = []
    for call_id in call_ids:
        call = delivery_tests.make_call(now(), call_id)
        outcomes.append(await asyncio.wait_for(delivery.send(call), TIMEOUT_S))
        await asyncio.sleep(0.01)
    delivery.close()
    server.close()
    return outcomes


@pytest.mark.parametrize('has_id', [True, False], ids=['id', 'no id'])
@pytest.mark.parametrize('moment', MOMENTS)
def test_repeated_refusal_hides_that_an_order_ran(moment, has_id):
    """An order that ran must not be reported as not run, nor run twice.

    The same order is sent again after a refusal, as the entry may do; the
    other orders share the connection on which the refusal is repeated.
    """
    backend_server = Server(moment, has_id)
    call_ids = ['a1', 'b1', 'b1', 'c1', 'a1', 'd1', 'e1', 'd1']
    outcomes = asyncio.run(send_all(backend_server, call_ids))
    # Each claim of "not run" is backed by a refusal of that very send.
    ran = len([o for o in outcomes if not is_not_run(o)])
    assert ran == len(backend_server.run_ids) > 0


@pytest.mark.parametrize('has_id', [True, False], ids=['id', 'no id'])
@pytest.mark.parametrize('moment', MOMENTS)
def test_old_refusal_hides_that_an_order_ran(moment, has_id):
    """A refused order may wait in a queue before it is sent again."""
    backend_server = Server(moment, has_id)
    others = [f'x{number}' for number in range(40)]
    # Declined as the first one of its connection, then sent once more.
    for call_id in others:
        backend_server.refuse_no_more(call_id)
    call_ids = ['b1', *others, 'b1', 'c1']
    outcomes = asyncio.run(send_all(backend_server, call_ids))
    ran = len([o for o in outcomes if not is_not_run(o)])
    assert ran == len(backend_server.run_ids) > 0


def is_not_run(outcome):
    """Tell whether an outcome says that the call was not run."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().effective_not_run is errors.NotRun.TRUE
