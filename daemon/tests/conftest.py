"""Fleets of daemon processes on the loopback interface, for failure tests."""

import http.client
import itertools
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time

import pytest

import cactusloft_link as link
from cactusloft_model import keys

OPERATOR_TOKEN = 'operator-token'
WAIT_TIMEOUT_S = 60.0
_LISTENERS = ('callers', 'backend', 'admin', 'peers')
# Below the ephemeral port range: an outgoing connection could otherwise take
# the port of a daemon before its start or during a restart.
_FIRST_PORT, _END_PORT = 20_001, 32_000
# Concurrent test runs start at different ports.
_OFFSET = os.getpid() * 97 % (_END_PORT - _FIRST_PORT)
_PORTS = itertools.chain(
    range(_FIRST_PORT + _OFFSET, _END_PORT),
    itertools.cycle(range(_FIRST_PORT, _END_PORT)),
)

SETTINGS = """
[daemon]
name = {name}
host = {name}
data_centre = dc1
shutdown_grace_s = 1
[listen]
{listeners}
[security]
operator_token_hash = {token_hash}
curve_public_key = {public}
curve_secret_key = {secret}
allowed_keys = {folder}/allowed
[control_hosts]
{control_hosts}
[control]
{control}
"""


class Process:
    """One daemon process and its listeners."""

    def __init__(self, name, folder, ports):
        self.name = name
        self.ports = ports
        self.key_pair = link.make_key_pair()
        self.settings = folder / f'{name}.ini'
        self._log = folder / f'{name}.log'
        self._process = None

    def start(self):
        command = [sys.executable, '-m', 'cactusloftd.main', self.settings]
        with open(self._log, 'ab') as log:
            self._process = subprocess.Popen(command, stderr=log)

    def kill(self):
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def stop(self):
        self._process.terminate()

    def wait(self):
        code = self._process.wait(WAIT_TIMEOUT_S)
        self._process = None
        return code

    def read_log(self):
        return self._log.read_text()

    def limit_file_size(self, size):
        """Make writes fail as on a full disk."""
        limits = (size, resource.RLIM_INFINITY)
        resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, limits)

    def lose_data(self):
        shutil.rmtree(self.settings.parent / f'{self.name}-data')

    def freeze(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)

    def ask(self, method, path, body=None):
        """Return status and JSON body of the response, or None without one."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.ports['admin'], timeout=15
        )
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        content = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or 'null')
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def read_status(self):
        answer = self.ask('GET', '/v1/status')
        return answer[1] if answer is not None else {}

    def read_metrics(self):
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.ports['admin'], timeout=15
        )
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        connection.request('GET', '/metrics', headers=headers)
        try:
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def apply(self, base_version, change_id, text):
        body = {
            'base_version': base_version,
            'change_id': change_id,
            'text': text,
        }
        return self.ask('POST', '/v1/document', body)


class Fleet:
    """Control replicas, relays and plain daemons of one test.

    A plain daemon knows the relays that ``watched`` lists for it, or all of
    them. Without relays it knows the replicas.
    """

    def __init__(self, folder, replicas, relays=(), plain=(), watched=()):
        watched = dict(watched)
        self._folder = folder
        self.replicas = [self._make(name) for name in replicas]
        self.relays = [self._make(name) for name in relays]
        self.plain = [self._make(name) for name in plain]
        self.all = self.replicas + self.relays + self.plain
        allowed = b'\n'.join(p.key_pair.public for p in self.all)
        (folder / 'allowed').write_bytes(allowed)
        control_hosts = self.replicas + self.relays
        for process in self.replicas:
            data = f'data_folder = {folder}/{process.name}-data'
            self._write(process, control_hosts, data)
        for process in self.relays:
            self._write(process, control_hosts, '')
        for process in self.plain:
            known = [
                relay
                for relay in self.relays or control_hosts
                if relay.name in watched.get(process.name, [relay.name])
            ]
            self._write(process, known, '')

    def start(self):
        for process in self.all:
            process.start()
        first = self.replicas[0]
        wait_until(lambda: first.ask('GET', '/v1/status'))
        assert first.ask('POST', '/v1/replica/bootstrap')[0] == 200
        for process in self.replicas[1:]:
            wait_until(lambda: process.ask('GET', '/v1/status'))
            assert process.ask('POST', '/v1/replica/add')[0] == 200
            replica_id = process.read_status()['replica_id']
            wait_until(lambda: self._is_voter(replica_id))
        wait_until(
            lambda: all(p.read_status().get('is_fresh') for p in self.all)
        )

    def find_leader(self):
        for process in self.replicas:
            if process.read_status().get('replica_role') == 'leader':
                return process
        return None

    def close(self):
        for process in self.all:
            process.kill()

    def _is_voter(self, replica_id):
        views = self.replicas[0].read_status()['replicas']
        return any(
            v['replica_id'] == replica_id and v['is_voter'] for v in views
        )

    def _make(self, name):
        ports = {listener: _pick_port() for listener in _LISTENERS}
        return Process(name, self._folder, ports)

    def _write(self, process, control_hosts, control):
        endpoints = (
            f'{name} = 127.0.0.1:{port}'
            for name, port in process.ports.items()
        )
        hosts = (
            f'{other.name} = dc1 127.0.0.1:{other.ports["peers"]} '
            f'{other.key_pair.public.decode()}'
            for other in control_hosts
        )
        text = SETTINGS.format(
            name=process.name,
            listeners='\n'.join(endpoints),
            token_hash=keys.hash_key(OPERATOR_TOKEN),
            public=process.key_pair.public.decode(),
            secret=process.key_pair.secret.decode(),
            folder=self._folder,
            control_hosts='\n'.join(hosts),
            control=control,
        )
        process.settings.write_text(text)


def wait_until(is_true):
    """Wait for a condition, with a timeout for slow machines."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not is_true():
        assert time.monotonic() < deadline, 'condition not reached'
        time.sleep(0.05)


def _pick_port():
    """Return a free port outside the ephemeral port range."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


@pytest.fixture
def wait():
    return wait_until


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(*args, **kwargs):
        fleet = Fleet(tmp_path, *args, **kwargs)
        fleets.append(fleet)
        fleet.start()
        return fleet

    yield make
    for fleet in fleets:
        fleet.close()
