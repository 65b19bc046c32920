"""The owner of the local backend server.

Only the owner sends calls to that backend server, so its count of running
calls is exact. It never sends more calls than the backend server has slots,
since an overloaded one may never respond.
"""

import asyncio
import collections
import functools
import time

from returns import result

from cactusloft_admission import controller
from cactusloft_admission import pressure
from cactusloft_admission import waiting
from cactusloft_membership import registry
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _gate
from cactusloftd.resident import _backend_server
from cactusloftd.resident import _backlog
from cactusloftd.resident import _cold
from cactusloftd.resident import _delivery
from cactusloftd.resident import _runs
from cactusloftd.resident import _service_times
from cactusloftd.resident import _sharing

# Maximum time in the queue as a fraction of the call's patience, which is its
# target latency or else its timeout. A call that is refused later has delayed
# its caller for nothing.
MAX_QUEUE_FRACTION = 0.35
# For calls whose entry sent no patience.
DEFAULT_MAX_QUEUE_S = 0.5
# Delay until an unreachable backend server gets calls again.
UNREACHABLE_RETRY_S = 0.5
# After a lost call the backend server is probed with a connection, which tells
# a crash from a single broken connection.
PROBE_DELAY_S = 0.05
# Calls lost within this time before a detected crash are attributed to it.
CRASH_WINDOW_S = 0.5
NS_PER_MS = 10**6
NO_SLOT = 'no slot in time'
NO_FREE_SLOT = 'no free slot'
# No other owner can run the call in time either.
NO_TIME = 'no time left'
NO_ROOM_DETAILS = (NO_SLOT, NO_TIME)
SLOW_NOW = 'slow at present'
# Resources in the metrics.
SLOT, QUEUE_PLACE = 'slot', 'queue_place'
_E = errors.ErrorKind
_G = controller.Verdict
_O = controller.Outcome
_V = events.Event
_PRIORITY_NAMES = {level: level.name.lower() for level in calls.Priority}


