"""Settings of a daemon, read from an INI file and validated as a whole."""

import ipaddress

import attrs
from returns import result

import cactusloft_link as link
from cactusloft_model import ini
from cactusloftd import _control_hosts

MAX_BUFFERED_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Listeners:
    """Endpoints on which the daemon listens, each as ``IP:port``.

    :ivar callers: HTTP for callers.
    :ivar backend: HTTP for the backend server beside the daemon.
    :ivar admin: HTTP for operators.
    :ivar peers: ZeroMQ for other daemons.
    """

    callers: str
    backend: str
    admin: str
    peers: str


@attrs.frozen
class Security:
    """Secrets of the daemon and the keys that it trusts.

    :ivar operator_token_hash: hash of the operators' bearer token.
    :ivar allowed_keys: path of the file of peers' public keys.
    """

    operator_token_hash: str
    key_pair: link.KeyPair | None
    allowed_keys: str

    @property
    def public_key(self):
        """Return the public key as text, empty if links are unencrypted."""
        return self.key_pair.public.decode() if self.key_pair else ''


@attrs.frozen
class Settings:
    """All settings of a daemon.

    :ivar data_folder: folder of the control replica, empty without a replica.
    :ivar data_centres: all data centres of the fleet, empty if unknown.
    :ivar least_voters: minimum number of voters for a change of the document.
    :ivar shutdown_grace_s: maximum wait for calls in flight at shutdown.
    """

    name: str
    host: str
    data_centre: str
    region: str
    listeners: Listeners
    security: Security
    control_hosts: _control_hosts.FixedControlHosts
    data_folder: str
    document_file: str
    shutdown_grace_s: float
    log_level: str
    least_voters: int = 1
    data_centres: tuple[str, ...] = ()


def parse_settings(text):
    """Parse and validate settings.

    :returns: ``Success(Settings)``, or ``Failure(tuple of Fault)``.
    """
    faults = []
    parser = ini.parse_ini(text, faults)

    def open_section(name):
        values = parser[name] if parser.has_section(name) else {}
        return ini.SectionReader(name, values, faults)

    settings = _read_settings(open_section)
    known_sections = (
        'daemon',
        'listen',
        'security',
        'control_hosts',
        'control',
    )
    for section in parser.sections():
        if section not in known_sections:
            faults.append(ini.Fault(section, '', 'unknown section'))
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(settings)


def _read_settings(open_section):
    daemon = open_section('daemon')
    control = open_section('control')
    settings = Settings(
        name=daemon.read_name('name'),
        host=daemon.read_name('host'),
        data_centre=daemon.read_name('data_centre'),
        region=daemon.read_name('region', 'default'),
        listeners=_read_listeners(open_section('listen')),
        security=_read_security(open_section('security')),
        control_hosts=_read_control_hosts(open_section('control_hosts')),
        data_folder=control.read_text('data_folder', ''),
        document_file=control.read_text('document_file', ''),
        least_voters=control.read_integer('least_voters', 1, low=1),
        shutdown_grace_s=daemon.read_number('shutdown_grace_s', 60, high=3600),
        log_level=daemon.read_choice(
            'log_level', ('debug', 'info', 'warning', 'error'), 'info'
        ),
    )
    daemon.report_unknown_keys()
    control.report_unknown_keys()
    return settings


def _read_listeners(reader):
    names = ('callers', 'backend', 'admin', 'peers')
    endpoints = [read_endpoint(reader, name) for name in names]
    reader.report_unknown_keys()
    return Listeners(*endpoints)


def read_endpoint(reader, key):
    """Return the text of ``key``; add a fault unless it is ``IP:port``."""
    text = reader.read_text(key)
    if text and not _is_endpoint(text):
        reader.add_fault(key, f'{text!r} is not IP:port')
    return text


def _is_endpoint(text):
    address, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(address.strip('[]'))
        return 0 < int(port) < 65536
    except ValueError:
        return False


def _read_security(reader):
    security = Security(
        operator_token_hash=reader.read_text('operator_token_hash'),
        key_pair=link.KeyPair(
            reader.read_text('curve_public_key').encode(),
            reader.read_text('curve_secret_key').encode(),
        ),
        allowed_keys=reader.read_text('allowed_keys'),
    )
    for key, value in (
        ('curve_public_key', security.key_pair.public),
        ('curve_secret_key', security.key_pair.secret),
    ):
        if value and len(value) != link.Z85_KEY_CHARACTERS:
            reader.add_fault(key, 'must have 40 Z85 characters')
    reader.report_unknown_keys()
    return security


def _read_control_hosts(reader):
    """Read lines ``NAME = DATA_CENTRE IP:PORT PUBLIC_KEY``."""
    hosts = []
    for name in reader.list_keys():
        words = reader.read_text(name).split()
        if len(words) != 3 or not _is_endpoint(words[1]):
            reader.add_fault(name, 'must be DATA_CENTRE IP:PORT PUBLIC_KEY')
            continue
        address = link.PeerAddress(words[1], words[2])
        hosts.append(_control_hosts.ControlHost(name, words[0], address))
    if not hosts:
        reader.add_fault('', 'at least one control host is required')
    return _control_hosts.FixedControlHosts(hosts)
