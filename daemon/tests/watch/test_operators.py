"""Tests of operators' requests while a minority of control hosts is frozen."""

import asyncio
import types

import pytest
from returns import result

import cactusloft_link as link
from cactusloftd import _control
from cactusloftd import _messages
from cactusloftd import _operators

from . import fleets

# Bound of the system for the acknowledgement of a change.
ACK_S = 4.0
ELECTED_AT = 1.2
REQUEST = _messages.ApplyRequest(1, 'change', '[service a]\n', False, 0)
# A link notices a peer that sends nothing after this time, but not a peer
# that only leaves requests unanswered.
LINK_TIMEOUT_S = 1.6


class _Link:
    """Link to a control host that is sound or frozen."""

    def __init__(self, frozen_s):
        self._frozen_s = frozen_s

    async def wait_until_up(self, timeout_s):
        if not self._frozen_s or fleets.now() < self._frozen_s:
            return True
        await asyncio.sleep(timeout_s)
        return False

    async def request(self, _request, timeout_s):
        if self._frozen_s:
            await asyncio.sleep(min(timeout_s, self._frozen_s))
            error = link.LinkError(link.LinkFailure.LOST, 'connection lost')
            return result.Failure(error)
        await asyncio.sleep(fleets.LATENCY_S)
        if fleets.now() < ELECTED_AT:
            refusal = _control.refuse_unavailable('no leader is known')
            return result.Success(refusal)
        return result.Success(_control.make_answer(_control.Applied(2)))


class _IdleLink(_Link):
    """Link on which nothing was sent before, so that it looks up."""

    async def wait_until_up(self, _timeout_s):
        return True


def _make_control():
    def find_leader_address():
        return 'new' if fleets.now() >= ELECTED_AT else 'old'

    return types.SimpleNamespace(
        replica=types.SimpleNamespace(is_leader=False),
        find_leader_address=find_leader_address,
    )


@pytest.mark.parametrize('frozen_s', [LINK_TIMEOUT_S, 100.0])
def test_frozen_leader_holds_a_change_after_an_election(frozen_s):
    """A follower must pass the change on once it knows the new leader."""
    links = {'old': _Link(frozen_s), 'new': _Link(0.0)}
    hosts = [
        types.SimpleNamespace(name=name, address=name)
        for name in ('old', 'new')
    ]

    async def run():
        operators = _operators.Operators(
            types.SimpleNamespace(name='f', control_hosts=hosts),
            types.SimpleNamespace(connect=links.get),
            _make_control(),
            fleets.now,
        )
        reply = await operators.execute(REQUEST)
        return reply.refusal, fleets.now()

    refusal, answered_at = fleets.run_simulated(run())
    print(f'frozen for {frozen_s} s: answered after {answered_at:.2f} s')
    assert refusal is None and answered_at <= ACK_S


@pytest.mark.parametrize('size, minority', [(3, 1), (5, 2), (11, 5)])
@pytest.mark.parametrize('frozen_s', [LINK_TIMEOUT_S, 100.0])
def test_frozen_control_hosts_hold_a_change_in_turn(size, minority, frozen_s):
    """A daemon without a replica must not wait for each of them in full.

    Each link looks up until the control host is asked.
    """
    links = [_IdleLink(frozen_s)] * minority
    links += [_Link(0.0)] * (size - minority)
    hosts = [
        types.SimpleNamespace(name=str(number), address=number)
        for number in range(size)
    ]

    async def run():
        operators = _operators.Operators(
            types.SimpleNamespace(name='d', control_hosts=hosts),
            types.SimpleNamespace(connect=links.__getitem__),
            None,
            fleets.now,
        )
        await asyncio.sleep(ELECTED_AT)
        reply = await operators.execute(REQUEST)
        return reply.refusal, fleets.now() - ELECTED_AT

    refusal, delay_s = fleets.run_simulated(run())
    print(f'{minority} of {size} frozen, {frozen_s} s: {delay_s:.2f} s')
    assert refusal is None and delay_s <= ACK_S
