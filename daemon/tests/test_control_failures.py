"""Failure tests of document changes with real daemon processes."""

import http.client
import json
import random
import threading

from cactusloft_model import keys

REPLICAS = ('c1', 'c2', 'c3')
KEY = 'clk_withdrawn'

DOCUMENT = """
[client_account estates]
rate = 1000
burst = 1000
key_hashes = {key_hashes}

[service booking]

[route book]
service = booking
method = GET
path = /bookings
idempotent = yes
"""


def _make_document(key=KEY, comment=''):
    return DOCUMENT.format(key_hashes=keys.hash_key(key)) + f'# {comment}\n'


class _Caller:
    """A caller that keeps one connection open."""

    def __init__(self, process):
        self._connection = http.client.HTTPConnection(
            '127.0.0.1', process.ports['callers'], timeout=15
        )
        self._connection.connect()
        self._socket = self._connection.sock

    def call(self):
        """Send a call and return the error kind of its refusal.

        Every call is refused, since no backend server is announced.
        """
        headers = {'Authorization': f'Bearer {KEY}'}
        self._connection.request('GET', '/bookings', headers=headers)
        response = self._connection.getresponse()
        kind = json.loads(response.read())['kind']
        assert self._connection.sock is self._socket, 'connection was closed'
        return kind


def _is_accepted(caller):
    return caller.call() == 'no_backend_server'


def test_withdrawn_key_on_open_connection(make_fleet, wait):
    """A withdrawn key must be refused on connections that are already open.

    A caller is connected to each of two daemons. The second daemon watches a
    relay that is stopped with SIGSTOP before the key is withdrawn, so that it
    never receives the change.
    """
    fleet = make_fleet(REPLICAS, relays=['r1'], plain=['d1'])
    leader = fleet.find_leader()
    assert leader.apply(0, 'first', _make_document())[0] == 200
    replica_caller, plain_caller = (
        _Caller(fleet.replicas[1]),
        _Caller(fleet.plain[0]),
    )
    wait(lambda: _is_accepted(replica_caller))
    wait(lambda: _is_accepted(plain_caller))
    fleet.relays[0].freeze()
    withdrawn = _make_document('clk_other')
    assert leader.apply(1, 'second', withdrawn)[0] == 200
    wait(lambda: replica_caller.call() == 'unauthenticated')
    wait(lambda: plain_caller.call() == 'config_stale')
    assert fleet.plain[0].read_status()['version'] == 1


def test_daemon_moves_to_another_control_host(make_fleet, wait):
    """Daemons must leave a control host that no longer responds.

    Each relay is frozen in turn, since the daemon may watch either.
    """
    fleet = make_fleet(REPLICAS, relays=['r1', 'r2'], plain=['d1'])
    operator, caller = fleet.replicas[0], _Caller(fleet.plain[0])
    for number, relay in enumerate(fleet.relays):
        relay.freeze()
        text = _make_document()
        assert operator.apply(2 * number, f'give-{number}', text)[0] == 200
        wait(lambda: _is_accepted(caller))
        text = _make_document('clk_other')
        answer = operator.apply(2 * number + 1, f'withdraw-{number}', text)
        assert answer[0] == 200
        wait(lambda: caller.call() == 'unauthenticated')
        relay.resume()


def test_leader_killed_while_changes_are_applied(make_fleet, wait):
    """An acknowledged change must survive its leader, and be applied once."""
    fleet = make_fleet(REPLICAS, plain=['d1'])
    operator, versions = fleet.plain[0], []

    def apply_all():
        for number in range(40):
            text = _make_document(comment=number)
            status, answer = 0, {}
            while status != 200:
                # The same change id makes the resend harmless.
                status, answer = operator.apply(
                    number, f'change-{number}', text
                ) or (0, {})
                assert status in (0, 200, 503), answer
            versions.append(answer['version'])

    applying = threading.Thread(target=apply_all)
    applying.start()
    wait(lambda: len(versions) > 10)
    leader = fleet.find_leader()
    leader.kill()
    applying.join()
    assert versions == list(range(1, 41))
    wait(lambda: operator.read_status()['version'] == 40)
    leader.start()
    wait(lambda: leader.read_status().get('version') == 40)


def test_operators_with_the_same_base(make_fleet):
    """Of concurrent changes with the same base, exactly one may succeed."""
    fleet = make_fleet(REPLICAS)
    answers = {}

    def apply(process):
        text = _make_document(comment=process.name)
        answers[process.name] = process.apply(0, process.name, text)

    threads = [
        threading.Thread(target=apply, args=[p]) for p in fleet.replicas
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(status for status, _ in answers.values())
    assert statuses == [200, 409, 409]
    winner = next(n for n, answer in answers.items() if answer[0] == 200)
    for process in fleet.replicas:
        answer = process.apply(0, winner, _make_document(comment=winner))
        assert answer == answers[winner], 'a resend got another answer'


def test_restart_of_all_replicas_after_300_changes(make_fleet, wait):
    """No daemon may return to an older version when all replicas restart."""
    fleet = make_fleet(REPLICAS, plain=['d1'])
    leader = fleet.find_leader()
    for number in range(300):
        text = _make_document(comment=number)
        answer = leader.apply(number, f'change-{number}', text)
        assert answer == (200, {'version': number + 1})
    daemon = fleet.plain[0]
    wait(lambda: daemon.read_status()['version'] == 300)
    for process in fleet.replicas:
        process.kill()
    for process in fleet.replicas:
        process.start()
    seen = []

    def is_fresh_again():
        statuses = [p.read_status() for p in fleet.all]
        seen.extend(s['version'] for s in statuses if s.get('is_fresh'))
        return all(s.get('is_fresh') for s in statuses)

    wait(is_fresh_again)
    # A restarted replica may become fresh only with the latest version.
    assert set(seen) == {300}
    assert daemon.apply(300, 'after', _make_document())[1] == {'version': 301}


def test_damaged_log_stops_the_daemon(make_fleet, tmp_path):
    """A replica must not vote after it lost entries that it acknowledged."""
    fleet = make_fleet(REPLICAS[:1])
    replica = fleet.replicas[0]
    for number in range(3):
        replica.apply(number, f'change-{number}', _make_document())
    replica.kill()
    log = tmp_path / 'c1-data' / 'log'
    content = bytearray(log.read_bytes())
    content[len(content) // 2] ^= 1
    log.write_bytes(content)
    replica.start()
    assert replica.wait() == 1
    errors = replica.read_log()
    assert 'log damaged at byte' in errors and 'Traceback' not in errors


def test_full_disk_of_the_leader(make_fleet, wait):
    """A replica that cannot write must stop voting and report the failure."""
    fleet = make_fleet(REPLICAS)
    leader = fleet.find_leader()
    assert leader.apply(0, 'first', _make_document())[0] == 200
    leader.limit_file_size(64 * 1024)
    # Random text, so that it doesn't compress to less than the limit.
    text = _make_document(comment=random.Random(1).randbytes(100_000).hex())
    assert leader.apply(1, 'second', text) == (200, {'version': 2})
    status = leader.read_status()
    assert status['replica_role'] == 'failed'
    assert 'cannot be written' in status['replica_failure']
    # The daemon installs what other control hosts confirm.
    wait(lambda: leader.read_status()['version'] == 2)
    wait(lambda: leader.read_status()['is_fresh'])
    assert leader.apply(2, 'third', _make_document())[1] == {'version': 3}
