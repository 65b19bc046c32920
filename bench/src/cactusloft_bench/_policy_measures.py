"""Measures of section 1.2 of the design, computed from the record of a run."""

import collections

from cactusloft_bench import _policy_scenarios as scenarios
from cactusloft_model import calls

RECOVERY_BIN_S = 0.25
MIN_RECOVERED_RATIO = 0.95
MAX_RECOVERY_S = scenarios.SLOW.duration_s - scenarios.SLOW_END_S


def measure_goodput(record, scenario):
    """Return completed requests as a fraction of the capacity."""
    start, end = scenarios.WARM_UP_S, scenario.duration_s
    done = sum(
        1
        for request in record.requests
        if request.done_at is not None and start <= request.done_at < end
    )
    return done / ((end - start) * scenarios.CAPACITY_RPS)


def measure_recovery(record, _scenario):
    """Return seconds from the end of the slow period until service is normal.

    Service is normal from a point on when 95% of the requests sent in each
    half second after it complete.
    """
    bins = collections.defaultdict(list)
    for request in record.requests:
        if request.sent_at >= scenarios.SLOW_END_S:
            since_slow_s = request.sent_at - scenarios.SLOW_END_S
            bins[int(since_slow_s / RECOVERY_BIN_S)].append(
                request.done_at is not None
            )
    failed_bins = [
        number
        for number in bins
        if _mean(bins[number] + bins.get(number + 1, [])) < MIN_RECOVERED_RATIO
    ]
    return min(
        MAX_RECOVERY_S, (max(failed_bins, default=-1) + 1) * RECOVERY_BIN_S
    )


def measure_worst_account(record, scenario):
    """Return the lowest completed fraction of an account's fair share.

    Only accounts with the normal request rate count.
    """
    served, demand = collections.Counter(), collections.Counter()
    for request in record.requests:
        if request.sent_at >= scenarios.WARM_UP_S:
            demand[request.client_account] += 1
            if request.done_at is not None:
                served[request.client_account] += 1
    span_s = scenario.duration_s - scenarios.WARM_UP_S
    fair_share = scenarios.CAPACITY_RPS * span_s / len(demand)
    return min(
        served[name] / min(demand[name], fair_share)
        for name in demand
        if scenario.rates[name] == 1.0
    )


def measure_failed_attempts(record, _scenario):
    """Return the fraction of client attempts that failed."""
    attempts = sum(request.attempts for request in record.requests)
    done = sum(1 for r in record.requests if r.done_at is not None)
    return 1 - done / attempts


def measure_critical_completion(record, _scenario):
    """Return the fraction of critical requests that completed."""
    return _mean(
        [
            request.done_at is not None
            for request in record.requests
            if request.priority is calls.Priority.CRITICAL
            and request.sent_at >= scenarios.WARM_UP_S
        ]
    )


def count_inversions(record, _scenario):
    """Return refusals of critical calls while lower classes were admitted."""
    return float(record.inversions)


def measure_deep_executions(record, _scenario):
    """Return deep executions per client attempt."""
    attempts = sum(request.attempts for request in record.requests)
    return record.executions / attempts


def measure_front_starts(record, _scenario):
    """Return calls started at the front per completed request."""
    done = sum(1 for r in record.requests if r.done_at is not None)
    return record.front_starts / max(1, done)


def _mean(values):
    return sum(values) / len(values) if values else 1.0
