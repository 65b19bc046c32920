"""Tests of the watch client and its choice of the control host."""

import asyncio
import random

import pytest
from returns import result
import structlog

import cactusloft_link as link
from cactusloft_model import clock
from cactusloft_model import document
from cactusloft_model import events
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _settings
from cactusloftd import _texts
from cactusloftd import _watch
from cactusloftd import _watch_times

SECTION = document.Section('service a', ())
SETTINGS = """
[daemon]
name = {name}
host = h1
data_centre = dc1
[listen]
callers = 127.0.0.1:1
backend = 127.0.0.1:2
admin = 127.0.0.1:3
peers = 127.0.0.1:4
[security]
operator_token_hash = unused
curve_public_key = {key}
curve_secret_key = {key}
allowed_keys = allowed
[control_hosts]
far = dc2 127.0.0.1:5 {key}
near = dc1 127.0.0.1:6 {key}
relay = dc1 127.0.0.1:7 {key}
"""


class _Peer:
    """A control host that gives the same answer to each watch."""

    def __init__(self):
        self.answer = None
        self.watches = []
        self.timeouts_s = []

    async def wait_until_up(self, _timeout_s):
        return True

    async def request(self, watch, timeout_s):
        self.watches.append(watch)
        self.timeouts_s.append(timeout_s)
        if self.answer is None:
            error = link.LinkError(link.LinkFailure.TIMEOUT)
            return result.Failure(error)
        await asyncio.sleep(0.001)
        return result.Success(self.answer)


class _Fleet:
    """Control hosts by the port of their peer listener."""

    def __init__(self):
        self.far, self.near, self.relay = _Peer(), _Peer(), _Peer()
        self._peers = {'5': self.far, '6': self.near, '7': self.relay}

    def connect(self, address):
        return self._peers[address.endpoint[-1]]


def _make_answer(version=1, age_s=0.0, relays=0, tables=()):
    changes = document.Changes((SECTION,), ())
    return _messages.WatchReply(
        version, 'change', age_s, relays, None, 0, changes, tables
    )


@pytest.fixture
def fleet():
    return _Fleet()


@pytest.fixture
def make_watcher(fleet):
    def make(name):
        text = SETTINGS.format(name=name, key='k' * 40)
        hybrid_clock = clock.HybridClock(lambda: 0)
        log = events.EventLog(name, hybrid_clock, structlog.get_logger())
        ticks = iter(range(100, 10**9))
        return _watch.Watcher(
            _settings.parse_settings(text).unwrap(),
            fleet,
            _installed.InstalledDocument(
                log, lambda: next(ticks) / 1000, False
            ),
            log,
            lambda: next(ticks) / 1000,
            random.Random(1),
            None,
            _texts.TextParser(),
            lambda: None,
        )

    return make


async def _run_until(watcher, is_done):
    task = asyncio.create_task(watcher.run())
    async with asyncio.timeout(30):
        while not is_done():
            await asyncio.sleep(0.01)
    task.cancel()


def test_daemon_leaves_control_hosts_without_confirmation(fleet, make_watcher):
    """An isolated control host still answers, but confirms nothing new."""
    fleet.near.answer = _make_answer(age_s=_watch_times.MAX_HOME_AGE_S + 0.1)
    fleet.relay.answer = _make_answer(age_s=None)
    fleet.far.answer = _make_answer(version=2)
    watcher = make_watcher('d1')
    asyncio.run(_run_until(watcher, lambda: len(fleet.far.watches) > 5))
    assert fleet.near.watches and fleet.relay.watches
    assert watcher._installed.version.number == 2
    # The daemon stays at the control host that confirms the document.
    assert len(fleet.near.watches) == 1


def test_relay_ignores_answers_of_relays(fleet, make_watcher):
    """Two isolated relays must not renew each other's confirmation."""
    fleet.near.answer = _make_answer(relays=1)
    watcher = make_watcher('relay')
    asyncio.run(_run_until(watcher, lambda: len(fleet.near.watches) > 1))
    assert watcher._installed.confirmed_at is None
    assert not fleet.relay.watches, 'a relay watched itself'


def test_relay_search_accepts_answers_of_relays(fleet, make_watcher):
    """A probe must not close the circle that polls keep open."""
    fleet.far.answer = _make_answer(relays=1)
    watcher = make_watcher('relay')
    asyncio.run(_run_until(watcher, lambda: len(fleet.far.watches) > 2))
    assert fleet.near.watches
    assert watcher._installed.confirmed_at is None


def test_tables_go_both_ways(fleet, make_watcher):
    """A table version of one control host must not be sent to another."""
    table = _messages.Table('marks', 7, b'content')
    fleet.near.answer = _make_answer(tables=(table,))
    watcher, applied = make_watcher('d1'), []
    watcher.attach('marks', lambda: b'report', applied.append)
    asyncio.run(_run_until(watcher, lambda: len(fleet.near.watches) > 1))
    first, second = fleet.near.watches[:2]
    assert first.tables[0].content == b'report' and applied[0] == b'content'
    assert (first.tables[0].known, second.tables[0].known) == (0, 7)
    fleet.near.answer = None
    asyncio.run(_run_until(watcher, lambda: _list_known(fleet.far)))
    assert set(_list_known(fleet.far)) == {0}


def _list_known(peer):
    """Return the table versions in the polls of a home, without probes."""
    tables = [watch.tables for watch in peer.watches if watch.tables]
    return [table.known for (table,) in tables]


def test_table_that_cannot_be_applied_ends_the_watch(fleet, make_watcher):
    """The document is installed, and the table is asked for again."""
    contents = []

    def apply(content):
        contents.append(content)
        if len(contents) < 3:
            raise KeyError('unexpected')

    table = _messages.Table('members', 7, b'content')
    fleet.near.answer = _make_answer(version=2, tables=(table,))
    watcher = make_watcher('d1')
    watcher.attach('members', lambda: b'', apply)
    asyncio.run(_run_until(watcher, lambda: len(fleet.near.watches) > 4))
    assert watcher._installed.version.number == 2
    known = [
        report.known for watch in fleet.near.watches for report in watch.tables
    ]
    assert known[:5] == [0, 0, 0, 7, 7]


def test_two_lost_control_hosts_delay_a_change(fleet, make_watcher):
    """The next host may be lost as well, though its link looks up.

    A host that is asked for the first time answers at once, or is left.
    """
    fleet.far.answer = _make_answer()
    watcher = make_watcher('d1')
    asyncio.run(_run_until(watcher, lambda: len(fleet.far.watches) > 1))
    for lost in (fleet.near, fleet.relay):
        assert lost.timeouts_s == [_watch_times.FIRST_REPLY_TIMEOUT_S]
    assert [watch.hold_ms for watch in fleet.far.watches[:2]] == [0, 1000]
    assert fleet.far.timeouts_s[1] > _watch_times.HOLD_TIME_S
