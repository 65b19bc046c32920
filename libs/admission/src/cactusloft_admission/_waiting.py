"""Whether a call waits at an owner, is refused there, or has no time left.

The load pattern: calls of 15 to 800 ms share a backend server, and one client
account fills its queue. A bound that counts the calls ahead at their mean
service time refuses short calls, and calls of other accounts, although the
fair shares would start them at once; it accepts calls behind a few long ones,
which are refused after they have delayed their caller. Here a call waits if
the work that is served before it leaves enough time for its own.
"""

import enum

import attrs

# Longest wait as a share of the caller's patience. Calls that are queued later
# may overtake, and a call that is refused after a long wait helps nobody.
MAX_WAIT_SHARE = 0.5
# A wait of this share of the patience delays no caller noticeably.
FREE_WAIT_SHARE = 0.125
# Time kept for the call itself, as a multiple of its expected cost.
COST_MARGIN = 1.25
# How much sooner than expected the fastest backend server ends a call.
FASTEST_SHARE = 0.3


class Choice(enum.Enum):
    """What the owner does with a call."""

    WAIT = 'wait'
    # Refuse it here; the entry may ask another owner.
    REFUSE = 'refuse'
    # Refuse it for good, since no backend server can end it in time.
    ANSWER = 'answer'


@attrs.frozen
class Outlook:
    """What an owner knows when a call arrives.

    :ivar left_s: seconds until the deadline of the call.
    :ivar patience_s: seconds after which the caller has little use for the
        response.
    :ivar cost_s: slot seconds that the call is expected to use, at the present
        speed of the backend server.
    :ivar work_ahead_s: slot seconds of the queued calls served before it.
    :ivar calls_ahead: number of these calls.
    :ivar slots: number of calls that may run at once.
    :ivar rate_limit: calls per second that may start, None for no limit.
    """

    left_s: float
    patience_s: float
    cost_s: float
    work_ahead_s: float
    calls_ahead: int
    slots: int
    rate_limit: float | None = None

    @property
    def wait_s(self):
        """Return the expected seconds until the call starts."""
        wait_s = self.work_ahead_s / max(1, self.slots)
        if self.rate_limit:
            wait_s = max(wait_s, self.calls_ahead / self.rate_limit)
        return wait_s


@attrs.frozen
class Wait:
    """The decision on one call.

    :ivar choice: :class:`Choice`.
    :ivar max_wait_s: seconds that the call may be queued.
    :ivar room_in_s: seconds until a call like it would start.
    """

    choice: Choice
    max_wait_s: float
    room_in_s: float


def compute_max_wait(outlook):
    """Return the seconds that a call may be queued.

    A call that would end late by itself may still wait a little: all backend
    servers may be slow, and a late response is worth more than a refusal.
    """
    patience_s = min(outlook.patience_s, outlook.left_s)
    spare_s = patience_s - COST_MARGIN * outlook.cost_s
    longest_s = min(MAX_WAIT_SHARE * patience_s, spare_s)
    return max(FREE_WAIT_SHARE * patience_s, longest_s)


def decide(outlook):
    """Return the :class:`Wait` for a call that arrives.

    :param outlook: :class:`Outlook`.
    """
    max_wait_s = compute_max_wait(outlook)
    wait_s = outlook.wait_s
    if FASTEST_SHARE * outlook.cost_s > outlook.left_s:
        return Wait(Choice.ANSWER, 0.0, wait_s)
    choice = Choice.WAIT if wait_s <= max_wait_s else Choice.REFUSE
    return Wait(choice, max_wait_s, wait_s)
