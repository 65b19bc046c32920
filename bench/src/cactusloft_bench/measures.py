"""Measure the targets of the design at both deployments: ``make bench``.

Each scenario runs on real processes, with the layer and with plain proxies in
its place, several times with different seeds. The table shows the median, the
minimum and maximum in brackets, and the target from section 1.2 of the design.
"""

import argparse
import asyncio
from concurrent import futures
import statistics

import attrs

from cactusloft_bench import _deployments
from cactusloft_bench import fleet
from cactusloft_bench import load

DEFAULT_SEED = 20261204
DEFAULT_RUNS = 3
WARM_UP_S = 2.0
LOAD_DURATION_S = 8.0
SLOWDOWN_START_S = 3.0
SLOWDOWN_END_S = 6.0
RECOVERY_RUN_DURATION_S = 14.0
SLOWDOWN_FACTOR = 6.0
GOODPUT_WINDOW_S = 0.5
RECOVERED_SHARE = 0.95
# Share of the requests in each priority class, lowest class first.
REQUEST_SHARES_BY_CLASS = (0.3, 0.4, 0.2, 0.1)
DEADLINE_MS = 2000
INVERSION_WINDOW_S = 0.05
SHED_ERROR_KIND = 'overloaded'


@attrs.frozen
class Scenario:
    """Demand of the accounts and the figure computed from its outcomes.

    :ivar demands: demand of each account as a multiple of an equal share of
        the capacity.
    :ivar rate: configured rate of each account, as a multiple of the same
        share.
    :ivar compute: function(deployment, scenario, outcomes) that returns the
        figure.
    :ivar retries: retries that a client makes of a failed request.
    :ivar is_slowed: whether the deep service is slowed down during the run.
    """

    title: str
    target: str
    demands: tuple[float, ...]
    rate: float
    compute: object
    retries: int = 2
    duration_s: float = LOAD_DURATION_S
    is_slowed: bool = False


def compute_goodput(deployment, scenario, outcomes):
    """Return complete responses per second as a share of the capacity."""
    end_times_s = (o.ended_s for o in outcomes if o.is_whole)
    completed = sum(
        WARM_UP_S <= end_s < scenario.duration_s for end_s in end_times_s
    )
    measured_s = scenario.duration_s - WARM_UP_S
    return completed / measured_s / deployment.capacity


def compute_recovery(deployment, scenario, outcomes):
    """Return the seconds from the end of the slowdown to full goodput.

    Goodput is full if 95% of the demand is served for a whole second.
    """
    demand = (
        deployment.capacity * sum(scenario.demands) / len(scenario.demands)
    )
    needed_per_window = RECOVERED_SHARE * demand * GOODPUT_WINDOW_S
    end_times_s = sorted(o.ended_s for o in outcomes if o.is_whole)
    start_s = SLOWDOWN_END_S
    while start_s + 2 * GOODPUT_WINDOW_S <= scenario.duration_s:
        counts = [
            sum(begin_s <= e < begin_s + GOODPUT_WINDOW_S for e in end_times_s)
            for begin_s in (start_s, start_s + GOODPUT_WINDOW_S)
        ]
        if sum(counts) >= 2 * needed_per_window:
            return start_s - SLOWDOWN_END_S
        start_s += GOODPUT_WINDOW_S / 5
    return scenario.duration_s - SLOWDOWN_END_S


def compute_worst_account(deployment, scenario, outcomes):
    """Return the lowest served share of any account that keeps to its rate.

    The share is complete responses over the requests that an ideal token
    bucket admits, as random arrivals exceed a small burst now and then.
    """
    demands = dict(_list_demands(scenario))
    shares = []
    for account in _make_accounts(deployment, scenario):
        if demands[account.name] > scenario.rate:
            continue
        admissible = list(_find_admissible(account, outcomes))
        account_outcomes = (
            o for o in outcomes if o.request.account == account.name
        )
        shares.append(
            sum(o.is_whole for o in account_outcomes) / max(1, len(admissible))
        )
    return min(shares)


def compute_refused(deployment, scenario, outcomes):
    """Return the refused share of the requests that are within their rate.

    A request is within the rate if one ideal token bucket with the account's
    rate and burst admits it: random arrivals below the rate exceed a small
    burst now and then.
    """
    accounts = {a.name: a for a in _make_accounts(deployment, scenario)}
    admissible = [
        outcome
        for name, account in accounts.items()
        for outcome in _find_admissible(account, outcomes)
        if outcome.started_s >= WARM_UP_S
    ]
    refused = sum(not o.attempts[0].is_whole for o in admissible)
    return refused / max(1, len(admissible))


def _find_admissible(account, outcomes):
    """Yield the outcomes of requests that an ideal token bucket admits."""
    account_outcomes = [
        o for o in outcomes if o.request.account == account.name
    ]
    tokens, refilled_s = account.burst, 0.0
    for outcome in sorted(account_outcomes, key=lambda o: o.started_s):
        refill = account.rate * (outcome.started_s - refilled_s)
        tokens = min(account.burst, tokens + refill)
        refilled_s = outcome.started_s
        if tokens >= 1.0:
            tokens -= 1.0
            yield outcome


def count_inversions(deployment, scenario, outcomes):
    """Return the share of highest-class requests shed in favour of lower ones.

    Counts each highest-class request whose first attempt was shed although a
    lowest-class one that started within 50 ms of it got a complete response.
    """
    highest = [o for o in outcomes if o.request.path == '/critical']
    served_low_starts_s = sorted(
        o.started_s
        for o in outcomes
        if o.request.path == '/low' and o.attempts[0].is_whole
    )
    shed = [o for o in highest if o.attempts[0].kind == SHED_ERROR_KIND]
    inversions = sum(
        any(
            abs(s - o.started_s) < INVERSION_WINDOW_S
            for s in served_low_starts_s
        )
        for o in shed
    )
    return inversions / max(1, len(highest))


