"""Tests of the answers to watches."""

import asyncio
import types

from cactusloft_model import document
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _watch
from cactusloftd import _watch_server


class Installed:
    """A document whose last confirmation was at second 0."""

    version = _installed.Version(1, 'change')
    current = document.EMPTY_DOCUMENT
    confirmed_at = 0.0

    def __init__(self, now):
        self._now = now

    @property
    def age_s(self):
        return self._now()

    def is_fresh(self):
        return True


def test_isolated_control_host_tells_at_once():
    """A daemon must leave it before a change is due everywhere.

    Seen in trouble-3 of ssh-bkk: a daemon that watched a control host on the
    smaller side of a cut got version 23 more than 3 s after the cut, and a
    change is due 2 s after it was accepted.
    """

    async def run():
        now = asyncio.get_running_loop().time
        began_at = now()
        watcher = types.SimpleNamespace(
            group=_messages.NO_GROUP, relays=0, take_local=lambda: False
        )
        server = _watch_server.WatchServer(
            Installed(lambda: now() - began_at),
            watcher,
            lambda: now() - began_at,
        )
        ages = []
        for _ in range(2):
            watch = _messages.Watch('d', 1, 'change', 0, '', 1000, ())
            sent_at = now() - began_at
            answer = await server.answer(watch, 0.0)
            arrived_at = now() - began_at
            ages.append((arrived_at, arrived_at - sent_at + answer.age_s))
        return ages

    ages = asyncio.run(run())
    moved_at = next(at for at, age in ages if age >= _watch.MOVE_AGE_S)
    # One more poll at another control host fits into what is left.
    assert moved_at <= 1.6
