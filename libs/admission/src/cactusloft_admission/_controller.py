"""Admission at the owner, which alone starts calls on a backend server.

The owner calls ``submit``, ``finish`` and ``cancel`` and applies the returned
decisions. A submitted call without a decision is queued.
"""

from cactusloft_admission import _alone
from cactusloft_admission import _cold
from cactusloft_admission import _expected
from cactusloft_admission import _limit
from cactusloft_admission import _load
from cactusloft_admission import _meter
from cactusloft_admission import _queue
from cactusloft_admission import _rate
from cactusloft_admission import _steps
from cactusloft_admission import _tickets

QUEUED_CALLS_PER_SLOT = 2
MIN_QUEUE_CAPACITY = 8
# Queueing for longer than this is overload; a healthy backend server drains
# a burst sooner.
NEWEST_FIRST_AFTER_S = 0.2


class Admission:
    """Decide which calls start, wait or are refused on one backend server.

    :param slots: announced slots.
    :param read_clock: function that returns monotonic seconds.
    :param policy: :class:`AdmissionPolicy`.
    :param ramp_s: duration of the cold-start ramp in seconds, 0 for a backend
        server that is already warm.
    :param limit_settings: :class:`LimitSettings`.
    """

    def __init__(
        self,
        slots,
        read_clock,
        policy=None,
        ramp_s=_load.RAMP_S,
        limit_settings=None,
    ):
        now = read_clock()
        self._policy = policy or _tickets.AdmissionPolicy()
        self._read_clock = read_clock
        self._slots = slots
        self._limit = _limit.ConcurrencyLimit(slots, now, limit_settings)
        self._ramp = _load.ColdStartRamp(now, ramp_s)
        self._reports = _load.LoadReports(slots)
        self._queue = _queue.CallQueue(self._policy)
        self._alone = _alone.AloneQueue()
        self._service_times = _expected.ServiceTimes()
        self._meter = _meter.PressureMeter(now)
        self._rate = _rate.RateLimit(now)
        self._cold = _cold.ColdLimit(now)
        self._in_flight = 0
        self._queue_empty_until = now

    @property
    def in_flight(self):
        """Return the number of started calls that have not ended."""
        return self._in_flight

    @property
    def queued(self):
        """Return the number of queued calls."""
        return len(self._queue) + len(self._alone)

    @property
    def has_capacity(self):
        """Tell whether a call would start without queueing."""
        return not self.queued and self._has_capacity()

    @property
    def misleading_reports(self):
        """Return how many load reports contradicted the owner's count."""
        return self._reports.misleading

    @property
    def rate_limit(self):
        """Return the calls per second that may start, None for no limit.

        It is the lower one of what the backend server named and of what it
        tolerates while it is cold.
        """
        cold = self._cold.find_rate(self._read_clock())
        rates = (self._rate.rate, cold)
        return min((rate for rate in rates if rate is not None), default=None)

    @property
    def first_calls(self):
        """Return how many calls may be in flight until the first response.

        None once it has arrived, or if the policy does not wait for it.
        """
        if not self._policy.awaits_first_response:
            return None
        return self._rate.max_in_flight

    def compute_limit(self):
        """Return how many calls may be in flight at present."""
        now = self._read_clock()
        cap = self._reports.compute_cap(now)
        cap = max(1, int(cap * self._ramp.compute_share(now)))
        cap = min(cap, self.first_calls or cap)
        if not self._policy.adaptive_limit:
            return cap
        return min(cap, self._limit.value)

    def compute_start_delay(self):
        """Return when :meth:`advance` can start the next queued call.

        :returns: seconds until the rate limit allows it, or None if no call is
            queued or it waits for a slot, which :meth:`finish` frees.
        """
        if not self.queued or self._in_flight >= self.compute_limit():
            return None
        now = self._read_clock()
        delay_s = max(
            self._rate.compute_delay(now), self._cold.compute_delay(now)
        )
        return delay_s or None

    def read_pressure(self):
        """Return the :class:`Pressure` to report with a response."""
        now = self._read_clock()
        return self._meter.read(now, self._in_flight + self.queued)

    def count_ahead(self, ticket):
        """Return how many queued calls would start before a new one."""
        return self._queue.count_ahead(ticket) if self._queue else 0

    def estimate_work_ahead(self, ticket):
        """Return the work of queued calls that would start before a new one.

        :returns: slot seconds, if the calls carry their costs.
        """
        return self._queue.estimate_work_ahead(ticket)

    def set_slots(self, slots):
        """Set the slots of a renewed announcement."""
        self._slots = slots
        self._limit.set_slots(slots)
        self._reports.set_slots(slots)

    def set_cold(self, rate, duration_s):
        """Limit the calls for the time in which the backend server is cold.

        :param rate: calls per second that it tolerates, above 0.
        :param duration_s: seconds for which it stays cold, 0 once it is warm.
        :returns: list of :class:`Decision` on queued calls.
        """
        self._cold.begin(rate, duration_s, self._read_clock())
        return self.advance() if self.queued else []

    def receive_load(self, load, slots):
        """Check a load report of the backend server against the owner's count.

        :param load: reported share of slots in use.
        :param slots: reported number of slots, or None.
        """
        report = _load.LoadReport(load, slots, self._read_clock())
        self._reports.receive(report, self._in_flight)

    def receive_response(self, rate_limit, started_at):
        """Apply what a response said of the backend server.

        :param rate_limit: calls per second that it accepts, None if it named
            no limit.
        :param started_at: monotonic seconds at which its call was sent.
        :returns: list of :class:`Decision` on queued calls.
        """
        self._rate.receive(rate_limit, started_at, self._read_clock())
        return self.advance() if self.queued else []

    def submit(self, ticket):
        """Start, queue or refuse a call.

        :returns: list of :class:`Decision`, on this call or on queued ones.
        """
        ticket.queued_at = self._read_clock()
        self._meter.record_arrival(ticket.priority)
        if ticket.alone:
            if self._alone.is_full:
                return [self._shed(ticket, _tickets.Verdict.EVICTED)]
            self._alone.push(ticket)
            return self.advance()
        if not self._queue:
            self._queue_empty_until = ticket.queued_at
            if self._has_capacity() and not self._is_late(ticket):
                # Fast path: an empty queue would return this call at once.
                self._queue.charge_start(ticket)
                self._start(ticket, ticket.queued_at)
                return [_tickets.Decision(ticket, _tickets.Verdict.STARTED)]
        self._queue.push(ticket)
        decisions = self.advance()
        if len(self._queue) > self._compute_queue_capacity():
            decisions.extend(self.expire_late_calls())
        if len(self._queue) > self._compute_queue_capacity():
            evicted = self._queue.evict()
            decisions.append(self._shed(evicted, _tickets.Verdict.EVICTED))
        return decisions

    def finish(self, ticket, outcome, latency_s=None):
        """Record the end of a started call.

        :param outcome: :class:`Outcome`.
        :param latency_s: seconds until the head of the response, None for
            the whole time that the call held its slot. The head excludes the
            body, as a client that reads a long response slowly does not mean
            that the backend server is slow.
        :returns: list of :class:`Decision` on queued calls.
        """
        now = self._read_clock()
        used_s = now - ticket.started_at
        if latency_s is None:
            latency_s = used_s
        in_flight = self._in_flight
        self._in_flight -= 1
        if ticket.alone:
            self._alone.finish(ticket, now)
        else:
            self._queue.settle(ticket, used_s)
        if outcome is _tickets.Outcome.SUCCESS:
            self._service_times.add(ticket.kind, latency_s, now)
        self._limit.observe(ticket.kind, latency_s, outcome, in_flight, now)
        return self.advance() if self.queued else []

    def cancel(self, ticket, is_late=False):
        """Remove a queued call that its caller abandoned.

        :param is_late: whether its deadline has passed; it then counts as
            shed, since missed deadlines are a sign of overload.
        :returns: list of :class:`Decision` on calls queued behind it.
        """
        self._queue.remove(ticket)
        self._alone.remove(ticket)
        if is_late:
            self._meter.record_shed()
        return self.advance()

    def advance(self):
        """Start queued calls while there is capacity, and expire late ones.

        :returns: list of :class:`Decision`.
        """
        decisions = []
        if self._is_reserved_for_alone():
            decisions.extend(self._start_alone_calls())
        ordered = self._queue.take_ordered(self._is_newest_first)
        checked = _steps.check_deadlines(
            ordered,
            self._read_clock,
            self._estimate_service_s,
            self._policy.deadline_drop,
        )
        applied = map(self._apply_decision, checked)
        decisions.extend(_steps.fill_slots(applied, self._has_capacity))
        return decisions

    def expire_late_calls(self):
        """Expire queued calls that can no longer meet their deadline.

        :returns: list of :class:`Decision`.
        """
        checked = _steps.check_deadlines(
            list(self._queue),
            self._read_clock,
            self._estimate_service_s,
            self._policy.deadline_drop,
        )
        late = [
            decision
            for decision in checked
            if decision.verdict is _tickets.Verdict.EXPIRED
        ]
        for decision in late:
            self._queue.remove(decision.ticket)
            self._meter.record_shed()
        return late

    def _is_late(self, ticket):
        if not self._policy.deadline_drop:
            return False
        needed_s = self._estimate_service_s(ticket.kind)
        return ticket.queued_at + needed_s > ticket.deadline

    def _is_reserved_for_alone(self):
        if self._alone.is_unused:
            return False
        now = self._read_clock()
        return self._alone.is_server_reserved(bool(self._queue), now)

    def _compute_queue_capacity(self):
        return max(MIN_QUEUE_CAPACITY, QUEUED_CALLS_PER_SLOT * self._slots)

    def _estimate_service_s(self, kind):
        return self._service_times.read(kind, self._read_clock())

    def _has_capacity(self):
        if self._is_reserved_for_alone():
            return False
        if self._in_flight >= self.compute_limit():
            return False
        return self._has_token(self._read_clock())

    def _has_token(self, now):
        return self._rate.has_token(now) and self._cold.has_token(now)

    def _is_newest_first(self):
        if not self._policy.newest_first:
            return False
        return (
            self._read_clock() - self._queue_empty_until > NEWEST_FIRST_AFTER_S
        )

    def _start_alone_calls(self):
        while len(self._alone) and not self._in_flight:
            now = self._read_clock()
            if not self._has_token(now):
                return
            ticket = self._alone.start_next()
            if now > ticket.deadline:
                self._alone.finish(ticket, now)
                yield self._shed(ticket, _tickets.Verdict.EXPIRED)
                continue
            self._start(ticket, now)
            yield _tickets.Decision(ticket, _tickets.Verdict.STARTED)

    def _apply_decision(self, decision):
        ticket = decision.ticket
        if decision.verdict is _tickets.Verdict.EXPIRED:
            return self._shed(ticket, decision.verdict)
        self._queue.charge_start(ticket)
        self._start(ticket, self._read_clock())
        return decision

    def _start(self, ticket, now):
        ticket.started_at = now
        self._in_flight += 1
        self._rate.take(now)
        self._cold.take(now)
        self._meter.record_start()

    def _shed(self, ticket, verdict):
        self._meter.record_shed()
        return _tickets.Decision(ticket, verdict)
