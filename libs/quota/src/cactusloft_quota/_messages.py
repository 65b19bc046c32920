"""Messages between holders and the allocator of an account's rate."""

import attrs

# Outlasts an ordinary change of the control leader.
LIFETIME_S = 3.0
# Both clocks may be off by 1%, in opposite directions.
LIFETIME_MARGIN = 0.03
# A clock that is 1% fast would otherwise earn 1% more than the rate.
REFILL_MARGIN = 0.01


@attrs.frozen
class LeaseRequest:
    """Report demand and renew a lease.

    :ivar holder: name of the daemon.
    :ivar boot: identity of its process; a restarted holder is another one.
    :ivar sequence: number of the request; an older one is ignored.
    :ivar demand: calls per second that asked for a token.
    :ivar returned: tokens given back with this request.
    :ivar wanted: tokens that are lacking now.
    :ivar allocator: the allocator that gave the live grant, empty for none.
    :ivar grant: number of the live grant, 0 for none.
    :ivar rate: its rate share in tokens per second.
    :ivar burst: its burst share in tokens.
    """

    client_account: str
    holder: str
    boot: str
    sequence: int
    demand: float
    returned: float = 0.0
    wanted: float = 0.0
    allocator: str = ''
    grant: int = 0
    rate: float = 0.0
    burst: float = 0.0


@attrs.frozen
class Grant:
    """A rate lease.

    :ivar sequence: the request that it answers.
    :ivar number: number of the grant, unique for its allocator.
    :ivar rate: the holder's own refill in tokens per second.
    :ivar burst: capacity of the holder's bucket in tokens.
    :ivar tokens: tokens added to the bucket.
    """

    client_account: str
    sequence: int
    allocator: str
    number: int
    rate: float
    burst: float
    tokens: float
