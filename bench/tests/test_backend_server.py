"""Tests of the load generator against the stub backend server."""

import asyncio
import contextlib
import json
import subprocess
import sys

import aiohttp
import pytest

from cactusloft_bench import backend_server
from cactusloft_bench import load


@contextlib.asynccontextmanager
async def run_server(behaviour=None, **fields):
    settings = backend_server.ServerSettings('maps', 'maps-1', **fields)
    server = backend_server.StubBackendServer(
        settings, behaviour or backend_server.Behaviour(work_ms=1)
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def fetch_records(url):
    async with aiohttp.ClientSession() as session:
        async with session.get(f'{url}/_stand_in/records') as response:
            return await response.json()


def build_load_settings(url, **fields):
    clients = (
        load.Client('estates', 'clk_a', 100, retries=1),
        load.Client('dealers', 'clk_b', 50),
    )
    return load.LoadSettings((url,), clients, '/maps', duration_s=1, **fields)


@pytest.mark.parametrize('answer_bytes', [0, 100_000])
def test_each_client_receives_its_own_response(answer_bytes):
    """Guard against responses that reach the wrong request unnoticed."""

    async def run():
        async with run_server() as server:
            settings = build_load_settings(
                server.url,
                plan=load.Plan(answer_bytes=answer_bytes),
                has_idempotency_keys=True,
                max_requests=60,
            )
            report = await load.run_load(settings)
            return report, await fetch_records(server.url)

    report, records = asyncio.run(run())
    assert report.total.whole == report.total.requests == 60
    assert {f.account for f in report.accounts} == {'dealers', 'estates'}
    assert sum(records['executions'].values()) == 60
    assert 'Bearer clk_a' in records['headers']['authorization']


def test_shed_requests_are_reported_as_not_run():
    """A shed request without the not-run header could not be retried."""
    behaviour = backend_server.Behaviour(shed_above=0)

    async def run():
        async with run_server(behaviour) as server:
            return await load.run_load(
                build_load_settings(server.url, max_requests=9)
            )

    report = asyncio.run(run())
    assert report.total.whole == 0
    assert set(report.total.failures) == {'status_503'}
    assert report.total.attempts > report.total.requests
    assert all(outcome.is_surely_not_run for outcome in report.outcomes)


def test_slots_limit_concurrent_requests():
    """Without a limit on concurrency, tests could not overload the stub."""

    async def run():
        async with run_server(slots=2) as server:
            await load.run_load(
                build_load_settings(server.url, max_requests=40)
            )
            return await fetch_records(server.url)

    assert asyncio.run(run())['most_in_flight'] <= 2


def test_process_reports_its_url_and_exits_on_crash_request():
    """A crash request must end the process without a response."""
    command = [sys.executable, '-m', 'cactusloft_bench.backend_server']
    command += ['--service', 'maps', '--instance', 'maps-1']
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    url = json.loads(process.stdout.readline())['url']
    request = load.Request(
        'estates', '', 'POST', '/maps', load.Plan(crash=True)
    )

    async def run():
        async with aiohttp.ClientSession() as session:
            return await load.send_attempt(session, url, request)

    with process:
        attempt = asyncio.run(run())
        assert attempt.kind == 'connection_failed'
        assert process.wait(timeout=20) == 70
