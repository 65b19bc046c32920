"""Tests of crash marks and quarantine over several daemons."""

import itertools
import random

import pytest

from cactusloft_retry import marks

DAEMONS = 5
ALONE = marks.Treatment.ALONE
QUARANTINED = marks.Treatment.QUARANTINED
ORDINARY = marks.Treatment.ORDINARY


class Fleet:
    """Crash mark stores of several daemons with a shared simulated clock."""

    def __init__(self, seed):
        self.now = 0.0
        self.random_source = random.Random(seed)
        names = [f'd{number}' for number in range(DAEMONS)]
        self.stores = {
            n: marks.CrashMarkStore(n, lambda: self.now) for n in names
        }
        self.loss_numbers = itertools.count()
        self.lost_servers = 0

    def deliver(self, crash_marks):
        """Deliver crash marks to all daemons in any order, some twice."""
        deliveries = [
            (mark, store)
            for mark in crash_marks
            for store in self.stores.values()
        ]
        deliveries += deliveries[:3]
        self.random_source.shuffle(deliveries)
        for mark, store in deliveries:
            store.merge(mark)

    def try_start(self, name, fingerprint):
        """Return whether a daemon may run the request; use its permit."""
        store = self.stores[name]
        treatment = store.find_treatment(fingerprint)
        if treatment is ALONE:
            origin = self.stores[store.find_origin(fingerprint)]
            return origin.permit(fingerprint)
        return treatment is ORDINARY

    def lose_server(self, name, fingerprints):
        self.lost_servers += 1
        loss = f'loss-{next(self.loss_numbers)}'
        self.deliver(self.stores[name].record_loss(loss, fingerprints))

    def choose_daemon(self):
        return self.random_source.choice(list(self.stores))


@pytest.mark.parametrize('seed', range(50))
def test_repeats_lose_at_most_two_backend_servers(seed):
    """Guards against a request that crashes one server after another."""
    fleet = Fleet(seed)
    for _ in range(40):
        name = fleet.choose_daemon()
        if fleet.try_start(name, 'bad'):
            fleet.lose_server(name, ['bad', f'unrelated-{seed}'])
    assert fleet.lost_servers == 2


@pytest.mark.parametrize('seed', range(50))
def test_concurrent_repeats_after_the_first_loss(seed):
    """Guards against daemons that run the suspect concurrently."""
    fleet = Fleet(seed)
    fleet.lose_server(fleet.choose_daemon(), ['bad'])
    for _ in range(5):
        runners = [fleet.choose_daemon() for _ in range(6)]
        running = [name for name in runners if fleet.try_start(name, 'bad')]
        for name in running:
            fleet.lose_server(name, ['bad'])
    assert fleet.lost_servers == 2


@pytest.mark.parametrize('seed', range(10))
def test_unrelated_request_is_not_quarantined(seed):
    """Guards against refusing a request that ran beside a crashing one."""
    fleet = Fleet(seed)
    fleet.lose_server(fleet.choose_daemon(), ['bad', 'unrelated'])
    assert fleet.try_start(fleet.choose_daemon(), 'unrelated')
    fleet.lose_server('d1', ['bad'])
    cleared = fleet.stores['d0'].record_success('unrelated')
    fleet.deliver([cleared])
    stores = fleet.stores.values()
    assert {store.find_treatment('unrelated') for store in stores} == {
        ORDINARY
    }
    assert {store.find_treatment('bad') for store in stores} == {QUARANTINED}


def test_late_copy_does_not_restore_a_cleared_mark():
    """Guards against marking a cleared request again by a late message."""
    fleet = Fleet(0)
    (mark,) = fleet.stores['d0'].record_loss('loss', ['unrelated'])
    fleet.deliver([mark])
    fleet.deliver([fleet.stores['d3'].record_success('unrelated')])
    fleet.deliver([mark])
    assert fleet.stores['d1'].find_treatment('unrelated') is ORDINARY


def test_loss_reported_twice_counts_once():
    """Guards against a quarantine after one lost backend server."""
    fleet = Fleet(0)
    fleet.deliver(fleet.stores['d0'].record_loss('loss', ['x']))
    fleet.deliver(fleet.stores['d4'].record_loss('loss', ['x']))
    assert fleet.stores['d2'].find_treatment('x') is ALONE


def test_mark_after_a_clearing_has_one_origin():
    """Guards against permits from both the old and the new origin."""
    fleet = Fleet(0)
    fleet.lose_server('d0', ['x'])
    fleet.deliver([fleet.stores['d1'].record_success('x')])
    fleet.lose_server('d3', ['x'])
    origins = {store.find_origin('x') for store in fleet.stores.values()}
    assert origins == {'d3'}


def test_success_does_not_end_a_quarantine():
    """Guards against a late response that ends a quarantine."""
    fleet = Fleet(0)
    fleet.lose_server('d0', ['bad'])
    fleet.lose_server('d1', ['bad'])
    assert fleet.stores['d2'].record_success('bad') is None
    assert fleet.stores['d2'].find_treatment('bad') is QUARANTINED


def test_permit_returns_when_the_run_did_not_start():
    """Guards against refusing a request until its mark expires."""
    fleet = Fleet(0)
    fleet.lose_server('d0', ['x'])
    assert fleet.try_start('d3', 'x')
    assert not fleet.try_start('d2', 'x')
    fleet.stores['d0'].return_permit('x')
    assert fleet.try_start('d2', 'x')


def test_marks_expire():
    """Guards against a quarantine that outlasts the repair of its cause."""
    fleet = Fleet(0)
    fleet.lose_server('d0', ['bad'])
    fleet.lose_server('d1', ['bad'])
    fleet.now = marks.MARK_LIFETIME_S + 1
    assert fleet.try_start('d2', 'bad')


def test_new_daemon_merges_unexpired_marks():
    """Guards against a restarted daemon that misses a quarantine."""
    fleet = Fleet(0)
    fleet.lose_server('d0', ['bad'])
    fleet.lose_server('d1', ['bad'])
    new_store = marks.CrashMarkStore('d9', lambda: fleet.now)
    for mark in fleet.stores['d2'].export():
        new_store.merge(mark)
    assert new_store.find_treatment('bad') is QUARANTINED
