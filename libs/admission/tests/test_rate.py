"""Tests of the limit on calls per second that a backend server names."""

import random

import pytest

from cactusloft_admission import controller
from cactusloft_model import calls

SLOTS = 100
WINDOW_S = 4.0


class Owner:
    """An owner on simulated time whose calls take a fixed time.

    :ivar now: monotonic seconds.
    :ivar started: start times of calls.
    """

    def __init__(self, service_s=0.05):
        self.now = 100.0
        self.started = []
        self._service_s = service_s
        self._running = []
        self._count = 0
        self.admission = controller.Admission(
            SLOTS,
            lambda: self.now,
            controller.AdmissionPolicy(
                adaptive_limit=False, awaits_first_response=True
            ),
            ramp_s=0,
        )

    def submit(self, alone=False):
        """Submit a call with an hour to wait."""
        self._count += 1
        ticket = controller.Ticket(
            f'c{self._count}',
            'estates',
            calls.Priority.NORMAL,
            self.now + 3600,
            alone=alone,
        )
        self._apply(self.admission.submit(ticket))

    def advance(self, seconds, rate_limit, step_s=0.01):
        """Pass time; the responses of calls that end name the limit."""
        end = self.now + seconds
        while self.now < end:
            self.now += step_s
            due = [t for t in self._running if self._is_due(t)]
            for ticket in due:
                self._running.remove(ticket)
                self.receive(rate_limit, ticket.started_at)
                outcome = controller.Outcome.SUCCESS
                self._apply(self.admission.finish(ticket, outcome))
            self._apply(self.admission.advance())

    def receive(self, rate_limit, started_at=None):
        """Apply a response, by default to a call that starts now."""
        self.now += 0.001
        started_at = self.now if started_at is None else started_at
        self._apply(self.admission.receive_response(rate_limit, started_at))

    def _is_due(self, ticket):
        return ticket.started_at + self._service_s <= self.now

    def _apply(self, decisions):
        for decision in decisions:
            if decision.verdict is controller.Verdict.STARTED:
                self.started.append(self.now)
                self._running.append(decision.ticket)


def count_busiest_window(times, window_s=WINDOW_S):
    """Return the largest number of times in any window."""
    return max(
        sum(start <= other < start + window_s for other in times)
        for start in times
    )


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('rate', [0.5, 3.0, 23.7, 80.0])
def test_burst_exceeds_a_named_limit(rate, seed):
    """No window has more starts than its length allows, plus one burst."""
    generator = random.Random(seed)
    owner = Owner()
    owner.submit()
    owner.advance(0.1, rate)
    owner.started.clear()
    for _ in range(40):
        for _ in range(generator.randrange(0, 60)):
            owner.submit()
        owner.advance(generator.uniform(0.01, 0.6), rate)
    max_starts = rate * WINDOW_S + max(1.0, 0.25 * rate)
    busiest = count_busiest_window(owner.started)
    assert 1 <= busiest <= max_starts + 1
    # The limit is used, not only kept.
    assert len(owner.started) >= 0.7 * rate * (owner.now - owner.started[0])


def test_new_owner_floods_a_limited_backend_server():
    """Until the first response, only a few calls start."""
    owner = Owner()
    for _ in range(50):
        owner.submit()
    assert len(owner.started) == 2
    owner.advance(1.0, 4.0)
    assert len(owner.started) <= 2 + 1 + 4
    assert owner.admission.rate_limit == 4.0


def test_backend_server_without_a_limit_is_held_back():
    """After its first response without a limit all slots are used."""
    owner = Owner()
    for _ in range(50):
        owner.submit()
    owner.advance(0.06, None)
    assert len(owner.started) == 50


def test_single_response_lifts_the_limit():
    """One response without a limit may come from a faulty server."""
    owner = Owner()
    owner.submit()
    owner.advance(0.06, 1.0)
    for _ in range(20):
        owner.submit()
    owner.receive(None)
    owner.receive(None)
    assert owner.admission.rate_limit == 1.0
    owner.receive(1.0)
    owner.receive(None)
    assert owner.admission.rate_limit == 1.0
    assert len(owner.started) <= 3


def test_late_responses_lift_a_limit_that_began_after_them():
    """Bodies that arrive slowly may end after the limit was named."""
    owner = Owner()
    started_at = owner.now
    owner.submit()
    owner.advance(0.06, 1.0)
    for _ in range(50):
        owner.submit()
    for _ in range(10):
        owner.receive(None, started_at)
    assert owner.admission.rate_limit == 1.0
    assert len(owner.started) <= 3


def test_ended_limit_stays_in_force():
    """Responses that name no limit end it."""
    owner = Owner()
    owner.submit()
    owner.advance(0.06, 2.0)
    for _ in range(50):
        owner.submit()
    owner.advance(3.0, None)
    assert owner.admission.rate_limit is None
    assert len(owner.started) == 51


def test_limit_of_zero_never_ends():
    """Some calls start, as only a response tells that the limit ended."""
    owner = Owner()
    owner.submit()
    owner.advance(0.06, 0.0)
    for _ in range(10):
        owner.submit()
    owner.advance(WINDOW_S, 0.0)
    assert 1 < len(owner.started) <= 5
    owner.advance(20.0, None)
    assert len(owner.started) == 11


def test_crash_suspects_exceed_a_named_limit():
    """Calls that run alone take tokens like all others."""
    owner = Owner()
    owner.submit()
    owner.advance(0.06, 1.0)
    owner.started.clear()
    for _ in range(10):
        owner.submit(alone=True)
    owner.advance(WINDOW_S, 1.0)
    assert 1 <= len(owner.started) <= WINDOW_S + 1


def test_queued_call_waits_for_a_timer_that_is_not_set():
    """The delay until the next token is known while a call waits for it."""
    owner = Owner()
    owner.submit()
    owner.advance(0.06, 2.0)
    owner.submit()
    owner.submit()
    delay_s = owner.admission.compute_start_delay()
    assert 0.0 < delay_s <= 0.5
    owner.advance(delay_s, 2.0)
    assert len(owner.started) == 3
    assert owner.admission.compute_start_delay() is None
