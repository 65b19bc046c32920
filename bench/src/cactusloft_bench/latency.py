"""Measure the latency that the layer adds and the cost of an idle daemon.

Run it with ``python -m cactusloft_bench.latency``. Calls go directly to a stub
backend server, through its own daemon, and through another daemon. The paths
take turns in one run, so that other load on the machine affects all alike.
"""

import argparse
import asyncio
import json
import pstats
import time

import aiohttp
import attrs

from cactusloft_bench import _process_usage
from cactusloft_bench import _report
from cactusloft_bench import fleet
from cactusloft_bench import load

# Target for the added latency, from section 1.4 of the design.
TARGET_P99_MS = 1.9
WARM_UP_ROUNDS = 300
IDLE_PERIOD_S = 10.0
MAX_PROFILED_FUNCTIONS = 45
ACCOUNT = fleet.Account('estates', rate=1e6, burst=1e6)
ROUTES = (fleet.Route('maps', 'maps', '/maps'),)
HOSTS = (
    fleet.Host('control', is_control=True),
    fleet.Host('entry'),
    fleet.Host('owner', service='maps', slots=100, work_ms=0.0),
)
PATHS = ('direct', 'local_owner', 'remote_owner')


@attrs.frozen
class PathLatency:
    """Latency of one path, whole and in excess of a direct call.

    :ivar whole: percentiles of the whole call in milliseconds.
    :ivar added: percentiles of the excess over the direct call of the same
        round, in milliseconds.
    """

    path: str
    whole: _report.Latency
    added: _report.Latency


@attrs.frozen
class CallCost:
    """Processor time of a daemon for one call, in microseconds."""

    path: str
    daemon: str
    processor_us: float


@attrs.frozen
class IdleCost:
    """Memory and processor time of a daemon without calls.

    :ivar core_share: processor time as a share of one core.
    """

    daemon: str
    resident_mb: float
    private_mb: float
    core_share: float


def _build_request(nonce, answer_bytes):
    plan = load.Plan(nonce=nonce, answer_bytes=answer_bytes)
    return load.Request(ACCOUNT.name, ACCOUNT.key, 'POST', '/maps', plan)


async def _time_call(session, url, request):
    started = time.perf_counter()
    attempt = await load.send_attempt(session, url, request)
    elapsed_s = time.perf_counter() - started
    if not attempt.is_whole:
        raise fleet.FleetError(f'{url}: {attempt}')
    return elapsed_s


async def _run_worker(session, urls, rounds, worker_id, answer_bytes):
    """Return the call times of each URL in seconds, in order of rounds."""
    times_s = [[] for _ in urls]
    for round_number in range(rounds):
        request = _build_request(f'{worker_id}-{round_number}', answer_bytes)
        # Each round starts with the next URL, so that no path benefits from
        # its position in the round.
        for offset in range(len(urls)):
            position = (round_number + offset) % len(urls)
            elapsed_s = await _time_call(session, urls[position], request)
            times_s[position].append(elapsed_s)
    return times_s


async def _measure_paths(urls, options):
    async with aiohttp.ClientSession() as session:
        rounds = options.rounds // options.concurrency
        results = await asyncio.gather(
            *(
                _run_worker(
                    session, urls, rounds, number, options.answer_bytes
                )
                for number in range(options.concurrency)
            )
        )
    merged = [sum((r[position] for r in results), []) for position in range(3)]
    return [
        PathLatency(
            path=path,
            whole=_report.summarize_latencies(times_s),
            added=_report.summarize_latencies(
                path_s - direct_s
                for path_s, direct_s in zip(times_s, merged[0], strict=True)
            ),
        )
        for path, times_s in zip(PATHS, merged, strict=True)
    ]


async def _warm_up(urls):
    async with aiohttp.ClientSession() as session:
        await _run_worker(session, urls, WARM_UP_ROUNDS, 'warm', 0)


def _read_processor_s(running, names):
    return [
        _process_usage.read_usage(running.get_daemon(name).pid).processor_s
        for name in names
    ]


def _measure_costs(running, urls, options):
    """Yield the processor time of each daemon for one call of each path."""
    names = ('owner', 'entry')
    paths = {'local_owner': urls[1], 'remote_owner': urls[2]}
    for path, url in paths.items():
        before = _read_processor_s(running, names)
        asyncio.run(_run_calls(url, options))
        after = _read_processor_s(running, names)
        for name, start_s, end_s in zip(names, before, after, strict=True):
            call_us = 1e6 * (end_s - start_s) / options.rounds
            yield CallCost(path, name, call_us)


async def _run_calls(url, options):
    async with aiohttp.ClientSession() as session:
        await _run_worker(
            session, [url], options.rounds, 'cost', options.answer_bytes
        )


def _measure_idle(running):
    pids = {h.name: running.get_daemon(h.name).pid for h in HOSTS}
    before = {name: _process_usage.read_usage(p) for name, p in pids.items()}
    time.sleep(IDLE_PERIOD_S)
    for name, pid in pids.items():
        usage = _process_usage.read_usage(pid)
        spent_s = usage.processor_s - before[name].processor_s
        yield IdleCost(
            name, usage.resident_mb, usage.private_mb, spent_s / IDLE_PERIOD_S
        )


def _show_paths(paths):
    print(f'{"path":14} {"p50 ms":>8} {"p99 ms":>8}  added p50, p99')
    for path in paths:
        print(
            f'{path.path:14} {path.whole.p50:8.2f} {path.whole.p99:8.2f}  '
            f'{path.added.p50:.2f}, {path.added.p99:.2f} '
            f'(target p99 {TARGET_P99_MS})'
        )


def _show_costs(costs):
    for cost in costs:
        print(
            f'{cost.path:14} {cost.daemon:6} '
            f'{cost.processor_us:7.0f} us of processor time a call'
        )


def _show_idle(costs):
    for cost in costs:
        print(
            f'{cost.daemon:14} {cost.resident_mb:6.1f} MB resident, '
            f'{cost.private_mb:.1f} MB of it private, '
            f'{100 * cost.core_share:.2f}% of a core idle'
        )


def _show_profile(running, name):
    path = running.get_profile_path(name)
    print(f'\nWhere the daemon "{name}" spends its time:', flush=True)
    stats = pstats.Stats(str(path))
    stats.sort_stats('tottime').print_stats(MAX_PROFILED_FUNCTIONS)


def _build_parser():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--rounds', type=int, default=3000)
    parser.add_argument('--concurrency', type=int, default=1)
    parser.add_argument('--answer-bytes', type=int, default=500)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--json', action='store_true')
    return parser


def main(arguments=None):
    """Measure and print the figures."""
    options = _build_parser().parse_args(arguments)
    document = fleet.render_document([ACCOUNT], ROUTES)
    with fleet.Fleet(HOSTS, document, is_profiled=options.profile) as running:
        running.wait_until_whole(_build_request('first', 0))
        urls = [
            running.get_stand_in_url('owner'),
            running.get_callers_url('owner'),
            running.get_callers_url('entry'),
        ]
        asyncio.run(_warm_up(urls))
        paths = asyncio.run(_measure_paths(urls, options))
        costs = list(_measure_costs(running, urls, options))
        idle = [] if options.profile else list(_measure_idle(running))
        if options.profile:
            for name in ('entry', 'owner'):
                running.get_daemon(name).stop()
                _show_profile(running, name)
    if options.json:
        figures = {'paths': paths, 'calls': costs, 'idle': idle}
        print(json.dumps(figures, default=attrs.asdict, indent=2))
        return
    _show_paths(paths)
    _show_costs(costs)
    _show_idle(idle)


if __name__ == '__main__':
    main()
