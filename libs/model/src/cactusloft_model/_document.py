"""Parsing and validation of the operators' document.

The document is an INI file with sections ``[client_account NAME]``,
``[service NAME]`` and ``[route NAME]``. A document with any fault is refused
as a whole, and all of its faults are listed.
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
# Request bodies are buffered completely, so that a call that is known not to
# have run can be retried.
MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_RETRIES = 1
MAX_RETRIES = 5
DEFAULT_RETRY_SHARE = 0.1
# A target latency that exceeds the deadline by this much is taken for a
# mistake in the document.
MAX_TARGET_EXCESS_MS = 60_000
INHERITED = 'inherited'
UNLIMITED = 'unlimited'


@attrs.frozen
class ClientAccount:
    """A customer of the operator.

    :ivar rate: requests per second over all hosts together, 0 for no limit.
    :ivar burst: maximum burst of requests over all hosts together.
    :ivar weight: share of an overloaded service's capacity, relative to
        other accounts.
    :ivar key_hashes: hashes of the keys that authenticate the account.
    :ivar priority: overrides the priority of the route, or None.
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
    :ivar connections: maximum of connections to one backend server, 0 for
        the number that it announces.
    :ivar cold_rate: calls per second that a backend server tolerates while it
        is cold, 0 for no limit.
    """

    name: str
    retry_share: float
    connections: int = 0
    cold_rate: float = 0.0


class Document:
    """A valid document with its look-up indexes.

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
        # Caches accounts by key: hashing the key of each call costs more than
        # the rest of the look-up.
        self._account_by_key = {}
        self._host_indexes = _routes.index_hosts(routes.values())
        self._service_indexes = _routes.index_services(routes)

    def find_account(self, key):
        """Return the account that ``key`` authenticates, or None."""
        account = self._account_by_key.get(key)
        if account is None:
            account = self._account_by_hash.get(keys.hash_key(key))
            # Only valid keys are cached, so callers cannot make it grow.
            if account is not None:
                self._account_by_key[key] = account
        return account

    def find_route(self, method, path, host=''):
        """Return the most specific route for a request, or None.

        :param path: path without the query.
        :param host: host name of the request.
        """
        for name in (host, '') if host else ('',):
            index = self._host_indexes.get(name)
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
        message = f'document is larger than {MAX_DOCUMENT_BYTES} bytes'
        return result.Failure((ini.Fault('', '', message),))
    parser = ini.parse_ini(text, faults)
    sections = {
        name: _sections.make_section(name, parser[name].items())
        for name in parser.sections()
    }
    changes = _sections.Changes(tuple(sections.values()), ())
    return _apply_changes(EMPTY_DOCUMENT, changes, faults)


def patch_document(base, changes):
    """Return ``base`` with ``changes`` applied; parse only those sections.

    :param changes: :class:`Changes`.
    :returns: ``Success(Document)``, or ``Failure(tuple of Fault)``.
    """
    return _apply_changes(base, changes, [])


def _apply_changes(base, changes, faults):
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
    _check_key_owners(accounts, faults)
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
    cold_rate = reader.read_number('cold_rate', 0)
    return Service(name, share, connections, cold_rate)


def _read_split(reader):
    """Return the :class:`TrafficShare` of each line ``SERVICE WEIGHT``."""
    shares = []
    for line in reader.read_lines('split'):
        service, _, weight = line.partition(' ')
        try:
            share = _routes.TrafficShare(service, float(weight))
        except ValueError:
            reader.add_fault(
                'split', f'{line!r} does not have the form SERVICE WEIGHT'
            )
            continue
        if not 0 <= share.weight < float('inf'):
            reader.add_fault(
                'split', f'weight {weight} is negative or not finite'
            )
        shares.append(share)
    if shares and not sum(share.weight for share in shares) > 0:
        reader.add_fault('split', 'sum of the weights is 0')
    return tuple(shares)


def _check_target(route, reader):
    if route.target_latency_ms - route.deadline_ms >= MAX_TARGET_EXCESS_MS:
        reader.add_fault(
            'target_latency_ms',
            'exceeds deadline_ms by 60 s or more',
        )


def _read_route(name, reader):
    path = reader.read_text('path')
    if path and not path.startswith('/'):
        reader.add_fault('path', 'must start with "/"')
    if '*' in path.removesuffix(_routes.WILDCARD) or '?' in path:
        reader.add_fault(
            'path', '"*" is allowed only in a final "/*", and "?" nowhere'
        )
    access = reader.read_choice('access', ('keyed', 'open'), 'keyed')
    priority = reader.read_choice('priority', PRIORITIES, 'normal')
    idempotency_key = reader.read_choice(
        'idempotency_key', ('optional', 'required'), 'optional'
    )
    split = _read_split(reader)
    default_service = split[0].service if split else None
    route = _routes.Route(
        name=name,
        service=reader.read_name('service', default_service),
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


def _check_key_owners(accounts, faults):
    owner_by_hash = {}
    for account in accounts.values():
        for key_hash in account.key_hashes:
            other = owner_by_hash.setdefault(key_hash, account.name)
            if other != account.name:
                section = f'client_account {account.name}'
                message = f'key is also listed by client_account {other}'
                faults.append(ini.Fault(section, 'key_hashes', message))


def _check_routes(services, routes, faults):
    route_by_pattern = {}
    for route in routes.values():
        section = f'route {route.name}'
        for service in route.services:
            if service and service not in services:
                message = f'section [service {service}] is missing'
                faults.append(ini.Fault(section, 'service', message))
        pattern = route.host, route.method, route.path
        other = route_by_pattern.setdefault(pattern, route.name)
        if other != route.name:
            message = f'same host, method and path as route {other}'
            faults.append(ini.Fault(section, 'path', message))
