"""The operators' document, parsed and validated whole.

The document is INI with sections ``[client_account NAME]``,
``[service NAME]`` and ``[route NAME]``. It is accepted whole or refused whole
with every fault listed.
"""

import attrs
from returns import result

from cactusloft_model import _routes
from cactusloft_model import _sections
from cactusloft_model import calls
from cactusloft_model import ini
from cactusloft_model import keys

METHODS = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    _routes.ANY_METHOD,
)
PRIORITIES = tuple(priority.name.lower() for priority in calls.Priority)
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 600_000
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
# Bodies are held whole, so that a call which was certainly not run can be
# sent again.
MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_RETRIES = 1
MAX_RETRIES = 5
DEFAULT_RETRY_SHARE = 0.1
# An answer that may take this much longer than its deadline allows is a
# mistake in the document, no preference.
MAX_TARGET_EXCESS_MS = 60_000
INHERITED = 'inherited'
UNLIMITED = 'unlimited'


@attrs.frozen
class ClientAccount:
    """A customer of the operator.

    :ivar rate: requests per second over all hosts together, 0 for no limit.
    :ivar burst: requests at once over all hosts together.
    :ivar weight: share in an overloaded service, relative to others.
    :ivar key_hashes: hashes of the keys that authenticate the account.
    :ivar priority: goes before the priority of the route, None to use that.
    """

    name: str
    rate: float
    burst: float
    weight: float
    key_hashes: tuple[str, ...]
    priority: calls.Priority | None = None


@attrs.frozen
class Service:
    """A service that backend servers announce.

    :ivar retry_share: retries allowed as a share of recent successes.
    :ivar connections: most connections to one backend server, 0 for what it
        announces.
    """

    name: str
    retry_share: float
    connections: int = 0


class Document:
    """A valid document with its look-up tables.

    :ivar sections: mapping from section name to its :class:`Section`.
    :ivar accounts: mapping from name to :class:`ClientAccount`.
    :ivar services: mapping from name to :class:`Service`.
    :ivar routes: mapping from name to :class:`Route`.
    """

    def __init__(self, sections, accounts, services, routes):
        self.sections = sections
        self.accounts = accounts
        self.services = services
        self.routes = routes
        self._account_by_hash = {
            key_hash: account
            for account in accounts.values()
            for key_hash in account.key_hashes
        }
        # Hashing the key of each call costs more than the rest of the look-up.
        self._account_by_key = {}
        self._indexes = _routes.index_hosts(routes.values())
        self._service_indexes = _routes.index_services(routes)

    def find_account(self, key):
        """Return the account that ``key`` authenticates, or None."""
        account = self._account_by_key.get(key)
        if account is None:
            account = self._account_by_hash.get(keys.hash_key(key))
            # Only known keys are kept, so callers cannot make it grow.
            if account is not None:
                self._account_by_key[key] = account
        return account

    def find_route(self, method, path, host=''):
        """Return the most specific route for a request, or None.

        :param path: path without the query.
        :param host: name that the caller addressed.
        """
        for name in (host, '') if host else ('',):
            index = self._indexes.get(name)
            route = None if index is None else index.find(method, path)
            if route is not None:
                return route
        return None

    def find_service_route(self, service, method, path):
        """Return the route of a nested call to ``service``, or None."""
        index = self._service_indexes.get(service)
        return None if index is None else index.find(method, path)


EMPTY_DOCUMENT = Document({}, {}, {}, {})


def parse_document(text):
    """Parse and validate a document.

    :returns: ``Success(Document)``, or ``Failure(tuple of Fault)``.

    >>> parse_document('[route r]').failure()[0].key
    'path'
    """
    faults = []
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f'larger than {MAX_DOCUMENT_BYTES} bytes'
        return result.Failure((ini.Fault('', '', message),))
    parser = ini.parse_ini(text, faults)
    sections = {
        name: _sections.make_section(name, parser[name].items())
        for name in parser.sections()
    }
    changes = _sections.Changes(tuple(sections.values()), ())
    return _build(EMPTY_DOCUMENT, changes, faults)


def patch_document(base, changes):
    """Return ``base`` with changed sections; only these are parsed.

    :param changes: :class:`Changes`.
    :returns: ``Success(Document)``, or ``Failure(tuple of Fault)``.
    """
    return _build(base, changes, [])


def _build(base, changes, faults):
    tables = {
        'client_account': dict(base.accounts),
        'service': dict(base.services),
        'route': dict(base.routes),
    }
    for name in changes.removed:
        kind, _, item = name.partition(' ')
        tables[kind].pop(item, None)
    for section in changes.changed:
        _read_section(section, tables, faults)
    accounts, services, routes = tables.values()
    _check_keys(accounts, faults)
    _check_routes(services, routes, faults)
    if faults:
        return result.Failure(tuple(faults))
    sections = _sections.apply_changes(base.sections, changes)
    return result.Success(Document(sections, accounts, services, routes))


