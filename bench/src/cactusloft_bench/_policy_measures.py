"""Measures of section 1.2 of the design, from the records of a run."""

import collections

from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_model import calls

BIN_S = 0.25
RECOVERED_SHARE = 0.95
NEVER_S = scenarios.SLOW.duration_s - scenarios.SLOW_UNTIL_S


def measure_goodput(record, scenario):
    """Return complete requests as a share of the capacity."""
    start, end = scenarios.WARM_UP_S, scenario.duration_s
    done = sum(
        1
        for request in record.requests
        if request.done_at is not None and start <= request.done_at < end
    )
    return done / ((end - start) * scenarios.CAPACITY)


def measure_recovery(record, _scenario):
    """Return seconds from the end of the slow period until service is normal.

    Service is normal from a point on when 95% of the requests sent in each
    half second after it are completed.
    """
    bins = collections.defaultdict(list)
    for request in record.requests:
        if request.sent_at >= scenarios.SLOW_UNTIL_S:
            passed_s = request.sent_at - scenarios.SLOW_UNTIL_S
            bins[int(passed_s / BIN_S)].append(request.done_at is not None)
    bad = [
        number
        for number in bins
        if _mean(bins[number] + bins.get(number + 1, [])) < RECOVERED_SHARE
    ]
    return min(NEVER_S, (max(bad, default=-1) + 1) * BIN_S)


def measure_worst_account(record, scenario):
    """Return the worst service to an account within its fair share."""
    served, demand = collections.Counter(), collections.Counter()
    for request in record.requests:
        if request.sent_at >= scenarios.WARM_UP_S:
            demand[request.client_account] += 1
            if request.done_at is not None:
                served[request.client_account] += 1
    span_s = scenario.duration_s - scenarios.WARM_UP_S
    fair = scenarios.CAPACITY * span_s / len(demand)
    return min(
        served[name] / min(demand[name], fair)
        for name in demand
        if scenario.rates[name] == 1.0
    )


def measure_refused(record, _scenario):
    """Return the share of attempts that failed, for a light load."""
    attempts = sum(request.attempts for request in record.requests)
    done = sum(1 for r in record.requests if r.done_at is not None)
    return 1 - done / attempts


def measure_critical(record, _scenario):
    """Return the share of critical requests that were completed."""
    return _mean(
        [
            request.done_at is not None
            for request in record.requests
            if request.priority is calls.Priority.CRITICAL
            and request.sent_at >= scenarios.WARM_UP_S
        ]
    )


def count_inversions(record, _scenario):
    """Return refusals of the highest class beside admitted lower ones."""
    return float(record.inversions)


def measure_work(record, _scenario):
    """Return executions at the deep service for each attempt of a client."""
    attempts = sum(request.attempts for request in record.requests)
    return record.executions / attempts


def measure_wasted(record, _scenario):
    """Return calls started at the front for each complete request."""
    done = sum(1 for r in record.requests if r.done_at is not None)
    return record.front_runs / max(1, done)


def _mean(values):
    return sum(values) / len(values) if values else 1.0
