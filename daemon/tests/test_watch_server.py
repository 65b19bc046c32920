"""Tests of the watch server."""

import asyncio
import types

from cactusloft_consensus import evacuations as evacuation_sets
from cactusloft_model import document
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _rollout
from cactusloftd import _watch_server
from cactusloftd import _watch_times


class InstalledDocument:
    """A document whose last confirmation was at second 0."""

    version = _installed.Version(1, 'change')
    current = document.EMPTY_DOCUMENT
    confirmed_at = 0.0
    evacuations = evacuation_sets.NO_EVACUATIONS

    def __init__(self, now):
        self._now = now

    @property
    def age_s(self):
        return self._now()

    def is_fresh(self):
        return True


def test_stale_confirmation_ends_the_hold_time():
    """A daemon must leave an isolated control host in time.

    A change must reach every daemon within 2 s of its acceptance. A daemon
    that watched a control host on the minority side of a network partition
    once installed a change more than 3 s after the partition. The control
    host must therefore answer as soon as its confirmation is stale.
    """

    async def run():
        now = asyncio.get_running_loop().time
        started_at = now()
        watcher = types.SimpleNamespace(
            group=_messages.NO_GROUP,
            relays=0,
            install_from_replica=lambda: False,
        )
        server = _watch_server.WatchServer(
            InstalledDocument(lambda: now() - started_at),
            watcher,
            lambda: now() - started_at,
            _rollout.InstalledVersions(now),
        )
        ages = []
        for _ in range(2):
            watch = _messages.Watch('d', 1, 'change', 0, '', 1000, ())
            sent_at = now() - started_at
            answer = await server.handle_watch(watch, 0.0)
            arrived_at = now() - started_at
            ages.append((arrived_at, arrived_at - sent_at + answer.age_s))
        return ages

    ages = asyncio.run(run())
    moved_at = next(
        at for at, age in ages if age >= _watch_times.MAX_HOME_AGE_S
    )
    # Leaves time for one more poll at another control host.
    assert moved_at <= 1.6
