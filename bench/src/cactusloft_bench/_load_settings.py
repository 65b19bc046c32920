"""Settings of a load run."""

import attrs

from cactusloft_bench import _plans

MAX_REQUESTS = 500_000
MAX_DURATION_S = 600.0


@attrs.frozen
class Client:
    """A client account that sends requests in a load run.

    :ivar account: name of the account.
    :ivar key: API key of the account, empty for public routes.
    :ivar rate: mean number of requests per second.
    :ivar retries: maximum retries of a request without a complete response.
    :ivar retry_delay_s: delay before a retry, in seconds; 0 simulates an
        aggressive client.
    :ivar heeds_retry_after: whether it waits at least as long as the
        ``Retry-After`` header asks.
    """

    account: str
    key: str
    rate: float
    retries: int = 0
    retry_delay_s: float = 0.0
    heeds_retry_after: bool = False


@attrs.frozen
class LoadSettings:
    """Settings of a load run, which is limited in requests and duration.

    :ivar targets: URLs of caller listeners, used round-robin.
    :ivar duration_s: period in which requests start, in seconds.
    :ivar max_requests: maximum number of requests, without retries.
    :ivar seed: seed for arrival times and nonces.
    :ivar has_idempotency_keys: whether each request has its own idempotency
        key.
    """

    targets: tuple[str, ...]
    clients: tuple[Client, ...]
    path: str
    plan: _plans.Plan = _plans.Plan()
    method: str = 'POST'
    deadline_ms: int = 2000
    duration_s: float = attrs.field(
        default=5.0, validator=attrs.validators.le(MAX_DURATION_S)
    )
    max_requests: int = attrs.field(
        default=10_000, validator=attrs.validators.le(MAX_REQUESTS)
    )
    seed: int = 1
    has_idempotency_keys: bool = False
