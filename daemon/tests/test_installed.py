"""Tests of the rules for installing and confirming a document."""

import asyncio
import random
import threading

import pytest
import structlog

from cactusloft_consensus import documents
from cactusloft_consensus import evacuations
from cactusloft_consensus import messages
from cactusloft_consensus import node
from cactusloft_model import clock
from cactusloft_model import document
from cactusloft_model import events
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _rollout
from cactusloftd import _settings
from cactusloftd import _texts
from cactusloftd import _watch
from cactusloftd import _watch_server

SETTINGS = f"""
[daemon]
name = c1
host = c1
data_centre = dc1
[listen]
callers = 127.0.0.1:1
backend = 127.0.0.1:2
admin = 127.0.0.1:3
peers = 127.0.0.1:4
[security]
operator_token_hash = unused
curve_public_key = {'p' * 40}
curve_secret_key = {'s' * 40}
allowed_keys = allowed
[control_hosts]
c1 = dc1 127.0.0.1:4 {'p' * 40}
"""
TEXT = '[service a]\n'
OTHER_TEXT = '[service b]\n[service c]\n'


class _Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


@pytest.fixture
def time_source():
    return _Clock()


@pytest.fixture
def log():
    hybrid_clock = clock.HybridClock(lambda: 0)
    return events.EventLog('d1', hybrid_clock, structlog.get_logger())


@pytest.fixture
def installed(time_source, log):
    return _installed.InstalledDocument(log, time_source.read, True)


def _update(installed, number, confirmed_at, text=TEXT):
    version = _installed.Version(number, f'change-{number}')
    return installed.update(
        version, confirmed_at, lambda: document.parse_document(text)
    )


def test_confirmation_before_the_start_does_not_count(installed):
    """A restarted daemon must not install a version older than its last."""
    assert not _update(installed, 7, 99.9)
    assert not _update(installed, 7, None)
    assert installed.version.number == 0 and not installed.is_fresh()
    assert _update(installed, 8, 100.1)
    assert installed.version.number == 8 and installed.is_fresh()


def test_lower_version_is_never_installed(installed):
    """An isolated control host must not bring back a withdrawn key."""
    _update(installed, 8, 101.0)
    assert not _update(installed, 7, 102.0, OTHER_TEXT)
    assert installed.version.number == 8
    assert 'a' in installed.current.services


def test_freshness_ends_after_the_bound(installed, time_source):
    """Keyed routes must stop when no confirmation comes for 5 s."""
    _update(installed, 8, 101.0)
    time_source.now = 106.0
    assert installed.is_fresh()
    time_source.now = 106.1
    assert not installed.is_fresh()
    _update(installed, 8, 105.0)
    assert installed.is_fresh()


def test_confirmation_without_the_change_does_not_count(
    installed, time_source
):
    """A daemon that could not install a version must not become fresh."""
    _update(installed, 8, 101.0)
    time_source.now = 110.0
    _update(installed, 9, 110.0, '[unknown]\n')
    assert installed.version.number == 8 and not installed.is_fresh()


class _StubReplica:
    """Attributes of a replica that a watcher and a watch server use."""

    confirmed_at = None
    leader_id = 'r1'
    address = f'c1 127.0.0.1:4 {"p" * 40}'
    membership = node.Membership(5, (messages.Member('r1', address, True),))

    def __init__(self):
        self.store = documents.DocumentStore()
        self.parser = _texts.TextParser()

    def change(self, text, change_id):
        self.parser.parse(text)
        version = self.store.version
        change = documents.Change.pack(version, change_id, 0, text)
        self.store.apply(change.encode())


class _StubOwner:
    """Table owner with a single version."""

    def __init__(self):
        self.version = 0
        self.reports = []

    def exchange(self, daemon, request):
        self.reports.append((daemon, request.content))
        if self.version <= request.known:
            return None
        return _messages.Table(request.name, self.version, b'content')


@pytest.fixture
def replica():
    return _StubReplica()


@pytest.fixture
def server(installed, replica, time_source, log):
    parsed = _settings.parse_settings(SETTINGS).unwrap()
    watcher = _watch.Watcher(
        parsed,
        None,
        installed,
        log,
        time_source.read,
        random.Random(1),
        replica,
        replica.parser,
        lambda: watch_server.notify(),
    )
    watch_server = _watch_server.WatchServer(
        installed,
        watcher,
        time_source.read,
        _rollout.InstalledVersions(time_source.read),
    )
    return watch_server


def _watch_once(server, version, change_id):
    watch = _messages.Watch('d1', version, change_id, 5, 'r1', 0, ())
    return asyncio.run(server.handle_watch(watch, 0.0))


