"""Tests of the policy comparison."""

import asyncio

import attrs

from cactusloft_bench import _policy_clients
from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_bench import _policy_variants as variants
from cactusloft_bench import _virtual_loop


def run_short(variant, scenario):
    short = attrs.evolve(scenario, duration_s=2.0)
    return _virtual_loop.run_simulated(
        _policy_clients.run_scenario(variant, short, 1)
    )


def test_simulated_time_passes_without_waiting():
    """Guards against results that depend on the load of the machine."""

    async def sleep():
        await asyncio.sleep(3600.0)
        return asyncio.get_running_loop().time()

    assert _virtual_loop.run_simulated(sleep()) >= 3600.0


def test_same_seed_gives_the_same_run():
    """Guards against a comparison of variants under different demand."""
    runs = [run_short(variants.CHOSEN, scenarios.DOUBLE) for _ in range(2)]
    assert runs[0] == runs[1]


def test_every_variant_serves_a_light_load():
    """Guards against a variant that loses the comparison by a bug."""
    for variant in variants.VARIANTS:
        record = run_short(variant, scenarios.LIGHT)
        done = sum(1 for r in record.requests if r.done_at is not None)
        assert done > 0.8 * len(record.requests)


def test_highest_class_is_not_refused_beside_a_lower_one():
    """Guards against shedding critical calls before lower classes."""
    record = run_short(variants.CHOSEN, scenarios.FIVEFOLD)
    assert record.inversions == 0
