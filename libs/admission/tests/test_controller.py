"""Tests of admission at the owner of a backend server."""

import collections
import random

import pytest

from cactusloft_admission import controller
from cactusloft_model import calls

STARTED = controller.Verdict.STARTED
EVICTED = controller.Verdict.EVICTED
EXPIRED = controller.Verdict.EXPIRED
SUCCESS = controller.Outcome.SUCCESS
ERROR = controller.Outcome.ERROR


class FakeServer:
    """A backend server in simulated time beside one ``Admission``."""

    def __init__(self, slots, service_s=0.1):
        self.now = 0.0
        self.service_s = service_s
        self.verdicts = {}
        self.started = []
        self.running = []
        self.admission = controller.Admission(
            slots, lambda: self.now, ramp_s=0
        )

    def submit(self, account, priority=calls.Priority.NORMAL, **fields):
        fields.setdefault('deadline', self.now + 10.0)
        call_id = f'{len(self.verdicts)}'
        ticket = controller.Ticket(call_id, account, priority, **fields)
        self.verdicts[ticket] = None
        self._record_decisions(self.admission.submit(ticket))
        return ticket

    def finish_first(self, outcome=SUCCESS):
        ticket = self.running.pop(0)
        self._record_decisions(self.admission.finish(ticket, outcome))

    def pass_time(self, seconds, outcome=SUCCESS):
        self.now += seconds
        while self.running and self._is_done(self.running[0]):
            self.finish_first(outcome)

    def _is_done(self, ticket):
        return self.now - ticket.started_at >= self.service_s - 1e-9

    def _record_decisions(self, decisions):
        for decision in decisions:
            assert self.verdicts[decision.ticket] is None, (
                'second decision on a call'
            )
            self.verdicts[decision.ticket] = decision.verdict
            if decision.verdict is STARTED:
                self.started.append(decision.ticket)
                self.running.append(decision.ticket)


@pytest.mark.parametrize('seed', range(10))
def test_higher_class_is_never_refused_before_a_lower_one(seed):
    """Guards against shedding a call while one of a lower class is queued."""
    random_source = random.Random(seed)
    server = FakeServer(slots=4)
    for _ in range(600):
        waiting = [t for t, v in server.verdicts.items() if v is None]
        ticket = server.submit(
            random_source.choice('abc'),
            calls.Priority(random_source.randrange(4)),
            nested=random_source.random() < 0.3,
        )
        refused = [
            t
            for t in [*waiting, ticket]
            if server.verdicts[t] in (EVICTED, EXPIRED)
        ]
        left = [t for t, v in server.verdicts.items() if v is None]
        for shed in refused:
            assert all(shed.priority <= t.priority for t in left)
        before = len(server.started)
        server.pass_time(random_source.random() * 0.02)
        left = [t for t, v in server.verdicts.items() if v is None]
        for newly_started in server.started[before:]:
            ranks = [(t.priority, t.nested) for t in left]
            assert all(
                (newly_started.priority, newly_started.nested) >= r
                for r in ranks
            )


@pytest.mark.parametrize(
    ('weights', 'rates'),
    [
        ({'hog': 1, 'small': 1}, {'hog': 10, 'small': 1}),
        (
            {'hog': 1, 'a': 1, 'b': 1, 'c': 1},
            {'hog': 30, 'a': 1, 'b': 1, 'c': 1},
        ),
        ({'hog': 1, 'heavy': 3}, {'hog': 20, 'heavy': 2}),
        ({'hog': 1, 'small': 1, '': 1}, {'hog': 10, 'small': 1, '': 10}),
    ],
)
def test_account_within_its_share_is_not_harmed(weights, rates):
    """Guards against an account at 10x its rate taking others' slots."""
    random_source = random.Random(5)
    server = FakeServer(slots=4)
    names = [name for name, rate in rates.items() for _ in range(rate)]
    for _ in range(3000):
        name = random_source.choice(names)
        server.submit(name, weight=weights[name])
        server.pass_time(0.1 / 4 / 2.5)
    offered = collections.Counter(t.client_account for t in server.verdicts)
    started = collections.Counter(t.client_account for t in server.started)
    share = sum(started.values()) / sum(weights.values())
    for name in names:
        fair = min(offered[name], share * weights[name])
        assert started[name] >= 0.95 * fair


@pytest.mark.parametrize(
    ('service_of_hog', 'service_of_other'), [(0.4, 0.1), (0.1, 0.1)]
)
def test_share_is_measured_in_slot_seconds(service_of_hog, service_of_other):
    """Guards against shares by calls, which favour expensive requests."""
    server = FakeServer(slots=1)
    times = {'hog': service_of_hog, 'other': service_of_other}
    used = collections.Counter()
    for _ in range(400):
        server.submit('hog', deadline=1e9)
        server.submit('other', deadline=1e9)
        ticket = server.running[0]
        server.service_s = times[ticket.client_account]
        used[ticket.client_account] += server.service_s
        server.pass_time(server.service_s)
    assert 0.8 < used['hog'] / used['other'] < 1.25