def test_watch_gets_changes_by_section(server, replica, time_source):
    """Whole documents for each change would exceed the network budget."""
    replica.confirmed_at = time_source.now = 101.0
    replica.change(TEXT, 'first')
    assert _watch_once(server, 0, '').changes.changed[0].name == 'service a'
    replica.change(TEXT + OTHER_TEXT, 'second')
    answer = _watch_once(server, 1, 'first')
    names = [section.name for section in answer.changes.changed]
    assert (answer.base_version, names) == (1, ['service b', 'service c'])
    assert answer.age_s == 0.0
    other_group = _watch_once(server, 1, 'of another group')
    assert other_group.base_version == 0
    assert len(other_group.changes.changed) == 3
    assert _watch_once(server, 2, 'second').changes is None


def test_watch_gets_a_new_control_group(server, replica, time_source):
    """Rate leases and the ledger need the current leader and voters."""
    replica.confirmed_at = time_source.now = 101.0
    assert _watch_once(server, 0, '').group is None
    replica.leader_id = 'r2'
    group = _watch_once(server, 0, '').group
    assert (group.epoch, group.leader) == (5, 'r2')
    assert group.members[0].peers == '127.0.0.1:4'


async def _await_table(server, owner):
    server.attach('marks', owner)
    request = _messages.TableRequest('marks', 0, b'report')
    watch = _messages.Watch('d1', 0, '', 0, '', 1000, (request,))
    waiting = asyncio.create_task(server.handle_watch(watch, 0.0))
    await asyncio.sleep(0)
    owner.version = 1
    server.notify()
    return await asyncio.wait_for(waiting, 30)


async def _install_in_thread(server, replica, parsed):
    watch = _messages.Watch('d1', 0, '', 5, 'r1', 2000, ())
    waiting = asyncio.create_task(server.handle_watch(watch, 0.0))
    await asyncio.sleep(0)
    server._watcher.install_from_replica()
    assert not parsed, 'parsed on the event loop'
    answer = await asyncio.wait_for(waiting, 30)
    assert (answer.version, len(parsed)) == (1, 1)


def test_new_text_is_parsed_off_the_event_loop(server, replica, time_source):
    """A long parse on the event loop would delay heartbeats of a leader."""
    parse, parsed = replica.parser.parse, []
    replica.change(TEXT, 'first')
    replica.parser.parse(OTHER_TEXT)
    replica.confirmed_at = time_source.now = 101.0

    def parse_in_thread(text):
        if not replica.parser.has_parsed(text):
            assert threading.current_thread() is not threading.main_thread()
            parsed.append(text)
        return parse(text)

    replica.parser.parse = parse_in_thread
    asyncio.run(_install_in_thread(server, replica, parsed))


def test_table_is_relayed_at_once(server):
    """A changed table must end the hold time, so that crash marks spread."""
    owner = _StubOwner()
    answer = asyncio.run(_await_table(server, owner))
    assert owner.reports[0] == ('d1', b'report')
    assert answer.tables[0].content == b'content'
    assert answer.age_s is None, 'confirmed without a replica'


def test_evacuations_are_installed_in_order(installed):
    """An isolated control host must not undo the end of an evacuation."""
    begun = evacuations.Evacuations(1, ('dc1',))
    ended = evacuations.Evacuations(2, ())
    changes = []
    installed.on_evacuation = lambda: changes.append(installed.evacuations)

    def update(confirmed_at, evacuated):
        return installed.update(
            _installed.NO_VERSION, confirmed_at, None, '', evacuated
        )

    assert not update(99.9, begun)
    assert update(100.1, begun)
    assert update(100.2, ended)
    assert not update(100.3, begun)
    assert not update(100.4, None)
    assert changes == [begun, ended]


def test_watch_gets_an_evacuation_at_once(server, replica, time_source):
    """An order must end the hold time, since it is in force within 2 s."""

    async def run():
        watch = _messages.Watch('d1', 1, 'first', 5, 'r1', 2000, ())
        waiting = asyncio.create_task(server.handle_watch(watch, 0.0))
        await asyncio.sleep(0)
        order = evacuations.EvacuationOrder('dc1', True)
        replica.store.apply(order.encode())
        server._watcher.install_from_replica()
        return await asyncio.wait_for(waiting, 30)

    replica.confirmed_at = time_source.now = 101.0
    replica.change(TEXT, 'first')
    server._watcher.install_from_replica()
    answer = asyncio.run(run())
    assert answer.evacuations.data_centres == ('dc1',)
    assert (answer.version, answer.changes) == (1, None)
    watch = _messages.Watch('d1', 1, 'first', 5, 'r1', 0, (), 1)
    answer = asyncio.run(server.handle_watch(watch, 0.0))
    assert answer.evacuations is None
