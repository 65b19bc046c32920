"""Open-loop load: request start times are independent of responses."""

import asyncio
import random
import time

import aiohttp
import attrs

from cactusloft_bench import _load_settings
from cactusloft_bench import _report
from cactusloft_bench import _requests

# Limits memory and sockets when a target is unresponsive.
MAX_IN_FLIGHT = 4000


@attrs.frozen
class _Arrival:
    at_s: float
    client: _load_settings.Client
    request: _requests.Request


def _generate_arrivals(settings, client, client_index):
    """Yield the arrivals of one client, ordered by time."""
    generator = random.Random(settings.seed * 1000 + client_index)
    at_s = generator.expovariate(client.rate)
    while at_s < settings.duration_s:
        nonce = f'{client.account}-{generator.getrandbits(64):016x}'
        request = _requests.Request(
            account=client.account,
            key=client.key,
            method=settings.method,
            path=settings.path,
            plan=attrs.evolve(settings.plan, nonce=nonce),
            idempotency_key=nonce if settings.has_idempotency_keys else '',
            deadline_ms=settings.deadline_ms,
        )
        yield _Arrival(at_s, client, request)
        at_s += generator.expovariate(client.rate)


def _plan_arrivals(settings):
    arrivals = [
        arrival
        for client_index, client in enumerate(settings.clients)
        for arrival in _generate_arrivals(settings, client, client_index)
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals[: settings.max_requests]


async def _run_request(session, target, arrival):
    client = arrival.client
    started_at = time.monotonic()
    attempts = []
    for _ in range(client.retries + 1):
        attempt = await _requests.send_attempt(
            session, target, arrival.request
        )
        attempts.append(attempt)
        if attempt.is_whole:
            break
        requested_delay_s = (
            attempt.retry_after_s if client.heeds_retry_after else 0.0
        )
        await asyncio.sleep(max(client.retry_delay_s, requested_delay_s))
    latency_s = time.monotonic() - started_at
    return _requests.Outcome(
        arrival.request, tuple(attempts), latency_s, arrival.at_s
    )


async def run_load(settings):
    """Run a load and return its :class:`_report.Report`.

    :param settings: :class:`_load_settings.LoadSettings`.
    """
    arrivals = _plan_arrivals(settings)
    in_flight_limit = asyncio.Semaphore(MAX_IN_FLIGHT)
    connector = aiohttp.TCPConnector(limit=MAX_IN_FLIGHT)
    started_at = time.monotonic()

    async def run_arrival(index, arrival):
        delay_s = arrival.at_s - (time.monotonic() - started_at)
        await asyncio.sleep(max(0.0, delay_s))
        async with in_flight_limit:
            target = settings.targets[index % len(settings.targets)]
            return await _run_request(session, target, arrival)

    async with aiohttp.ClientSession(connector=connector) as session:
        outcomes = await asyncio.gather(
            *(run_arrival(*indexed) for indexed in enumerate(arrivals))
        )
    return _report.summarize(outcomes, time.monotonic() - started_at)
