"""Retry budgets of a service: a share of its recent successes or requests."""

import collections

import attrs

from cactusloft_model import errors

WINDOW_S = 10.0
BUCKET_S = 1.0
# Without it a service with few calls could never retry at all.
RESERVE = 1


@attrs.define
class _Bucket:
    started_at: float
    successes: int = 0
    requests: int = 0
    retries: int = 0


class _Window:
    """Counts over the last seconds.

    :param share: retries allowed as a share of what is counted.
    :param read_clock: function that returns monotonic seconds.
    :param reserve: retries in the window beside the share.
    """

    def __init__(self, share, read_clock, reserve=RESERVE):
        self.share = share
        self._reserve = reserve
        self._read_clock = read_clock
        self._buckets = collections.deque()

    def spend(self):
        """Take note of a retry."""
        self._current().retries += 1

    def _current(self):
        now = self._read_clock()
        buckets = self._buckets
        while buckets and now - buckets[0].started_at > WINDOW_S:
            buckets.popleft()
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(_Bucket(now))
        return buckets[-1]


class RetryBudget(_Window):
    """Successes and retries of one service; the share is of successes."""

    def record_success(self):
        """Take note of a call that succeeded."""
        self._current().successes += 1

    def allows_retry(self):
        """Tell whether a retry is within the budget."""
        self._current()
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return retries < self._reserve + int(self.share * successes)


class RequestBudget(_Window):
    """Requests and repeats of one service; the share is of requests.

    What a repeated call sends further down counts as repeats there. The
    scarcer the budget, the higher the rank that a call needs to repeat, so
    that it is spent on whole call trees.
    """

    def record_request(self, is_repeat):
        """Take note of a request to the service.

        :param is_repeat: whether a call above it was sent before.
        """
        if is_repeat:
            self.spend()
        else:
            self._current().requests += 1

    def allows_retry(self, rank):
        """Tell whether a repeat is within the budget.

        :param rank: of the call tree, above 0 and at most 1.
        """
        self._current()
        requests = sum(bucket.requests for bucket in self._buckets)
        repeats = sum(bucket.retries for bucket in self._buckets)
        limit = self._reserve + self.share * requests
        return repeats < rank * limit and repeats + 1 <= limit


def may_resend(idempotent, not_run):
    """Tell whether a failed attempt may be followed by another.

    :param not_run: :class:`errors.NotRun` claim about the failed attempt.

    >>> may_resend(False, errors.NotRun.UNKNOWN)
    False
    >>> may_resend(False, errors.NotRun.TRUE)
    True
    """
    return idempotent or not_run is errors.NotRun.TRUE
