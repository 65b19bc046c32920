"""Tests of how calls of unequal work share the queue of one owner.

The load: one client account queues many calls, or a few long ones, beside
short calls of other accounts, calls of several urgencies, and callers that
came back after a refusal.
"""

import collections

import pytest

from cactusloft_admission import controller
from cactusloft_admission import waiting
from cactusloft_model import calls

EVICTED = controller.Verdict.EVICTED
STARTED = controller.Verdict.STARTED
HIGH = calls.Priority.HIGH


class Owner:
    """An ``Admission`` with one slot in simulated time."""

    def __init__(self, slots=1):
        self.now = 0.0
        self.verdicts = {}
        self.started = []
        self.admission = controller.Admission(
            slots, lambda: self.now, ramp_s=0
        )

    def make_ticket(self, account, **fields):
        fields.setdefault('deadline', self.now + 60.0)
        priority = fields.pop('priority', HIGH)
        number = len(self.verdicts)
        return controller.Ticket(f'{number}', account, priority, **fields)

    def submit(self, account, **fields):
        ticket = self.make_ticket(account, **fields)
        self.verdicts[ticket] = None
        self._record(self.admission.submit(ticket))
        return ticket

    def finish(self, ticket):
        """End a started call after the time that it was expected to take."""
        self.now += ticket.cost_s
        self._record(self.admission.finish(ticket, controller.Outcome.SUCCESS))

    def serve_all(self):
        """Serve calls one after the other until none is queued."""
        served = 0
        while served < len(self.started):
            self.finish(self.started[served])
            served += 1
        return self.started

    def _record(self, decisions):
        for decision in decisions:
            self.verdicts[decision.ticket] = decision.verdict
            if decision.verdict is STARTED:
                self.started.append(decision.ticket)


def test_queue_of_one_account_does_not_delay_another():
    """Guards against refusing small accounts for the queue of a large one.

    One account has 30 calls of 0.1 s in the queue. By their count a new call
    of another account would start after 3 s, by fair shares it is the next.
    """
    owner = Owner(slots=16)
    for _ in range(46):
        owner.submit('hog', cost_s=0.1)
    ticket = owner.make_ticket('small', cost_s=0.1)
    assert owner.admission.count_ahead(ticket) == 30
    assert owner.admission.estimate_work_ahead(ticket) < 0.15
    own = owner.make_ticket('hog', cost_s=0.1)
    assert owner.admission.estimate_work_ahead(own) == pytest.approx(3.0)


def test_long_calls_are_evicted_before_many_short_ones():
    """Guards against eviction by count, which favours expensive calls.

    The queue holds 8 calls. Seven of 15 ms of one account are less work than
    two of 0.8 s of the other.
    """
    owner = Owner()
    owner.submit('other', cost_s=0.1)
    for _ in range(2):
        owner.submit('long', cost_s=0.8)
    for _ in range(7):
        owner.submit('short', cost_s=0.015)
    evicted = [t for t, v in owner.verdicts.items() if v is EVICTED]
    assert [t.client_account for t in evicted] == ['long']


def test_returning_call_goes_before_newcomers():
    """Guards against refusing a caller that waited as it was told to again."""
    owner = Owner()
    owner.submit('a', cost_s=0.1)
    for _ in range(7):
        owner.submit('a', cost_s=0.1)
    returning = owner.submit('a', cost_s=0.1, is_return=True)
    # The queue is full: a newcomer makes room, not the returning call.
    owner.submit('a', cost_s=0.1)
    assert owner.verdicts[returning] is None
    assert owner.serve_all()[1] is returning


def test_class_comes_before_a_return():
    """A return must not delay a more urgent call."""
    owner = Owner()
    owner.submit('a', cost_s=0.1)
    owner.submit('a', cost_s=0.1, is_return=True)
    urgent = owner.submit('a', cost_s=0.1, priority=calls.Priority.CRITICAL)
    assert owner.serve_all()[1] is urgent


def test_urgent_root_is_served_beside_nested_calls_of_its_class():
    """Guards against nested look-ups that starve orders of the same class.

    Accounts with a class of their own put their orders and look-ups into it.
    Replays twice the load that the slot can serve: an order and three nested
    calls of look-ups in the time of two calls.
    """
    owner = Owner()
    owner.submit('a', cost_s=0.1)
    for _ in range(20):
        for _ in range(3):
            owner.submit(
                '', cost_s=0.1, nested=True, urgency=calls.Priority.NORMAL
            )
        owner.submit('a', cost_s=0.1, urgency=calls.Priority.CRITICAL)
        for _ in range(2):
            owner.finish(owner.started[-1])
    shed = collections.Counter(
        t.urgency for t, v in owner.verdicts.items() if v is EVICTED
    )
    assert shed[calls.Priority.CRITICAL] == 0
    assert shed[calls.Priority.NORMAL] > 0


def test_calls_without_costs_are_evicted_by_count():
    """Deployments without costs must be served as before."""
    owner = Owner()
    owner.submit('a')
    for account in 'aaaabbbbb':
        owner.submit(account)
    evicted = [t for t, v in owner.verdicts.items() if v is EVICTED]
    assert [t.client_account for t in evicted] == ['b']


def make_outlook(**fields):
    values = {
        'left_s': 5.0,
        'patience_s': 1.5,
        'cost_s': 0.25,
        'work_ahead_s': 0.0,
        'calls_ahead': 0,
        'slots': 10,
    }
    return waiting.Outlook(**{**values, **fields})


@pytest.mark.parametrize(
    ('fields', 'choice'),
    [
        ({}, waiting.Choice.WAIT),
        # 20 short calls ahead are little work.
        ({'work_ahead_s': 0.3, 'calls_ahead': 20}, waiting.Choice.WAIT),
        # 20 long calls ahead take 1.6 s.
        ({'work_ahead_s': 16.0, 'calls_ahead': 20}, waiting.Choice.REFUSE),
        # The backend server accepts 10 calls per second.
        (
            {'work_ahead_s': 0.3, 'calls_ahead': 20, 'rate_limit': 10.0},
            waiting.Choice.REFUSE,
        ),
        # Its own work leaves no time to wait.
        (
            {'cost_s': 1.0, 'work_ahead_s': 3.0, 'calls_ahead': 9},
            waiting.Choice.REFUSE,
        ),
        # Not even the fastest backend server ends it in time.
        ({'left_s': 0.07}, waiting.Choice.ANSWER),
        # Another backend server may be fast enough.
        ({'left_s': 0.1}, waiting.Choice.WAIT),
    ],
)
def test_wait_follows_from_work_and_time(fields, choice):
    """A call that would be served must wait, any other be refused at once."""
    assert waiting.decide(make_outlook(**fields)).choice is choice


def test_wait_leaves_time_for_the_call():
    """A call that waits must still be able to end within its patience."""
    for cost_s in (0.015, 0.2, 0.5, 0.8):
        outlook = make_outlook(cost_s=cost_s)
        wait_s = waiting.compute_max_wait(outlook)
        assert wait_s <= 0.5 * outlook.patience_s
        assert wait_s + cost_s <= outlook.patience_s
