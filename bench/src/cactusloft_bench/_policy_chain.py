"""A chain of three services, with or without the layer between them."""

import asyncio

import attrs

from cactusloft_admission import controller
from cactusloft_admission import pressure
from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_model import calls
from cactusloft_retry import allowances
from cactusloft_retry import budgets
from cactusloftd import gates

# Front and middle services have room for the time that calls spend deeper.
SLOTS = {'front': 160, 'middle': 120, 'deep': scenarios.DEEP_WORKERS}
WORK_S = {'front': 0.005, 'middle': 0.005, 'deep': scenarios.DEEP_WORK_S}
CHAIN = ('front', 'middle', 'deep')
NESTED_REPEATS = 2
ROOT_CREDITS = 1
RETRY_SHARE = 0.1
KIND = 'route'
RECENT_S = 0.1
_O = controller.Outcome


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
    """What the services did.

    :ivar executions: calls that the deep service ran to the end.
    :ivar front_runs: calls that the front service started.
    :ivar inversions: refusals of the highest class for overload while a
        lower class was admitted or queued at the same service.
    """

    executions: int = 0
    front_runs: int = 0
    inversions: int = 0


class Server:
    """The workers of one service."""

    def __init__(self, name, scenario, source, now):
        self._name = name
        self._scenario = scenario
        self._source = source
        self._now = now
        self._workers = asyncio.Semaphore(SLOTS[name])
        self._running = 0

    async def work(self):
        """Do the own work of one call."""
        if self._scenario.overstatement > 1:
            await self._work_contended()
            return
        async with self._workers:
            await asyncio.sleep(self._draw_time())

    async def _work_contended(self):
        """Run at once whatever comes; each worker more slows down all."""
        self._running += 1
        try:
            crowding = max(1.0, self._running / SLOTS[self._name])
            await asyncio.sleep(self._draw_time() * crowding**1.3)
        finally:
            self._running -= 1

    def draws_failure(self):
        """Tell whether a call ends in an error."""
        return self._source.random() < self._scenario.failing

    def _draw_time(self):
        factor = 1.0
        if self._name == 'deep' and self._scenario.is_slow(self._now()):
            factor = self._scenario.slow_factor
        return WORK_S[self._name] * factor * self._source.uniform(0.5, 1.5)


class PlainChain:
    """Services that call each other without the layer."""

    def __init__(self, _variant, scenario, source, now):
        self.counts = Counts()
        self._servers = {n: Server(n, scenario, source, now) for n in CHAIN}
        self._tasks = set()

    async def request(self, call):
        """Run a call; it goes on when its client leaves."""
        task = asyncio.create_task(self._serve(0))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _serve(self, level):
        self.counts.front_runs += level == 0
        await self._servers[CHAIN[level]].work()
        if level + 1 == len(CHAIN):
            self.counts.executions += 1
            return not self._servers[CHAIN[level]].draws_failure()
        for _ in range(NESTED_REPEATS + 1):
            if await self._serve(level + 1):
                return True
        return False


class StaticOwner:
    """A fixed concurrency limit that refuses what exceeds it."""

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
    """The admission library in front of a service."""

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
    """Services with an owner in front of each and an entry at the top."""

    def __init__(self, variant, scenario, source, now):
        self.counts = Counts()
        self._variant = variant
        self._now = now
        self._servers = {n: Server(n, scenario, source, now) for n in CHAIN}
        self._owners = {n: self._make_owner(n, scenario) for n in CHAIN}
        self._tables = {n: pressure.PressureTable() for n in ('', *CHAIN)}
        self._used = {n: pressure.Dependencies() for n in CHAIN}
        self._early = pressure.EarlyRefusal(source.random)
        self._roots = allowances.RootAllowances(now)
        self._budgets = {
            n: budgets.RetryBudget(RETRY_SHARE, now) for n in CHAIN
        }
        self._last_low_start = {n: -1.0 for n in CHAIN}

    def _make_owner(self, name, scenario):
        slots = SLOTS[name]
        if name == 'deep':
            slots *= scenario.overstatement
        if self._variant.static_limit:
            return StaticOwner(slots, self._now)
        return AdmissionOwner(slots, self._now, self._variant.policy)

    async def request(self, call):
        """Run a call that has come to the entry."""
        if self._is_refused_early(call):
            self._note_refusal(CHAIN[0], call)
            return False
        self._roots.open(call.call_id, ROOT_CREDITS, call.deadline)
        try:
            return await self._attempt(0, call)
        finally:
            self._roots.close(call.call_id)

    def _is_refused_early(self, call):
        if not self._variant.policy.early_refusal:
            return False
        now = self._now()
        report = self._tables[''].read(CHAIN[0], KIND, now)
        return self._early.is_refused(
            CHAIN[0], call.priority, call.client_account, 1.0, report, now
        )

    async def _attempt(self, level, call):
        """Run a call on the service at ``level`` and take its pressure."""
        name, caller = CHAIN[level], ('', *CHAIN)[level]
        is_good = await self._serve(level, call)
        own = self._owners[name].read_pressure()
        now = self._now()
        report = self._used[name].combine(KIND, own, self._tables[name], now)
        self._tables[caller].receive(name, KIND, name, report, now)
        if is_good:
            self._budgets[name].record_success()
        return is_good

    async def _serve(self, level, call):
        name = CHAIN[level]
        owner = self._owners[name]
        ticket = controller.Ticket(
            call.call_id,
            call.client_account,
            call.priority,
            call.deadline,
            nested=level > 0,
            kind=KIND,
        )
        verdict = await owner.enter(ticket)
        if verdict is not controller.Verdict.STARTED:
            if verdict is controller.Verdict.EVICTED:
                self._note_refusal(name, call)
            return False
        if call.priority < calls.Priority.CRITICAL:
            self._last_low_start[name] = self._now()
        outcome = _O.ABANDONED
        try:
            is_good = await self._run(level, call)
            outcome = _O.SUCCESS if is_good else _O.ERROR
            return is_good
        finally:
            owner.leave(ticket, outcome)

    async def _run(self, level, call):
        name = CHAIN[level]
        self.counts.front_runs += level == 0
        self._used[name].record_call(KIND)
        await self._servers[name].work()
        if level + 1 == len(CHAIN):
            self.counts.executions += 1
            return not self._servers[CHAIN[level]].draws_failure()
        self._used[name].record_nested_call(KIND, CHAIN[level + 1], KIND)
        for repeat in range(NESTED_REPEATS + 1):
            if repeat and not self._may_repeat(level + 1, call):
                return False
            if await self._attempt(level + 1, call):
                return True
        return False

    def _may_repeat(self, level, call):
        if not self._variant.has_allowance:
            return True
        budget = self._budgets[CHAIN[level]]
        if not budget.allows_retry() or not self._roots.take(call.call_id):
            return False
        budget.spend()
        return True

    def _note_refusal(self, name, call):
        if call.priority is not calls.Priority.CRITICAL:
            return
        queued = self._owners[name].has_queued_below(call.priority)
        passed_s = self._now() - self._last_low_start[name]
        if queued or passed_s < RECENT_S:
            self.counts.inversions += 1
