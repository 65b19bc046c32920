"""Settings of a load run."""

import attrs

from cactusloft_bench import _plans

MAX_REQUESTS = 500_000
MAX_DURATION_S = 600.0


@attrs.frozen
class Client:
    """A client account that sends requests.

    :ivar account: name of the account.
    :ivar key: its key, empty for open routes.
    :ivar rate: requests per second on average.
    :ivar retries: repeats of a request that got no complete answer.
    :ivar retry_delay_s: seconds before a repeat. 0 is an aggressive client.
    :ivar heeds_retry_after: whether it waits as long as the response advises.
    """

    account: str
    key: str
    rate: float
    retries: int = 0
    retry_delay_s: float = 0.0
    heeds_retry_after: bool = False


@attrs.frozen
class LoadSettings:
    """A load run, bounded in count and time.

    :ivar targets: caller listeners, used in turn.
    :ivar duration_s: seconds during which requests start.
    :ivar max_requests: requests after which no more start.
    :ivar seed: seed of arrival times and nonces.
    :ivar has_idempotency_keys: whether each request carries a new one.
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
