"""Tests of a fleet of real daemons and stub servers."""

import asyncio
import re

import pytest

from cactusloft_bench import fleet
from cactusloft_bench import load

ACCOUNT = fleet.Account('estates')
ROUTES = (
    fleet.Route('booking', 'booking', '/bookings'),
    fleet.Route('maps', 'maps', '/maps'),
    fleet.Route('permits', 'permits', '/permits'),
)
HOSTS = (
    fleet.Host('c1', 'east', is_control=True),
    fleet.Host('b1', 'east', 'booking', slots=50),
    fleet.Host('m1', 'east', 'maps', slots=50),
    fleet.Host('m2', 'west', 'maps', slots=50),
    fleet.Host('p1', 'west', 'permits', slots=50),
)
CHAIN = load.Plan(
    calls=(
        load.NestedCall(
            'maps',
            '/maps',
            load.Plan(
                calls=(load.NestedCall('permits', '/permits', load.Plan()),)
            ),
        ),
    )
)


def build_request(path='/bookings', plan=CHAIN, key=ACCOUNT.key):
    return load.Request('estates', key, 'POST', path, plan)


@pytest.fixture(scope='module')
def running():
    document = fleet.render_document([ACCOUNT], ROUTES)
    with fleet.Fleet(HOSTS, document) as started:
        started.wait_until_whole(build_request())
        yield started


def test_chain_answers_whole_under_load(running):
    """Responses must not be lost or mixed up between concurrent chains."""
    settings = load.LoadSettings(
        targets=tuple(running.get_callers_url(h.name) for h in HOSTS),
        clients=(load.Client('estates', ACCOUNT.key, 60),),
        path='/bookings',
        plan=CHAIN,
        duration_s=2,
    )
    report = asyncio.run(load.run_load(settings))
    assert report.total.whole == report.total.requests > 60
    head = report.outcomes[0].attempts[0].head
    assert [n.service for n in head.nested] == ['maps', 'permits']


def test_no_backend_server_sees_a_key(running):
    """A backend server that received a key could act for its account."""
    running.wait_until_whole(build_request())
    for name in ('b1', 'm1', 'p1'):
        assert ACCOUNT.key not in str(running.fetch_records(name))


def test_unknown_key_is_refused(running):
    """A request with an unknown key must be refused before it runs."""
    attempt = running.send('b1', build_request(key='clk_unknown'))
    assert (attempt.status, attempt.not_run) == (401, 'true')


def test_daemon_serves_its_metrics(running):
    """Operators need the metrics of each daemon to diagnose an overload."""
    running.wait_until_whole(build_request())
    scrape = running.get_operator('b1').scrape()
    assert re.search(r'calls_total\{.*"booking".*"2xx"\} [1-9]', scrape)
    assert re.search(r'deliveries_total\{.*"success"\} [1-9]', scrape)
    assert re.search(r'backend_server_lease\{.*\} 1\.0', scrape)
    assert re.search(r'rate_grants_total\{.*"granted"\} [1-9]', scrape)
    assert re.search(r'rate_leases\{.*\} 1\.0', scrape)
    assert re.search(r'document_version\{.*\} 1\.0', scrape)


def test_restarted_server_serves_again(running):
    """A restart must clear both the drain and the old address."""
    running.get_stand_in('b1').stop()
    attempt = running.send('m1', build_request())
    assert attempt.kind == 'no_backend_server'
    assert attempt.not_run == 'true'
    running.start_stand_in('b1')
    running.wait_until_whole(build_request())


def test_work_moves_when_a_host_is_lost(running):
    """After a daemon is killed, calls must go to the remaining hosts."""
    running.get_daemon('m1').kill()
    running.wait_until_whole(build_request(), ['c1', 'b1'])
    running.start_daemon('m1')
    running.wait_for_daemon('m1')
    running.wait_until_whole(build_request('/maps', load.Plan()), ['m1'])