class Owner:
    """Admit calls to the backend server and deliver them.

    :param name: name of this daemon.
    :param address: ``IP:port`` of the backend server.
    :param service: service of the backend server, empty if unknown.
    :param protocol: :class:`protocol.BackendProtocol`.
    :param config: :class:`_config.Config`.
    :param marks: :class:`_marks.Marks`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    :param now: function that returns monotonic time in seconds.
    :ivar is_evacuated: function that tells whether the data centre of this
        host is evacuated, so that its backend server gets no new calls.
    :ivar on_change: function called when the registration has changed.
    :ivar on_other_departure: function called with a
        :class:`registry.BackendProcess` that announced its departure and is
        not the current one, as after a delayed heartbeat of its predecessor.
    """

    def __init__(
        self,
        name,
        address,
        service,
        protocol,
        config,
        marks,
        log,
        metrics,
        now,
    ):
        self._name = name
        self._address = address
        self._expected_service = service
        self._protocol = protocol
        self._config = config
        self._marks = marks
        self._log = log
        self._metrics = metrics
        self._now = now
        self._state = _backend_server.BackendServerState(name)
        self._delivery = None
        self._gate = None
        # Gates of the current and of former processes.
        self._gates = []
        self._losses = collections.deque()
        self._probe_task = None
        self._loss_id = ''
        self._times = _service_times.ServiceTimes()
        self._sharing = _sharing.Sharing()
        self._backlog = _backlog.Backlog(self._times, now)
        self._is_reporting_work = False
        self._running = {}
        self._is_stopping = False
        self._cold = _cold.ColdPeriod(now)
        self._was_evacuated = False
        self.is_evacuated = lambda: False
        self.on_change = lambda: None
        self.on_other_departure = lambda process: None

    @property
    def heartbeat(self):
        """Return the newest :class:`protocol.Heartbeat`, or None."""
        return self._state.heartbeat

    @property
    def is_serving(self):
        """Tell whether new calls are accepted."""
        if self._is_stopping or self.is_evacuated():
            return False
        return self._state.is_serving(self._now())

    @property
    def process(self):
        """Return the :class:`registry.BackendProcess`, None if unknown."""
        return self._state.process

    @property
    def is_leaving(self):
        """Tell whether the backend server has announced its departure."""
        return self._state.has_left

    @property
    def service(self):
        """Return the service of the backend server, empty if unknown."""
        heartbeat = self._state.heartbeat
        return heartbeat.service if heartbeat else ''

    @property
    def held(self):
        """Return the number of calls that run or wait for a slot."""
        return self._gate.held if self._gate else 0

    def count_holds(self):
        """Return the number in use of each resource of the backend server."""
        admissions = [gate.admission for gate in self._gates]
        return {
            SLOT: sum(a.in_flight for a in admissions),
            QUEUE_PLACE: sum(a.queued for a in admissions),
            _delivery.CONNECTION: (
                self._delivery.busy_connections if self._delivery else 0
            ),
        }

    @property
    def load(self):
        """Return the number of held calls per slot.

        Until its first response, a backend server gets only a few calls. One
        that names a rate limit can use as many slots as the limit times its
        service time.
        """
        if self._gate is None:
            return 0.0
        admission = self._gate.admission
        slots = max(1, self._state.heartbeat.slots)
        slots = min(slots, admission.first_calls or slots)
        if admission.rate_limit is None:
            return self.held / slots
        slots = min(slots, admission.rate_limit * self._times.mean_s)
        load = self.held / max(1.0, slots)
        return load if self._gate.has_capacity else max(1.0, load)

    @property
    def shares_room(self):
        """Tell whether calls share the room by their work."""
        return self._sharing.is_on

    @property
    def work(self):
        """Return the :class:`work.WorkReport` for entries, or None."""
        if self._gate is None:
            return None
        return self._backlog.make_report(
            self._gate.admission.compute_limit(),
            self._gate.has_capacity,
            self._is_reporting_work,
        )

    def begin_work_reports(self):
        """Report work even if the backend server tells no slowness.

        Called once an owner of another service reports its work: entries
        compare all services of a deployment in the same way.
        """
        self._is_reporting_work = True

    def estimate_end(self, call):
        """Return the seconds until the end of a call that waits here.

        None if the backend server does not report how long work takes.
        """
        return self._backlog.estimate_end(call, self.work)

    @property
    def admission(self):
        """Return the :class:`controller.Admission`, None at first."""
        return self._gate.admission if self._gate else None

    @property
    def rate_limit(self):
        """Return the limit of the backend server in calls per second.

        None if it names no limit.
        """
        return self._gate.admission.rate_limit if self._gate else None

    def share_room(self):
        """Share the room by work, whatever the backend server reports."""
        self._sharing.is_on = True

    def find_service_time(self, route):
        """Return the mean service time of a route in seconds, or None."""
        return self._times.find(route)

    def find_running(self, call_id):
        """Return the context of a call that runs now, or None."""
        run = self._running.get(call_id)
        return run.call.context if run else None

    def record_nested_failure(self, call_id):
        """Record at a running call that one of its nested calls failed.

        :param call_id: of the running call; ignored if it has ended.
        """
        run = self._running.get(call_id)
        if run is not None:
            run.has_failed_nested_call = True

    def handle_heartbeat(self, heartbeat):
        """Apply a heartbeat of the backend server.

        :param heartbeat: :class:`protocol.Heartbeat`.
        :raises ValueError: when it is not from the local backend server.
        """
        fault = _backend_server.find_fault(
            heartbeat,
            self._address,
            self._expected_service,
            time.time_ns() // NS_PER_MS,
        )
        if fault is not None:
            raise ValueError(fault)
        was_serving = self._state.is_serving(self._now())
        is_new = self._state.apply_heartbeat(heartbeat, self._now())
        if is_new:
            self._install_process(heartbeat)
        elif self._gate is not None:
            self._gate.admission.set_slots(self._state.heartbeat.slots)
        if is_new or self._state.is_newest(heartbeat):
            self._cold.hear(heartbeat.cold_left_s)
            self._limit_cold()
        is_serving = self._state.is_serving(self._now())
        if was_serving and not is_serving:
            self._log_draining(heartbeat.instance)
        if is_new or was_serving != is_serving:
            self.on_change()

    def handle_evacuation(self):
        """Apply the begin or the end of the evacuation of the data centre."""
        is_evacuated = self.is_evacuated()
        if is_evacuated == self._was_evacuated:
            return
        self._was_evacuated = is_evacuated
        if not is_evacuated:
            self._cold.presume()
            self._limit_cold()
        self.on_change()

    def _limit_cold(self):
        """Limit the calls for the time in which the server is cold."""
        service = self._config.current.services.get(self.service)
        if self._gate is None or service is None:
            # Without a document the limit is not known yet.
            return
        self._cold.is_applied = True
        if not service.cold_rate:
            return
        was_limited, cold_s = self.rate_limit is not None, self._cold.left_s
        self._gate.set_cold(service.cold_rate, cold_s)
        if cold_s and not was_limited:
            self._log.record(
                _V.BACKEND_SERVER_COLD,
                service=self.service,
                instance=self._state.heartbeat.instance,
                rate=service.cold_rate,
                cold_s=round(cold_s, 3),
            )

    def leave(self, instance, born_ms):
        """Send no new calls to a process that announced its departure.

        :param instance: identity of the process.
        :param born_ms: wall clock time in milliseconds at which the process
            started, None if unknown.
        """
        had_left = self._state.has_left
        wall_ms = time.time_ns() // NS_PER_MS
        if not self._state.leave(instance, born_ms, wall_ms):
            if born_ms is not None:
                self.on_other_departure(
                    registry.BackendProcess(self._name, instance, born_ms)
                )
            return
        if not had_left:
            self._log_draining(instance)
            self.on_change()

    def handle_departure(self, process):
        """Apply a departure that other hosts remember.

        :param process: :class:`registry.BackendProcess`.
        """
        if process == self._state.process and not self._state.has_left:
            self.leave(process.instance, process.born_ms)

    def stop(self):
        """Accept no new calls; calls in progress continue."""
        self._is_stopping = True

    def close(self):
        """Close the connections to the backend server."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        if self._delivery is not None:
            self._delivery.close()

    def read_pressure(self, _call):
        """Return the pressure to report with a response."""
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
        if call.needs_free_slot and not gate.has_capacity:
            return _calls.fail(_E.OVERLOADED, NO_FREE_SLOT)
        if call.needs_free_slot and self._backlog.is_slow_for(call):
            return _calls.fail(_E.OVERLOADED, SLOW_NOW)
        ticket = self._make_ticket(call, arrived_at)
        if self._sharing.is_on:
            if not gate.has_capacity:
                wait = self._plan_wait(call, ticket)
                if wait.choice is not waiting.Choice.WAIT:
                    return self._refuse(call, ticket, _G.EVICTED)
                ticket.start_by = arrived_at + wait.max_wait_s
        elif self._would_start_late(ticket):
            return self._refuse(call, ticket, _G.EVICTED)
        backlog = self._backlog
        cost_s = backlog.enqueue(call.route)
        try:
            verdict = gate.submit(ticket) or await gate.wait(ticket)
        finally:
            backlog.dequeue(cost_s)
        if verdict is not _G.STARTED:
            return self._refuse(call, ticket, verdict)
        self._metrics.record(
            'cactusloft_queue_wait_seconds',
            self._now() - arrived_at,
            _PRIORITY_NAMES[call.context.priority],
        )
        self._metrics.grant(SLOT)
        slowness = backlog.start(cost_s, ticket.started_at)
        run = _runs.Run(
            call, gate, ticket, self._delivery, backlog, cost_s, slowness
        )
        # The backend server may have stopped serving during the wait.
        if not self.is_serving or gate is not self._gate:
            self._release(run)
            return self._refuse_unserved(call, 'stopped serving while queued')
        return await self._deliver(run)

    def _check(self, call):
        if not self.is_serving:
            return self._refuse_unserved(call, 'not serving')
        if self.service != call.context.service:
            return self._refuse_unserved(call, 'other service')
        if not self._cold.is_applied:
            self._limit_cold()
        checked = self._marks.check(call.context.fingerprint)
        return None if isinstance(checked, result.Success) else checked

    def _refuse_unserved(self, call, reason):
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
        max_wait_s = DEFAULT_MAX_QUEUE_S
        if call.patience_s:
            max_wait_s = MAX_QUEUE_FRACTION * call.patience_s
        cost_s = 0.0
        if self._sharing.is_on:
            cost_s = _sharing.estimate_cost(self._times, call.route)
        return controller.Ticket(
            call_id=context.call_id,
            client_account=context.client_account,
            priority=context.priority,
            deadline=context.deadline,
            start_by=now + max_wait_s,
            weight=account.weight if account else 1.0,
            nested=not context.client_account,
            kind=call.route,
            rank=context.rank,
            urgency=context.urgency,
            is_return=context.is_return,
            cost_s=cost_s,
        )

    def _plan_wait(self, call, ticket):
        return _sharing.plan_wait(
            call,
            ticket,
            self._gate.admission,
            self._state.heartbeat.slots,
            self._now(),
        )

    def _would_start_late(self, ticket):
        """Tell whether the queue is too long for the call to start in time."""
        admission = self._gate.admission
        ahead = admission.count_ahead(ticket)
        if not ahead:
            return False
        per_call_s = self._times.mean_s / max(1, admission.compute_limit())
        if admission.rate_limit is not None:
            per_call_s = max(per_call_s, 1.0 / admission.rate_limit)
        return self._now() + ahead * per_call_s > ticket.last_start

    def _refuse(self, call, ticket, verdict):
        admission = self._gate.admission
        detail, room_in_s = NO_SLOT, None
        if self._sharing.is_on:
            wait = self._plan_wait(call, ticket)
            room_in_s = round(wait.room_in_s, 3)
            if wait.choice is waiting.Choice.ANSWER:
                detail = NO_TIME
        self._log.record(
            _V.CALL_SHED,
            call_id=call.context.call_id,
            service=call.context.service,
            priority=call.context.priority.name.lower(),
            verdict=verdict.value,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.compute_limit(),
            rate_limit=admission.rate_limit,
            service_ms=round(self._times.mean_s * 1000),
            room_in_s=room_in_s,
        )
        return _calls.fail(_E.OVERLOADED, detail, retry_after_s=room_in_s)

    async def _deliver(self, run):
        call = run.call
        is_slot_kept = False
        self._running[call.context.call_id] = run
        try:
            outcome = await run.delivery.send(call)
            if isinstance(outcome, result.Success):
                response = outcome.unwrap()
                response.is_caused_below = run.has_failed_nested_call
                if self._state.has_left and run.gate is self._gate:
                    response.leaving_process = self._state.process
                run.outcome = _O.SUCCESS
                if response.status >= 500:
                    run.outcome = _O.ERROR
                service_time_s = self._now() - run.ticket.started_at
                self._times.record(call.route, service_time_s)
                if run.outcome is _O.SUCCESS:
                    run.backlog.record_success(
                        call.route, service_time_s, run.cost_s, run.slowness
                    )
                is_slot_kept = True
                return result.Success(self._release_on_close(run, response))
            error = outcome.failure()
            self._log.record(
                _V.CALL_DELIVERY_FAILED,
                call_id=call.context.call_id,
                instance=self._state.heartbeat.instance,
                kind=error.kind.value,
                not_run=error.effective_not_run.value,
                detail=error.detail,
                after_ms=round((self._now() - run.ticket.started_at) * 1000),
            )
            await self._handle_failure(run, error)
            return outcome
        finally:
            self._metrics.count(
                'cactusloft_deliveries_total', run.outcome.value
            )
            if not is_slot_kept:
                self._release(run)

    async def _handle_failure(self, run, error):
        if error.kind is _E.OVERLOADED:
            run.outcome = _O.SHED
        elif error.kind is _E.NO_BACKEND_SERVER:
            await self._handle_unreachable(run.delivery)
        elif error.kind is _E.BACKEND_SERVER_FAILED:
            run.outcome = _O.ERROR
            if error.detail == _delivery.UNREACHABLE:
                await self._handle_unreachable(run.delivery)
            else:
                self._record_loss(run)

    def _record_loss(self, run):
        fingerprint = run.call.context.fingerprint
        self._losses.append((self._now(), fingerprint))
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(
                self._probe_backend_server(run.delivery)
            )

    async def _probe_backend_server(self, delivery):
        """Check whether the backend server still accepts connections."""
        await asyncio.sleep(PROBE_DELAY_S)
        if not await delivery.probe():
            await self._handle_unreachable(delivery)

    async def _handle_unreachable(self, delivery):
        """Pause new calls and report crash marks of the lost ones."""
        if delivery is not self._delivery or self._state.is_unreachable:
            return
        self._state.record_loss(self._now())
        self._log.record(
            _V.BACKEND_SERVER_LOST,
            service=self.service,
            instance=self._state.heartbeat.instance,
        )
        self.on_change()
        loop = asyncio.get_running_loop()
        loop.call_later(
            UNREACHABLE_RETRY_S, self._clear_unreachable, self._state.heartbeat
        )
        await self._report_crash_marks()

    async def _report_crash_marks(self):
        """Report crash marks of the calls that may have caused the crash."""
        oldest = self._now() - CRASH_WINDOW_S
        lost = {
            fingerprint
            for lost_at, fingerprint in self._losses
            if lost_at >= oldest
        }
        self._losses.clear()
        if lost:
            loss_id, self._loss_id = self._loss_id, self._marks.make_loss_id()
            await self._marks.report_loss(loss_id, lost)

    def _clear_unreachable(self, heartbeat):
        if self._state.heartbeat is heartbeat:
            self._state.is_unreachable = False
            self.on_change()

    def _release_on_close(self, run, response):
        """Make ``response`` release the slot when it is closed."""
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
        self._metrics.release(SLOT)
        self._running.pop(run.call.context.call_id, None)
        run.backlog.finish(run.cost_s, run.ticket.started_at)
        run.gate.leave(run.ticket, run.outcome)

    def _handle_metadata(self, gate, metadata, sent_at):
        self._sharing.observe(metadata.load)
        known = gate.admission.rate_limit
        gate.receive_response(metadata.rate_limit, sent_at)
        if gate is not self._gate:
            return
        self._backlog.receive_load(metadata.load)
        if metadata.is_leaving and not self._state.has_left:
            self._state.has_left = True
            self._log_draining(self._state.heartbeat.instance)
            self.on_change()
        if gate.admission.rate_limit != known:
            self._log.record(
                _V.BACKEND_SERVER_LIMITED,
                service=self.service,
                instance=self._state.heartbeat.instance,
                rate_limit=gate.admission.rate_limit,
                in_flight=self.held,
            )

    def _install_process(self, heartbeat):
        if self._delivery is not None:
            self._delivery.close()
        self._delivery = _delivery.Delivery(
            self._address, heartbeat.instance, self._protocol, self._now
        )
        self._delivery.on_take = functools.partial(
            self._metrics.grant, _delivery.CONNECTION
        )
        self._delivery.on_release = functools.partial(
            self._metrics.release, _delivery.CONNECTION
        )
        self._times.clear_routes()
        self._backlog = _backlog.Backlog(self._times, self._now)
        admission = controller.Admission(
            heartbeat.slots,
            self._now,
            controller.AdmissionPolicy(
                adaptive_limit=False,
                newest_first=False,
                awaits_first_response=True,
            ),
            ramp_s=min(heartbeat.cold_left_s, _backend_server.MAX_WARM_UP_S),
        )
        self._gate = _gate.AdmissionGate(admission, self._now)
        self._gate.on_wait = functools.partial(
            self._metrics.grant, QUEUE_PLACE
        )
        self._gate.on_waited = functools.partial(
            self._metrics.release, QUEUE_PLACE
        )
        self._gates = [gate for gate in self._gates if gate.held]
        self._gates.append(self._gate)
        self._delivery.on_metadata = functools.partial(
            self._handle_metadata, self._gate
        )
        self._loss_id = self._marks.make_loss_id()
        self._log.record(
            _V.BACKEND_SERVER_ANNOUNCED,
            service=heartbeat.service,
            instance=heartbeat.instance,
            slots=heartbeat.slots,
            born_ms=heartbeat.born_ms,
        )

    def _log_draining(self, instance):
        self._log.record(
            _V.BACKEND_SERVER_DRAINING,
            service=self.service,
            instance=instance,
            in_flight=self.held,
        )
