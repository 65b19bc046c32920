"""Retry budgets: retries as a share of a service's recent calls."""

import collections

import attrs

from cactusloft_model import errors

WINDOW_S = 10.0
BUCKET_S = 1.0
# Allowed beside the share: a service with few calls could otherwise never
# retry.
MIN_RETRIES_PER_WINDOW = 1


@attrs.define
class _Bucket:
    started_at: float
    successes: int = 0
    requests: int = 0
    retries: int = 0


class _Window:
    """Counts over a sliding window of ``WINDOW_S``.

    :param share: retries allowed as a share of the counted calls.
    :param read_clock: function that returns monotonic seconds.
    :param reserve: retries allowed per window beside the share.
    """

    def __init__(self, share, read_clock, reserve=MIN_RETRIES_PER_WINDOW):
        self.share = share
        self._reserve = reserve
        self._read_clock = read_clock
        self._buckets = collections.deque()

    def spend(self):
        """Count a retry."""
        self._get_current_bucket().retries += 1

    def _get_current_bucket(self):
        now = self._read_clock()
        buckets = self._buckets
        while buckets and now - buckets[0].started_at > WINDOW_S:
            buckets.popleft()
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(_Bucket(now))
        return buckets[-1]


class RetryBudget(_Window):
    """Budget of one service: retries as a share of successes."""

    def record_success(self):
        """Count a successful call."""
        self._get_current_bucket().successes += 1

    def allows_retry(self):
        """Tell whether a retry is within the budget."""
        self._get_current_bucket()
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return retries < self._reserve + int(self.share * successes)


class RequestBudget(_Window):
    """Budget of one service: repeats as a share of requests.

    The nested calls of a repeated call count as repeats of their services.
    The more of the budget is used, the higher the rank that a call needs to be
    repeated, so that the budget serves to complete whole call trees.
    """

    def record_request(self, is_repeat):
        """Count a request to the service.

        :param is_repeat: whether a call upstream of it was sent before.
        """
        if is_repeat:
            self.spend()
        else:
            self._get_current_bucket().requests += 1

    def allows_retry(self, rank):
        """Tell whether a repeat is within the budget.

        :param rank: rank of the call tree, above 0 and at most 1.
        """
        self._get_current_bucket()
        requests = sum(bucket.requests for bucket in self._buckets)
        repeats = sum(bucket.retries for bucket in self._buckets)
        limit = self._reserve + self.share * requests
        return repeats < rank * limit and repeats + 1 <= limit


def may_resend(idempotent, not_run):
    """Tell whether a call may be sent again after a failed attempt.

    :param not_run: :class:`errors.NotRun` state of the failed attempt.

    >>> may_resend(False, errors.NotRun.UNKNOWN)
    False
    >>> may_resend(False, errors.NotRun.TRUE)
    True
    """
    return idempotent or not_run is errors.NotRun.TRUE
