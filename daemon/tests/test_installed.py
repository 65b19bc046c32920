"""Tests of the rules by which a daemon installs and trusts a document."""

import asyncio

import pytest
import structlog

from cactusloft_model import clock
from cactusloft_model import events
from cactusloftd import _deltas
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _watch_server

TEXT = '[service a]\n'


class _Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


@pytest.fixture
def time_source():
    return _Clock()


@pytest.fixture
def installed(time_source):
    hybrid_clock = clock.HybridClock(lambda: 0)
    log = events.EventLog('d1', hybrid_clock, structlog.get_logger())
    return _installed.Installed(log, time_source.read)


def test_confirmation_before_the_start_does_not_count(installed):
    """A restarted daemon must not go back behind its former version."""
    assert not installed.take(7, TEXT, 99.9)
    assert not installed.take(7, TEXT, None)
    assert installed.version == 0 and not installed.is_fresh()
    assert installed.take(8, TEXT, 100.1)
    assert installed.version == 8 and installed.is_fresh()


def test_lower_version_is_never_installed(installed):
    """An isolated control host must not bring back a withdrawn key."""
    installed.take(8, TEXT, 101.0)
    assert not installed.take(7, '[service b]\n', 102.0)
    assert installed.version == 8 and 'a' in installed.current.services


def test_freshness_ends_after_the_bound(installed, time_source):
    """Keyed routes must stop when no confirmation comes for 5 s."""
    installed.take(8, TEXT, 101.0)
    time_source.now = 106.0
    assert installed.is_fresh()
    time_source.now = 106.1
    assert not installed.is_fresh()
    installed.take(8, None, 105.0)
    assert installed.is_fresh()


def test_confirmation_without_the_text_does_not_count(installed, time_source):
    """A daemon that missed a change must not count as current."""
    installed.take(8, TEXT, 101.0)
    time_source.now = 110.0
    installed.take(9, None, 110.0)
    installed.take(9, '[unknown]\n', 110.0)
    assert installed.version == 8 and not installed.is_fresh()


def test_delta_of_another_base_is_noticed():
    """A wrong base must not give a mixed document."""
    old, new = '[service a]\n[service b]\n', '[service b]\n[service c]\n'
    delta = _deltas.make_delta(3, old, new)
    assert [part.text for part in delta.parts] == ['', '[service c]\n']
    assert _deltas.apply_delta(delta, old) == new
    assert _deltas.apply_delta(delta, TEXT) is None
    assert _deltas.apply_delta(delta, '[service a]\n[service x]\n') is None


class _CountingOwner:
    """Owner of a table that has one version."""

    def __init__(self):
        self.version = 0
        self.reports = []

    def exchange(self, daemon, request):
        self.reports.append((daemon, request.content))
        if self.version <= request.known:
            return None
        return _messages.Table(request.name, self.version, b'content')


async def _run_watches(time_source, owner):
    source = _watch_server.Source(2, 99.0, 0, {1: 'old', 2: 'new'}.get)
    server = _watch_server.WatchServer(lambda: source, time_source.read)
    server.attach('marks', owner)
    request = _messages.TableRequest('marks', 0, b'report')
    behind = _messages.Watch('d1', 0, 1000, ())
    answer = await server.answer(behind, 0.0)
    assert (answer.text, answer.age_s) == ('new', 1.0)
    watch = _messages.Watch('d1', 2, 1000, (request,))
    waiting = asyncio.create_task(server.answer(watch, 0.0))
    await asyncio.sleep(0)
    owner.version = 1
    server.notify()
    answer = await asyncio.wait_for(waiting, 30)
    assert answer.tables[0].content == b'content' and answer.text is None
    # The hold time ends although nothing changed.
    quiet = _messages.Watch('d1', 2, 0, ())
    assert (await server.answer(quiet, 0.0)).version == 2


def test_watch_answers_changes_at_once(time_source):
    """Marks must not wait for the end of a poll, nor the document."""
    owner = _CountingOwner()
    asyncio.run(_run_watches(time_source, owner))
    assert owner.reports[0] == ('d1', b'report')