@pytest.mark.parametrize(
    ('waiting', 'newcomer', 'victim'),
    [
        (['a'] * 8, 'b', 'a'),
        (['a'] * 4 + ['b'] * 4, 'a', 'newcomer'),
        (['a'] * 7 + ['b'], 'b', 'a'),
    ],
)
def test_full_queue_evicts_from_the_account_most_over(
    waiting, newcomer, victim
):
    """Guards against a full queue refusing an account with few calls."""
    server = FakeServer(slots=1)
    server.submit('x')
    queued = [server.submit(name) for name in waiting]
    new = server.submit(newcomer)
    evicted = [t for t, v in server.verdicts.items() if v is EVICTED]
    if victim == 'newcomer':
        assert evicted == [new]
    else:
        assert evicted == [
            [t for t in queued if t.client_account == victim][-1]
        ]


def test_call_that_cannot_meet_its_deadline_is_dropped():
    """Guards against using slots for responses that arrive too late."""
    server = FakeServer(slots=1)
    server.submit('a')
    server.pass_time(0.1)
    server.submit('a')
    late = server.submit('a', deadline=server.now + 0.15)
    good = server.submit('a', deadline=server.now + 0.35)
    server.pass_time(0.1)
    assert server.verdicts[late] is EXPIRED
    assert server.verdicts[good] is STARTED


def test_deadline_drop_never_stops_all_work():
    """Guards against dropping every call after a period of slow calls.

    If the long service time did not expire, no call would start and none
    could succeed and lower it.
    """
    server = FakeServer(slots=1, service_s=5.0)
    server.submit('a', deadline=1e9)
    server.pass_time(5.0)
    for _ in range(30):
        server.submit('a', deadline=server.now + 1.0)
        server.service_s = 0.1
        server.pass_time(0.2)
    assert len(server.started) > 10


def test_newest_first_under_sustained_overload():
    """Guards against serving only calls that are about to time out."""
    server = FakeServer(slots=1)
    server.submit('a')
    for _ in range(6):
        server.submit('a')
    server.pass_time(0.1)
    assert server.started[-1].call_id == '1'
    server.pass_time(0.1)
    server.pass_time(0.1)
    newest = server.submit('a')
    server.pass_time(0.1)
    assert server.started[-1] is newest


@pytest.mark.parametrize('others', [1, 3])
def test_suspect_runs_alone(others):
    """Guards against losing a call in flight with a crash suspect."""
    server = FakeServer(slots=4)
    for _ in range(others):
        server.submit('a')
    suspect = server.submit('b', alone=True)
    late = server.submit('a')
    assert server.verdicts[late] is None
    server.pass_time(0.1)
    assert server.running == [suspect]
    server.pass_time(0.1)
    assert server.running == [late]


def test_abandoned_suspect_frees_the_server():
    """Guards against a server that stays reserved for a cancelled suspect."""
    server = FakeServer(slots=4)
    server.submit('a')
    suspect = server.submit('b', alone=True)
    waiting = server.submit('a')
    server._record_decisions(server.admission.cancel(suspect))
    assert server.verdicts[waiting] is STARTED


@pytest.mark.parametrize(
    ('claimed', 'lowest', 'highest'),
    [(0, 2, 2), (5, 5, 5), (8, 8, 8), (1000, 8, 8), (None, 8, 8)],
)
def test_load_report_lowers_the_limit_only(claimed, lowest, highest):
    """Guards against a backend server that reports more slots than it has."""
    server = FakeServer(slots=8)
    server.admission.receive_load(load=1.0, slots=claimed)
    assert lowest <= server.admission.compute_limit() <= highest
    assert server.admission.in_flight == 0
    assert server.admission.misleading_reports == 1
    server.now += 10.0
    assert server.admission.compute_limit() == 8


def test_pressure_rises_class_by_class_and_falls():
    """Guards against early refusal that continues after the overload."""
    server = FakeServer(slots=4)
    levels = []
    for _ in range(400):
        server.submit('a', calls.Priority.LOW)
        server.submit('a', calls.Priority.HIGH)
        server.pass_time(0.01)
        levels.append(server.admission.read_pressure().level)
    assert 0 < max(levels) <= 1.0
    for _ in range(100):
        server.pass_time(0.1)
        server.submit('a', calls.Priority.LOW)
        levels.append(server.admission.read_pressure().level)
    assert levels[-1] == 0.0


def test_start_by_limits_only_the_time_in_the_queue():
    """Guards against refusing a slow call while a slot is free."""
    server = FakeServer(slots=2, service_s=0.4)
    server.submit('a', start_by=0.1)
    server.pass_time(0.4)
    later = server.submit('a', start_by=server.now + 0.1)
    assert server.verdicts[later] is STARTED


def test_call_queued_beyond_its_start_by_expires():
    """Guards against starting a call after the latest start it asked for."""
    server = FakeServer(slots=1, service_s=0.4)
    server.submit('a')
    late = server.submit('a', start_by=0.1)
    server.pass_time(0.4)
    assert server.verdicts[late] is EXPIRED


def test_nested_calls_start_by_the_rank_of_their_tree():
    """Guards against an overload in which no call tree completes.

    A call tree fails with any of its calls, so serving all trees in turn
    would fail most of them.
    """
    server = FakeServer(slots=1)
    server.submit('', nested=True, rank=0.5)
    low = [server.submit('', nested=True, rank=0.2) for _ in range(3)]
    high = [server.submit('', nested=True, rank=0.9) for _ in range(3)]
    for _ in range(3):
        server.finish_first()
    assert [server.verdicts[ticket] for ticket in high] == [STARTED] * 3
    assert [server.verdicts[ticket] for ticket in low] == [None] * 3
