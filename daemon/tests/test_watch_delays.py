"""Tests of how late a daemon learns of a change, in simulated time.

Control hosts are scripted: each one answers as a watch server does, until it
falls silent, is cut off from the control leader or turns slow.
"""

import asyncio
import itertools
import random
import types

import pytest
from returns import result
import structlog

from cactusloft_bench import _virtual_loop
import cactusloft_link as link
from cactusloft_model import clock
from cactusloft_model import document
from cactusloft_model import events
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _settings
from cactusloftd import _texts
from cactusloftd import _watch
from cactusloftd import _watch_server

# Bound of the system from the acknowledgement of a change to its installation.
CONFIG_APPLY_S = 2.0
KEY = 'k' * 40
SETTINGS = f"""
[daemon]
name = d1
host = h1
data_centre = dc1
[listen]
callers = 127.0.0.1:1
backend = 127.0.0.1:2
admin = 127.0.0.1:3
peers = 127.0.0.1:4
[security]
operator_token_hash = unused
curve_public_key = {KEY}
curve_secret_key = {KEY}
allowed_keys = allowed
[control_hosts]
"""
NEVER = float('inf')
LATENCY_S = 0.01
# Ages of a follower's confirmation and of the last change that it holds.
CONFIRMATION_AGE_S = 0.3
CHANGE_AGE_S = 0.15
FAULT_AT = 4.0
BASE = document.Section('service a', ())
CHANGED = document.Section('service b', ())


class _Loop(_virtual_loop.VirtualLoop):
    """Simulated time in which each turn of the loop takes some time."""

    def _run_once(self):
        self._virtual_selector.now += 1e-6
        super()._run_once()


class _Installed:
    """The document that a control host has installed."""

    def __init__(self, changed_at):
        self.changed_at = changed_at
        self.cut_off_at = NEVER

    @property
    def _linked_until(self):
        return min(_now(), self.cut_off_at)

    @property
    def confirmed_at(self):
        return self._linked_until - CONFIRMATION_AGE_S

    @property
    def age_s(self):
        return _now() - self.confirmed_at

    @property
    def version(self):
        is_new = self._linked_until >= self.changed_at + CHANGE_AGE_S
        number = 2 if is_new else 1
        return _installed.Version(number, f'change-{number}')

    @property
    def current(self):
        sections = {'service a': BASE}
        if self.version.number == 2:
            sections['service b'] = CHANGED
        return types.SimpleNamespace(sections=sections)

    def find_sections(self, version):
        return {'service a': BASE} if version.number == 1 else None

    def is_fresh(self):
        return True


class _ControlHost:
    """A control host, and the link to it."""

    def __init__(self, changed_at):
        self.installed = _Installed(changed_at)
        self.silent_at = NEVER
        self.is_up = True
        self.delay_s = 0.0
        self.watches = []
        watcher = types.SimpleNamespace(
            group=_messages.NO_GROUP,
            relays=0,
            install_from_replica=lambda: True,
        )
        self.server = _watch_server.WatchServer(self.installed, watcher, _now)

    async def wait_until_up(self, timeout_s):
        if self.is_up or _now() < self.silent_at:
            return True
        await asyncio.sleep(timeout_s)
        return False

    async def request(self, watch, timeout_s):
        self.watches.append((_now(), watch))
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(LATENCY_S)
                await self._wait_while_silent()
                reply = await self.server.handle_watch(watch, 0.0)
                await self._wait_while_silent()
                await asyncio.sleep(LATENCY_S + self.delay_s)
                return result.Success(reply)
        except TimeoutError:
            error = link.LinkError(link.LinkFailure.TIMEOUT)
            return result.Failure(error)

    async def _wait_while_silent(self):
        if _now() >= self.silent_at:
            await asyncio.sleep(1000.0)