def _read_section(section, tables, faults):
    kind, _, name = section.name.partition(' ')
    reader = ini.SectionReader(section.name, section.values, faults)
    if kind not in tables:
        reader.add_fault('', 'unknown section')
        return
    reader.check_name('', name)
    tables[kind][name] = _READERS[kind](name, reader)
    reader.report_unknown_keys()


def _read_account(name, reader):
    hashes = reader.read_lines('key_hashes')
    for key_hash in hashes:
        if not keys.is_key_hash(key_hash):
            reader.add_fault(
                'key_hashes', 'each line must be sha256: and 64 hex digits'
            )
    return ClientAccount(
        name=name,
        rate=_read_rate(reader),
        burst=reader.read_number('burst', low=1),
        weight=reader.read_number('weight', 1.0, low=0.01, high=1000),
        key_hashes=hashes,
        priority=_read_account_priority(reader),
    )


def _read_rate(reader):
    if reader.read_text('rate') == UNLIMITED:
        return 0.0
    return reader.read_number('rate', low=0.01)


def _read_account_priority(reader):
    text = reader.read_choice('priority', (*PRIORITIES, INHERITED), INHERITED)
    return None if text == INHERITED else calls.Priority[text.upper()]


def _read_service(name, reader):
    share = reader.read_number('retry_share', DEFAULT_RETRY_SHARE, high=1)
    connections = reader.read_integer('connections', 0)
    return Service(name, share, connections)


def _read_split(reader):
    """Read lines ``SERVICE WEIGHT``."""
    shares = []
    for line in reader.read_lines('split'):
        service, _, weight = line.partition(' ')
        try:
            share = _routes.TrafficShare(service, float(weight))
        except ValueError:
            reader.add_fault('split', f'{line!r} is not SERVICE WEIGHT')
            continue
        if not 0 <= share.weight < float('inf'):
            reader.add_fault('split', f'{weight} is not a weight')
        shares.append(share)
    if shares and not sum(share.weight for share in shares) > 0:
        reader.add_fault('split', 'the weights add up to 0')
    return tuple(shares)


def _check_target(route, reader):
    if route.target_latency_ms - route.deadline_ms >= MAX_TARGET_EXCESS_MS:
        reader.add_fault('target_latency_ms', 'far above deadline_ms')


def _read_route(name, reader):
    path = reader.read_text('path')
    if path and not path.startswith('/'):
        reader.add_fault('path', 'must start with "/"')
    if '*' in path.removesuffix(_routes.WILDCARD) or '?' in path:
        reader.add_fault('path', '"*" may stand as a last "/*" only')
    access = reader.read_choice('access', ('keyed', 'open'), 'keyed')
    priority = reader.read_choice('priority', PRIORITIES, 'normal')
    idempotency_key = reader.read_choice(
        'idempotency_key', ('optional', 'required'), 'optional'
    )
    split = _read_split(reader)
    first = split[0].service if split else None
    route = _routes.Route(
        name=name,
        service=reader.read_name('service', first),
        method=reader.read_choice('method', METHODS),
        path=path,
        is_open=access == 'open',
        idempotent=reader.read_boolean('idempotent'),
        priority=calls.Priority[priority.upper()],
        deadline_ms=reader.read_integer(
            'deadline_ms', DEFAULT_DEADLINE_MS, low=1, high=MAX_DEADLINE_MS
        ),
        max_body_bytes=reader.read_integer(
            'max_body_bytes', DEFAULT_MAX_BODY_BYTES, high=MAX_BODY_BYTES
        ),
        retries=reader.read_integer(
            'retries', DEFAULT_RETRIES, high=MAX_RETRIES
        ),
        needs_idempotency_key=idempotency_key == 'required',
        host=reader.read_text('host', ''),
        split=split,
        target_latency_ms=reader.read_integer(
            'target_latency_ms', 0, high=2 * MAX_DEADLINE_MS
        ),
    )
    _check_target(route, reader)
    return route


_READERS = {
    'client_account': _read_account,
    'service': _read_service,
    'route': _read_route,
}


def _check_keys(accounts, faults):
    owners = {}
    for account in accounts.values():
        for key_hash in account.key_hashes:
            other = owners.setdefault(key_hash, account.name)
            if other != account.name:
                section = f'client_account {account.name}'
                message = f'a key of client_account {other} as well'
                faults.append(ini.Fault(section, 'key_hashes', message))


def _check_routes(services, routes, faults):
    taken = {}
    for route in routes.values():
        section = f'route {route.name}'
        for service in route.services:
            if service and service not in services:
                message = f'no section [service {service}]'
                faults.append(ini.Fault(section, 'service', message))
        place = route.host, route.method, route.path
        other = taken.setdefault(place, route.name)
        if other != route.name:
            message = f'same method and path as route {other}'
            faults.append(ini.Fault(section, 'path', message))
