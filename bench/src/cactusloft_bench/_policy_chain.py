"""Simulated chain of three services, with or without overload control."""

import asyncio

import attrs

from cactusloft_admission import controller
from cactusloft_admission import pressure
from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_model import calls
from cactusloft_retry import allowances
from cactusloft_retry import budgets
from cactusloftd import gates

# A call holds its slot while its nested calls run, so the services further
# up need more slots than their own work takes.
SLOTS_PER_SERVICE = {
    'front': 160,
    'middle': 120,
    'deep': scenarios.DEEP_WORKERS,
}
WORK_TIME_S = {
    'front': 0.005,
    'middle': 0.005,
    'deep': scenarios.DEEP_WORK_TIME_S,
}
SERVICES = ('front', 'middle', 'deep')
MAX_NESTED_RETRIES = 2
RETRY_CREDITS_PER_ROOT_CALL = 1
RETRY_BUDGET_RATIO = 0.1
CALL_KIND = 'route'
INVERSION_WINDOW_S = 0.1
CONTENTION_EXPONENT = 1.3
_Outcome = controller.Outcome


@attrs.frozen
class RootCall:
    """One attempt of a client.

    :ivar deadline: simulated seconds.
    """

    call_id: str
    client_account: str
    priority: calls.Priority
    deadline: float


@attrs.define
class Counts:
    """Counters of the services in one run.

    :ivar executions: calls that the deep service ran to the end.
    :ivar front_starts: calls that the front service started.
    :ivar inversions: refusals of the highest class for overload while a
        lower class was admitted or queued at the same service.
    """

    executions: int = 0
    front_starts: int = 0
    inversions: int = 0


class Server:
    """Workers of one service."""

    def __init__(self, name, scenario, rng, now):
        self._name = name
        self._scenario = scenario
        self._rng = rng
        self._now = now
        self._workers = asyncio.Semaphore(SLOTS_PER_SERVICE[name])
        self._running = 0

    async def work(self):
        """Simulate the work of one call, without its nested calls."""
        if self._scenario.slot_overstatement > 1:
            await self._work_contended()
            return
        async with self._workers:
            await asyncio.sleep(self._draw_work_time_s())

    async def _work_contended(self):
        """Start without a limit; calls beyond the slots slow each other."""
        self._running += 1
        try:
            contention = max(
                1.0, self._running / SLOTS_PER_SERVICE[self._name]
            )
            await asyncio.sleep(
                self._draw_work_time_s() * contention**CONTENTION_EXPONENT
            )
        finally:
            self._running -= 1

    def draw_failure(self):
        """Draw whether a call ends in an error."""
        return self._rng.random() < self._scenario.failure_ratio

    def _draw_work_time_s(self):
        factor = 1.0
        if self._name == 'deep' and self._scenario.is_slow(self._now()):
            factor = self._scenario.slow_factor
        return WORK_TIME_S[self._name] * factor * self._rng.uniform(0.5, 1.5)


class PlainChain:
    """Services that call each other directly, without overload control."""

    def __init__(self, _variant, scenario, rng, now):
        self.counts = Counts()
        self._servers = {
            service: Server(service, scenario, rng, now)
            for service in SERVICES
        }
        self._tasks = set()

    async def request(self, call):
        """Run a call, which continues after its client times out."""
        task = asyncio.create_task(self._serve(0))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _serve(self, level):
        self.counts.front_starts += level == 0
        await self._servers[SERVICES[level]].work()
        if level + 1 == len(SERVICES):
            self.counts.executions += 1
            return not self._servers[SERVICES[level]].draw_failure()
        for _ in range(MAX_NESTED_RETRIES + 1):
            if await self._serve(level + 1):
                return True
        return False


class StaticLimitOwner:
    """Fixed concurrency limit that refuses calls beyond it."""

    def __init__(self, slots, now):
        self._slots = slots
        self._now = now
        self._in_flight = 0

    async def enter(self, ticket):
        if self._in_flight >= self._slots:
            return controller.Verdict.EVICTED
        self._in_flight += 1
        ticket.started_at = self._now()
        return controller.Verdict.STARTED

    def leave(self, _ticket, _outcome):
        self._in_flight -= 1

    def read_pressure(self):
        return pressure.NO_PRESSURE

    def has_queued_below(self, _priority):
        return False


class AdmissionOwner(gates.AdmissionGate):
    """Admission control of one service by the admission library."""

    def __init__(self, slots, now, policy):
        admission = controller.Admission(slots, now, policy, ramp_s=0)
        super().__init__(admission, now)
        self._queued = set()

    async def enter(self, ticket):
        self._queued.add(ticket)
        try:
            return await super().enter(ticket)
        finally:
            self._queued.discard(ticket)

    def read_pressure(self):
        return self.admission.read_pressure()

    def has_queued_below(self, priority):
        return any(
            ticket.priority < priority and ticket.started_at is None
            for ticket in self._queued
        )