class _Fleet:
    """A daemon, its control hosts, and a change at a given time."""

    def __init__(self, size, minority, changed_at=FAULT_AT):
        self.changed_at = changed_at
        self.hosts = [_ControlHost(changed_at) for _ in range(size)]
        # The own data centre comes first in the order.
        self.faulty = self.hosts[:minority]
        lines = (
            f'c{i} = dc{1 if i < minority else 2} 127.0.0.1:{100 + i} {KEY}\n'
            for i in range(size)
        )
        settings = _settings.parse_settings(SETTINGS + ''.join(lines))
        log = events.EventLog(
            'd1', clock.HybridClock(lambda: 0), structlog.get_logger()
        )
        self.installed = _installed.InstalledDocument(log, _now, False)
        self.watcher = _watch.Watcher(
            settings.unwrap(),
            self,
            self.installed,
            log,
            _now,
            random.Random(1),
            None,
            _texts.TextParser(),
            self._handle_change,
        )
        self.is_changed = asyncio.Event()

    def _handle_change(self):
        if self.installed.version.number == 2:
            self.is_changed.set()

    def connect(self, address):
        return self.hosts[int(address.endpoint[-3:]) - 100]

    async def measure_delay(self):
        """Return the seconds from the change to its installation."""
        watching = asyncio.create_task(self.watcher.run())
        # The change ends the hold time at each control host that gets it.
        for host in self.hosts:
            asyncio.get_running_loop().call_at(
                self.changed_at + CHANGE_AGE_S, host.server.notify
            )
        async with asyncio.timeout(60.0):
            await self.is_changed.wait()
        watching.cancel()
        return _now() - self.changed_at


def _now():
    return asyncio.get_running_loop().time()


def _find_longest_delay(size, minority, break_hosts):
    """Return the longest delay over times of the fault and the change.

    :param break_hosts: function(fleet, fault_at).
    """

    async def run(fault_at, changed_at):
        fleet = _Fleet(size, minority, changed_at)
        break_hosts(fleet, fault_at)
        return await fleet.measure_delay()

    # The fault meets each phase of a poll, the change each time around it.
    phases = [FAULT_AT + step * 0.13 for step in range(8)]
    offsets = [step * 0.15 - 0.3 for step in range(8)]
    return max(
        _run_simulated(run(fault_at, fault_at + offset))
        for fault_at, offset in itertools.product(phases, offsets)
    )


def _run_simulated(coroutine):
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(coroutine)


def _silence(fleet, fault_at):
    for host in fleet.faulty:
        host.silent_at = fault_at


def _silence_and_disconnect(fleet, fault_at):
    for host in fleet.faulty:
        host.silent_at, host.is_up = fault_at, False


def _cut_off(fleet, fault_at):
    for host in fleet.faulty:
        host.installed.cut_off_at = fault_at


def _cut_off_then_silence(fleet, fault_at):
    for host in fleet.faulty:
        host.installed.cut_off_at = fault_at
        # Their confirmations are then just under 1.2 s old.
        host.silent_at = fault_at + 1.19 - CONFIRMATION_AGE_S


def _silence_half_and_cut_off_half(fleet, fault_at):
    for host in fleet.faulty[::2]:
        host.silent_at = fault_at
    for host in fleet.faulty[1::2]:
        host.installed.cut_off_at = fault_at


def _stall_daemon(_fleet, fault_at):
    loop = asyncio.get_running_loop()

    def stall():
        loop._virtual_selector.now += 1.0

    loop.call_at(fault_at, stall)


def _slow_down(fleet, fault_at):
    # Reached, and slower than a poll that is answered at once may be.
    for host in fleet.faulty:
        host.delay_s = 0.7


