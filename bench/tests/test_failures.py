"""Failure tests: processes are killed, drained, frozen or attacked."""

import asyncio
from concurrent import futures
import re
import socket

import pytest
import zmq

from cactusloft_bench import fleet
from cactusloft_bench import load

ACCOUNT = fleet.Account('estates')
ROUTES = (
    fleet.Route('maps', 'maps', '/maps', deadline_ms=30_000),
    fleet.Route('order', 'maps', '/orders', idempotent=False),
)
HOSTS = (
    fleet.Host('c1', is_control=True),
    fleet.Host('e1'),
    fleet.Host('m1', service='maps', slots=60),
    fleet.Host('m2', service='maps', slots=60),
    fleet.Host('m3', service='maps', slots=60),
)
SMALL = load.Plan(nonce='probe')
LARGE = load.Plan(answer_bytes=1_000_000, pause_ms=5)


def build_request(path='/maps', plan=SMALL):
    return load.Request('estates', ACCOUNT.key, 'POST', path, plan)


@pytest.fixture(scope='module')
def running():
    document = fleet.render_document([ACCOUNT], ROUTES)
    with fleet.Fleet(HOSTS, document) as started:
        yield started


@pytest.fixture
def serving(running):
    """Return the fleet with all processes that a test stopped restarted."""
    for host in HOSTS:
        if running.get_daemon(host.name).exit_code is not None:
            running.start_daemon(host.name)
            running.wait_for_daemon(host.name)
        if host.service:
            running.get_stand_in(host.name).stop()
            running.start_stand_in(host.name)
    running.wait_until_whole(build_request(), ['e1', 'm1'])
    for name, members in (('e1', 3), ('m1', 2)):
        running.wait_until(
            lambda: count_members(running, name) == members,
            f'{members} members known at {name}',
        )
    return running


def count_members(running, name):
    scrape = running.get_operator(name).scrape()
    found = re.search(r'^cactusloft_members\{.*\} (\d)', scrape, re.MULTILINE)
    return int(found.group(1)) if found else 0


def start_load(pool, running, names, path='/maps', plan=SMALL, rate=40):
    settings = load.LoadSettings(
        targets=tuple(running.get_callers_url(name) for name in names),
        clients=(load.Client('estates', ACCOUNT.key, rate),),
        path=path,
        plan=plan,
        deadline_ms=20_000,
        duration_s=4,
        has_idempotency_keys=path == '/orders',
    )
    return pool.submit(asyncio.run, load.run_load(settings))


def count_in_progress(running, name):
    records = running.fetch_records(name)
    return records['started'] - records['finished'] - records['cancelled']


def count_executions(running):
    """Return the executions of each idempotency key on all servers."""
    counts = {}
    for name in ('m1', 'm2', 'm3'):
        for key, runs in running.fetch_records(name)['executions'].items():
            counts[key] = counts.get(key, 0) + runs
    return counts


def test_answers_are_whole_or_visibly_cut_when_daemons_die(serving):
    """A truncated stream must not be taken for a complete response."""
    with futures.ThreadPoolExecutor() as pool:
        loaded = start_load(pool, serving, ['e1'], plan=LARGE, rate=15)
        for name in ('m1', 'm2'):
            serving.wait_until(
                lambda: count_in_progress(serving, name) > 1,
                f'streams at {name}',
            )
            serving.get_daemon(name).kill()
    report = loaded.result()
    assert 'not_own_answer' not in report.total.failures
    assert 'status_200' not in report.total.failures
    assert report.total.failures.get('truncated', 0) > 0
    assert report.total.whole > 0


def test_drained_server_gets_no_new_work(serving):
    """A draining server would abort requests that are still routed to it."""
    with futures.ThreadPoolExecutor() as pool:
        loaded = start_load(pool, serving, ['e1', 'm1'])
        serving.drain_stand_in('m1')
        started = serving.fetch_records('m1')['started']
    report = loaded.result()
    assert report.total.whole == report.total.requests > 0
    assert serving.fetch_records('m1')['started'] == started