def _list_demands(scenario):
    return [(f'account-{n}', d) for n, d in enumerate(scenario.demands)]


_EQUAL_DEMANDS = (1.0,) * _deployments.ACCOUNTS
SCENARIOS = (
    Scenario(
        'goodput at 2x demand',
        '>= 0.95',
        tuple(2 * d for d in _EQUAL_DEMANDS),
        100.0,
        compute_goodput,
    ),
    Scenario(
        'goodput at 5x demand',
        '>= 0.95',
        tuple(5 * d for d in _EQUAL_DEMANDS),
        100.0,
        compute_goodput,
    ),
    Scenario(
        'recovery after a slow deep service, s',
        '<= 2',
        tuple(0.8 * d for d in _EQUAL_DEMANDS),
        100.0,
        compute_recovery,
        duration_s=RECOVERY_RUN_DURATION_S,
        is_slowed=True,
    ),
    Scenario(
        'worst account beside one of 10x its rate',
        '>= 0.95',
        (9.0, *(0.9 * d for d in _EQUAL_DEMANDS[1:])),
        0.9 * 1.1,
        compute_worst_account,
    ),
    Scenario(
        'refused inside the rate at 0.6x demand',
        '<= 0.001',
        tuple(0.6 * d for d in _EQUAL_DEMANDS),
        0.75,
        compute_refused,
        retries=0,
    ),
    Scenario(
        'highest class shed beside a lower one, 5x',
        '= 0',
        tuple(5 * d for d in _EQUAL_DEMANDS),
        100.0,
        count_inversions,
    ),
)


def _make_accounts(deployment, scenario):
    share = deployment.capacity / _deployments.ACCOUNTS
    rate = scenario.rate * share
    return [
        fleet.Account(name, rate=rate, burst=max(10.0, rate))
        for name, _ in _list_demands(scenario)
    ]


def _make_loads(deployment, scenario, accounts, target, seed):
    """Yield the load settings of each priority class."""
    share = deployment.capacity / _deployments.ACCOUNTS
    classes = zip(_deployments.CLASSES, REQUEST_SHARES_BY_CLASS, strict=True)
    for number, (class_name, class_share) in enumerate(classes):
        clients = tuple(
            load.Client(
                account.name,
                account.key,
                demand * share * class_share,
                retries=scenario.retries,
                retry_delay_s=0.1,
            )
            for account, demand in zip(accounts, scenario.demands, strict=True)
        )
        yield load.LoadSettings(
            targets=target.entries,
            clients=clients,
            path=f'/{class_name}',
            plan=deployment.make_plan(),
            deadline_ms=DEADLINE_MS,
            duration_s=scenario.duration_s,
            max_requests=50_000,
            seed=seed + number,
        )


async def _run_loads(scenario, loads, target):
    async def slow_down():
        if not scenario.is_slowed:
            return
        await asyncio.sleep(SLOWDOWN_START_S)
        await asyncio.to_thread(target.slow_down, SLOWDOWN_FACTOR)
        await asyncio.sleep(SLOWDOWN_END_S - SLOWDOWN_START_S)
        await asyncio.to_thread(target.slow_down, 1.0)

    # A single load process saturates before the services do, so each class
    # gets a process of its own.
    loop = asyncio.get_running_loop()
    with futures.ProcessPoolExecutor(len(_deployments.CLASSES)) as pool:
        runs = [
            loop.run_in_executor(pool, _run_load, settings)
            for settings in loads
        ]
        *outcomes, _ = await asyncio.gather(*runs, slow_down())
    return [
        outcome for class_outcomes in outcomes for outcome in class_outcomes
    ]


def _run_load(settings):
    return asyncio.run(load.run_load(settings)).outcomes


def run_scenario(deployment, scenario, start, seed):
    """Run one scenario and return its figure.

    :param start: function(deployment, accounts) that returns a context manager
        which runs the processes.
    """
    accounts = _make_accounts(deployment, scenario)
    with start(deployment, accounts) as target:
        loads = _make_loads(deployment, scenario, accounts, target, seed)
        outcomes = asyncio.run(_run_loads(scenario, loads, target))
    return scenario.compute(deployment, scenario, outcomes)


def _summarize(figures):
    median = statistics.median(figures)
    return f'{median:.3f} [{min(figures):.3f}, {max(figures):.3f}]'


def main(arguments=None):
    """Run all scenarios and print a table for each deployment."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument('--only', default='', help='part of a title')
    parser.add_argument('--deployment', default='', help='part of a name')
    options = parser.parse_args(arguments)
    starts = {
        'with the layer': _deployments.start_layered,
        'plain proxies': _deployments.start_plain,
    }
    print(f'seed {options.seed}, median of {options.runs} [least, most]')
    for deployment in (_deployments.SIAM, _deployments.HOOGHLY):
        if options.deployment not in deployment.name:
            continue
        print(f'\n{deployment.name}: {deployment.capacity:.0f} requests/s')
        print(f'{"measure":42} {"target":9} {"  ".join(starts)}')
        for scenario in SCENARIOS:
            if options.only not in scenario.title:
                continue
            cells = [
                _summarize(
                    [
                        run_scenario(
                            deployment, scenario, start, options.seed + 100 * n
                        )
                        for n in range(options.runs)
                    ]
                )
                for start in starts.values()
            ]
            print(
                f'{scenario.title:42} {scenario.target:9} {"  ".join(cells)}',
                flush=True,
            )


if __name__ == '__main__':
    main()
