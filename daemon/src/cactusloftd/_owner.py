"""The owner of the backend server beside this daemon.

All calls to that backend server go through its owner, whichever daemon is the
entry. So the number of calls in flight is exact, and draining takes effect at
once.
"""

import secrets

import attrs
from returns import result

from cactusloft_admission import controller
from cactusloft_admission import pressure
from cactusloft_membership import announcements
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _delivery
from cactusloftd import _gate

_E = errors.ErrorKind


class Owner:
    """Admit calls to the backend server and deliver them.

    :param config: :class:`_config.Config`.
    :param guards: :class:`_guards.Guards`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    :param now: function that returns monotonic seconds.
    :ivar work: always None, as these backend servers do not report how long
        work takes.
    """

    work = None

    def __init__(self, config, guards, log, metrics, now):
        self._config = config
        self._flow = guards.flow
        self._marks = guards.marks
        self._retries = guards.retries
        self._log = log
        self._metrics = metrics
        self._now = now
        self._server = announcements.LocalServer()
        self._delivery = None
        self._former_deliveries = []
        self._gate = None
        self._runs = {}
        self._loss_id = ''
        self._is_stopping = False
        self.is_evacuated = lambda: False
        self.on_change = lambda: None

    @property
    def announcement(self):
        """Return the live :class:`announcements.Announcement`, or None."""
        return self._server.find_announcement(self._now())

    @property
    def is_serving(self):
        """Return whether the backend server accepts new calls."""
        if self._is_stopping or self.is_evacuated():
            return False
        return self._server.is_serving(self._now())

    @property
    def is_leaving(self):
        """Return whether the backend server is being drained."""
        return self._server.is_draining(self._now())

    @property
    def in_flight(self):
        """Return the number of calls that run or are queued."""
        return self._gate.held if self._gate else 0

    @property
    def load(self):
        """Return the number of running and queued calls per slot."""
        announcement = self.announcement
        if announcement is None:
            return 0.0
        return self.in_flight / max(1, announcement.slots)

    @property
    def admission(self):
        """Return the :class:`controller.Admission`, or None."""
        return self._gate.admission if self._gate else None

    @property
    def has_free_slot(self):
        """Return whether a call would start without queueing."""
        return self.is_serving and self._gate.has_capacity

    async def announce(self, announcement):
        """Handle an announcement: install a new one, or renew a known one."""
        self.expire()
        if not self._server.announce(announcement, self._now()):
            return
        self._install(announcement)
        self.on_change()
        await self._close_former_deliveries()

    def _install(self, announcement):
        if self._delivery is not None:
            self._former_deliveries.append(self._delivery)
        self._delivery = _delivery.Delivery(
            announcement.url, announcement.connections, self._now
        )
        admission = controller.Admission(announcement.slots, self._now)
        self._gate = _gate.AdmissionGate(admission, self._now)
        self._loss_id = self._marks.make_loss_id()
        self._log.record(
            events.Event.BACKEND_SERVER_ANNOUNCED,
            service=announcement.service,
            instance=announcement.instance,
        )

    async def _close_former_deliveries(self):
        """Close connections to former processes that no call uses any more.

        A process that shuts down may finish its calls while its successor
        already runs.
        """
        used = {run.delivery for _, run in self._runs.values()}
        idle = [d for d in self._former_deliveries if d not in used]
        self._former_deliveries = [
            d for d in self._former_deliveries if d in used
        ]
        for delivery in idle:
            await delivery.close()

    def expire(self):
        """Remove a backend server whose announcement has expired."""
        lost = self._server.expire(self._now())
        if lost is not None:
            self._handle_lost_server(lost)

    def _handle_lost_server(self, lost):
        self._log.record(
            events.Event.BACKEND_SERVER_LOST,
            service=lost.service,
            instance=lost.instance,
        )
        self.on_change()

    def report_load(self, load, slots):
        """Handle a load report of the backend server.

        :param load: share of its slots that it reports as busy.
        :param slots: number of slots that it reports, or None.
        """
        if self._gate is not None:
            self._gate.admission.receive_load(load, slots)

    def drain(self):
        """Stop accepting new calls; calls in flight continue."""
        if self._server.drain(self._now()):
            self._log.record(events.Event.BACKEND_SERVER_DRAINING)
            self.on_change()

    def handle_departure(self, process):
        """Apply a drain that other daemons remember.

        :param process: :class:`registry.BackendProcess`.
        """
        announcement = self.announcement
        if announcement and announcement.instance == process.instance:
            self.drain()

    def stop(self):
        """Accept no new calls, as this daemon stops."""
        self._is_stopping = True
        self.on_change()

    def leave(self):
        """Remove the backend server at its own request."""
        if self._server.leave():
            self._log.record(events.Event.BACKEND_SERVER_LEFT)
            self.on_change()

    async def close(self):
        """Close the connections to the backend server."""
        for delivery in (self._delivery, *self._former_deliveries):
            if delivery is not None:
                await delivery.close()

    def find_parent(self, token):
        """Return the running :class:`_calls.Call` with ``token``, or None."""
        call, _run = self._runs.get(token, (None, None))
        return call

    def read_pressure(self, call):
        """Return the pressure to report with the response to ``call``."""
        if self._gate is None:
            return pressure.NO_PRESSURE
        local_pressure = self._gate.admission.read_pressure()
        return self._flow.combine(call, local_pressure)

    async def run(self, call):
        """Run ``call`` on the backend server.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        if not self.is_serving:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'not serving')
        if self.announcement.service != call.context.service:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'other service')
        fingerprint = call.context.fingerprint
        while True:
            claimed = await self._marks.claim(fingerprint)
            if isinstance(claimed, result.Failure):
                return claimed
            is_alone = claimed.unwrap()
            outcome = await self._admit_and_run(call, is_alone)
            if outcome is not None:
                return outcome

    async def _admit_and_run(self, call, is_alone):
        """Run a call when admission control starts it.

        :returns: the outcome, or None when the request got a crash mark while
            it was queued and has to claim its run again.
        """
        gate, fingerprint = self._gate, call.context.fingerprint
        ticket = self._make_ticket(call, is_alone)
        is_started = False
        queued_at = self._now()
        try:
            verdict = await gate.enter(ticket)
            is_started = verdict is controller.Verdict.STARTED
        finally:
            if is_alone and not is_started:
                await self._marks.return_claim(fingerprint)
        if not is_started:
            return self._refuse(call, verdict)
        self._metrics.record(
            'cactusloft_queue_wait_seconds',
            self._now() - queued_at,
            call.context.priority.name.lower(),
        )
        if not is_alone and not self._marks.is_ordinary(fingerprint):
            gate.leave(ticket, controller.Outcome.ERROR, 0.0)
            return None
        run = _Run(gate, ticket, self._delivery, self._loss_id)
        return await self._deliver(call, run)

    def _refuse(self, call, verdict):
        self._log.record(
            events.Event.CALL_SHED,
            call_id=call.context.call_id,
            root_call_id=call.context.root_call_id,
            service=call.context.service,
            priority=call.context.priority.name.lower(),
            verdict=verdict.value,
        )
        if verdict is controller.Verdict.EXPIRED:
            return _calls.fail(_E.EXPIRED_IN_QUEUE)
        return _calls.fail(_E.OVERLOADED, 'shed from the queue')

    async def _deliver(self, call, run):
        run.token = secrets.token_hex(calls.CALL_ID_BYTES)
        self._runs[run.token] = call, run
        self._flow.record_call(call)
        is_streaming = False
        try:
            outcome = await run.delivery.send(call, run.token)
            run.record_outcome(outcome, self._now())
            if isinstance(outcome, result.Success):
                is_streaming = True
                return outcome.map(lambda r: self._wrap_response(call, run, r))
            await self._handle_failure(call, run, outcome.failure())
            return outcome
        finally:
            if not is_streaming:
                self._release(call, run)
                if run.ticket.alone and not run.is_lost:
                    fingerprint = call.context.fingerprint
                    await self._marks.return_claim(fingerprint)

    async def _handle_failure(self, call, run, error):
        """Add a crash mark if the backend server was lost during the call."""
        if error.kind is not _E.BACKEND_SERVER_FAILED:
            return
        if error.response.not_run is errors.NotRun.TRUE:
            self._stop_unreachable(run)
        else:
            await self._report_loss(call, run)

    async def _report_loss(self, call, run):
        loss = run.loss_id
        run.is_lost = True
        if run.ticket.alone:
            # A call that ran alone must not share a loss with other calls.
            loss = self._marks.make_loss_id()
        elif loss == self._loss_id:
            # Calls that start from now on are counted to the next loss.
            self._loss_id = self._marks.make_loss_id()
        await self._marks.report_loss(loss, [call.context.fingerprint])

    def _stop_unreachable(self, run):
        """Stop accepting calls until the backend server announces itself."""
        lost = self.announcement
        if run.gate is self._gate and lost is not None:
            self._server.leave()
            self._handle_lost_server(lost)

    def _make_ticket(self, call, is_alone):
        context = call.context
        account = self._config.current.accounts.get(context.client_account)
        return controller.Ticket(
            call_id=context.call_id,
            client_account=context.client_account,
            priority=context.priority,
            deadline=context.deadline,
            weight=account.weight if account else 1.0,
            nested=context.depth > 0,
            kind=call.route,
            alone=is_alone,
        )

    def _wrap_response(self, call, run, response):
        """Make ``response`` free its slot on close and report a cut body."""
        close_inner, chunks = response.close, response.chunks

        async def close():
            try:
                await close_inner()
            finally:
                self._release(call, run)

        async def iterate():
            try:
                async for chunk in chunks:
                    yield chunk
            except _calls.ResponseCut:
                await self._report_loss(call, run)
                raise

        response.close = close
        response.chunks = iterate()
        return response

    def _release(self, call, run):
        if self._runs.pop(run.token, None) is None:
            return
        run.gate.leave(run.ticket, run.outcome, run.latency_s)
        self._metrics.count('cactusloft_deliveries_total', run.outcome.value)
        self._retries.forget_nested(call.context.call_id)
        if run.ticket.alone and run.is_answered and not run.is_lost:
            self._marks.report_success(call.context.fingerprint)


@attrs.define
class _Run:
    """One run of a call on the backend server.

    :ivar loss_id: identity of the loss to report if the backend server is
        lost during this run.
    :ivar latency_s: seconds from the start to the head of the response, None
        before it arrives.
    :ivar is_lost: whether the backend server was lost during this run.
    """

    gate: _gate.AdmissionGate
    ticket: controller.Ticket
    delivery: _delivery.Delivery
    loss_id: str
    token: str = ''
    outcome: controller.Outcome = controller.Outcome.ABANDONED
    latency_s: float | None = None
    is_lost: bool = False

    @property
    def is_answered(self):
        return self.latency_s is not None

    def record_outcome(self, outcome, now):
        """Record the result for admission control."""
        if isinstance(outcome, result.Success):
            self.latency_s = now - self.ticket.started_at
            is_error = outcome.unwrap().status >= 500
            self.outcome = (
                controller.Outcome.ERROR
                if is_error
                else controller.Outcome.SUCCESS
            )
            return
        error = outcome.failure()
        if error.kind is _E.OVERLOADED:
            self.outcome = controller.Outcome.SHED
        elif error.kind is not _E.DEADLINE_EXCEEDED:
            self.outcome = controller.Outcome.ERROR
