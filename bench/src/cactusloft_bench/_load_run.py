"""Open-loop load: requests start at times that do not depend on answers."""

import asyncio
import random
import time

import aiohttp
import attrs

from cactusloft_bench import _load_settings
from cactusloft_bench import _report
from cactusloft_bench import _requests

# Bounds memory and sockets when a target answers nothing.
MAX_IN_FLIGHT = 4000


@attrs.frozen
class _Arrival:
    at_s: float
    client: _load_settings.Client
    request: _requests.Request


def _generate_arrivals(settings, client, number):
    """Yield the arrivals of one client in order of time."""
    source = random.Random(settings.seed * 1000 + number)
    at_s = source.expovariate(client.rate)
    while at_s < settings.duration_s:
        nonce = f'{client.account}-{source.getrandbits(64):016x}'
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
        at_s += source.expovariate(client.rate)


def _plan_arrivals(settings):
    arrivals = [
        arrival
        for number, client in enumerate(settings.clients)
        for arrival in _generate_arrivals(settings, client, number)
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals[: settings.max_requests]


async def _run_request(session, target, arrival):
    client = arrival.client
    started = time.monotonic()
    attempts = []
    for _ in range(client.retries + 1):
        attempt = await _requests.send_attempt(
            session, target, arrival.request
        )
        attempts.append(attempt)
        if attempt.is_whole:
            break
        advised = attempt.retry_after_s if client.heeds_retry_after else 0.0
        await asyncio.sleep(max(client.retry_delay_s, advised))
    latency_s = time.monotonic() - started
    return _requests.Outcome(
        arrival.request, tuple(attempts), latency_s, arrival.at_s
    )


async def run_load(settings):
    """Run a load and return its :class:`Report`.

    :param settings: :class:`LoadSettings`.
    """
    arrivals = _plan_arrivals(settings)
    places = asyncio.Semaphore(MAX_IN_FLIGHT)
    connector = aiohttp.TCPConnector(limit=MAX_IN_FLIGHT)
    started = time.monotonic()

    async def run_arrival(number, arrival):
        delay = arrival.at_s - (time.monotonic() - started)
        await asyncio.sleep(max(0.0, delay))
        async with places:
            target = settings.targets[number % len(settings.targets)]
            return await _run_request(session, target, arrival)

    async with aiohttp.ClientSession(connector=connector) as session:
        outcomes = await asyncio.gather(
            *(run_arrival(*numbered) for numbered in enumerate(arrivals))
        )
    return _report.summarize(outcomes, time.monotonic() - started)
