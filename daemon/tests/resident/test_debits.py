"""Tests of the central buckets of a control leader."""

import asyncio
import types

from cactusloft_model import document
from cactusloft_model import errors
import cactusloft_quota as quota
from cactusloftd.resident import _debits

from . import entry_stubs as stubs

HIGH, LOW = 50, 5
# From the change until a lower limit must be in force.
LOWERING_S = 5.0


def make_document(limit):
    """Return a document with one account."""
    text = f'[client_account estates]\nrate = {limit}\nburst = {limit}\n'
    return document.parse_document(text).unwrap()


class Leader:
    """The buckets of a leader at a time that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.config = types.SimpleNamespace(
            current=make_document(HIGH), is_fresh=lambda: True
        )
        leadership = types.SimpleNamespace(
            is_confirmed=lambda: True, term=1, started_at=-100.0
        )
        replica = types.SimpleNamespace(replica_id='r')
        view = types.SimpleNamespace(replica=replica)
        self.buckets = _debits.Buckets(
            leadership, view, self.config, lambda: self.now
        )

    async def take(self, wanted):
        """Return how many tokens a holder gets."""
        debit = quota.AccountDebit('estates', wanted, 0)
        reply = await self.buckets.handle_debit(
            quota.DebitRequest('h', (debit,)), 0.0
        )
        return reply.grants[0].tokens


def test_lower_limit_of_an_idle_account_applies_late(monkeypatch):
    """Its delay must count from the change, not from the next call."""
    monkeypatch.setattr(_debits, 'LEADER_POLL_INTERVAL_S', 0.001)

    async def run():
        leader = Leader()
        task = asyncio.create_task(leader.buckets.run())
        assert await leader.take(HIGH) == HIGH
        leader.now = 10.0
        leader.config.current = make_document(LOW)
        await asyncio.sleep(0.1)
        leader.now += LOWERING_S + 0.1
        assert await leader.take(HIGH) == LOW
        task.cancel()

    asyncio.run(run())


def test_lower_limit_takes_tokens_before_its_time():
    """Callers may use the former limit until the change is known."""

    async def run():
        leader = Leader()
        await leader.take(1)
        leader.config.current = make_document(LOW)
        assert await leader.take(HIGH) >= HIGH - 1
        leader.now = LOWERING_S - 0.1
        assert await leader.take(HIGH) == HIGH

    asyncio.run(run())


def test_token_that_no_leader_granted_is_returned_to_it():
    """The leader would grant it to another call: more than the rate."""

    async def run():
        entry = stubs.make_entry(*stubs.make_members(stubs.NOT_SERVING))
        now = asyncio.get_running_loop().time
        debits = stubs.make_debits(now)
        # A grant leaves spare tokens, which calls use without a leader.
        holder = debits._find_holder('estates')
        grant = quota.AccountGrant('estates', 0, 1.0, 0.0, HIGH)
        holder.apply_grant(grant, 0, now())
        debits._last_contact_at = now()
        debits._has_contact = False
        entry._debits = debits
        outcome = await entry.serve(stubs.make_request(), 'track')
        assert outcome.failure().response.not_run is errors.NotRun.TRUE
        assert outcome.failure().kind is errors.ErrorKind.NO_BACKEND_SERVER
        return holder.make_debit('estates', 1, now()).returned

    assert asyncio.run(run()) == 0
