"""Tickets of calls that request admission, and the decisions on them."""

import enum
import math

import attrs

from cactusloft_model import calls


class Verdict(enum.Enum):
    """Decision of the owner on a call."""

    STARTED = 'started'
    EVICTED = 'evicted'
    EXPIRED = 'expired'


class Outcome(enum.Enum):
    """How a started call ended, as the concurrency limit distinguishes it."""

    SUCCESS = 'success'
    ERROR = 'error'
    ABANDONED = 'abandoned'
    SHED = 'shed'


@attrs.define(eq=False)
class Ticket:
    """A call that requests admission from one owner.

    :ivar call_id: identifier of the call.
    :ivar client_account: account that is charged, empty without one.
    :ivar start_by: monotonic seconds until which it may stay queued.
    :ivar weight: weight of the account in the configuration document.
    :ivar priority: priority class of the root call.
    :ivar deadline: deadline in monotonic seconds of the owner's clock.
    :ivar nested: whether a backend server made the call.
    :ivar kind: route, or another label of calls with similar service times.
    :ivar rank: rank of its call tree, see :func:`calls.compute_rank`.
    :ivar alone: whether the call must run with no other call in flight.
    :ivar urgency: order inside the priority class, 0 if it has none.
    :ivar is_return: whether it or its root came back after a refusal.
    :ivar cost_s: slot seconds that it is expected to use, 0 if unknown.
    :ivar queued_at: monotonic seconds at which the call was submitted.
    :ivar started_at: monotonic seconds of the start, None until then.
    :ivar charge_s: slot seconds charged to the account at the start.
    """

    call_id: str
    client_account: str
    priority: calls.Priority
    deadline: float
    start_by: float = math.inf
    weight: float = 1.0
    nested: bool = False
    kind: str = ''
    rank: float = 0.0
    alone: bool = False
    urgency: int = 0
    is_return: bool = False
    cost_s: float = 0.0
    queued_at: float = 0.0
    started_at: float | None = None
    charge_s: float = 0.0

    @property
    def work(self):
        """Return the cost of the call, 1 for each call if it is unknown."""
        return self.cost_s or 1.0

    @property
    def last_start(self):
        """Return the latest time to start the call, in monotonic seconds."""
        return min(self.start_by, self.deadline)


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class Decision:
    """The verdict on one ticket."""

    ticket: Ticket
    verdict: Verdict


@attrs.frozen
class AdmissionPolicy:
    """Switches of the parts of admission control.

    Daemons use the defaults; benchmarks switch parts off to compare policies.

    :ivar awaits_first_response: whether only a few calls start before the
        first response, which tells the rate limit of the backend server.
    """

    adaptive_limit: bool = True
    priorities: bool = True
    fairness: bool = True
    deadline_drop: bool = True
    newest_first: bool = True
    early_refusal: bool = True
    awaits_first_response: bool = False
