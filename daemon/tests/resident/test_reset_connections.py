"""Tests of connections that a backend server resets at once.

It does so with those beyond its limit. The event loop of the platform raises
an error at each use of a connection that was lost.
"""

import asyncio

import pytest
import uvloop

from cactusloft_model import errors
from cactusloftd.resident import _delivery
from cactusloftd.resident import _exchange

from . import servers
from . import test_delivery as delivery_tests


async def serve_nothing(reader, _writer):
    """Wait for the end of a connection."""
    await reader.read()


class ResetConnection(_exchange.Connection):
    """A connection that is lost as soon as it is open."""

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.abort()


@pytest.mark.parametrize('run_loop', [asyncio.run, uvloop.run])
def test_call_on_a_connection_that_was_reset_is_refused(monkeypatch, run_loop):
    """Nothing of it was sent; its caller may send it again."""

    monkeypatch.setattr(_exchange, 'Connection', ResetConnection)

    async def run():
        server, port = await servers.start(serve_nothing)
        now = asyncio.get_running_loop().time
        delivery = _delivery.Delivery(
            f'127.0.0.1:{port}', 'i-1', delivery_tests.Protocol(), now
        )
        outcome = await delivery.send(delivery_tests.make_call(now(), 'a1'))
        is_reachable = await delivery.probe()
        delivery.close()
        server.close()
        return outcome, is_reachable, delivery

    outcome, is_reachable, delivery = run_loop(run())
    assert outcome.failure().effective_not_run is errors.NotRun.TRUE
    assert not is_reachable
    assert not delivery._connections
