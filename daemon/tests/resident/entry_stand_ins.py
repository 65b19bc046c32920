"""Stand-ins around the entry, for its tests."""

import asyncio
import types

import attrs
from returns import result

from cactusloft_model import calls
from cactusloft_model import document
from cactusloft_model import errors
from cactusloft_model import keys
from cactusloftd import _calls
from cactusloftd import _metrics
from cactusloftd.resident import _delivery
from cactusloftd.resident import _entry
from cactusloftd.resident import protocol

_E = errors.ErrorKind
_N = errors.NotRun
TEXT = f"""
[client_account estates]
rate = 50
burst = 50
key_hashes = {keys.hash_key('good')}
[service stock]
[service track]
[route read]
host = one.example
method = ANY
path = /read/*
service = stock
idempotent = yes
retries = 1
deadline_ms = 300
target_latency_ms = 200
[route order]
host = one.example
method = ANY
path = /order/*
service = stock
idempotent = no
retries = 1
deadline_ms = 300
[route inner]
host = one.example
method = ANY
path = /inner/*
service = track
access = open
idempotent = yes
"""


class Config:
    """A document in force."""

    version = types.SimpleNamespace(number=1)
    age_s = 0.1

    def __init__(self, is_fresh=True):
        self.current = document.parse_document(TEXT).unwrap()
        self._is_fresh = is_fresh

    def is_fresh(self):
        return self._is_fresh


class Member:
    """An owner elsewhere, with what it will answer."""

    def __init__(self, name, outcome):
        self.name = name
        self.outcome = outcome
        self.calls = []

    async def run(self, call):
        self.calls.append(call)
        if self.outcome is None:
            await asyncio.sleep(10)
        return self.outcome


class Members:
    """Owners in the order in which they are chosen."""

    def __init__(self, members):
        self._members = members

    async def prepare(self, service):
        pass

    def choose(self, service, excluded):
        left = (m for m in self._members if m.name not in excluded)
        return next(left, None)

    def make_runner(self, member):
        return member

    def record_outcome(self, service, name, is_failed):
        pass


class Debits:
    """Accounts with as many tokens as they need."""

    given_back = 0

    async def admit(self, context):
        return result.Success(None)

    def return_token(self, context):
        self.given_back += 1


class Log:
    """A log that keeps the names of the events."""

    def __init__(self):
        self.events = []

    def record(self, event, **fields):
        self.events.append(event.name)

    def takes(self, event):
        return True

    write = record


class LocalOwner:
    """The owner beside the entry, with a call that it runs."""

    service = 'other'
    is_serving = True
    admission = None

    def __init__(self):
        self.running = {}
        self.failed_below = []

    def find_running(self, call_id):
        return self.running.get(call_id)

    def note_nested_failure(self, call_id):
        self.failed_below.append(call_id)


def make_entry(*members, is_fresh=True):
    """Return an entry whose owners are ``members``."""
    clock = asyncio.get_event_loop().time
    marks = types.SimpleNamespace(check=lambda name: result.Success(None))
    owner = LocalOwner()
    debits = Debits()
    entry = _entry.Entry(
        types.SimpleNamespace(name='here'),
        Config(is_fresh),
        owner,
        Members(members),
        debits,
        marks,
        Log(),
        _metrics.Metrics(),
        clock,
    )
    entry.debits = debits
    entry.owner = owner
    return entry


def make_request(
    path='/read/1', key='good', deadline_ms=5000, root_id='a1', parent_id=''
):
    """Return a request of a client, or one below ``parent_id``."""
    return protocol.Request(
        f'{parent_id}.b1' if parent_id else root_id,
        'GET',
        'one.example',
        path,
        key,
        deadline_ms,
        (),
        b'',
        root_id,
        parent_id,
    )


def succeed(status=200, is_caused_below=False):
    """Return the outcome of a call that was answered."""
    return result.Success(
        _calls.Response(
            status,
            (),
            0,
            _calls.iterate_once(b''),
            _calls.close_nothing,
            is_caused_below=is_caused_below,
        )
    )


LOST = _calls.fail(_E.BACKEND_SERVER_FAILED, 'connection lost')
UNREACHED = _calls.fail(
    _E.BACKEND_SERVER_FAILED, _delivery.UNREACHABLE, _N.TRUE
)
SHED = _calls.fail(_E.OVERLOADED, _delivery.DECLINED)
FULL = _calls.fail(_E.OVERLOADED, 'no slot in time')
GONE = _calls.fail(_E.NO_BACKEND_SERVER, 'not serving')


def serve(members, request=None, is_fresh=True):
    """Serve a request and return outcome and entry."""

    async def run():
        entry = make_entry(*members, is_fresh=is_fresh)
        return await entry.serve(request or make_request(), 'track'), entry

    return asyncio.run(run())


def make_members(*outcomes):
    """Return owners with these outcomes."""
    return [Member(f'm{i}', o) for i, o in enumerate(outcomes)]


def serve_below(members, parent):
    """Serve a nested call of one that runs here; return outcome and entry."""

    async def run():
        entry = make_entry(*members)
        entry.owner.running['a1.x'] = parent
        request = make_request('/inner/1', '', parent_id='a1.x')
        return await entry.serve(request, 'track'), entry

    return asyncio.run(run())


def make_parent(**changes):
    """Return the context of a call that the local backend server runs."""
    parent = calls.CallContext(
        call_id='a1.x',
        root_call_id='a1',
        parent_call_id='a1',
        root_entry='there',
        client_account='estates',
        service='other',
        priority=calls.Priority.CRITICAL,
        deadline=0.0,
        depth=1,
        idempotent=False,
        fingerprint='f',
        rank=0.625,
    )
    return attrs.evolve(parent, **changes)


def find_high_ranked():
    """Return the id of a call tree that repeats while budgets are scarce."""
    names = (f'a{index}' for index in range(1000))
    return max(
        names, key=lambda n: calls.compute_rank(n, calls.Priority.NORMAL, True)
    )
