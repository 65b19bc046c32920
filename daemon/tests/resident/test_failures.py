"""Tests of the end of a resident whose control replica has failed."""

import asyncio
import types

import pytest

from cactusloftd.resident import _wiring


def wait(life_s):
    """Return how long a resident that has lived so long waits to end."""
    waited = []

    async def sleep_until(end):
        waited.append(end)

    resident = types.SimpleNamespace(
        _plane=types.SimpleNamespace(
            replica=types.SimpleNamespace(failure='the disk is full')
        ),
        _created_at=100.0,
        _sleep_until=sleep_until,
    )
    asyncio.run(_wiring.Resident.wait_for_failure(resident))
    return waited[0] - (100.0 + life_s)


@pytest.mark.parametrize('life_s, is_delayed', [(0.5, True), (60.0, False)])
def test_host_lacks_a_replica_for_longer_than_needed(life_s, is_delayed):
    """A process whose disk fails must end soon, but not start in a loop."""
    assert (wait(life_s) > 0) is is_delayed
