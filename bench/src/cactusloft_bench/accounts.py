"""Costs of reservations and debits, and what sharing a rate costs.

Every figure is a ratio between measurements in one run; the absolute numbers
beside it describe only the machine at that moment.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

import attrs

from cactusloft_bench import _lease_simulation
import cactusloft_ledger as ledger
import cactusloft_quota as quota

MEMBERS = ('a', 'b', 'c')
ROUNDS = 5
CALLS = 300
CONCURRENT = 100
DEBITS = 20_000
DEADLINE_S = 60.0


class EachSyncStore(ledger.SegmentStore):
    """Segments with one sync for each record."""

    def append(self, payloads):
        """Write and sync the records one by one."""
        places = []
        for payload in payloads:
            places.extend(super().append([payload]))
        return places


class UnsyncedStore(ledger.SegmentStore):
    """Segments that are never synced, to separate the cost of the disk."""

    def _sync(self):
        return


class MemoryNetwork:
    """A ledger group in this process.

    :param folder: folder for the members' segments.
    :param make_store: function(folder) that returns a store.
    """

    def __init__(self, folder, make_store):
        self._folder = pathlib.Path(folder)
        self._make_store = make_store
        self._members = {}
        self._group = ledger.Group(0, ())

    def read_group(self):
        """Return the group."""
        return self._group

    async def ask(self, member, message, _timeout_s):
        """Deliver a message."""
        return await self._members[member].handle(message)

    async def start(self):
        """Add the members one after the other, as operators do."""
        for count in range(1, len(MEMBERS) + 1):
            name = MEMBERS[count - 1]
            store = self._make_store(self._folder / name)
            member = ledger.MemberService(name, store, self._ask_copy, _ignore)
            await member.start()
            self._members[name] = member
            self._group = ledger.Group(count, MEMBERS[:count])
            for known in self._members.values():
                known.enter_epoch(count, self._group.members)
            while not self._is_settled():
                await asyncio.sleep(0.01)

    async def stop(self):
        """Close the segments."""
        for member in self._members.values():
            await member.stop()

    def count_syncs(self):
        """Return the groups written by all members."""
        return sum(member.sync_count for member in self._members.values())

    def _is_settled(self):
        return all(m.core.is_active for m in self._members.values())

    async def _ask_copy(self, member, request):
        return await self._members[member].handle_copy_request(request)


@attrs.frozen
class Reserved:
    """Result of a run of reservations.

    :ivar syncs: written groups for each reservation and member.
    """

    per_second: float
    syncs: float


async def measure_reservations(make_store, calls, concurrent):
    """Reserve ``calls`` keys and return :class:`Reserved`."""
    with tempfile.TemporaryDirectory() as folder:
        network = MemoryNetwork(folder, make_store)
        await network.start()
        client = ledger.LedgerClient(network)
        before = network.count_syncs()
        started = time.perf_counter()
        await _reserve_all(client, calls, concurrent)
        elapsed = time.perf_counter() - started
        syncs = (network.count_syncs() - before) / calls / len(MEMBERS)
        await client.drain()
        await network.stop()
    return Reserved(calls / elapsed, syncs)


async def _reserve_all(client, calls, concurrent):
    numbers = iter(range(calls))

    async def work():
        for number in numbers:
            ticket = ledger.Ticket('account', f'{number}', f'{number}', '')
            deadline = time.monotonic() + DEADLINE_S
            (await client.reserve(ticket, deadline)).unwrap()

    await asyncio.gather(*(work() for _ in range(concurrent)))


def measure_debit():
    """Return seconds for each debit of a holder with tokens."""
    holder = quota.LeaseHolder('holder', 'boot', 'account', time.monotonic())
    request = holder.make_request(time.monotonic(), 0)
    burst = 2.0 * DEBITS
    grant = quota.Grant(
        'account', request.sequence, 'a', 1, burst, burst, burst
    )
    holder.apply_grant(grant, time.monotonic())
    started = time.perf_counter()
    for _ in range(DEBITS):
        now = time.monotonic()
        holder.record_arrival(now)
        holder.debit(now)
    return (time.perf_counter() - started) / DEBITS


def measure_lease_request(holders):
    """Return seconds for each request at an allocator."""
    now = time.monotonic()
    allocator = quota.Allocator('a', 'account', 1000.0, 1000.0, now - 60)
    nodes = [
        quota.LeaseHolder(f'h{number}', 'boot', 'account', now)
        for number in range(holders)
    ]
    requests = [node.make_request(now, 1) for _ in range(10) for node in nodes]
    started = time.perf_counter()
    for request in requests:
        allocator.handle(request, now)
    return (time.perf_counter() - started) / len(requests)


async def report_reservations():
    """Print the reservations a second of each way to sync, in pairs."""
    stores = {
        'group commit': ledger.SegmentStore,
        'one sync each': EachSyncStore,
        'no sync': UnsyncedStore,
    }
    runs = {name: [] for name in stores}
    for _ in range(ROUNDS):
        for name, make_store in stores.items():
            done = await measure_reservations(make_store, CALLS, CONCURRENT)
            runs[name].append(done)
    print(f'reservations, {CONCURRENT} at once, 3 members in one process:')
    base = _find_median(runs['one sync each'])
    for name, done in runs.items():
        median = _find_median(done)
        syncs = statistics.median(run.syncs for run in done)
        print(
            f'  {name:14} {median:8.0f}/s  {median / base:5.2f} x one sync'
            f' each  {syncs:.2f} groups a reservation'
        )
    alone = [
        await measure_reservations(make_store, CALLS, 1)
        for make_store in (ledger.SegmentStore, UnsyncedStore)
    ]
    synced, unsynced = (1000 / run.per_second for run in alone)
    print(
        f'  alone {synced:.2f} ms synced, {unsynced:.2f} ms unsynced,'
        f' ratio {synced / unsynced:.1f}'
    )
    return unsynced


def report_debits(reservation_ms):
    """Print the cost of a debit and of a lease request."""
    debit = statistics.median(measure_debit() for _ in range(ROUNDS))
    print(
        f'debit {debit * 1e6:.1f} us, ratio to an unsynced reservation'
        f' 1:{reservation_ms / 1000 / debit:.0f}'
    )
    for holders in (10, 100, 1000):
        cost = measure_lease_request(holders)
        print(
            f'  lease request with {holders:4} holders {cost * 1e6:6.0f} us,'
            f' {cost / debit:.0f} debits'
        )


def report_refusals():
    """Print refusals inside the rate by holders and grant lifetime."""
    print('refused inside the rate (demand 70%, a holder dies every 5 s):')
    for holders in (2, 8, 32):
        shares = [
            _lease_simulation.measure_refused(holders, lifetime_s)
            for lifetime_s in (1.0, 3.0, 6.0)
        ]
        texts = '  '.join(f'{share:8.3%}' for share in shares)
        print(f'  {holders:3} holders, lifetime 1, 3, 6 s: {texts}')
    print('refused inside the rate, without deaths, by holders:')
    for holders in (2, 8, 32):
        share = _lease_simulation.measure_refused(holders, 3.0, False)
        print(f'  {holders:3} holders: {share:8.3%}')


def main():
    """Print all measurements."""
    reservation_ms = asyncio.run(report_reservations())
    report_debits(reservation_ms)
    report_refusals()


def _find_median(runs):
    return statistics.median(run.per_second for run in runs)


def _ignore(_name, **_fields):
    """Drop an event of a member."""


if __name__ == '__main__':
    main()
