"""Tests of the owner with a backend server that is cold."""

import asyncio

import attrs

from cactusloft_model import document
from cactusloft_model import errors
from cactusloftd.resident import _cold

from . import test_owner

TEXT = '[service stock]\ncold_rate = 5\n'


def beat(bench, sequence, cold_left_s=0.0):
    """Send a heartbeat of the backend server."""
    bench.owner.handle_heartbeat(
        attrs.evolve(
            bench.heartbeat, sequence=sequence, cold_left_s=cold_left_s
        )
    )


def set_document(bench, text=TEXT):
    """Install a document."""
    bench.owner._config.current = document.parse_document(text).unwrap()


def test_server_that_becomes_cold_later_is_limited():
    """It may lose its caches at any time and crash under its usual load."""

    async def run():
        async with test_owner.Bench() as bench:
            set_document(bench)
            beat(bench, 2)
            assert bench.owner.rate_limit is None
            beat(bench, 3, 2.5)
            assert bench.owner.rate_limit == 5
            refused = await bench.run('a1', needs_free_slot=True)
            assert refused.failure().kind is errors.ErrorKind.OVERLOADED
            assert bench.owner.load >= 1.0
            beat(bench, 4)
            assert bench.owner.rate_limit is None

    asyncio.run(run())


def test_first_calls_wait_for_the_document():
    """A heartbeat may come before the document that names the rate."""

    async def run():
        async with test_owner.Bench() as bench:
            set_document(bench, '')
            beat(bench, 2, 2.5)
            set_document(bench)
            await bench.answer('a1')
            assert bench.owner.rate_limit == 5

    asyncio.run(run())


def test_returning_load_meets_a_server_whose_state_is_not_known():
    """It may have become cold during the evacuation, after its heartbeat.

    A heartbeat that arrives just after the end may have been sent before.
    """

    async def run():
        async with test_owner.Bench() as bench:
            set_document(bench)
            now = bench.now
            bench.owner._cold = _cold.ColdPeriod(lambda: now() + skipped_s)
            skipped_s = 0.0
            bench.owner.is_evacuated = lambda: True
            bench.owner.handle_evacuation()
            assert not bench.owner.is_serving
            assert bench.owner.rate_limit is None
            bench.owner.is_evacuated = lambda: False
            bench.owner.handle_evacuation()
            assert bench.owner.is_serving
            beat(bench, 2)
            assert bench.owner.rate_limit == 5
            skipped_s = _cold.MAX_HEARTBEAT_DELAY_S
            beat(bench, 3)
            assert bench.owner.rate_limit is None
            return bench.changes

    assert asyncio.run(run()) == 2


def test_service_without_a_rate_is_limited():
    """Deployments that name no rate are served as before."""

    async def run():
        async with test_owner.Bench() as bench:
            set_document(bench, '[service stock]\n')
            beat(bench, 2, 2.5)
            assert bench.owner.rate_limit is None

    asyncio.run(run())
