"""Failure tests of the exchange of registrations, with daemon processes."""

import contextlib
import http.client
import http.server
import json
import re
import threading
import time

import pytest

from cactusloft_model import events

ANNOUNCE_INTERVAL_S = 0.5

DOCUMENT = """
[service booking]

[route book]
service = booking
method = GET
path = /bookings
idempotent = yes
access = open
"""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        if self.path.endswith('crash'):
            self.close_connection = True
            return
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.end_headers()

    def log_message(self, *_args):
        return


class _BackendServer:
    """A backend server beside a daemon that renews its announcement."""

    def __init__(self, process):
        self._process = process
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), _Handler
        )
        self._stopping = threading.Event()
        self.instance = 'first'
        for task in (self._server.serve_forever, self._announce):
            threading.Thread(target=task, daemon=True).start()

    def post(self, path, body=None):
        connection = http.client.HTTPConnection(
            '127.0.0.1', self._process.ports['backend'], timeout=15
        )
        with contextlib.closing(connection):
            connection.request('POST', path, json.dumps(body))
            connection.getresponse().read()

    def close(self):
        self._stopping.set()
        self._server.shutdown()
        self._server.server_close()

    def _announce(self):
        while not self._stopping.wait(ANNOUNCE_INTERVAL_S):
            announcement = {
                'service': 'booking',
                'instance': self.instance,
                'url': f'http://127.0.0.1:{self._server.server_port}',
                'slots': 4,
                'connections': 8,
            }
            with contextlib.suppress(OSError):
                self.post('/v1/announce', announcement)


@pytest.fixture
def serve():
    servers = []

    def start(process):
        servers.append(_BackendServer(process))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def _call(process, target='/bookings'):
    connection = http.client.HTTPConnection(
        '127.0.0.1', process.ports['callers'], timeout=15
    )
    with contextlib.closing(connection):
        connection.request('GET', target)
        response = connection.getresponse()
        response.read()
        return response.status


def _count_events(process, event):
    _, records = process.ask('GET', '/v1/events')
    return sum(record['event'] == int(event) for record in records)


def _count_members(process):
    """Return the number of members that a daemon may choose."""
    text = process.read_metrics()
    match = re.search(r'^cactusloft_members\{.*\} (\d+)', text, re.MULTILINE)
    return int(match[1]) if match else 0


def _start_two_homes(make_fleet):
    """Return a fleet of two daemons that watch different control hosts."""
    return make_fleet(
        ['c1'],
        relays=['r1', 'r2'],
        plain=['d1', 'd2'],
        watched={'d1': ['r1'], 'd2': ['r2']},
    )


def test_drain_reaches_daemons_of_other_homes(make_fleet, wait, serve):
    """Daemons of other homes must send no calls to a drained server."""
    fleet = _start_two_homes(make_fleet)
    owner, entry = fleet.plain
    assert fleet.replicas[0].apply(0, 'first', DOCUMENT)[0] == 200
    server = serve(owner)
    wait(lambda: _call(entry) == 200)
    assert _count_members(entry) == 1
    server.post('/v1/drain')
    wait(lambda: _count_members(entry) == 0)
    server.instance = 'second'
    wait(lambda: _call(entry) == 200)


def test_restarted_daemon_forgets_a_drain(make_fleet, wait, serve):
    """Neither its own callers nor others must reach the drained server."""
    fleet = _start_two_homes(make_fleet)
    owner, entry = fleet.plain
    assert fleet.replicas[0].apply(0, 'first', DOCUMENT)[0] == 200
    server = serve(owner)
    wait(lambda: _call(entry) == 200)
    server.post('/v1/drain')
    wait(lambda: _count_members(entry) == 0)
    owner.kill()
    owner.start()
    wait(lambda: owner.read_status().get('is_fresh'))
    # Its backend server has announced itself again.
    wait(lambda: _count_events(owner, events.Event.BACKEND_SERVER_ANNOUNCED))
    wait(lambda: _call(owner) != 200)
    for _ in range(20):
        assert _call(owner) != 200
        assert _call(entry) != 200
        time.sleep(ANNOUNCE_INTERVAL_S / 10)
    server.instance = 'second'
    wait(lambda: _call(entry) == 200)
    wait(lambda: _call(owner) == 200)


@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_members_are_current_without_a_control_host(
    make_fleet, wait, serve, fault
):
    """Daemons must get members from another home when theirs is lost.

    Each relay is lost in turn, since a daemon may use either as its home.
    """
    fleet = make_fleet(['c1'], relays=['r1', 'r2'], plain=['d1', 'd2'])
    owner, entry = fleet.plain
    assert fleet.replicas[0].apply(0, 'first', DOCUMENT)[0] == 200
    server = serve(owner)
    wait(lambda: _call(entry) == 200)
    for relay in fleet.relays:
        getattr(relay, fault)()
        wait(lambda: _call(entry) == 200)
        server.post('/v1/drain')
        wait(lambda: _count_members(entry) == 0)
        server.instance = f'after {relay.name}'
        wait(lambda: _call(entry) == 200)
        relay.start() if fault == 'kill' else relay.resume()
        wait(lambda: relay.read_status().get('is_fresh'))


def test_stopping_daemon_is_known_before_it_ends(make_fleet, wait, serve):
    """No calls must be sent to a daemon that is about to stop."""
    fleet = _start_two_homes(make_fleet)
    owner, entry = fleet.plain
    assert fleet.replicas[0].apply(0, 'first', DOCUMENT)[0] == 200
    serve(owner)
    wait(lambda: _call(entry) == 200)
    owner.stop()
    # The registration of an ended daemon expires after 3 s; the daemon must
    # be shown as not serving before that.
    seen = []

    def is_shown_as_stopping():
        _, members = entry.ask('GET', '/v1/members')
        seen.extend(m for m in members if m['name'] == owner.name)
        return any(not member['is_serving'] for member in seen)

    wait(is_shown_as_stopping)
    assert owner.wait() == 0


def test_crash_mark_reaches_daemons_of_other_homes(make_fleet, wait, serve):
    """Daemons of other homes must not dispatch a request that was marked.

    It would otherwise crash backend servers through those daemons.
    """
    fleet = _start_two_homes(make_fleet)
    owner, other = fleet.plain
    assert fleet.replicas[0].apply(0, 'first', DOCUMENT)[0] == 200
    serve(owner)
    # The other daemon knows the member, so only the crash mark can keep it
    # from dispatching the request.
    wait(lambda: _call(other) == 200)

    def is_refused_at_other():
        # If the request were dispatched there, the owner would refuse it.
        before = _count_events(other, events.Event.CALL_DISPATCHED)
        _call(other, '/bookings?crash')
        after = _count_events(other, events.Event.CALL_DISPATCHED)
        is_refused = _count_events(other, events.Event.REQUEST_QUARANTINED) > 0
        return is_refused and before == after

    _call(owner, '/bookings?crash')
    _call(owner, '/bookings?crash')
    wait(is_refused_at_other)
    assert _call(other) == 200
