"""Measure the costs of ledger reservations and of sharing an account's rate.

The figures to compare are ratios between measurements of one run; absolute
times and rates depend on the machine and its load during the run.
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
RESERVATIONS_PER_RUN = 300
CONCURRENT_RESERVATIONS = 100
DEBITS_PER_RUN = 20_000
RESERVATION_TIMEOUT_S = 60.0


class SyncPerRecordStore(ledger.SegmentStore):
    """Segment store that syncs after each record."""

    def append(self, payloads):
        """Write and sync the records one by one, and return their places."""
        places = []
        for payload in payloads:
            places.extend(super().append([payload]))
        return places


class UnsyncedStore(ledger.SegmentStore):
    """Segment store that never syncs, to separate out the cost of the disk."""

    def _sync(self):
        return


class MemoryNetwork:
    """Ledger group whose members all run in this process.

    :param folder: folder with a subfolder of segments for each member.
    :param make_store: function(folder) that returns a store.
    """

    def __init__(self, folder, make_store):
        self._folder = pathlib.Path(folder)
        self._make_store = make_store
        self._members = {}
        self._group = ledger.Group(0, ())

    def read_group(self):
        """Return the current epoch and members of the group."""
        return self._group

    async def ask(self, member, message, _timeout_s):
        """Deliver a message to a member and return its reply."""
        return await self._members[member].handle(message)

    async def start(self):
        """Add the members one at a time, as operators do.

        Each addition waits until all members are active in the new epoch.
        """
        for count in range(1, len(MEMBERS) + 1):
            name = MEMBERS[count - 1]
            store = self._make_store(self._folder / name)
            member = ledger.MemberService(
                name, store, self._ask_copy, _discard_event
            )
            await member.start()
            self._members[name] = member
            self._group = ledger.Group(count, MEMBERS[:count])
            for other in self._members.values():
                other.enter_epoch(count, self._group.members)
            while not self._are_all_active():
                await asyncio.sleep(0.01)

    async def stop(self):
        """Stop all members, which closes their segments."""
        for member in self._members.values():
            await member.stop()

    def count_batches(self):
        """Return the number of record batches written by all members."""
        return sum(member.sync_count for member in self._members.values())

    def _are_all_active(self):
        return all(m.core.is_active for m in self._members.values())

    async def _ask_copy(self, member, request):
        return await self._members[member].handle_copy_request(request)


@attrs.frozen
class ReservationCost:
    """Throughput of one run of reservations.

    :ivar per_second: reservations per second.
    :ivar batches: record batches written per reservation and member.
    """

    per_second: float
    batches: float


async def measure_reservations(make_store, count, concurrency):
    """Reserve ``count`` keys and return :class:`ReservationCost`."""
    with tempfile.TemporaryDirectory() as folder:
        network = MemoryNetwork(folder, make_store)
        await network.start()
        client = ledger.LedgerClient(network)
        initial_batches = network.count_batches()
        started_s = time.perf_counter()
        await _reserve_all(client, count, concurrency)
        elapsed_s = time.perf_counter() - started_s
        batches = network.count_batches() - initial_batches
        batches /= count * len(MEMBERS)
        await client.drain()
        await network.stop()
    return ReservationCost(count / elapsed_s, batches)


async def _reserve_all(client, count, concurrency):
    numbers = iter(range(count))

    async def reserve_remaining():
        for number in numbers:
            ticket = ledger.Ticket('account', f'{number}', f'{number}', '')
            deadline = time.monotonic() + RESERVATION_TIMEOUT_S
            (await client.reserve(ticket, deadline)).unwrap()

    await asyncio.gather(*(reserve_remaining() for _ in range(concurrency)))


def measure_debit():
    """Return the seconds per debit of a lease holder that has tokens."""
    holder = quota.LeaseHolder('holder', 'boot', 'account', time.monotonic())
    request = holder.make_request(time.monotonic(), 0)
    burst = 2.0 * DEBITS_PER_RUN
    grant = quota.Grant(
        'account', request.sequence, 'a', 1, burst, burst, burst
    )
    holder.apply_grant(grant, time.monotonic())
    started_s = time.perf_counter()
    for _ in range(DEBITS_PER_RUN):
        now = time.monotonic()
        holder.record_arrival(now)
        holder.debit(now)
    return (time.perf_counter() - started_s) / DEBITS_PER_RUN


def measure_lease_request(holder_count):
    """Return the seconds that an allocator takes per lease request."""
    now = time.monotonic()
    allocator = quota.Allocator('a', 'account', 1000.0, 1000.0, now - 60)
    holders = [
        quota.LeaseHolder(f'h{number}', 'boot', 'account', now)
        for number in range(holder_count)
    ]
    requests = [
        holder.make_request(now, 1) for _ in range(10) for holder in holders
    ]
    started_s = time.perf_counter()
    for request in requests:
        allocator.handle(request, now)
    return (time.perf_counter() - started_s) / len(requests)


async def report_reservations():
    """Print the reservation rate for each way to sync.

    The ways take turns, so that other load on the machine affects them
    alike. Return the milliseconds of one unsynced reservation.
    """
    stores = {
        'group commit': ledger.SegmentStore,
        'one sync each': SyncPerRecordStore,
        'no sync': UnsyncedStore,
    }
    runs = {name: [] for name in stores}
    for _ in range(ROUNDS):
        for name, make_store in stores.items():
            cost = await measure_reservations(
                make_store, RESERVATIONS_PER_RUN, CONCURRENT_RESERVATIONS
            )
            runs[name].append(cost)
    print(
        f'reservations, {CONCURRENT_RESERVATIONS} at once,'
        ' 3 members in one process:'
    )
    baseline = _find_median_rate(runs['one sync each'])
    for name, costs in runs.items():
        median = _find_median_rate(costs)
        batches = statistics.median(cost.batches for cost in costs)
        print(
            f'  {name:14} {median:8.0f}/s  {median / baseline:5.2f} x one sync'
            f' each  {batches:.2f} groups a reservation'
        )
    sequential = [
        await measure_reservations(make_store, RESERVATIONS_PER_RUN, 1)
        for make_store in (ledger.SegmentStore, UnsyncedStore)
    ]
    synced_ms, unsynced_ms = (1000 / cost.per_second for cost in sequential)
    print(
        f'  alone {synced_ms:.2f} ms synced, {unsynced_ms:.2f} ms unsynced,'
        f' ratio {synced_ms / unsynced_ms:.1f}'
    )
    return unsynced_ms


def report_debits(reservation_ms):
    """Print the cost of a debit and of a lease request."""
    debit_s = statistics.median(measure_debit() for _ in range(ROUNDS))
    print(
        f'debit {debit_s * 1e6:.1f} us, ratio to an unsynced reservation'
        f' 1:{reservation_ms / 1000 / debit_s:.0f}'
    )
    for holder_count in (10, 100, 1000):
        request_s = measure_lease_request(holder_count)
        print(
            f'  lease request with {holder_count:4} holders'
            f' {request_s * 1e6:6.0f} us, {request_s / debit_s:.0f} debits'
        )


def report_refusals():
    """Print the share of requests within the rate that are refused.

    The share is shown by number of holders and by lifetime of the grants.
    """
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


def _find_median_rate(costs):
    return statistics.median(cost.per_second for cost in costs)


def _discard_event(_name, **_fields):
    """Discard an event of a member."""


if __name__ == '__main__':
    main()
