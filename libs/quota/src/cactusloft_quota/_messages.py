"""Messages between the holders and the allocator of a rate lease."""

import attrs

# Longer than an ordinary change of the control leader.
LIFETIME_S = 3.0
# The clocks of holder and allocator may drift by 1% in opposite directions.
LIFETIME_MARGIN = 0.03
# A clock that is 1% fast would otherwise refill 1% above the rate.
REFILL_MARGIN = 0.01


@attrs.frozen
class LeaseRequest:
    """Report demand and request or renew a lease.

    :ivar holder: name of the daemon.
    :ivar boot: identifier of its process; a restarted daemon is a new holder.
    :ivar sequence: number of the request; earlier requests are ignored.
    :ivar demand: calls per second that requested a token.
    :ivar returned: tokens returned with this request.
    :ivar wanted: tokens lacking at present.
    :ivar allocator: allocator of the unexpired grant, empty without one.
    :ivar grant: number of the unexpired grant, 0 without one.
    :ivar rate: rate of that grant in tokens per second.
    :ivar burst: burst of that grant in tokens.
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

    :ivar sequence: sequence of the request that it replies to.
    :ivar number: number of the grant, unique within its allocator.
    :ivar rate: refill rate of the holder's bucket in tokens per second.
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
