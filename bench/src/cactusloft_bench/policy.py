"""Comparison of overload policies: ``python -m cactusloft_bench.policy``.

Runs in simulated time. Each figure is the median of several runs with
different seeds, with the smallest and largest in brackets.
"""

import argparse
from concurrent import futures
import statistics
import sys
import typing

import attrs

from cactusloft_bench import _policy_clients
from cactusloft_bench import _policy_measures as measures
from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_bench import _policy_variants as variants
from cactusloft_bench import _virtual_loop

DEFAULT_SEED = 20240
DEFAULT_RUNS = 3
SEED_STEP = 1000
PROCESSES = 6


@attrs.frozen
class Measure:
    """One column of the table.

    :ivar target: bound of section 1.2 as text, empty where there is none.
    """

    title: str
    scenario: scenarios.Scenario
    compute: typing.Callable
    target: str = ''


MEASURES = (
    Measure(
        'goodput at 2x demand, share of capacity',
        scenarios.DOUBLE,
        measures.measure_goodput,
        '>= 0.95',
    ),
    Measure(
        'goodput at 5x demand, share of capacity',
        scenarios.FIVEFOLD,
        measures.measure_goodput,
        '>= 0.95',
    ),
    Measure(
        'goodput with overstated slots, share of capacity',
        scenarios.OVERSTATED,
        measures.measure_goodput,
    ),
    Measure(
        'recovery after a slow deep service, s',
        scenarios.SLOW,
        measures.measure_recovery,
        '<= 2',
    ),
    Measure(
        'worst account within its share beside one of 10x',
        scenarios.HOG,
        measures.measure_worst_account,
        '>= 0.95',
    ),
    Measure(
        'failed attempts at 0.8x demand',
        scenarios.LIGHT,
        measures.measure_refused,
        '<= 0.001',
    ),
    Measure(
        'highest class refused beside a lower one, 5x',
        scenarios.FIVEFOLD,
        measures.count_inversions,
        '= 0',
    ),
    Measure(
        'critical requests completed, 5x',
        scenarios.FIVEFOLD,
        measures.measure_critical,
    ),
    Measure(
        'calls started at the front for each complete request, 5x',
        scenarios.FIVEFOLD,
        measures.measure_wasted,
    ),
    Measure(
        'deep executions for each attempt, 80% of them failing',
        scenarios.FAILING,
        measures.measure_work,
    ),
)


@attrs.frozen
class Job:
    """One run of one variant."""

    variant: variants.Variant
    scenario: scenarios.Scenario
    seed: int


def run_job(job):
    """Run a job and return its figures by the title of the measure."""
    record = _virtual_loop.run_simulated(
        _policy_clients.run_scenario(job.variant, job.scenario, job.seed)
    )
    return {
        measure.title: measure.compute(record, job.scenario)
        for measure in MEASURES
        if measure.scenario.name == job.scenario.name
    }


def list_jobs(chosen, seed, runs):
    """Return the jobs for all scenarios.

    :param chosen: variants to run.
    :param seed: seed of the first run.
    """
    return [
        Job(variant, scenario, seed + number * SEED_STEP)
        for variant in chosen
        for scenario in scenarios.SCENARIOS
        for number in range(runs)
    ]


def print_tables(chosen, figures):
    """Print one table for each measure.

    :param figures: mapping from (variant name, title) to figures.
    """
    for measure in MEASURES:
        target = f', target {measure.target}' if measure.target else ''
        print(f'\n{measure.title}{target}')
        for variant in chosen:
            found = figures[variant.name, measure.title]
            middle = statistics.median(found)
            spread = f'[{min(found):.3f} .. {max(found):.3f}]'
            print(f'  {variant.name:26} {middle:8.3f} {spread}')


def main(arguments=None):
    """Run the comparison and print it; return the exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m cactusloft_bench.policy', description=__doc__
    )
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    parser.add_argument(
        '--only', default='', help='run variants whose name contains this'
    )
    options = parser.parse_args(arguments)
    chosen = [v for v in variants.VARIANTS if options.only in v.name]
    jobs = list_jobs(chosen, options.seed, options.runs)
    print(f'seed {options.seed}, {options.runs} runs of each variant')
    figures = {}
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        for job, found in zip(jobs, pool.map(run_job, jobs)):
            for title, figure in found.items():
                key = job.variant.name, title
                figures.setdefault(key, []).append(figure)
    print_tables(chosen, figures)
    return 0


if __name__ == '__main__':
    sys.exit(main())
