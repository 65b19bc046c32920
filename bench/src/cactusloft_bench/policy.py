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
WORKER_PROCESSES = 6


@attrs.frozen
class Measure:
    """One measure, printed as a table with a row for each variant.

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
        scenarios.HEAVY_ACCOUNT,
        measures.measure_worst_account,
        '>= 0.95',
    ),
    Measure(
        'failed attempts at 0.8x demand',
        scenarios.LIGHT,
        measures.measure_failed_attempts,
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
        measures.measure_critical_completion,
    ),
    Measure(
        'calls started at the front for each complete request, 5x',
        scenarios.FIVEFOLD,
        measures.measure_front_starts,
    ),
    Measure(
        'deep executions for each attempt, 80% of them failing',
        scenarios.FAILING,
        measures.measure_deep_executions,
    ),
)


@attrs.frozen
class Job:
    """One run of one variant in one scenario."""

    variant: variants.Variant
    scenario: scenarios.Scenario
    seed: int


def run_job(job):
    """Run a job and return its figures, keyed by the title of the measure."""
    record = _virtual_loop.run_simulated(
        _policy_clients.run_scenario(job.variant, job.scenario, job.seed)
    )
    return {
        measure.title: measure.compute(record, job.scenario)
        for measure in MEASURES
        if measure.scenario.name == job.scenario.name
    }


def list_jobs(selected, seed, runs):
    """Return the jobs of each variant in each scenario.

    :param selected: variants to run.
    :param seed: seed of the first run.
    :param runs: number of runs with different seeds.
    """
    return [
        Job(variant, scenario, seed + number * SEED_STEP)
        for variant in selected
        for scenario in scenarios.SCENARIOS
        for number in range(runs)
    ]


def print_tables(selected, figures):
    """Print one table for each measure.

    :param figures: mapping from (variant name, title of the measure) to the
        figures of all runs.
    """
    for measure in MEASURES:
        target = f', target {measure.target}' if measure.target else ''
        print(f'\n{measure.title}{target}')
        for variant in selected:
            values = figures[variant.name, measure.title]
            median = statistics.median(values)
            spread = f'[{min(values):.3f} .. {max(values):.3f}]'
            print(f'  {variant.name:26} {median:8.3f} {spread}')


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
    settings = parser.parse_args(arguments)
    selected = [v for v in variants.VARIANTS if settings.only in v.name]
    jobs = list_jobs(selected, settings.seed, settings.runs)
    print(f'seed {settings.seed}, {settings.runs} runs of each variant')
    figures = {}
    with futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for job, values in zip(jobs, pool.map(run_job, jobs)):
            for title, figure in values.items():
                column = job.variant.name, title
                figures.setdefault(column, []).append(figure)
    print_tables(selected, figures)
    return 0


if __name__ == '__main__':
    sys.exit(main())
