"""A daemon and its scripted control hosts, in simulated time.

Each control host answers as a watch server does, until it falls silent, is
cut off from the control leader or turns slow.
"""

import asyncio
import random
import types

from returns import result
import structlog

from cactusloft_bench import _virtual_loop
from cactusloft_consensus import evacuations as evacuation_sets
import cactusloft_link as link
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

    evacuations = evacuation_sets.NO_EVACUATIONS

    def __init__(self, changed_at):
        self.changed_at = changed_at
        self.changed = CHANGED
        self.new_number = 2
        self.cut_off_at = NEVER

    @property
    def _linked_until(self):
        return min(now(), self.cut_off_at)

    @property
    def confirmed_at(self):
        return self._linked_until - CONFIRMATION_AGE_S

    @property
    def age_s(self):
        return now() - self.confirmed_at

    @property
    def version(self):
        is_new = self._linked_until >= self.changed_at + CHANGE_AGE_S
        number = self.new_number if is_new else 1
        return _installed.Version(number, f'change-{number}')

    @property
    def current(self):
        sections = {'service a': BASE}
        if self.version.number > 1:
            sections[self.changed.name] = self.changed
        return types.SimpleNamespace(sections=sections)

    def find_sections(self, version):
        return {'service a': BASE} if version.number == 1 else None

    def is_fresh(self):
        return True


class ControlHost:
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
        self.versions = _rollout.InstalledVersions(now)
        self.server = _watch_server.WatchServer(
            self.installed, watcher, now, self.versions
        )

    async def wait_until_up(self, timeout_s):
        if self.is_up or now() < self.silent_at:
            return True
        await asyncio.sleep(timeout_s)
        return False

    async def request(self, watch, timeout_s):
        self.watches.append((now(), watch))
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
        if now() >= self.silent_at:
            await asyncio.sleep(1000.0)


class Fleet:
    """A daemon, its control hosts, and a change at a given time."""

    def __init__(self, size, minority, changed_at=FAULT_AT):
        self.changed_at = changed_at
        self.hosts = [ControlHost(changed_at) for _ in range(size)]
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
        self.installed = _installed.InstalledDocument(log, now, False)
        self.watcher = _watch.Watcher(
            settings.unwrap(),
            self,
            self.installed,
            log,
            now,
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
        return now() - self.changed_at


def now():
    return asyncio.get_running_loop().time()


def run_simulated(coroutine):
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(coroutine)


def silence(fleet, fault_at):
    """Let the faulty control hosts answer no more."""
    for host in fleet.faulty:
        host.silent_at = fault_at


def cut_off(fleet, fault_at):
    """Cut the faulty control hosts off from the control leader."""
    for host in fleet.faulty:
        host.installed.cut_off_at = fault_at
