"""Tests of requests that arrive before a process knows document and leader."""

import asyncio
import types

from cactusloft_model import errors
import cactusloft_quota as quota
from cactusloftd import _rate_messages
from cactusloftd.resident import _starting

from . import entry_stubs as stubs

LATE_S = 0.05
_E = errors.ErrorKind


def make_starting_entry():
    """Return an entry without a confirmed document, and its member."""
    member = stubs.make_members(stubs.succeed())[0]
    entry = stubs.make_entry(member)
    entry._config._is_fresh = False
    return entry, member


def test_request_waits_for_the_first_document():
    """After a loss of power it must not be refused for a second."""

    async def run():
        entry, member = make_starting_entry()

        def install():
            entry._config._is_fresh = True
            entry.starting.finish()

        asyncio.get_running_loop().call_later(LATE_S, install)
        outcome = await entry.serve(stubs.make_request(), 'track')
        return outcome, member

    outcome, member = asyncio.run(run())
    assert outcome.unwrap().status == 200
    assert len(member.calls) == 1


def test_request_is_refused_while_time_is_left():
    """Without a document the caller must be able to come back."""

    async def run():
        entry, _ = make_starting_entry()
        return await entry.serve(stubs.make_request(), 'track')

    error = asyncio.run(run()).failure()
    assert error.kind is _E.CONFIG_STALE
    assert error.response.not_run is errors.NotRun.TRUE


def test_host_that_loses_its_contact_later_refuses_at_once():
    """Only the start of a process is known to be short."""

    async def run():
        entry, _ = make_starting_entry()
        entry.starting.finish()
        async with asyncio.timeout(LATE_S):
            return await entry.serve(stubs.make_request(), 'track')

    assert asyncio.run(run()).failure().kind is _E.CONFIG_STALE


def test_process_without_a_document_for_long_refuses_at_once():
    """The control group is lost, and holding requests only delays callers."""

    async def run():
        now = 0.0
        starting = _starting.Starting(lambda: now)
        now = _starting.MAX_START_S + 1
        async with asyncio.timeout(LATE_S):
            await starting.wait(remaining_s=60.0)
        return starting.is_over

    assert not asyncio.run(run())


def test_call_waits_for_the_first_leader():
    """A host that has just started must ask again instead of refusing."""
    replies = iter([None, _rate_messages.DebitReply(None, '')])

    class Leader:
        """Answers only the third request."""

        async def ask(self, request):
            reply = next(replies, _rate_messages.DebitReply((), ''))
            if reply is not None and reply.grants is not None:
                grants = tuple(
                    quota.AccountGrant(d.client_account, d.wanted, 1.0, 0.0)
                    for d in request.debits
                )
                reply = _rate_messages.DebitReply(grants, 'r')
            return reply

    async def run():
        now = asyncio.get_running_loop().time
        debits = stubs.make_debits(now)
        debits._leader = Leader()
        task = asyncio.create_task(debits.run())
        call = types.SimpleNamespace(
            client_account='estates', deadline=now() + 5.0, call_id='c'
        )
        outcomes = await asyncio.gather(*(debits.admit(call) for _ in '123'))
        task.cancel()
        return outcomes

    assert [o.unwrap() for o in asyncio.run(run())] == [True] * 3
