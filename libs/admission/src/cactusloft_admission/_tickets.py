"""Tickets of calls that ask for admission, and the verdicts on them."""

import enum
import math

import attrs

from cactusloft_model import calls


class Verdict(enum.Enum):
    """What the owner decided on a call."""

    STARTED = 'started'
    EVICTED = 'evicted'
    EXPIRED = 'expired'


class Outcome(enum.Enum):
    """How a started call ended, as far as the limit needs to know."""

    SUCCESS = 'success'
    ERROR = 'error'
    ABANDONED = 'abandoned'
    SHED = 'shed'


@attrs.define(eq=False)
class Ticket:
    """A call that asks one owner for admission.

    :ivar call_id: identity of the call.
    :ivar client_account: account that pays with its share, empty when open.
    :ivar start_by: monotonic seconds until which it may wait for its start.
    :ivar weight: weight of the account in the document.
    :ivar priority: class of the root call.
    :ivar deadline: monotonic seconds on the owner's clock.
    :ivar nested: whether a backend server sent the call.
    :ivar kind: route or other label of calls with similar service times.
    :ivar rank: of its call tree, see :func:`calls.compute_rank`.
    :ivar alone: whether no other call may run beside this one.
    :ivar queued_at: monotonic seconds of the offer.
    :ivar started_at: monotonic seconds of the start, None before.
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
    queued_at: float = 0.0
    started_at: float | None = None
    charge_s: float = 0.0

    @property
    def last_start(self):
        """Return the monotonic seconds after which a start is too late."""
        return min(self.start_by, self.deadline)


@attrs.frozen
class Decision:
    """A verdict on one ticket."""

    ticket: Ticket
    verdict: Verdict


@attrs.frozen
class AdmissionPolicy:
    """Parts of the design, each of which a comparison can switch off.

    Daemons use the defaults.
    """

    adaptive_limit: bool = True
    priorities: bool = True
    fairness: bool = True
    deadline_drop: bool = True
    newest_first: bool = True
    early_refusal: bool = True
