"""Costs of real daemon processes, read from the proc file system."""

import asyncio
import subprocess
import sys
import time

import aiohttp

from cactusloft_bench import _process_usage
from cactusloft_bench.capacity import _fits
from cactusloft_bench import fleet
from cactusloft_bench import load

ACCOUNT = fleet.Account('estates', rate=1e6, burst=1e6)
ROUTES = (fleet.Route('maps', 'maps', '/maps'),)
CALL_COUNTS = (400, 800, 1600)
DAEMON_COUNTS = (10, 40, 100)
CHANGE_COUNTS = (10, 20, 40)
SETTLE_S = 3.0
WATCH_S = 10.0
IMPORTS = (
    ('interpreter', 'pass'),
    ('aiohttp', 'import aiohttp.web'),
    ('OpenTelemetry', 'import opentelemetry.sdk.metrics'),
    ('all of the daemon', 'import cactusloftd._wiring'),
)


def probe_all():
    """Yield every :class:`Slope` that needs daemon processes."""
    yield from probe_calls()
    yield from probe_watches()
    yield from probe_changes()


def measure_imports():
    """Return resident megabytes of processes that only import.

    :returns: mapping from name to megabytes.
    """
    read = "import sys; print(open('/proc/self/status').read())"
    sizes = {}
    for name, statement in IMPORTS:
        output = subprocess.run(
            [sys.executable, '-c', f'{statement}\n{read}'],
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        line = next(x for x in output.splitlines() if x.startswith('VmRSS'))
        sizes[name] = int(line.split()[1]) / 1000
    return sizes


def probe_calls():
    """Measure the processor time of a call at its entry and owner."""
    hosts = (
        fleet.Host('control', is_control=True),
        fleet.Host('entry'),
        fleet.Host('owner', service='maps', slots=100, work_ms=0.0),
    )
    with _start(hosts) as running:
        running.wait_until_whole(_make_request(0))
        for entry, daemon, name in (
            ('owner', 'owner', 'call at entry and owner in one'),
            ('entry', 'entry', 'call at its entry'),
            ('entry', 'owner', 'call at its owner'),
        ):
            url = running.get_callers_url(entry)
            pid = running.get_daemon(daemon).pid
            yield _fits.measure(
                name,
                'calls',
                'ms of processor time',
                CALL_COUNTS,
                lambda count, url=url, pid=pid: (
                    1e3
                    * _measure_processor(
                        pid, lambda: asyncio.run(_send_calls(url, count))
                    )
                ),
            )


def probe_watches():
    """Measure what registered daemons cost their control host."""
    processor, memory, other = [], [], []
    for count in DAEMON_COUNTS:
        control = fleet.Host('control', is_control=True)
        plain = [fleet.Host(f'plain-{number}') for number in range(count)]
        with _start((control, *plain)) as running:
            pid = running.get_daemon('control').pid
            other_pid = running.get_daemon('plain-0').pid
            time.sleep(SETTLE_S)
            before = _process_usage.read_usage(other_pid).processor_s
            spent = _measure_processor(pid, lambda: time.sleep(WATCH_S))
            after = _process_usage.read_usage(other_pid).processor_s
            usage = _process_usage.read_usage(pid)
        processor.append(100 * spent / WATCH_S)
        other.append(100 * (after - before) / WATCH_S)
        memory.append(usage.private_mb)
    for name, unit, costs in (
        ('processor time of a control host', '% of a core', processor),
        ('memory of a control host', 'MB private', memory),
        ('processor time of an idle daemon', '% of a core', other),
    ):
        yield _fits.fit(name, 'daemons', unit, DAEMON_COUNTS, costs)


def probe_changes():
    """Measure document changes at the leader and at a watching daemon."""
    hosts = (
        fleet.Host('control', is_control=True),
        fleet.Host('other'),
    )
    with _start(hosts) as running:
        operator = running.get_operator('control')
        for daemon, name in (
            ('control', 'document change at the leader'),
            ('other', 'document change at a daemon'),
        ):
            pid = running.get_daemon(daemon).pid
            yield _fits.measure(
                name,
                'changes',
                'ms of processor time',
                CHANGE_COUNTS,
                lambda count, pid=pid: (
                    1e3
                    * _measure_processor(
                        pid, lambda: _apply_changes(running, operator, count)
                    )
                ),
            )


def _start(hosts):
    document = fleet.render_document([ACCOUNT], ROUTES)
    return fleet.Fleet(hosts, document)


def _apply_changes(running, operator, count):
    first = operator.read_status()['version']
    for version in range(first, first + count):
        account = fleet.Account('estates', rate=1e6 + version, burst=1e6)
        text = fleet.render_document([account], ROUTES)
        answer = operator.apply(version, f'change-{version}', text)
        if not answer.is_accepted:
            raise fleet.FleetError(str(answer))
    running.wait_for_version(first + count)


def _measure_processor(pid, act):
    """Return processor seconds of a process while ``act`` runs."""
    before = _process_usage.read_usage(pid).processor_s
    act()
    return _process_usage.read_usage(pid).processor_s - before


def _make_request(number):
    plan = load.Plan(nonce=str(number), answer_bytes=500)
    return load.Request(ACCOUNT.name, ACCOUNT.key, 'POST', '/maps', plan)


async def _send_calls(url, count):
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            request = _make_request(number)
            attempt = await load.send_attempt(session, url, request)
            if not attempt.is_whole:
                raise fleet.FleetError(str(attempt))
