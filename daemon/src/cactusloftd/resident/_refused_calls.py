"""Calls that were refused as not run, so that their return is recognised.

The load pattern: more calls arrive than a service can run. A caller that was
refused comes back once, after its Retry-After, and meets the same queue of
newcomers; refused again, it has waited for nothing. Here the entry remembers
the fingerprint of a refused call for as long as it may return. A call that
comes back goes before newcomers of its rank.

A caller that repeats before its Retry-After gains nothing, and one refusal
lets one call go first, so repeating often and at once does not pay.
"""

import collections

import attrs

MAX_KEPT_CALLS = 2048
# Clients wait no longer than this share of their time.
MAX_OBEYED_SHARE = 1 / 3
# Part of the wait after which a return counts; timers of clients are coarse.
EARLIEST_SHARE = 0.9


@attrs.frozen
class _RefusedCall:
    """A refused call, in monotonic seconds.

    :ivar first_at: its arrival.
    :ivar due_at: earliest return.
    :ivar expires_at: its deadline.
    """

    first_at: float
    due_at: float
    expires_at: float


class RefusedCalls:
    """Refused calls by fingerprint, bounded in time and number."""

    def __init__(self):
        self._calls = collections.OrderedDict()

    def __len__(self):
        return len(self._calls)

    def remember(self, fingerprint, first_at, retry_after_s, deadline, now):
        """Remember a call that is refused now.

        A second call of the same fingerprint replaces the first.

        :param first_at: monotonic seconds of its arrival.
        :param retry_after_s: seconds that its caller is told to wait.
        :param deadline: monotonic seconds.
        """
        longest_s = MAX_OBEYED_SHARE * max(0.0, deadline - now)
        wait_s = EARLIEST_SHARE * min(retry_after_s, longest_s)
        call = _RefusedCall(first_at, now + wait_s, deadline)
        self._calls[fingerprint] = call
        self._calls.move_to_end(fingerprint)
        if len(self._calls) > MAX_KEPT_CALLS:
            self._calls.popitem(last=False)

    def take(self, fingerprint, now):
        """Forget a call that comes back.

        :returns: monotonic seconds of its first arrival, None if it is not
            known or comes back too early or too late.
        """
        call = self._calls.pop(fingerprint, None)
        if call is None or not call.due_at <= now < call.expires_at:
            return None
        return call.first_at


def compute_patience(target_s, timeout_s, waited_s):
    """Return the seconds after which a caller has little use for a response.

    :param target_s: target latency, which counts from the first arrival.
    :param timeout_s: seconds until the deadline.
    :param waited_s: seconds since the first arrival.
    """
    left_s = target_s - waited_s
    # After the target latency a response is still worth something.
    return min(left_s, timeout_s) if left_s > 0 else timeout_s