class LayeredChain:
    """Services with an owner beside each and an entry before the first."""

    def __init__(self, variant, scenario, rng, now):
        self.counts = Counts()
        self._variant = variant
        self._now = now
        self._servers = {
            service: Server(service, scenario, rng, now)
            for service in SERVICES
        }
        self._owners = {
            service: self._make_owner(service, scenario)
            for service in SERVICES
        }
        self._pressure_tables = {
            service: pressure.PressureTable() for service in ('', *SERVICES)
        }
        self._dependencies = {
            service: pressure.Dependencies() for service in SERVICES
        }
        self._early_refusal = pressure.EarlyRefusal(rng.random)
        self._allowances = allowances.RootAllowances(now)
        self._budgets = {
            service: budgets.RetryBudget(RETRY_BUDGET_RATIO, now)
            for service in SERVICES
        }
        self._last_low_start_at = {service: -1.0 for service in SERVICES}

    def _make_owner(self, name, scenario):
        slots = SLOTS_PER_SERVICE[name]
        if name == 'deep':
            slots *= scenario.slot_overstatement
        if self._variant.static_limit:
            return StaticLimitOwner(slots, self._now)
        return AdmissionOwner(slots, self._now, self._variant.policy)

    async def request(self, call):
        """Run a call that arrived at the entry."""
        if self._is_refused_early(call):
            self._record_refusal(SERVICES[0], call)
            return False
        self._allowances.open(
            call.call_id, RETRY_CREDITS_PER_ROOT_CALL, call.deadline
        )
        try:
            return await self._attempt(0, call)
        finally:
            self._allowances.close(call.call_id)

    def _is_refused_early(self, call):
        if not self._variant.policy.early_refusal:
            return False
        now = self._now()
        report = self._pressure_tables[''].read(SERVICES[0], CALL_KIND, now)
        return self._early_refusal.is_refused(
            SERVICES[0], call.priority, call.client_account, 1.0, report, now
        )

    async def _attempt(self, level, call):
        """Run a call at ``level`` and store the pressure it reports."""
        name, caller = SERVICES[level], ('', *SERVICES)[level]
        is_success = await self._serve(level, call)
        own_pressure = self._owners[name].read_pressure()
        now = self._now()
        report = self._dependencies[name].combine(
            CALL_KIND, own_pressure, self._pressure_tables[name], now
        )
        self._pressure_tables[caller].receive(
            name, CALL_KIND, name, report, now
        )
        if is_success:
            self._budgets[name].record_success()
        return is_success

    async def _serve(self, level, call):
        name = SERVICES[level]
        owner = self._owners[name]
        ticket = controller.Ticket(
            call.call_id,
            call.client_account,
            call.priority,
            call.deadline,
            nested=level > 0,
            kind=CALL_KIND,
        )
        verdict = await owner.enter(ticket)
        if verdict is not controller.Verdict.STARTED:
            if verdict is controller.Verdict.EVICTED:
                self._record_refusal(name, call)
            return False
        if call.priority < calls.Priority.CRITICAL:
            self._last_low_start_at[name] = self._now()
        outcome = _Outcome.ABANDONED
        try:
            is_success = await self._run(level, call)
            outcome = _Outcome.SUCCESS if is_success else _Outcome.ERROR
            return is_success
        finally:
            owner.leave(ticket, outcome)

    async def _run(self, level, call):
        name = SERVICES[level]
        self.counts.front_starts += level == 0
        self._dependencies[name].record_call(CALL_KIND)
        await self._servers[name].work()
        if level + 1 == len(SERVICES):
            self.counts.executions += 1
            return not self._servers[SERVICES[level]].draw_failure()
        self._dependencies[name].record_nested_call(
            CALL_KIND, SERVICES[level + 1], CALL_KIND
        )
        for attempt in range(MAX_NESTED_RETRIES + 1):
            if attempt and not self._may_retry(level + 1, call):
                return False
            if await self._attempt(level + 1, call):
                return True
        return False

    def _may_retry(self, level, call):
        if not self._variant.has_allowance:
            return True
        budget = self._budgets[SERVICES[level]]
        if not budget.allows_retry() or not self._allowances.take(
            call.call_id
        ):
            return False
        budget.spend()
        return True

    def _record_refusal(self, name, call):
        if call.priority is not calls.Priority.CRITICAL:
            return
        has_queued = self._owners[name].has_queued_below(call.priority)
        since_low_start_s = self._now() - self._last_low_start_at[name]
        if has_queued or since_low_start_s < INVERSION_WINDOW_S:
            self.counts.inversions += 1
