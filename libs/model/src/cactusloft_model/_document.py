"""The operators' document, parsed and validated whole.

The document is INI with sections ``[client_account NAME]``,
``[service NAME]`` and ``[route NAME]``. It is accepted whole or refused whole
with every fault listed.
"""

import attrs

from returns import result

from cactusloft_model import calls
from cactusloft_model import ini
from cactusloft_model import keys

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'ANY')
PRIORITIES = tuple(priority.name.lower() for priority in calls.Priority)
WILDCARD = '/*'
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 600_000
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
DEFAULT_RETRIES = 1
MAX_RETRIES = 5
DEFAULT_RETRY_SHARE = 0.1


@attrs.frozen
class ClientAccount:
    """A customer of the operator.

    :ivar rate: requests per second over all hosts together.
    :ivar burst: requests at once over all hosts together.
    :ivar weight: share in an overloaded service, relative to others.
    :ivar key_hashes: hashes of the keys that authenticate the account.
    """

    name: str
    rate: float
    burst: float
    weight: float
    key_hashes: tuple[str, ...]


@attrs.frozen
class Service:
    """A service that backend servers announce.

    :ivar retry_share: retries allowed as a share of recent successes.
    """

    name: str
    retry_share: float


@attrs.frozen
class Route:
    """A class of requests and how they are treated.

    :ivar path: exact path, or a prefix that ends in ``/*``.
    :ivar is_open: whether no key is needed.
    :ivar retries: retries allowed over the whole chain of one root call.
    :ivar needs_idempotency_key: whether callers must send one.
    """

    name: str
    service: str
    method: str
    path: str
    is_open: bool
    idempotent: bool
    priority: calls.Priority
    deadline_ms: int
    max_body_bytes: int
    retries: int
    needs_idempotency_key: bool

    def matches(self, method, path):
        """Tell whether a request takes this route."""
        if self.method not in ('ANY', method):
            return False
        if self.path.endswith(WILDCARD):
            return path.startswith(self.path[:-1])
        return path == self.path


@attrs.frozen
class Document:
    """A valid document with its look-up tables.

    :ivar text: the INI text as the operator gave it.
    """

    text: str
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    routes: tuple[Route, ...]
    _account_by_hash: dict[str, str] = attrs.field(init=False, repr=False)

    @_account_by_hash.default
    def _index_keys(self):
        return {
            key_hash: account.name
            for account in self.accounts.values()
            for key_hash in account.key_hashes
        }

    def find_account(self, key):
        """Return the account that ``key`` authenticates, or None."""
        name = self._account_by_hash.get(keys.hash_key(key))
        return self.accounts.get(name)

    def find_route(self, method, path):
        """Return the most specific route for a request, or None.

        :param path: path without the query.
        """
        matching = (r for r in self.routes if r.matches(method, path))
        return next(matching, None)

    def find_service_route(self, service, method, path):
        """Return the route of a nested call to ``service``, or None."""
        matching = (
            route
            for route in self.routes
            if route.service == service and route.matches(method, path)
        )
        return next(matching, None)


EMPTY_DOCUMENT = Document('', {}, {}, ())


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
    accounts, services, routes = {}, {}, []
    for section in parser.sections():
        kind, _, name = section.partition(' ')
        reader = ini.SectionReader(section, parser[section], faults)
        if kind in ('client_account', 'service', 'route'):
            reader.check_name('', name)
        if kind == 'client_account':
            accounts[name] = _read_account(name, reader)
        elif kind == 'service':
            services[name] = _read_service(name, reader)
        elif kind == 'route':
            routes.append(_read_route(name, reader))
        else:
            reader.add_fault('', 'unknown section')
            continue
        reader.refuse_unknown()
    _check_references(accounts, services, routes, faults)
    if faults:
        return result.Failure(tuple(faults))
    routes.sort(key=_rank_route)
    return result.Success(Document(text, accounts, services, tuple(routes)))


def _read_account(name, reader):
    hashes = reader.read_lines('key_hashes')
    for key_hash in hashes:
        if not keys.is_key_hash(key_hash):
            reader.add_fault(
                'key_hashes', 'each line must be sha256: and 64 hex digits'
            )
    return ClientAccount(
        name=name,
        rate=reader.read_number('rate', low=0.01),
        burst=reader.read_number('burst', low=1),
        weight=reader.read_number('weight', 1.0, low=0.01, high=1000),
        key_hashes=hashes,
    )


def _read_service(name, reader):
    share = reader.read_number('retry_share', DEFAULT_RETRY_SHARE, high=1)
    return Service(name=name, retry_share=share)


def _read_route(name, reader):
    path = reader.read_text('path')
    if path and not path.startswith('/'):
        reader.add_fault('path', 'must start with "/"')
    if '*' in path.removesuffix(WILDCARD) or '?' in path:
        reader.add_fault('path', '"*" may stand as a last "/*" only')
    access = reader.read_choice('access', ('keyed', 'open'), 'keyed')
    priority = reader.read_choice('priority', PRIORITIES, 'normal')
    idempotency_key = reader.read_choice(
        'idempotency_key', ('optional', 'required'), 'optional'
    )
    return Route(
        name=name,
        service=reader.read_name('service'),
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
    )


def _check_references(accounts, services, routes, faults):
    owners = {}
    for account in accounts.values():
        for key_hash in account.key_hashes:
            other = owners.setdefault(key_hash, account.name)
            if other != account.name:
                section = f'client_account {account.name}'
                message = f'a key of client_account {other} as well'
                faults.append(ini.Fault(section, 'key_hashes', message))
    taken = {}
    for route in routes:
        section = f'route {route.name}'
        if route.service and route.service not in services:
            message = f'no section [service {route.service}]'
            faults.append(ini.Fault(section, 'service', message))
        other = taken.setdefault((route.method, route.path), route.name)
        if other != route.name:
            message = f'same method and path as route {other}'
            faults.append(ini.Fault(section, 'path', message))


def _rank_route(route):
    """Order exact paths first, then longer prefixes, then a named method."""
    is_prefix = route.path.endswith(WILDCARD)
    return is_prefix, -len(route.path), route.method == 'ANY'
