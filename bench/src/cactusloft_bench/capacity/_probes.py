"""Measure the costs of library operations within this process."""

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

PAYLOAD_SEED = 20261204
ROUTES_PER_SERVICE = 2
LOOKUP_RUNS = 100
CODEC_RUNS = 1000


def probe_all():
    """Yield each :class:`_fits.Slope` that needs no other process."""
    yield from probe_document()
    yield from probe_registry()
    yield from probe_subset()
    yield from probe_ledger()
    yield from probe_allocator()
    yield from probe_frames()


def make_document_text(services, accounts):
    """Return the text of a document with so many services and accounts."""
    sections = []
    for number in range(accounts):
        sections.append(
            f'[client_account account-{number}]\nrate = 100\nburst = 50\n'
            f'key_hashes =\n    {keys.hash_key(f"clk_{number}")}\n'
        )
    for number in range(services):
        sections.append(f'[service service-{number}]\n')
        for route in range(ROUTES_PER_SERVICE):
            sections.append(
                f'[route service-{number}-{route}]\n'
                f'service = service-{number}\nmethod = ANY\n'
                f'path = /service-{number}/{route}/*\nidempotent = yes\n'
            )
    return '\n'.join(sections)


def probe_document():
    """Yield the processor time and memory that a document takes."""
    sizes = (100, 400, 1600)

    def measure_parse(services):
        text = make_document_text(services, services)
        return 1e3 * _fits.time_cpu(lambda: document.parse_document(text))

    def measure_patch(services):
        text = make_document_text(services, services)
        base = document.parse_document(text).unwrap()
        section = document.Section('service service-0', ())
        changes = document.Changes((section,), ())
        return 1e3 * _fits.time_cpu(
            lambda: document.patch_document(base, changes)
        )

    def measure_route_lookup(services):
        text = make_document_text(services, services)
        parsed = document.parse_document(text).unwrap()
        path = f'/service-{services - 1}/1/x'
        seconds = _fits.time_cpu(
            lambda: [
                parsed.find_route('GET', path) for _ in range(LOOKUP_RUNS)
            ]
        )
        return seconds / LOOKUP_RUNS * 1e6

    def measure_document_memory(services):
        text = make_document_text(services, services)
        return _measure_memory(lambda: document.parse_document(text)) / 1024

    yield _fits.measure(
        'document parsing',
        'services',
        'ms of processor time',
        sizes,
        measure_parse,
    )
    yield _fits.measure(
        'document change by section',
        'services',
        'ms of processor time',
        sizes,
        measure_patch,
    )
    yield _fits.measure(
        'route look-up',
        'services',
        'us of processor time',
        sizes,
        measure_route_lookup,
    )
    yield _fits.measure(
        'document memory', 'services', 'KiB', sizes, measure_document_memory
    )


def make_registration(number, services=50):
    """Return a registration of typical size.

    :param number: number of the daemon, which sets its names and addresses.
    :param services: services over which the daemons are spread.
    """
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
    """Yield the memory and renewal time of registrations."""
    sizes = (500, 2000, 8000)

    def make_registry(count):
        table = registry.Registry()
        for number in range(count):
            table.register(make_registration(number), 0.0)
        return table

    def measure_renewals(count):
        table = make_registry(count)
        renewals = [
            attrs.evolve(make_registration(number), sequence=2)
            for number in range(count)
        ]

        def renew_all():
            for renewal in renewals:
                table.register(renewal, 0.5)

        return 1e3 * _fits.time_cpu(renew_all, runs=1)

    yield _fits.measure(
        'registry memory',
        'registrations',
        'KiB',
        sizes,
        lambda count: _measure_memory(lambda: make_registry(count)) / 1024,
    )
    yield _fits.measure(
        'registry renewals',
        'registrations',
        'ms of processor time a round',
        sizes,
        measure_renewals,
    )


def probe_subset():
    """Yield the time to choose a subset from the members of a service."""
    sizes = (12, 48, 192)

    def measure_choice(count):
        members = [make_registration(number, 1) for number in range(count)]
        seconds = _fits.time_cpu(
            lambda: choice.choose_subset('daemon', 'dc-1', members)
        )
        return seconds * 1e3

    yield _fits.measure(
        'subset choice',
        'members',
        'ms of processor time',
        sizes,
        measure_choice,
    )


def probe_ledger():
    """Yield the memory and processor time of keys in a ledger member."""
    sizes = (1000, 4000, 16000)

    def make_member(count):
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
        lambda count: _measure_memory(lambda: make_member(count)) / 1024,
    )
    yield _fits.measure(
        'ledger votes',
        'reservations',
        'ms of processor time',
        sizes,
        lambda count: 1e3 * _fits.time_cpu(lambda: make_member(count), runs=3),
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
    """Yield the time of a lease request to an account with many holders."""
    sizes = (10, 100, 1000)

    def measure_request(count):
        allocator = quota.Allocator('a', 'account', 1e5, 1e5, 0.0)
        start_s = 10.0
        requests = [
            quota.LeaseRequest('account', f'd{n}', 'b', 1, 10.0)
            for n in range(count)
        ]
        for request in requests:
            allocator.handle(request, start_s)

        def request_all():
            for number, request in enumerate(requests):
                renewal = attrs.evolve(request, sequence=2 + number)
                allocator.handle(renewal, start_s + 0.1)

        return 1e6 * _fits.time_cpu(request_all, runs=1) / count

    yield _fits.measure(
        'lease request at the allocator',
        'holders',
        'us of processor time',
        sizes,
        measure_request,
    )


def probe_frames():
    """Yield the time to encode and decode one frame of a peer link."""
    sizes = (200, 2_000, 20_000)
    codec = _ledger_messages.CODEC
    stamp = clock.Stamp(1, 1)
    rng = random.Random(PAYLOAD_SEED)

    def measure_codec(size):
        payload = rng.randbytes(size)
        message = _messages.BodyChunk(True)
        frame = link.Frame(
            link.FrameType.STREAM_DATA, 1, 1, stamp, message, payload
        )

        def encode_and_decode():
            for _ in range(CODEC_RUNS):
                codec.decode(codec.encode(frame))

        return _fits.time_cpu(encode_and_decode) / CODEC_RUNS * 1e6

    yield _fits.measure(
        'frame encoding and decoding',
        'payload bytes',
        'us of processor time',
        sizes,
        measure_codec,
    )


def _measure_memory(make):
    """Return the bytes that the result of ``make`` occupies."""
    gc.collect()
    tracemalloc.start()
    try:
        result = make()
        gc.collect()
        size, _peak = tracemalloc.get_traced_memory()
        del result
        return size
    finally:
        tracemalloc.stop()
