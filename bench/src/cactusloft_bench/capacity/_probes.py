"""Costs measured within one process."""

import gc
import random
import tracemalloc

import attrs

from cactusloft_bench.capacity import _fits
import cactusloft_ledger as ledger
import cactusloft_link as link
from cactusloft_membership import choice
from cactusloft_membership import registry
from cactusloft_model import clock
from cactusloft_model import document
from cactusloft_model import keys
import cactusloft_quota as quota
from cactusloftd import _ledger_messages
from cactusloftd import _messages

SEED = 20261204
ROUTES_OF_A_SERVICE = 2
MIB = 1024 * 1024


def probe_all():
    """Yield every :class:`Slope` that needs no other process."""
    yield from probe_document()
    yield from probe_registry()
    yield from probe_subset()
    yield from probe_ledger()
    yield from probe_allocator()
    yield from probe_frames()


def make_document_text(services, accounts):
    """Return a document of the given size."""
    sections = []
    for number in range(accounts):
        sections.append(
            f'[client_account account-{number}]\nrate = 100\nburst = 50\n'
            f'key_hashes =\n    {keys.hash_key(f"clk_{number}")}\n'
        )
    for number in range(services):
        sections.append(f'[service service-{number}]\n')
        for route in range(ROUTES_OF_A_SERVICE):
            sections.append(
                f'[route service-{number}-{route}]\n'
                f'service = service-{number}\nmethod = ANY\n'
                f'path = /service-{number}/{route}/*\nidempotent = yes\n'
            )
    return '\n'.join(sections)


def probe_document():
    """Measure what a whole document costs a daemon."""
    sizes = (100, 400, 1600)

    def parse(services):
        text = make_document_text(services, services)
        return 1e3 * _fits.time_cpu(lambda: document.parse_document(text))

    def patch(services):
        text = make_document_text(services, services)
        base = document.parse_document(text).unwrap()
        section = document.Section('service service-0', ())
        changes = document.Changes((section,), ())
        return 1e3 * _fits.time_cpu(
            lambda: document.patch_document(base, changes)
        )

    def find_route(services):
        text = make_document_text(services, services)
        parsed = document.parse_document(text).unwrap()
        path = f'/service-{services - 1}/1/x'
        seconds = _fits.time_cpu(
            lambda: [parsed.find_route('GET', path) for _ in range(100)]
        )
        return seconds / 100 * 1e6

    def hold(services):
        text = make_document_text(services, services)
        return _measure_memory(lambda: document.parse_document(text)) / 1024

    yield _fits.measure(
        'document parsing', 'services', 'ms of processor time', sizes, parse
    )
    yield _fits.measure(
        'document change by section',
        'services',
        'ms of processor time',
        sizes,
        patch,
    )
    yield _fits.measure(
        'route look-up',
        'services',
        'us of processor time',
        sizes,
        find_route,
    )
    yield _fits.measure('document memory', 'services', 'KiB', sizes, hold)


def make_registration(number, services=50):
    """Return a registration of ordinary size."""
    return registry.Registration(
        name=f'daemon-{number:05}',
        incarnation=1_700_000_000_000,
        sequence=1,
        host=f'host-{number:05}',
        data_centre=f'dc-{number % 12}',
        peers=f'10.0.{number // 256}.{number % 256}:7004',
        admin=f'10.0.{number // 256}.{number % 256}:7003',
        public_key='k' * link.Z85_KEY_CHARACTERS,
        service=f'service-{number % services}',
        instance=f'{number:016x}',
        slots=50,
        is_serving=True,
    )


def probe_registry():
    """Measure what registrations cost a control host."""
    sizes = (500, 2000, 8000)

    def fill(count):
        table = registry.Registry()
        for number in range(count):
            table.register(make_registration(number), 0.0)
        return table

    def renew(count):
        table = fill(count)
        renewals = [
            attrs.evolve(make_registration(number), sequence=2)
            for number in range(count)
        ]

        def run():
            for renewal in renewals:
                table.register(renewal, 0.5)

        return 1e3 * _fits.time_cpu(run, runs=1)

    yield _fits.measure(
        'registry memory',
        'registrations',
        'KiB',
        sizes,
        lambda count: _measure_memory(lambda: fill(count)) / 1024,
    )
    yield _fits.measure(
        'registry renewals',
        'registrations',
        'ms of processor time a round',
        sizes,
        renew,
    )


def probe_subset():
    """Measure the choice of a subset from the members of a service."""
    sizes = (12, 48, 192)

    def choose(count):
        members = [make_registration(number, 1) for number in range(count)]
        seconds = _fits.time_cpu(
            lambda: choice.choose_subset('daemon', 'dc-1', members)
        )
        return seconds * 1e3

    yield _fits.measure(
        'subset choice', 'members', 'ms of processor time', sizes, choose
    )


def probe_ledger():
    """Measure what keys cost a ledger member."""
    sizes = (1000, 4000, 16000)

    def fill(count):
        member = ledger.LedgerMember('a')
        member.enter_epoch(1, ('a',))
        member.activate()
        for number in range(count):
            member.handle(_make_reserve(number), 0.0)
        return member

    yield _fits.measure(
        'ledger memory',
        'keys kept',
        'KiB',
        sizes,
        lambda count: _measure_memory(lambda: fill(count)) / 1024,
    )
    yield _fits.measure(
        'ledger votes',
        'reservations',
        'ms of processor time',
        sizes,
        lambda count: 1e3 * _fits.time_cpu(lambda: fill(count), runs=3),
    )


def _make_reserve(number):
    return ledger.Reserve(
        client_account=f'account-{number % 100}',
        idempotency_key=f'{number:032x}',
        epoch=1,
        call_id=f'{number:032x}',
        attempt=1,
        fingerprint=f'{number:032x}',
        remaining_ms=10_000,
    )


def probe_allocator():
    """Measure a lease request at an account with many holders."""
    sizes = (10, 100, 1000)

    def renew(count):
        allocator = quota.Allocator('a', 'account', 1e5, 1e5, 0.0)
        start = 10.0
        requests = [
            quota.LeaseRequest('account', f'd{n}', 'b', 1, 10.0)
            for n in range(count)
        ]
        for request in requests:
            allocator.handle(request, start)

        def run():
            for number, request in enumerate(requests):
                later = attrs.evolve(request, sequence=2 + number)
                allocator.handle(later, start + 0.1)

        return 1e6 * _fits.time_cpu(run, runs=1) / count

    yield _fits.measure(
        'lease request at the allocator',
        'holders',
        'us of processor time',
        sizes,
        renew,
    )


def probe_frames():
    """Measure the encoding of a call for the peer link."""
    sizes = (200, 2_000, 20_000)
    codec = _ledger_messages.CODEC
    stamp = clock.Stamp(1, 1)
    rng = random.Random(SEED)

    def encode(size):
        payload = rng.randbytes(size)
        message = _messages.BodyChunk(True)
        frame = link.Frame(
            link.FrameType.STREAM_DATA, 1, 1, stamp, message, payload
        )

        def run():
            for _ in range(1000):
                codec.decode(codec.encode(frame))

        return _fits.time_cpu(run) / 1000 * 1e6

    yield _fits.measure(
        'frame encoding and decoding',
        'payload bytes',
        'us of processor time',
        sizes,
        encode,
    )


def _measure_memory(make):
    """Return bytes that the result of ``make`` holds."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size, _peak = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()
