"""Stubs of what the entry depends on, for its tests."""

import asyncio
import time
import types

import attrs
from returns import result

from cactusloft_model import calls
from cactusloft_model import document
from cactusloft_model import errors
from cactusloft_model import keys
from cactusloftd import _calls
from cactusloftd import _metrics
from cactusloftd.resident import _debits
from cactusloftd.resident import _delivery
from cactusloftd.resident import _entry
from cactusloftd.resident import _owner
from cactusloftd.resident import _stopping
from cactusloftd.resident import protocol

GRACE_S = 6.0
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
deadline_ms = 60000
target_latency_ms = 10000
"""


class Config:
    """An installed document, confirmed or not."""

    version = types.SimpleNamespace(number=1)
    age_s = 0.1

    def __init__(self, is_fresh=True):
        self.current = document.parse_document(TEXT).unwrap()
        self._is_fresh = is_fresh

    def is_fresh(self):
        return self._is_fresh


class Member:
    """A remote owner with a fixed outcome; None never responds.

    :ivar load: calls per slot that it reports; from 1 on it has no free slot.
    """

    work = None

    def __init__(self, name, outcome, load=0.0):
        self.load = load
        self.name = name
        self.outcome = outcome
        self.calls = []

    def estimate_end(self, call):
        return None

    async def run(self, call):
        self.calls.append(call)
        if call.needs_free_slot and self.load >= 1.0:
            return NO_FREE_SLOT
        if self.outcome is None:
            await asyncio.sleep(10)
        return self.outcome


class Members:
    """Remote owners, chosen in the given order.

    :ivar prepare_s: seconds until the members of a service are known.
    """

    prepare_s = 0.0

    def __init__(self, members):
        self._members = members

    async def prepare(self, service):
        if self.prepare_s:
            await asyncio.sleep(self.prepare_s)

    def choose(self, service, excluded, call=None):
        remaining = (m for m in self._members if m.name not in excluded)
        return next(remaining, None)

    def make_runner(self, member):
        return member

    def record_outcome(self, service, name, is_failed):
        pass


class Debits:
    """Debits that admit every call and count returned tokens."""

    returned_tokens = 0

    async def admit(self, context):
        return result.Success(True)

    def return_token(self, context):
        self.returned_tokens += 1


class Log:
    """An event log that keeps the names of the events."""

    def __init__(self):
        self.events = []

    def record(self, event, **fields):
        self.events.append(event.name)

    def takes(self, event):
        return True

    write = record


class LocalOwner:
    """The owner in the same daemon; it serves another service."""

    service = 'other'
    is_serving = True
    admission = None
    shares_room = False

    def __init__(self):
        self.running = {}
        self.nested_failures = []

    def find_running(self, call_id):
        return self.running.get(call_id)

    def record_nested_failure(self, call_id):
        self.nested_failures.append(call_id)


def make_entry(*members, is_fresh=True):
    """Return an entry whose remote owners are ``members``."""
    clock = asyncio.get_event_loop().time
    marks = types.SimpleNamespace(check=lambda name: result.Success(None))
    owner = LocalOwner()
    debits = Debits()
    stop = _stopping.Stop(GRACE_S, clock)
    remote_owners = Members(members)
    entry = _entry.Entry(
        types.SimpleNamespace(name='here'),
        Config(is_fresh),
        owner,
        remote_owners,
        debits,
        marks,
        stop,
        Log(),
        _metrics.Metrics(),
        clock,
    )
    entry.debits = debits
    entry.owner = owner
    entry.members = remote_owners
    entry.stop = stop
    return entry


def make_debits(now):
    """Return the debits of an entry that knows no leader yet.

    :param now: function that returns the time in seconds.
    """
    return _debits.Debits(
        'here',
        types.SimpleNamespace(read=None),
        Config(),
        None,
        types.SimpleNamespace(handle_debit=None),
        now,
        _metrics.Metrics(),
    )


def make_request(
    path='/read/1', key='good', deadline_ms=5000, root_id='a1', parent_id=''
):
    """Return a client request, or a nested call of ``parent_id``."""
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
        # The clock of the event loop.
        time.monotonic(),
    )


def succeed(status=200, is_caused_below=False):
    """Return the outcome of a call with an HTTP response."""
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


CONNECTION_LOST = _calls.fail(_E.BACKEND_SERVER_FAILED, 'connection lost')
UNREACHABLE = _calls.fail(
    _E.BACKEND_SERVER_FAILED, _delivery.UNREACHABLE, _N.TRUE
)
DECLINED = _calls.fail(_E.OVERLOADED, _delivery.DECLINED)
NO_FREE_SLOT = _calls.fail(_E.OVERLOADED, _owner.NO_FREE_SLOT)
NO_SLOT = _calls.fail(_E.OVERLOADED, 'no slot in time')
NOT_SERVING = _calls.fail(_E.NO_BACKEND_SERVER, 'not serving')


def serve(members, request=None, is_fresh=True):
    """Serve a request; return its outcome and the entry."""

    async def run():
        entry = make_entry(*members, is_fresh=is_fresh)
        return await entry.serve(request or make_request(), 'track'), entry

    return asyncio.run(run())


def make_members(*outcomes):
    """Return remote owners with these outcomes."""
    return [Member(f'm{i}', o) for i, o in enumerate(outcomes)]


def serve_nested(members, parent):
    """Serve a nested call of ``parent``; return its outcome and the entry."""

    async def run():
        entry = make_entry(*members)
        entry.owner.running['a1.x'] = parent
        request = make_request('/inner/1', '', parent_id='a1.x')
        return await entry.serve(request, 'track'), entry

    return asyncio.run(run())


def make_parent(**changes):
    """Return the context of a call that runs on the local backend server."""
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


def find_high_ranked_id():
    """Return the root id whose rank gives it priority for retry budget."""
    names = (f'a{index}' for index in range(1000))
    return max(
        names, key=lambda n: calls.compute_rank(n, calls.Priority.NORMAL, True)
    )
