"""The owner of the backend server beside the resident.

No other process reaches that backend server, so the owner counts exactly what
it runs. It never holds more than its slots there: one that is full may never
answer.
"""

import asyncio
import collections

from returns import result

from cactusloft_admission import controller
from cactusloft_admission import pressure
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _gate
from cactusloftd.resident import _delivery
from cactusloftd.resident import _runs
from cactusloftd.resident import _service_times
from cactusloftd.resident import _worker

# Share of the time until an answer loses worth that a call may wait for a
# slot. One that is refused later has held its caller up for nothing.
QUEUE_SHARE = 0.35
# Wait for calls without such a time.
DEFAULT_QUEUE_S = 0.5
# A failed connection is tried again after this time.
UNREACHABLE_RETRY_S = 0.5
# A lost call is followed by a look at the backend server, which tells a crash
# from a connection that broke.
LOOK_DELAY_S = 0.05
# Calls lost within this time before a crash was seen count as lost by it.
CRASH_WINDOW_S = 0.5
NO_SLOT = 'no slot in time'
_E = errors.ErrorKind
_G = controller.Verdict
_O = controller.Outcome
_V = events.Event
_PRIORITY_NAMES = {level: level.name.lower() for level in calls.Priority}


class Owner:
    """Admit calls to the backend server and deliver them.

    :param address: ``IP:port`` of the backend server.
    :param protocol: :class:`protocol.BackendProtocol`.
    :param config: :class:`_config.Config`.
    :param marks: :class:`_marks.Marks`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    :param now: function that returns monotonic seconds.
    :ivar on_change: function called when the registration has changed.
    """

    def __init__(self, address, protocol, config, marks, log, metrics, now):
        self._address = address
        self._protocol = protocol
        self._config = config
        self._marks = marks
        self._log = log
        self._metrics = metrics
        self._now = now
        self._worker = _worker.Worker()
        self._delivery = None
        self._gate = None
        self._losses = collections.deque()
        self._look = None
        self._loss_id = ''
        self._times = _service_times.ServiceTimes()
        self._running = {}
        self._is_stopping = False
        self.on_change = lambda: None

    @property
    def heartbeat(self):
        """Return the newest :class:`protocol.Heartbeat`, or None."""
        return self._worker.heartbeat

    @property
    def is_serving(self):
        """Tell whether new work is taken."""
        return not self._is_stopping and self._worker.is_serving(self._now())

    @property
    def service(self):
        """Return the service of the backend server, or empty."""
        heartbeat = self._worker.heartbeat
        return heartbeat.service if heartbeat else ''

    @property
    def held(self):
        """Return the number of calls that run or wait for a slot."""
        return self._gate.held if self._gate else 0

    @property
    def load(self):
        """Return the calls that are held for each slot."""
        if self._gate is None:
            return 0.0
        return self.held / max(1, self._worker.heartbeat.slots)

    @property
    def admission(self):
        """Return the :class:`controller.Admission`, or None."""
        return self._gate.admission if self._gate else None

    def find_service_time(self, route):
        """Return the mean seconds of a route's calls here, or None."""
        return self._times.find(route)

    def find_running(self, call_id):
        """Return the context of a call that runs here, or None."""
        run = self._running.get(call_id)
        return run.call.context if run else None

    def note_nested_failure(self, call_id):
        """Take note that a nested call of one that runs here failed."""
        run = self._running.get(call_id)
        if run is not None:
            run.is_failed_below = True

    def handle_heartbeat(self, heartbeat):
        """Take what the backend server says of itself."""
        before = self._worker.is_serving(self._now())
        is_new = self._worker.take(heartbeat, self._now())
        if is_new:
            self._install(heartbeat)
        elif self._gate is not None:
            self._gate.admission.set_slots(self._worker.heartbeat.slots)
        after = self._worker.is_serving(self._now())
        if before and not after:
            self._note_leaving(heartbeat.instance)
        if is_new or before != after:
            self.on_change()

    def leave(self, instance, born_ms):
        """Send no new work to a process that leaves."""
        if self._worker.leave(instance, born_ms):
            self._note_leaving(instance)
            self.on_change()

    def stop(self):
        """Take no new work; calls in progress go on."""
        self._is_stopping = True

    def close(self):
        """Close the connections to the backend server."""
        if self._look is not None:
            self._look.cancel()
        if self._delivery is not None:
            self._delivery.close()

    def read_pressure(self, _call):
        """Return the pressure to report with an answer."""
        if self._gate is None:
            return pressure.NO_PRESSURE
        return self._gate.admission.read_pressure()

    async def run(self, call):
        """Run ``call`` on the backend server.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        refused = self._check(call)
        if refused is not None:
            return refused
        gate, arrived_at = self._gate, self._now()
        ticket = self._make_ticket(call, arrived_at)
        if self._is_hopeless(ticket):
            return self._refuse(call, ticket, _G.EVICTED)
        verdict = await gate.enter(ticket)
        if verdict is not _G.STARTED:
            return self._refuse(call, ticket, verdict)
        self._metrics.record(
            'cactusloft_queue_wait_seconds',
            self._now() - arrived_at,
            _PRIORITY_NAMES[call.context.priority],
        )
        run = _runs.Run(call, gate, ticket, self._delivery)
        # The backend server may have begun to leave while the call waited.
        if not self.is_serving or gate is not self._gate:
            self._release(run)
            return self._fail_unserved(call, 'left meanwhile')
        return await self._deliver(run)

    def _check(self, call):
        if not self.is_serving:
            return self._fail_unserved(call, 'not serving')
        if self.service != call.context.service:
            return self._fail_unserved(call, 'other service')
        checked = self._marks.check(call.context.fingerprint)
        return checked if isinstance(checked, result.Failure) else None

    def _fail_unserved(self, call, reason):
        self._log.record(
            _V.CALL_SHED,
            call_id=call.context.call_id,
            service=call.context.service,
            verdict=reason,
        )
        return _calls.fail(_E.NO_BACKEND_SERVER, reason)

    def _make_ticket(self, call, now):
        context = call.context
        account = self._config.current.accounts.get(context.client_account)
        wait_s = DEFAULT_QUEUE_S
        if call.patience_s:
            wait_s = QUEUE_SHARE * call.patience_s
        return controller.Ticket(
            call_id=context.call_id,
            client_account=context.client_account,
            priority=context.priority,
            deadline=context.deadline,
            start_by=now + wait_s,
            weight=account.weight if account else 1.0,
            nested=not context.client_account,
            kind=call.route,
            rank=context.rank,
        )

    def _is_hopeless(self, ticket):
        """Tell whether the calls ahead outlast the patience of a call."""
        admission = self._gate.admission
        ahead = admission.count_ahead(ticket)
        if not ahead:
            return False
        per_call_s = self._times.mean_s / max(1, admission.compute_limit())
        return self._now() + ahead * per_call_s > ticket.last_start

    def _refuse(self, call, ticket, verdict):
        admission = self._gate.admission
        self._log.record(
            _V.CALL_SHED,
            call_id=call.context.call_id,
            service=call.context.service,
            priority=call.context.priority.name.lower(),
            verdict=verdict.value,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.compute_limit(),
            service_ms=round(self._times.mean_s * 1000),
        )
        return _calls.fail(_E.OVERLOADED, NO_SLOT)

    async def _deliver(self, run):
        call = run.call
        is_kept = False
        self._running[call.context.call_id] = run
        try:
            outcome = await run.delivery.send(call)
            if isinstance(outcome, result.Success):
                response = outcome.unwrap()
                response.is_caused_below = run.is_failed_below
                run.outcome = _O.SUCCESS
                if response.status >= 500:
                    run.outcome = _O.ERROR
                used_s = self._now() - run.ticket.started_at
                self._times.record(call.route, used_s)
                is_kept = True
                return result.Success(self._track(run, response))
            error = outcome.failure()
            self._log.record(
                _V.CALL_DELIVERY_FAILED,
                call_id=call.context.call_id,
                instance=self._worker.heartbeat.instance,
                kind=error.kind.value,
                not_run=error.effective_not_run.value,
                detail=error.detail,
                after_ms=round((self._now() - run.ticket.started_at) * 1000),
            )
            await self._judge_failure(run, error)
            return outcome
        finally:
            self._metrics.count(
                'cactusloft_deliveries_total', run.outcome.value
            )
            if not is_kept:
                self._release(run)

    async def _judge_failure(self, run, error):
        if error.kind is _E.OVERLOADED:
            run.outcome = _O.SHED
        elif error.kind is _E.NO_BACKEND_SERVER:
            self._worker.has_left = True
            self.on_change()
        elif error.kind is _E.BACKEND_SERVER_FAILED:
            run.outcome = _O.ERROR
            if error.detail == _delivery.UNREACHABLE:
                await self._note_unreachable(run.delivery)
            else:
                self._note_loss(run)

    def _note_loss(self, run):
        fingerprint = run.call.context.fingerprint
        self._losses.append((self._now(), fingerprint))
        if self._look is None or self._look.done():
            self._look = asyncio.create_task(self._look_at(run.delivery))

    async def _look_at(self, delivery):
        """Find out whether the backend server still takes connections."""
        await asyncio.sleep(LOOK_DELAY_S)
        if not await delivery.look():
            await self._note_unreachable(delivery)

    async def _note_unreachable(self, delivery):
        """Take no new work for a while, and mark what was running."""
        if delivery is not self._delivery or self._worker.is_unreachable:
            return
        self._worker.is_unreachable = True
        self._log.record(
            _V.BACKEND_SERVER_LOST,
            service=self.service,
            instance=self._worker.heartbeat.instance,
        )
        self.on_change()
        loop = asyncio.get_running_loop()
        loop.call_later(
            UNREACHABLE_RETRY_S, self._try_again, self._worker.heartbeat
        )
        await self._mark_losses()

    async def _mark_losses(self):
        """Mark the calls that may have crashed the backend server."""
        oldest = self._now() - CRASH_WINDOW_S
        lost = {name for at, name in self._losses if at >= oldest}
        self._losses.clear()
        if lost:
            loss, self._loss_id = self._loss_id, self._marks.make_loss_id()
            await self._marks.report_loss(loss, lost)

    def _try_again(self, heartbeat):
        if self._worker.heartbeat is heartbeat:
            self._worker.is_unreachable = False
            self.on_change()

    def _track(self, run, response):
        """Return ``response`` that frees the slot when it is closed."""
        close_inner = response.close

        async def close():
            try:
                await close_inner()
            finally:
                self._release(run)

        response.close = close
        return response

    def _release(self, run):
        if run.is_released:
            return
        run.is_released = True
        self._running.pop(run.call.context.call_id, None)
        run.gate.leave(run.ticket, run.outcome)

    def _install(self, heartbeat):
        if self._delivery is not None:
            self._delivery.close()
        self._delivery = _delivery.Delivery(
            self._address, heartbeat.instance, self._protocol, self._now
        )
        self._times.forget_routes()
        admission = controller.Admission(
            heartbeat.slots,
            self._now,
            controller.AdmissionPolicy(
                adaptive_limit=False, newest_first=False
            ),
            ramp_s=heartbeat.cold_left_s,
        )
        self._gate = _gate.AdmissionGate(admission, self._now)
        self._loss_id = self._marks.make_loss_id()
        self._log.record(
            _V.BACKEND_SERVER_ANNOUNCED,
            service=heartbeat.service,
            instance=heartbeat.instance,
            slots=heartbeat.slots,
            born_ms=heartbeat.born_ms,
        )

    def _note_leaving(self, instance):
        self._log.record(
            _V.BACKEND_SERVER_DRAINING,
            service=self.service,
            instance=instance,
            in_flight=self.held,
        )
