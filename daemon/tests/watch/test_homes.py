"""Tests of what a search for another home costs, and when the home moves."""

import asyncio
import gc
import itertools

import pytest

from cactusloft_model import document
from cactusloftd import _watch_search

from . import fleets


async def _watch_until(fleet, end_at):
    watching = asyncio.create_task(fleet.watcher.run())
    await asyncio.sleep(end_at - fleets.now())
    watching.cancel()


def test_sound_home_is_polled_once_per_hold_time():
    """Hedging must not add messages while nothing fails."""

    async def run():
        fleet = fleets.Fleet(5, 2, fleets.NEVER)
        await _watch_until(fleet, 22.0)
        return [[at for at, _ in host.watches] for host in fleet.hosts]

    polls = fleets.run_simulated(run())
    assert sum(map(bool, polls)) == 1
    # One for each hold time of 1 s, and the latency.
    settled = [at for at in itertools.chain(*polls) if at > 2.0]
    assert len(settled) <= 20


def test_one_late_reply_moves_all_daemons():
    """A control host that was late once keeps its registrations."""

    async def run(late_polls):
        fleet = fleets.Fleet(5, 5, fleets.NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        homes = []
        watching = asyncio.create_task(fleet.watcher.run())
        await asyncio.sleep(3.1)
        for delay_s in (0.6,) * late_polls + (0.0, 0.0):
            homes.append(fleet.watcher.find_home())
            fleet.hosts[int(homes[-1].name[1:])].delay_s = delay_s
            await asyncio.sleep(1.6)
        watching.cancel()
        registered = [
            host
            for host in fleet.hosts
            if any(watch.tables for _, watch in host.watches)
        ]
        return len(set(homes)), len(registered)

    assert fleets.run_simulated(run(1)) == (1, 1)
    assert fleets.run_simulated(run(3)) == (2, 2)


def test_search_flips_the_home_and_its_registration():
    """Probes register nowhere; a lost home is left for the one that answered.

    The home is silent, and so is the control host that is asked first.
    """

    async def run():
        fleet = fleets.Fleet(5, 2, fleets.NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        fleets.silence(fleet, fleets.FAULT_AT)
        await _watch_until(fleet, fleets.FAULT_AT + 10.0)
        return fleet

    fleet = fleets.run_simulated(run())
    registered = [
        [watch for _, watch in host.watches if watch.tables]
        for host in fleet.hosts
    ]
    assert sum(map(bool, registered[:2])) == 1, 'only the first home'
    assert sum(map(bool, registered[2:])) == 1, 'only the second home'


@pytest.mark.parametrize('size', [5, 11])
def test_outage_multiplies_the_polls(size):
    """While no control host confirms, at most seven are asked a second."""

    async def run():
        fleet = fleets.Fleet(size, size, fleets.NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        fleets.cut_off(fleet, fleets.FAULT_AT)
        await _watch_until(fleet, fleets.FAULT_AT + 22.0)
        return fleet

    fleet = fleets.run_simulated(run())
    watches = [
        (at, watch)
        for host in fleet.hosts
        for at, watch in host.watches
        if at > fleets.FAULT_AT + 2.0
    ]
    assert len(watches) <= 20 * 7
    # The registration has a lease of 3 s at the home.
    reports = sorted(at for at, watch in watches if watch.tables)
    assert max(b - a for a, b in itertools.pairwise(reports)) < 2.0


def test_invalid_version_is_fetched_five_times_a_second():
    """Each answer costs as much as the difference to that version.

    All control hosts hold it, so no other home is better. The daemon must not
    confirm the older version, and must still get a valid one in time.
    """
    invalid = document.Section('unknown x', ())

    async def run():
        fleet = fleets.Fleet(5, 0)
        for host in fleet.hosts:
            host.installed.changed = invalid
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        watching = asyncio.create_task(fleet.watcher.run())
        await asyncio.sleep(fleets.FAULT_AT + 10.0)
        polls = [[at for at, _ in host.watches] for host in fleet.hosts]
        is_fresh = fleet.installed.is_fresh()
        fleet.watcher.wake()
        await asyncio.sleep(2 * fleets.LATENCY_S)
        last_at = max(
            host.watches[-1][0] for host in fleet.hosts if host.watches
        )
        for host in fleet.hosts:
            host.installed.changed = fleets.CHANGED
            host.installed.new_number = 3
        await asyncio.sleep(2.0)
        watching.cancel()
        return polls, is_fresh, last_at, fleet.installed.version.number

    polls, is_fresh, woken_at, number = fleets.run_simulated(run())
    assert not is_fresh and number == 3
    late = [at for at in itertools.chain(*polls) if at > fleets.FAULT_AT + 1]
    assert sum(map(bool, polls)) == 1 and len(late) <= 10
    assert woken_at >= fleets.FAULT_AT + 10.0, 'the report had to wait'


def test_probed_control_host_waits_for_a_daemon_of_another():
    """A change must not be held up where a daemon does not wait for it."""

    async def run():
        fleet = fleets.Fleet(5, 2)
        fleets.silence(fleet, fleets.FAULT_AT - 1.5)
        await _watch_until(fleet, fleets.FAULT_AT + 1.0)
        home = fleet.watcher.find_home().name
        return [
            (host.versions.find_lagging(2), f'c{number}' == home)
            for number, host in enumerate(fleet.hosts)
            if host.watches and host not in fleet.faulty
        ]

    lagging = fleets.run_simulated(run())
    assert len(lagging) > 1 and ((), True) in lagging
    assert all(names == () for names, _ in lagging)


@pytest.mark.parametrize('delay_s', [0.15, 0.5])
def test_equally_slow_control_hosts_exchange_their_daemons(delay_s):
    """Where no other control host is faster, a move only adds to the load."""

    async def run():
        fleet = fleets.Fleet(5, 0, fleets.NEVER)
        fleet.watcher.attach('marks', lambda: b'report', lambda _: None)
        for host in fleet.hosts:
            host.delay_s = delay_s
        await _watch_until(fleet, 62.0)
        return [any(w.tables for _, w in host.watches) for host in fleet.hosts]

    assert sum(fleets.run_simulated(run())) == 1


def test_ended_search_leaves_an_unread_error():
    """A search that has ended must not write tracebacks for its probes."""
    errors = []

    class Rotation:
        def list_backups(self):
            return ['slow', 'found']

        def put_last(self, host):
            pass

        put_next = put_last

    async def probe(host):
        await asyncio.sleep(0.4 if host == 'found' else 0.5)
        return host == 'found'

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        found = await _watch_search.find_confirming(
            Rotation(), probe, _watch_search.Pace.URGENT
        )
        await asyncio.sleep(0.2)
        gc.collect()
        return found

    assert fleets.run_simulated(run()) == 'found'
    assert errors == []