def test_graceful_shutdown_cuts_no_request(serving):
    """An upgrade must not lose requests or run them without a response."""
    plan = load.Plan(work_ms=100)
    with futures.ThreadPoolExecutor() as pool:
        loaded = start_load(pool, serving, ['e1', 'm1'], '/orders', plan)
        serving.wait_until(
            lambda: count_in_progress(serving, 'm1') > 0, 'work at m1'
        )
        daemon = serving.get_daemon('m1')
        daemon.terminate()
        assert daemon.wait() == 0
    executions = count_executions(serving)
    for outcome in loaded.result().outcomes:
        runs = executions.get(outcome.request.idempotency_key, 0)
        assert runs == (1 if outcome.is_whole else 0), outcome.attempts
    kinds = set(loaded.result().total.failures)
    assert kinds <= {'shutting_down', 'connection_failed'}


def test_frozen_daemon_is_left_out_and_comes_back(serving):
    """A frozen daemon sends no replies while its connections stay open."""
    daemon = serving.get_daemon('m1')
    daemon.freeze()
    with futures.ThreadPoolExecutor() as pool:
        report = start_load(pool, serving, ['e1'], rate=10).result()
    assert 'not_own_answer' not in report.total.failures
    serving.wait_until_whole(build_request(), ['e1', 'c1'])
    daemon.resume()
    serving.wait_until_whole(build_request(), ['m1'])


HOSTILE_BYTES = {
    'random': bytes(range(256)) * 64,
    'endless head': b'GET / HTTP/1.1\r\nX: ' + b'a' * 200_000,
    'many headers': b'GET / HTTP/1.1\r\n' + b'A: b\r\n' * 20_000 + b'\r\n',
    'two lengths': b'POST /maps HTTP/1.1\r\nHost: a\r\n'
    b'Content-Length: 5\r\nContent-Length: 50\r\n\r\nhello',
    'smuggled': b'POST /maps HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /maps HTTP/1.1\r\n\r\n',
    'negative chunk': b'POST /maps HTTP/1.1\r\nHost: a\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n',
    'absolute target': b'GET http://127.0.0.1:1/maps HTTP/1.1\r\n\r\n',
    'binary path': b'GET /\xff\xfe%00%zz HTTP/1.1\r\nHost: a\r\n\r\n',
    'zeros': b'\0' * 100_000,
}


def send_bytes(endpoint, content):
    """Send bytes; return what arrives before the end or a read timeout."""
    address, _, port = endpoint.rpartition(':')
    received = b''
    with socket.create_connection((address, int(port)), 10) as connection:
        connection.settimeout(0.5)
        try:
            connection.sendall(content)
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            # The daemon may refuse and reset before all bytes are sent.
            return received
    return received


@pytest.mark.parametrize('listener', ['callers', 'backend', 'admin', 'peers'])
def test_hostile_bytes_harm_nobody_else(running, listener):
    """A malformed request must neither run nor crash the daemon."""
    running.wait_until_whole(build_request(), ['e1'])
    pid = running.get_daemon('e1').pid
    for name, content in HOSTILE_BYTES.items():
        response = send_bytes(running.get_endpoint('e1', listener), content)
        assert b'HTTP/1.1 200' not in response, name
        assert ACCOUNT.key.encode() not in response
    assert running.get_daemon('e1').exit_code is None
    assert running.get_daemon('e1').pid == pid
    assert running.send('e1', build_request()).is_whole


def test_peer_with_unknown_key_is_refused(running):
    """A peer that gets in could run calls for any account."""
    endpoint = running.get_endpoint('e1', 'peers')
    context = zmq.Context()
    socket_ = context.socket(zmq.DEALER)
    socket_.linger = 0
    public, secret = zmq.curve_keypair()
    socket_.curve_publickey, socket_.curve_secretkey = public, secret
    socket_.curve_serverkey = running.get_public_key('e1').encode()
    socket_.connect(f'tcp://{endpoint}')
    socket_.send_multipart([b'\x01' * 36, b'', b''])
    assert not socket_.poll(1000)
    context.destroy(linger=0)
    events = [line['event'] for line in running.read_log('e1')]
    assert 'peer_refused' in events
    assert running.send('e1', build_request()).is_whole
