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
        self.source = random.Random(seed)
        names = [f'd{number}' for number in range(DAEMONS)]
        self.books = {
            n: marks.CrashMarkStore(n, lambda: self.now) for n in names
        }
        self.lost = itertools.count()
        self.lost_servers = 0

    def spread(self, found):
        """Deliver marks to all daemons in any order, some of them twice."""
        deliveries = [(m, b) for m in found for b in self.books.values()]
        deliveries += deliveries[:3]
        self.source.shuffle(deliveries)
        for mark, book in deliveries:
            book.merge(mark)

    def begin(self, name, fingerprint):
        """Return whether the request may run at a daemon."""
        book = self.books[name]
        treatment = book.find_treatment(fingerprint)
        if treatment is ALONE:
            origin = self.books[book.find_origin(fingerprint)]
            return origin.permit(fingerprint)
        return treatment is ORDINARY

    def lose(self, name, fingerprints):
        self.lost_servers += 1
        loss = f'loss-{next(self.lost)}'
        self.spread(self.books[name].record_loss(loss, fingerprints))

    def pick(self):
        return self.source.choice(list(self.books))


@pytest.mark.parametrize('seed', range(50))
def test_repeats_lose_at_most_two_backend_servers(seed):
    """Guards against one request that takes down server after server."""
    fleet = Fleet(seed)
    for _ in range(40):
        name = fleet.pick()
        if fleet.begin(name, 'bad'):
            fleet.lose(name, ['bad', f'innocent-{seed}'])
    assert fleet.lost_servers == 2


@pytest.mark.parametrize('seed', range(50))
def test_concurrent_repeats_after_the_first_loss(seed):
    """Guards against several daemons that each try the suspect at once."""
    fleet = Fleet(seed)
    fleet.lose(fleet.pick(), ['bad'])
    for _ in range(5):
        runners = [fleet.pick() for _ in range(6)]
        running = [name for name in runners if fleet.begin(name, 'bad')]
        for name in running:
            fleet.lose(name, ['bad'])
    assert fleet.lost_servers == 2


@pytest.mark.parametrize('seed', range(10))
def test_innocent_call_is_not_quarantined(seed):
    """Guards against refusing what only ran beside a crashing request."""
    fleet = Fleet(seed)
    fleet.lose(fleet.pick(), ['bad', 'innocent'])
    assert fleet.begin(fleet.pick(), 'innocent')
    fleet.lose('d1', ['bad'])
    cleared = fleet.books['d0'].record_success('innocent')
    fleet.spread([cleared])
    books = fleet.books.values()
    assert {book.find_treatment('innocent') for book in books} == {ORDINARY}
    assert {book.find_treatment('bad') for book in books} == {QUARANTINED}


def test_late_copy_does_not_revive_a_cleared_mark():
    """Guards against an innocent request marked again by a slow message."""
    fleet = Fleet(0)
    (mark,) = fleet.books['d0'].record_loss('loss', ['innocent'])
    fleet.spread([mark])
    fleet.spread([fleet.books['d3'].record_success('innocent')])
    fleet.spread([mark])
    assert fleet.books['d1'].find_treatment('innocent') is ORDINARY


def test_loss_reported_twice_counts_once():
    """Guards against a quarantine after one lost backend server."""
    fleet = Fleet(0)
    fleet.spread(fleet.books['d0'].record_loss('loss', ['x']))
    fleet.spread(fleet.books['d4'].record_loss('loss', ['x']))
    assert fleet.books['d2'].find_treatment('x') is ALONE


def test_mark_after_a_clearing_has_one_origin():
    """Guards against two permits from the old origin and the new one."""
    fleet = Fleet(0)
    fleet.lose('d0', ['x'])
    fleet.spread([fleet.books['d1'].record_success('x')])
    fleet.lose('d3', ['x'])
    origins = {book.find_origin('x') for book in fleet.books.values()}
    assert origins == {'d3'}


def test_success_does_not_end_a_quarantine():
    """Guards against a late response that lifts a quarantine."""
    fleet = Fleet(0)
    fleet.lose('d0', ['bad'])
    fleet.lose('d1', ['bad'])
    assert fleet.books['d2'].record_success('bad') is None
    assert fleet.books['d2'].find_treatment('bad') is QUARANTINED


def test_permit_returns_when_the_run_did_not_start():
    """Guards against an innocent request refused until its mark expires."""
    fleet = Fleet(0)
    fleet.lose('d0', ['x'])
    assert fleet.begin('d3', 'x')
    assert not fleet.begin('d2', 'x')
    fleet.books['d0'].return_permit('x')
    assert fleet.begin('d2', 'x')


def test_marks_expire():
    """Guards against a repaired backend server that never gets the call."""
    fleet = Fleet(0)
    fleet.lose('d0', ['bad'])
    fleet.lose('d1', ['bad'])
    fleet.now = marks.MARK_LIFETIME_S + 1
    assert fleet.begin('d2', 'bad')


def test_new_daemon_learns_live_marks():
    """Guards against a restarted daemon as a way round the quarantine."""
    fleet = Fleet(0)
    fleet.lose('d0', ['bad'])
    fleet.lose('d1', ['bad'])
    newcomer = marks.CrashMarkStore('d9', lambda: fleet.now)
    for mark in fleet.books['d2'].export():
        newcomer.merge(mark)
    assert newcomer.find_treatment('bad') is QUARANTINED
