"""Measure the costs of daemon processes through the proc file system."""

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
SETTLE_DELAY_S = 3.0
OBSERVATION_S = 10.0
IMPORT_STATEMENTS = (
    ('interpreter', 'pass'),
    ('aiohttp', 'import aiohttp.web'),
    ('OpenTelemetry', 'import opentelemetry.sdk.metrics'),
    ('all of the daemon', 'import cactusloftd._wiring'),
)


def probe_all():
    """Yield each :class:`_fits.Slope` that needs daemon processes."""
    yield from probe_calls()
    yield from probe_watches()
    yield from probe_changes()


def measure_imports():
    """Measure the resident memory of processes that only import modules.

    :returns: mapping from the name of a process to its resident megabytes.
    """
    print_status = "import sys; print(open('/proc/self/status').read())"
    sizes_mb = {}
    for name, statement in IMPORT_STATEMENTS:
        output = subprocess.run(
            [sys.executable, '-c', f'{statement}\n{print_status}'],
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        line = next(
            field for field in output.splitlines() if field.startswith('VmRSS')
        )
        sizes_mb[name] = int(line.split()[1]) / 1000
    return sizes_mb


def probe_calls():
    """Yield the processor time of a call at its entry and at its owner."""
    hosts = (
        fleet.Host('control', is_control=True),
        fleet.Host('entry'),
        fleet.Host('owner', service='maps', slots=100, work_ms=0.0),
    )
    with _start_fleet(hosts) as running:
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
                    * _measure_cpu_s(
                        pid, lambda: asyncio.run(_send_calls(url, count))
                    )
                ),
            )


def probe_watches():
    """Yield the costs of a control host and an idle daemon by fleet size.

    The daemons only register and watch; no calls are sent.
    """
    control_percents, control_sizes_mb, idle_percents = [], [], []
    for count in DAEMON_COUNTS:
        control = fleet.Host('control', is_control=True)
        idle_hosts = [fleet.Host(f'plain-{number}') for number in range(count)]
        with _start_fleet((control, *idle_hosts)) as running:
            control_pid = running.get_daemon('control').pid
            idle_pid = running.get_daemon('plain-0').pid
            time.sleep(SETTLE_DELAY_S)
            idle_before_s = _process_usage.read_usage(idle_pid).processor_s
            control_s = _measure_cpu_s(
                control_pid, lambda: time.sleep(OBSERVATION_S)
            )
            idle_after_s = _process_usage.read_usage(idle_pid).processor_s
            usage = _process_usage.read_usage(control_pid)
        control_percents.append(100 * control_s / OBSERVATION_S)
        idle_s = idle_after_s - idle_before_s
        idle_percents.append(100 * idle_s / OBSERVATION_S)
        control_sizes_mb.append(usage.private_mb)
    for name, unit, costs in (
        ('processor time of a control host', '% of a core', control_percents),
        ('memory of a control host', 'MB private', control_sizes_mb),
        ('processor time of an idle daemon', '% of a core', idle_percents),
    ):
        yield _fits.fit(name, 'daemons', unit, DAEMON_COUNTS, costs)


def probe_changes():
    """Yield the cost of document changes at the leader and at a watcher."""
    hosts = (
        fleet.Host('control', is_control=True),
        fleet.Host('other'),
    )
    with _start_fleet(hosts) as running:
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
                    * _measure_cpu_s(
                        pid, lambda: _apply_changes(running, operator, count)
                    )
                ),
            )


def _start_fleet(hosts):
    document = fleet.render_document([ACCOUNT], ROUTES)
    return fleet.Fleet(hosts, document)


def _apply_changes(running, operator, count):
    first_version = operator.read_status()['version']
    for version in range(first_version, first_version + count):
        account = fleet.Account('estates', rate=1e6 + version, burst=1e6)
        text = fleet.render_document([account], ROUTES)
        result = operator.apply(version, f'change-{version}', text)
        if not result.is_accepted:
            raise fleet.FleetError(f'document change was refused: {result}')
    running.wait_for_version(first_version + count)


def _measure_cpu_s(pid, action):
    """Return the processor seconds that a process uses during ``action``."""
    before_s = _process_usage.read_usage(pid).processor_s
    action()
    return _process_usage.read_usage(pid).processor_s - before_s


def _make_request(number):
    plan = load.Plan(nonce=str(number), answer_bytes=500)
    return load.Request(ACCOUNT.name, ACCOUNT.key, 'POST', '/maps', plan)


async def _send_calls(url, count):
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            request = _make_request(number)
            attempt = await load.send_attempt(session, url, request)
            if not attempt.is_whole:
                raise fleet.FleetError(f'call failed: {attempt}')
