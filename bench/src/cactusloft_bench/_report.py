"""Statistics of a load run."""

import collections
import math

import attrs

PERCENTILES = (50, 95, 99)


@attrs.frozen
class Latency:
    """Latency percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float
    highest: float


@attrs.frozen
class Figures:
    """Statistics of one account, or of all accounts together.

    :ivar requests: number of requests, without retries.
    :ivar attempts: number of attempts, including retries.
    :ivar whole: number of requests that got their complete response.
    :ivar goodput: complete responses per second.
    :ivar failures: attempts without a complete response, by error kind.
    :ivar latency: latency of the requests that got their complete response.
    """

    account: str
    requests: int
    attempts: int
    whole: int
    goodput: float
    failures: dict[str, int]
    latency: Latency


@attrs.frozen
class Report:
    """Result of a load run.

    :ivar elapsed_s: duration of the run, in seconds.
    :ivar total: :class:`Figures` over all accounts.
    :ivar accounts: :class:`Figures` of each account.
    :ivar outcomes: outcome of each request.
    """

    elapsed_s: float
    total: Figures
    accounts: tuple[Figures, ...]
    outcomes: tuple = attrs.field(repr=False)

    def to_json(self):
        """Return the statistics, without the outcomes, for a JSON encoder."""
        return attrs.asdict(
            self, filter=lambda attribute, _: attribute.name != 'outcomes'
        )


def find_percentile(ordered, percent):
    """Return the nearest-rank percentile of ascending values, 0 if empty.

    >>> find_percentile([1, 2, 3, 4], 50)
    2
    >>> find_percentile([], 99)
    0.0
    """
    if not ordered:
        return 0.0
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[max(rank, 1) - 1]


def summarize_latencies(latencies_s):
    """Return the :class:`Latency` for latencies in seconds."""
    ordered = sorted(latency * 1000 for latency in latencies_s)
    values = [find_percentile(ordered, percent) for percent in PERCENTILES]
    return Latency(*values, highest=ordered[-1] if ordered else 0.0)


def summarize(outcomes, elapsed_s):
    """Return the :class:`Report` of a load run.

    :param outcomes: iterable of :class:`_requests.Outcome`.
    :param elapsed_s: duration of the run, in seconds.
    """
    outcomes = tuple(outcomes)
    by_account = collections.defaultdict(list)
    for outcome in outcomes:
        by_account[outcome.request.account].append(outcome)
    accounts = tuple(
        _build_figures(name, by_account[name], elapsed_s)
        for name in sorted(by_account)
    )
    total = _build_figures('', outcomes, elapsed_s)
    return Report(elapsed_s, total, accounts, outcomes)


def _build_figures(account, outcomes, elapsed_s):
    whole = [outcome for outcome in outcomes if outcome.is_whole]
    failures = collections.Counter(
        attempt.kind
        for outcome in outcomes
        for attempt in outcome.attempts
        if not attempt.is_whole
    )
    return Figures(
        account=account,
        requests=len(outcomes),
        attempts=sum(len(outcome.attempts) for outcome in outcomes),
        whole=len(whole),
        goodput=len(whole) / max(elapsed_s, 1e-9),
        failures=dict(failures),
        latency=summarize_latencies(outcome.latency_s for outcome in whole),
    )
