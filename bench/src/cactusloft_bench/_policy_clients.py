"""Clients of the policy comparison, which retry without a budget."""

import asyncio
import itertools
import random

import attrs

from cactusloft_bench import _policy_chain as chain
from cactusloft_model import calls

CLIENT_TIMEOUT_S = 1.0
MAX_CLIENT_RETRIES = 3
MIN_RETRY_DELAY_S = 0.05


@attrs.frozen
class Request:
    """A client's request and how it ended.

    :ivar sent_at: simulated seconds of the first attempt.
    :ivar done_at: simulated seconds of the complete response, or None.
    :ivar attempts: number of times that the client sent it.
    """

    client_account: str
    priority: calls.Priority
    sent_at: float
    done_at: float | None
    attempts: int


@attrs.frozen
class RunRecord:
    """Requests and counters of one run."""

    requests: tuple[Request, ...]
    executions: int
    front_starts: int
    inversions: int


class Clients:
    """Send requests in an open loop and retry each that fails."""

    def __init__(self, services, scenario, rng, now):
        self._chain = services
        self._scenario = scenario
        self._rng = rng
        self._now = now
        self._call_numbers = itertools.count()
        self.requests = []

    async def run(self):
        """Send for the duration of the scenario, then await open requests."""
        async with asyncio.TaskGroup() as group:
            while self._now() < self._scenario.duration_s:
                rate = self._scenario.read_demand(self._now())
                await asyncio.sleep(self._rng.expovariate(rate))
                group.create_task(self._send())

    async def _send(self):
        account = self._choose(self._scenario.rates)
        priority = self._choose(self._scenario.classes)
        sent_at, done_at = self._now(), None
        attempts = 0
        while done_at is None and attempts <= MAX_CLIENT_RETRIES:
            if attempts:
                await asyncio.sleep(
                    MIN_RETRY_DELAY_S * self._rng.uniform(1, 2)
                )
            attempts += 1
            if await self._attempt(account, priority):
                done_at = self._now()
        self.requests.append(
            Request(account, priority, sent_at, done_at, attempts)
        )

    async def _attempt(self, account, priority):
        deadline = self._now() + CLIENT_TIMEOUT_S
        call_id = f'{next(self._call_numbers)}'
        call = chain.RootCall(call_id, account, priority, deadline)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                return await self._chain.request(call)
        except TimeoutError:
            return False

    def _choose(self, weights):
        names = list(weights)
        return self._rng.choices(names, list(weights.values()))[0]


async def run_scenario(variant, scenario, seed):
    """Run one scenario with one variant on the running event loop.

    :returns: :class:`RunRecord`.
    """
    now = asyncio.get_running_loop().time
    rng = random.Random(seed)
    chain_class = (
        chain.LayeredChain if variant.is_layered else chain.PlainChain
    )
    services = chain_class(variant, scenario, random.Random(seed + 1), now)
    clients = Clients(services, scenario, rng, now)
    await clients.run()
    return RunRecord(
        tuple(clients.requests),
        services.counts.executions,
        services.counts.front_starts,
        services.counts.inversions,
    )
