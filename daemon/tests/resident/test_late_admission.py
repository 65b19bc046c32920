"""Tests of waits before the first owner gets a call.

Each of them must end with the deadline of the call, which is 0.3 s here, with
a response that tells the caller that the call has not run.
"""

import asyncio
import time
import types

import pytest

from cactusloft_model import errors
from cactusloftd import _metrics
from cactusloftd.resident import _debits

from . import entry_stubs as stubs

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
