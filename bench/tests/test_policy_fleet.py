"""Failure tests of admission, retries and quarantine on a local fleet."""

import asyncio
import time

import attrs

from cactusloft_bench import fleet
from cactusloft_bench import load

ACCOUNT = fleet.Account('estates')
CRASH_EXIT_CODE = 70


def build_request(path, plan):
    return load.Request('estates', ACCOUNT.key, 'POST', path, plan)


def list_crashed(running, names):
    return [
        name
        for name in names
        if running.get_stand_in(name).exit_code == CRASH_EXIT_CODE
    ]


def wait_for_server_starts(running, names, expected_starts):
    """Wait until each daemon has logged that many starts of its server."""
    for name in names:
        logged_starts = 0
        while logged_starts < expected_starts[name]:
            time.sleep(0.05)
            running.get_daemon(name).check_running()
            log = running.read_log(name)
            logged_starts = sum(1 for line in log if line['event_id'] == 300)


def test_crashing_request_loses_at_most_two_servers():
    """Guards against retries of one request that crash a whole service."""
    names = ['m1', 'm2', 'm3', 'm4']
    hosts = [fleet.Host('c1', is_control=True)]
    hosts += [fleet.Host(name, service='maps') for name in names]
    routes = [fleet.Route('maps', 'maps', '/maps', retries=3)]
    document = fleet.render_document([ACCOUNT], routes)
    harmless = build_request('/maps', load.Plan(nonce='innocent'))
    crashing = build_request('/maps', load.Plan(nonce='bad', crash=True))
    with fleet.Fleet(hosts, document) as running:
        expected_starts = dict.fromkeys(names, 1)
        lost = 0
        for _ in range(2):
            wait_for_server_starts(running, names, expected_starts)
            running.wait_until_whole(harmless, names)
            kinds = [running.send(name, crashing).kind for name in names]
            crashed = list_crashed(running, names)
            lost += len(crashed)
            for name in crashed:
                running.start_stand_in(name)
                expected_starts[name] += 1
        assert lost <= 2
        assert kinds == ['quarantined'] * len(names)
        running.wait_until_whole(harmless, names)


def test_overloaded_service_sheds_low_before_critical():
    """Guards against refusing critical calls while low ones are admitted."""
    hosts = [
        fleet.Host('c1', is_control=True),
        fleet.Host('o1', service='orders', slots=4, work_ms=40),
    ]
    routes = [
        fleet.Route('search', 'orders', '/search', priority='low'),
        fleet.Route('confirm', 'orders', '/confirm', priority='critical'),
    ]
    document = fleet.render_document([ACCOUNT], routes)

    def build_load(path, rate):
        return load.LoadSettings(
            targets=tuple(running.get_callers_url(h.name) for h in hosts),
            clients=(load.Client('estates', ACCOUNT.key, rate),),
            path=path,
            duration_s=3,
        )

    async def run_both():
        return await asyncio.gather(
            load.run_load(build_load('/search', 300)),
            load.run_load(build_load('/confirm', 8)),
        )

    with fleet.Fleet(hosts, document) as running:
        running.wait_until_whole(build_request('/confirm', load.Plan()))
        search, confirm = asyncio.run(run_both())
    assert search.total.failures
    assert confirm.total.whole == confirm.total.requests


def plan_nested_retries(service, path, plan):
    """Return a plan that makes the same nested call three times."""
    call = load.NestedCall(service, path, plan)
    return load.Plan(calls=(call,) * 3)


def test_retries_over_three_levels_stay_within_the_allowance():
    """Guards against retries that multiply at each level of nested calls."""
    hosts = [
        fleet.Host('b1', service='booking', is_control=True),
        fleet.Host('m1', service='maps'),
        fleet.Host('p1', service='permits'),
    ]
    routes = [
        fleet.Route('booking', 'booking', '/bookings', retries=2),
        fleet.Route('maps', 'maps', '/maps'),
        fleet.Route('permits', 'permits', '/permits'),
    ]
    document = fleet.render_document([ACCOUNT], routes)
    single = load.Plan(
        calls=(load.NestedCall('permits', '/permits', load.Plan()),)
    )
    chain = load.Plan(calls=(load.NestedCall('maps', '/maps', single),))
    permits_calls = plan_nested_retries(
        'permits', '/permits', load.Plan(nonce='deep')
    )
    plan = plan_nested_retries('maps', '/maps', permits_calls)
    with fleet.Fleet(hosts, document) as running:
        running.wait_until_whole(build_request('/bookings', chain))
        for number in range(3):
            before = running.fetch_records('p1')['started']
            request = attrs.evolve(plan, nonce=f'root-{number}')
            attempt = running.send('b1', build_request('/bookings', request))
            executions = running.fetch_records('p1')['started'] - before
            assert attempt.status == 502
            assert 1 <= executions <= 1 + 2
