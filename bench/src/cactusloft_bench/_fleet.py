"""Fleet of daemons and stub servers that run as child processes."""

import asyncio
import json
import pathlib
import shutil
import socket
import tempfile
import time
import urllib.request

import aiohttp

from cactusloft_bench import _hosts
from cactusloft_bench import _operator
from cactusloft_bench import _processes
from cactusloft_bench import _requests
from cactusloft_bench import _timeline

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STUB_REQUEST_TIMEOUT_S = 10.0


class Fleet:
    """Daemons and stub servers, run as processes on loopback addresses.

    As a context manager, it starts all processes, applies the document on
    entry, and stops the processes on exit.

    :param hosts: iterable of :class:`_hosts.Host`; at least one must be a
        control host.
    :param document: text of the document, applied through the first control
        host.
    :param log_level: log level of the daemons.
    :param is_profiled: whether the daemons run under cProfile, which writes
        its output when they exit.
    """

    def __init__(
        self,
        hosts,
        document,
        log_level='info',
        is_profiled=False,
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='cactusloft-'))
        self._document = document
        self._log_level = log_level
        self._is_profiled = is_profiled
        self._placed = {
            host.name: _hosts.place_host(host, number, self.folder)
            for number, host in enumerate(hosts)
        }
        self._daemons = {}
        self._stub_servers = {}

    def __enter__(self):
        try:
            self._write_files()
            for name in self._placed:
                self.start_daemon(name)
            for name in self._placed:
                self.wait_for_daemon(name)
            self._start_control()
            for name, placed in self._placed.items():
                if placed.host.service:
                    self.start_stand_in(name)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc_info):
        self.close()

    def get_callers_url(self, name):
        """Return the URL of the callers listener of a daemon."""
        return f'http://{self._placed[name].endpoints["callers"]}'

    def get_endpoint(self, name, listener):
        """Return ``IP:port`` of one listener of a daemon."""
        return self._placed[name].endpoints[listener]

    def get_public_key(self, name):
        """Return the CURVE public key of a daemon."""
        return self._placed[name].key_pair.public.decode()

    def get_daemon(self, name):
        """Return the :class:`ManagedProcess` of a daemon."""
        return self._daemons[name]

    def get_stand_in(self, name):
        """Return the :class:`ManagedProcess` of a stub server."""
        return self._stub_servers[name]

    def get_stand_in_url(self, name):
        """Return the URL of a stub server."""
        line = self._stub_servers[name].read_first_line(WAIT_TIMEOUT_S)
        return json.loads(line)['url']

    def get_profile_path(self, name):
        """Return the path of the cProfile output of a daemon."""
        return self.folder / f'{name}.profile'

    def get_operator(self, name):
        """Return the :class:`_operator.Operator` of a daemon."""
        return _operator.Operator(self.get_endpoint(name, 'admin'))

    def merge_timeline(self):
        """Return the events of all daemons in causal order."""
        return _timeline.merge_events(
            self.get_operator(name).ask('GET', '/v1/events').content or []
            for name in self._placed
        )

    def start_daemon(self, name):
        """Start or restart the daemon of a host."""
        profile = self.get_profile_path(name) if self._is_profiled else None
        command = self._placed[name].build_daemon_command(profile)
        self._daemons[name] = _processes.ManagedProcess(
            f'{name}-daemon', command, self.folder
        )

    def start_stand_in(self, name):
        """Start or restart the stub server of a host."""
        command = self._placed[name].build_stand_in_command()
        self._stub_servers[name] = _processes.ManagedProcess(
            f'{name}-server', command, self.folder
        )

    def wait_for_daemon(self, name):
        """Wait until the callers listener of a daemon accepts connections.

        :raises FleetError: if the daemon exits or does not listen in time.
        """
        address, _, port = self.get_endpoint(name, 'callers').rpartition(':')
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            self._daemons[name].check_running()
            try:
                socket.create_connection((address, int(port)), 1).close()
                return
            except OSError:
                time.sleep(POLL_INTERVAL_S)
        raise _processes.FleetError(
            f'daemon {name} does not listen on {address}:{port}'
        )

    def wait_until(self, is_true, what):
        """Wait until a condition holds; fail early if a daemon crashes.

        :param is_true: function without arguments that checks the condition.
        :param what: description of the condition for the error message.
        :raises FleetError: if the condition does not hold in time.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not is_true():
            if time.monotonic() > deadline:
                raise _processes.FleetError(f'timed out waiting for: {what}')
            for process in self._daemons.values():
                process.check_running()
            time.sleep(POLL_INTERVAL_S)

    def wait_until_whole(self, request, names=None):
        """Wait until each entry daemon returns a complete response.

        :param request: :class:`_requests.Request`; it must be safe to repeat.
        :param names: names of the entry daemons, all by default.
        :raises FleetError: if a daemon returns no complete response in time.
        """
        names = list(self._placed) if names is None else names
        asyncio.run(self._wait_until_whole(request, names))

    def send(self, name, request):
        """Send a request to a daemon without retries; return the attempt."""
        return asyncio.run(self._send(name, request))

    def fetch_records(self, name):
        """Return what a stub server recorded, as a mapping."""
        url = f'{self.get_stand_in_url(name)}/_stand_in/records'
        with urllib.request.urlopen(
            url, timeout=STUB_REQUEST_TIMEOUT_S
        ) as response:
            return json.load(response)

    def change_behaviour(self, name, **changes):
        """Change fields of the :class:`_behaviour.Behaviour` of a stub."""
        self._command(name, 'PATCH', 'behaviour', changes)

    def drain_stand_in(self, name):
        """Make a stub server announce that it drains."""
        self._command(name, 'POST', 'drain', {})

    def read_log(self, name):
        """Return the JSON log lines of a daemon as mappings."""
        text = (self.folder / f'{name}-daemon.log').read_text()
        lines = (line for line in text.splitlines() if line.startswith('{'))
        return [json.loads(line) for line in lines]

    def close(self):
        """Stop all processes and remove the folder.

        :raises FleetError: if a process did not exit in time.
        """
        processes = [*self._stub_servers.values(), *self._daemons.values()]
        for process in processes:
            process.terminate()
        killed = [name for name in map(_stop_quietly, processes) if name]
        shutil.rmtree(self.folder, ignore_errors=True)
        if killed:
            raise _processes.FleetError(
                f'processes did not exit in time: {killed}'
            )

    def _start_control(self):
        """Bootstrap the control replicas and apply the document."""
        first, *others = self._list_control_names()
        response = self.get_operator(first).ask(
            'POST', '/v1/replica/bootstrap'
        )
        _check_accepted(response, 'bootstrap')
        for name in others:
            operator = self.get_operator(name)
            _check_accepted(operator.ask('POST', '/v1/replica/add'), 'add')
            replica_id = operator.read_status()['replica_id']
            self.wait_until(
                lambda: self._is_voter(first, replica_id),
                f'voting replica {replica_id}',
            )
        response = self.get_operator(first).apply(0, 'fleet', self._document)
        _check_accepted(response, 'document')
        self.wait_for_version(1)

    def wait_for_version(self, version):
        """Wait until every daemon has confirmed a document version.

        A later version also counts.
        """
        for name in self._placed:
            operator = self.get_operator(name)
            self.wait_until(
                lambda: _has_version(operator.read_status(), version),
                f'document {version} at {name}',
            )

    def _is_voter(self, name, replica_id):
        replicas = self.get_operator(name).read_status()['replicas']
        return any(
            r['replica_id'] == replica_id and r['is_voter'] for r in replicas
        )

    def _list_control_names(self):
        return [n for n, p in self._placed.items() if p.host.is_control]

    def _write_files(self):
        keys = [p.key_pair.public.decode() for p in self._placed.values()]
        (self.folder / 'allowed_keys').write_text('\n'.join(keys) + '\n')
        control_hosts = [p for p in self._placed.values() if p.host.is_control]
        for placed in self._placed.values():
            _hosts.write_settings(placed, control_hosts, self._log_level)

    async def _wait_until_whole(self, request, names):
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for name in names:
                url = self.get_callers_url(name)
                attempt = None
                while attempt is None or not attempt.is_whole:
                    if time.monotonic() > deadline:
                        raise _processes.FleetError(
                            f'no complete response from {name}: {attempt}'
                        )
                    self._daemons[name].check_running()
                    await asyncio.sleep(POLL_INTERVAL_S if attempt else 0)
                    attempt = await _requests.send_attempt(
                        session, url, request
                    )

    async def _send(self, name, request):
        async with aiohttp.ClientSession() as session:
            url = self.get_callers_url(name)
            return await _requests.send_attempt(session, url, request)

    def _command(self, name, method, path, fields):
        command_stand_in(self.get_stand_in_url(name), method, path, fields)


def command_stand_in(url, method, path, fields):
    """Send a command to a stub server.

    :param url: URL of the server.
    :param method: HTTP method.
    :param path: path of the command below ``/_stand_in/``.
    :param fields: mapping that is sent as a JSON body.
    """
    request = urllib.request.Request(
        f'{url}/_stand_in/{path}',
        data=json.dumps(fields).encode(),
        headers={'Content-Type': 'application/json'},
        method=method,
    )
    urllib.request.urlopen(request, timeout=STUB_REQUEST_TIMEOUT_S).close()


def _has_version(status, version):
    return status.get('is_fresh', False) and status['version'] >= version


def _check_accepted(response, what):
    if not response.is_accepted:
        raise _processes.FleetError(f'{what} was refused: {response}')


def _stop_quietly(process):
    """Stop a process; return its name if it had to be killed, or ''."""
    try:
        process.stop()
    except _processes.FleetError:
        return process.name
    return ''
