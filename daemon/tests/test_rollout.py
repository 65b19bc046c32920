"""Tests of the wait for the installation of an accepted change."""

import asyncio
import types

from returns import result

from cactusloft_consensus import messages
from cactusloft_model import events
from cactusloftd import _rollout
from cactusloftd import _rollout_messages


def wait(versions, version, timeout_s=30.0):
    return versions.wait_until_installed(version, timeout_s)


def test_change_is_acknowledged_before_a_slow_daemon_installed_it():
    """A daemon that installs late must still do so before its operator acts.

    The daemon would otherwise serve the previous version while the operator
    relies on the new one.
    """

    async def run():
        versions = _rollout.InstalledVersions(lambda: 100.0)
        versions.record('quick', 7)
        versions.record('slow', 7)
        waiting = asyncio.create_task(wait(versions, 8))
        await asyncio.sleep(0)
        versions.record('quick', 8)
        for _ in range(5):
            await asyncio.sleep(0)
        is_early = waiting.done()
        versions.record('slow', 8)
        return is_early, await waiting

    assert asyncio.run(run()) == (False, ())


def test_lost_daemon_holds_up_changes():
    """A daemon that is gone must not delay the acknowledgement."""

    async def run():
        now = 100.0
        versions = _rollout.InstalledVersions(lambda: now)
        versions.record('lost', 7)
        now += _rollout.MAX_REPORT_AGE_S + 0.1
        versions.record('present', 8)
        return await wait(versions, 8)

    assert asyncio.run(run()) == ()


def test_cut_off_daemon_holds_up_changes_for_good():
    """The wait must end, and name the daemon that lags."""

    async def run():
        versions = _rollout.InstalledVersions(lambda: 100.0)
        versions.record('cut off', 7)
        return await wait(versions, 8, 0.01)

    assert asyncio.run(run()) == ('cut off',)


class Node:
    """Links to control hosts that answer with what lags there, or not."""

    def __init__(self, lagging):
        self.lagging = lagging

    def connect(self, address):
        async def request(_query, _timeout_s):
            lagging = self.lagging[address.endpoint]
            if lagging is None:
                return result.Failure('no reply')
            return result.Success(_rollout_messages.RolloutReply(lagging))

        return types.SimpleNamespace(request=request)


def test_acknowledgement_waits_for_own_daemons_alone():
    """Daemons that watch other control hosts count as well."""
    members = tuple(
        messages.Member(f'id-{n}', f'c{n} 10.0.0.{n}:7000 -', True)
        for n in (1, 2, 3)
    )
    records = []
    log = types.SimpleNamespace(
        record=lambda event, **fields: records.append((event, fields))
    )

    async def run():
        versions = _rollout.InstalledVersions(lambda: 100.0)
        versions.record('own', 8)
        rollout = _rollout.Rollout(
            'c1',
            Node({'10.0.0.2:7000': ('slow',), '10.0.0.3:7000': None}),
            versions,
            types.SimpleNamespace(members=members),
            log,
            lambda: 100.0,
        )
        await rollout.wait_until_installed(8)

    asyncio.run(run())
    ((event, fields),) = records
    assert event is events.Event.ROLLOUT_INCOMPLETE
    assert fields == {'version': 8, 'count': 2, 'daemons': 'c3,slow'}


def test_resent_change_waits_again():
    """An operator that gives up each attempt would never get an answer."""
    now, queries = 100.0, []

    class Peer:
        async def request(self, query, _timeout_s):
            queries.append(query)
            return result.Failure('no reply')

    async def run():
        nonlocal now
        member = messages.Member('id-2', 'c2 10.0.0.2:7000 -', True)
        rollout = _rollout.Rollout(
            'c1',
            types.SimpleNamespace(connect=lambda _address: Peer()),
            _rollout.InstalledVersions(lambda: now),
            types.SimpleNamespace(members=(member,)),
            types.SimpleNamespace(record=lambda event, **fields: None),
            lambda: now,
        )
        await rollout.wait_until_installed(8)
        now += _rollout.MAX_WAIT_S
        await rollout.wait_until_installed(8)

    asyncio.run(run())
    assert len(queries) == 1


def test_acknowledgement_ignores_a_missing_evacuation():
    """An order counts as installed only once its own revision is."""

    async def run():
        versions = _rollout.InstalledVersions(lambda: 100.0)
        versions.record('quick', 8, 2)
        versions.record('slow', 9, 1)
        assert versions.find_lagging(8) == ()
        assert await versions.wait_until_installed(0, 0.01, 2) == ('slow',)
        waiting = asyncio.create_task(versions.wait_until_installed(0, 30, 2))
        await asyncio.sleep(0)
        versions.record('slow', 9, 2)
        return await asyncio.wait_for(waiting, 30)

    assert asyncio.run(run()) == ()
