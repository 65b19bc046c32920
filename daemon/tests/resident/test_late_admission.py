"""Tests of waits before the first owner gets a call.

Each of them must end with the deadline of the call, which is 0.3 s here, with
a response that tells the caller that the call has not run.
"""

import asyncio
import time
import types

import attrs
import pytest

from cactusloft_model import errors
from cactusloftd import _metrics
from cactusloftd.resident import _debits
from cactusloftd.resident import _http_connection
from cactusloftd.resident import _http_listener
from cactusloftd.resident import _http_messages

from . import entry_stubs as stubs

# Of the route that the calls use.
DEADLINE_S = 0.3
LONG_S = 20.0
MAX_S = 10.0


class Handler:
    """The buckets of a daemon that is not the leader."""

    async def handle_debit(self, request, age_s):
        raise AssertionError('this daemon does not lead')


def make_silent_debits(now):
    """Return debits whose leader does not reply."""
    return _debits.Debits(
        'here',
        types.SimpleNamespace(read=None),
        stubs.Config(),
        None,
        Handler(),
        now,
        _metrics.Metrics(),
    )


@pytest.mark.parametrize('waits_for', ['members', 'leader'])
def test_wait_before_the_first_owner_outlasts_the_deadline(waits_for):
    """A late table of members or debit must not hold a call any longer."""

    async def run():
        members = stubs.make_members(stubs.succeed())
        entry = stubs.make_entry(*members)
        if waits_for == 'members':
            entry.members.prepare_s = LONG_S
        else:
            entry._debits = make_silent_debits(asyncio.get_event_loop().time)
        async with asyncio.timeout(MAX_S):
            outcome = await entry.serve(stubs.make_request(), 'track')
        return outcome, members[0], entry.debits.returned_tokens

    started = time.monotonic()
    outcome, member, returned_tokens = asyncio.run(run())
    assert time.monotonic() - started < MAX_S
    assert outcome.failure().response.not_run is errors.NotRun.TRUE
    assert not member.calls
    assert returned_tokens == (waits_for == 'members')


def test_timeout_counts_from_the_turn_of_a_pipelined_request():
    """It must count from the time at which the request was read.

    A connection handles some requests at the same time; others wait until
    these are answered, each of them at its timeout at the latest.
    """
    count = _http_connection.MAX_CONCURRENT_REQUESTS + 2
    member = stubs.Member('m', None)

    async def run():
        entry = stubs.make_entry(member)

        async def handle(request):
            made = attrs.evolve(stubs.make_request(), read_at=request.read_at)
            await entry.serve(made, 'track')
            return _http_messages.HttpResponse(504)

        listener = _http_listener.HttpListener(handle, stubs.Log())
        await listener.start('127.0.0.1:0')
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        writer.write(b'GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n' * count)
        async with asyncio.timeout(MAX_S):
            for _ in range(count):
                await reader.readuntil(b'\r\n\r\n')
        writer.close()
        await listener.close()

    asyncio.run(run())
    deadlines = [call.context.deadline for call in member.calls]
    assert max(deadlines) - min(deadlines) < DEADLINE_S
