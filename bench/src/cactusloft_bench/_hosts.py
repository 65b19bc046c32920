"""Hosts of a fleet: their addresses, key pairs and settings files."""

import hashlib
import socket
import sys

import attrs

import cactusloft_link as link

OPERATOR_TOKEN = 'operator-token-of-the-test-fleet'
LISTENERS = ('callers', 'backend', 'admin', 'peers')


@attrs.frozen
class Host:
    """A host with one daemon and at most one stub server.

    :ivar service: service of the stub server, empty if there is none.
    :ivar slots: number of requests that the stub server runs at once.
    :ivar work_ms: service time of a request in milliseconds.
    :ivar is_control: whether the daemon runs a control replica.
    :ivar stand_in_options: further command-line options of the stub server.
    """

    name: str
    data_centre: str = 'dc1'
    service: str = ''
    slots: int = 8
    work_ms: float = 5.0
    is_control: bool = False
    stand_in_options: tuple[str, ...] = ()


@attrs.frozen
class PlacedHost:
    """A :class:`Host` with the resources assigned to it.

    :ivar endpoints: ``IP:port`` of each listener.
    :ivar folder: folder of the settings and data of the daemon.
    """

    host: Host
    address: str
    endpoints: dict[str, str]
    key_pair: link.KeyPair
    folder: object

    def build_daemon_command(self, profile=None):
        """Return the command that starts the daemon.

        :param profile: file for the output of cProfile, or None to run
            without a profiler.
        """
        settings = str(self.folder / 'daemon.ini')
        command = [sys.executable]
        if profile is not None:
            command += ['-m', 'cProfile', '-o', str(profile)]
        return [*command, '-m', 'cactusloftd.main', settings]

    def build_stand_in_command(self):
        """Return the command that starts the stub server."""
        return [
            sys.executable,
            '-m',
            'cactusloft_bench.backend_server',
            f'--service={self.host.service}',
            f'--instance={self.host.name}',
            f'--daemon-url=http://{self.endpoints["backend"]}',
            f'--host={self.address}',
            f'--slots={self.host.slots}',
            f'--work-ms={self.host.work_ms}',
            *self.host.stand_in_options,
        ]


def find_free_port(address):
    """Return a free TCP port of ``address``, chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def place_host(host, number, folder):
    """Assign an address, ports and a key pair to a host.

    :param number: index of the host in the fleet.
    :param folder: folder of the fleet.
    """
    # Outgoing connections use ephemeral ports of 127.0.0.1. A separate
    # address for each host keeps them from occupying a port between the
    # probe and the bind of the daemon.
    address = f'127.0.0.{2 + number % 250}'
    host_folder = folder / host.name
    host_folder.mkdir()
    endpoints = {
        name: f'{address}:{find_free_port(address)}' for name in LISTENERS
    }
    return PlacedHost(
        host, address, endpoints, link.make_key_pair(), host_folder
    )


def write_settings(placed, control_hosts, log_level):
    """Write the settings file of the daemon of a host.

    :param control_hosts: :class:`PlacedHost` of each control host.
    """
    host = placed.host
    token_hash = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    lines = [
        '[daemon]',
        f'name = {host.name}',
        f'host = {host.name}',
        f'data_centre = {host.data_centre}',
        f'log_level = {log_level}',
        '[listen]',
        *(f'{name} = {value}' for name, value in placed.endpoints.items()),
        '[security]',
        f'operator_token_hash = sha256:{token_hash}',
        f'curve_public_key = {placed.key_pair.public.decode()}',
        f'curve_secret_key = {placed.key_pair.secret.decode()}',
        f'allowed_keys = {placed.folder.parent / "allowed_keys"}',
        '[control_hosts]',
        *(_render_control_host(other) for other in control_hosts),
    ]
    if host.is_control:
        lines += ['[control]', f'data_folder = {placed.folder / "data"}']
    path = placed.folder / 'daemon.ini'
    path.touch(mode=0o600)
    path.write_text('\n'.join(lines) + '\n')


def _render_control_host(placed):
    host = placed.host
    public_key = placed.key_pair.public.decode()
    peers = placed.endpoints['peers']
    return f'{host.name} = {host.data_centre} {peers} {public_key}'
