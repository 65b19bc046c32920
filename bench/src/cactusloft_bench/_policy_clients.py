"""Clients of the policy comparison, which retry hard."""

import asyncio
import itertools
import random

import attrs

from cactusloft_bench import _policy_chain as chain
from cactusloft_model import calls

PATIENCE_S = 1.0
CLIENT_RETRIES = 3
BACKOFF_S = 0.05


@attrs.frozen
class Request:
    """A client's request and how it ended.

    :ivar sent_at: simulated seconds of the first attempt.
    :ivar done_at: simulated seconds of the complete response, or None.
    :ivar attempts: times that the client sent it.
    """

    client_account: str
    priority: calls.Priority
    sent_at: float
    done_at: float | None
    attempts: int


@attrs.frozen
class RunRecord:
    """All that is measured in one run."""

    requests: tuple[Request, ...]
    executions: int
    front_runs: int
    inversions: int


class Clients:
    """Send requests in an open loop and repeat each failed one."""

    def __init__(self, services, scenario, source, now):
        self._services = services
        self._scenario = scenario
        self._source = source
        self._now = now
        self._numbers = itertools.count()
        self.requests = []

    async def run(self):
        """Send for the duration of the scenario and wait for the rest."""
        async with asyncio.TaskGroup() as group:
            while self._now() < self._scenario.duration_s:
                rate = self._scenario.read_demand(self._now())
                await asyncio.sleep(self._source.expovariate(rate))
                group.create_task(self._send())

    async def _send(self):
        account = self._pick(self._scenario.rates)
        priority = self._pick(self._scenario.classes)
        sent_at, done_at = self._now(), None
        attempts = 0
        while done_at is None and attempts <= CLIENT_RETRIES:
            if attempts:
                await asyncio.sleep(BACKOFF_S * self._source.uniform(1, 2))
            attempts += 1
            if await self._attempt(account, priority):
                done_at = self._now()
        self.requests.append(
            Request(account, priority, sent_at, done_at, attempts)
        )

    async def _attempt(self, account, priority):
        deadline = self._now() + PATIENCE_S
        call_id = f'{next(self._numbers)}'
        call = chain.RootCall(call_id, account, priority, deadline)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await self._services.request(call)
        except TimeoutError:
            return False

    def _pick(self, shares):
        names = list(shares)
        return self._source.choices(names, list(shares.values()))[0]


async def run_scenario(variant, scenario, seed):
    """Run one scenario with one variant.

    :returns: :class:`RunRecord`.
    """
    now = asyncio.get_running_loop().time
    source = random.Random(seed)
    make = chain.LayeredChain if variant.is_layered else chain.PlainChain
    services = make(variant, scenario, random.Random(seed + 1), now)
    clients = Clients(services, scenario, source, now)
    await clients.run()
    return RunRecord(
        tuple(clients.requests),
        services.counts.executions,
        services.counts.front_runs,
        services.counts.inversions,
    )
