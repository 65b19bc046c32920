"""Tests of how a control host stays a member of the control group."""

import asyncio
import types

import pytest

from cactusloftd import _messages
from cactusloftd.resident import _group_entry

OWN_ID = 'own'
WAIT_S = 5.0


class Plane:
    """Stand-in of the control plane that notes the requests.

    :ivar asked: requests to the leader, wherever it is.
    :ivar executed: requests handled by the local replica.
    """

    def __init__(self, leader_silence_s, removable=None):
        self.asked = asyncio.Queue()
        self.executed = asyncio.Queue()
        member = types.SimpleNamespace(replica_id=OWN_ID)
        self.replica = types.SimpleNamespace(
            replica_id=OWN_ID,
            membership=types.SimpleNamespace(members=(member,)),
            leader_silence_s=leader_silence_s,
            find_removable_member=lambda: removable,
        )
        self.control = types.SimpleNamespace(
            make_join_request=lambda: _messages.ReplicaChange(
                OWN_ID, 'address', False
            ),
            execute=self.executed.put,
        )
        self.operators = self

    async def execute(self, request, timeout_s):
        await self.asked.put(request)


async def _run_entry(plane, queue):
    log = types.SimpleNamespace(record=lambda *args, **fields: None)
    entry = _group_entry.GroupEntry(plane, False, log)
    task = asyncio.create_task(entry.run())
    try:
        async with asyncio.timeout(WAIT_S):
            return await queue.get()
    finally:
        task.cancel()


def test_removed_host_joins_again_though_its_log_names_it():
    """A removed host gets no log entry that tells it of its removal.

    It would otherwise never join again.
    """

    async def run():
        plane = Plane(_group_entry.LEADER_SILENCE_S + 1.0)
        return await _run_entry(plane, plane.asked)

    request = asyncio.run(run())
    assert (request.replica_id, request.address) == (OWN_ID, 'address')


@pytest.mark.parametrize('silence_s', [0.0, _group_entry.LEADER_SILENCE_S])
def test_member_that_hears_a_leader_asks_for_nothing(silence_s):
    """Members must not load the leader with needless requests."""

    async def run():
        plane = Plane(silence_s)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.2):
                await _run_entry(plane, plane.asked)
        return plane.executed.empty()

    assert asyncio.run(run())


def test_removal_is_decided_by_the_leader_that_missed_the_replies():
    """A forwarded removal could remove a member that replies again."""

    async def run():
        plane = Plane(0.0, removable='lost')
        request = await _run_entry(plane, plane.executed)
        assert plane.asked.empty()
        return request

    assert asyncio.run(run()).replica_id == 'lost'