@pytest.mark.parametrize('size, minority', [(3, 1), (5, 2), (11, 5)])
@pytest.mark.parametrize(
    'break_hosts',
    [
        _silence,
        _silence_and_disconnect,
        _cut_off,
        _cut_off_then_silence,
        _silence_half_and_cut_off_half,
        _slow_down,
        _stall_daemon,
    ],
)
def test_change_is_late_while_a_minority_fails(size, minority, break_hosts):
    """A daemon once asked one control host after another."""
    delay_s = _find_longest_delay(size, minority, break_hosts)
    print(f'{break_hosts.__name__} {size}: {delay_s:.2f} s')
    assert delay_s <= CONFIG_APPLY_S


async def _watch_until(fleet, end_at):
    watching = asyncio.create_task(fleet.watcher.run())
    await asyncio.sleep(end_at - _now())
    watching.cancel()


def test_sound_home_is_polled_once_per_hold_time():
    """Hedging must not add messages while nothing fails."""

    async def run():
        fleet = _Fleet(5, 2, NEVER)
        await _watch_until(fleet, 22.0)
        return [[at for at, _ in host.watches] for host in fleet.hosts]

    polls = _run_simulated(run())
    assert sum(map(bool, polls)) == 1
    # One for each hold time of 1 s, and the latency.
    settled = [at for at in itertools.chain(*polls) if at > 2.0]
    assert len(settled) <= 20


def test_one_late_reply_moves_all_daemons():
    """A control host that was late once keeps its registrations."""

    async def run(late_polls):
        fleet = _Fleet(5, 5, NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        homes = []
        watching = asyncio.create_task(fleet.watcher.run())
        await asyncio.sleep(3.1)
        for delay_s in (0.6,) * late_polls + (0.0, 0.0):
            homes.append(fleet.watcher.find_home())
            fleet.hosts[int(homes[-1].name[1:])].delay_s = delay_s
            await asyncio.sleep(1.6)
        watching.cancel()
        registered = [
            host
            for host in fleet.hosts
            if any(watch.tables for _, watch in host.watches)
        ]
        return len(set(homes)), len(registered)

    assert _run_simulated(run(1)) == (1, 1)
    assert _run_simulated(run(3)) == (2, 2)


def test_search_flips_the_home_and_its_registration():
    """Probes register nowhere; a lost home is left for the one that answered.

    The home is silent, and so is the control host that is asked first.
    """

    async def run():
        fleet = _Fleet(5, 2, NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        _silence(fleet, FAULT_AT)
        await _watch_until(fleet, FAULT_AT + 10.0)
        return fleet

    fleet = _run_simulated(run())
    registered = [
        [watch for _, watch in host.watches if watch.tables]
        for host in fleet.hosts
    ]
    assert sum(map(bool, registered[:2])) == 1, 'only the first home'
    assert sum(map(bool, registered[2:])) == 1, 'only the second home'


@pytest.mark.parametrize('size', [5, 11])
def test_outage_multiplies_the_polls(size):
    """While no control host confirms, at most seven are asked a second."""

    async def run():
        fleet = _Fleet(size, size, NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        _cut_off(fleet, FAULT_AT)
        await _watch_until(fleet, FAULT_AT + 22.0)
        return fleet

    fleet = _run_simulated(run())
    watches = [
        (at, watch)
        for host in fleet.hosts
        for at, watch in host.watches
        if at > FAULT_AT + 2.0
    ]
    assert len(watches) <= 20 * 7
    # The registration has a lease of 3 s at the home.
    reports = sorted(at for at, watch in watches if watch.tables)
    assert max(b - a for a, b in itertools.pairwise(reports)) < 2.0


def test_new_reports_hide_a_silent_home():
    """Reports that supersede a poll once restarted its timeout each time."""

    async def run(interval_s):
        fleet = _Fleet(5, 2, FAULT_AT + 0.1)
        _silence(fleet, FAULT_AT)
        loop = asyncio.get_running_loop()
        for step in range(int(10 / interval_s)):
            loop.call_at(step * interval_s, fleet.watcher.wake)
        return await fleet.measure_delay()

    for interval_s in (0.25, 0.45, 0.9):
        assert _run_simulated(run(interval_s)) <= CONFIG_APPLY_S
