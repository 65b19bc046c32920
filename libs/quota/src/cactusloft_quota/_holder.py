"""Holder of a rate lease, which admits calls of one account."""

import collections

import attrs

from cactusloft_quota import _messages

REPORT_INTERVAL_S = 0.2
# Interval while calls wait for a token; the allocator may earn tokens or get
# them back at any time.
WAITING_INTERVAL_S = 0.03
# Demand is averaged over about this time: long enough for a few calls per
# second, short enough to follow demand that moves between holders.
DEMAND_WINDOW_S = 0.4
# A holder without calls for this time no longer renews its lease.
IDLE_TIMEOUT_S = 2.0
# A token can be returned until this many later ones were taken. Owners refuse
# calls within milliseconds, so few tokens are lost.
MAX_KEPT_PEAKS = 256


@attrs.frozen
class Debit:
    """A token that was taken.

    :ivar number: number of the bucket peak just before it was taken.
    """

    number: int


@attrs.define
class _Peak:
    """A local maximum of the tokens in the bucket.

    :ivar slack: free capacity of the bucket in tokens at that time.
    """

    number: int
    slack: float


class LeaseHolder:
    """Token bucket of one account on one daemon.

    :param name: name of the daemon.
    :param boot: identifier of the process.
    :param now: monotonic seconds.
    :param lifetime_s: lifetime of grants, the same at the allocator.
    """

    def __init__(
        self,
        name,
        boot,
        client_account,
        now,
        lifetime_s=_messages.LIFETIME_S,
    ):
        self._grant_validity_s = lifetime_s * (1 - _messages.LIFETIME_MARGIN)
        self._name = name
        self._boot = boot
        self._account = client_account
        self._grant = None
        self._expires_at = 0.0
        self._tokens = 0.0
        self._refilled_at = now
        self._peaks = collections.deque(maxlen=MAX_KEPT_PEAKS)
        self._peak_number = 0
        self._sequence = 0
        self._pending_sequence = 0
        self._sent_at = None
        self._needs_early_request = False
        self._demand = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._last_call_at = now
        self._returned = 0.0

    @property
    def tokens(self):
        """Return the tokens at the last update, without later refill."""
        return self._tokens

    def is_leased(self, now):
        """Tell whether there is an unexpired grant."""
        return self._grant is not None and now < self._expires_at

    def is_idle(self, now):
        """Tell whether the holder has no share and no recent calls."""
        has_no_calls = now - self._last_call_at > IDLE_TIMEOUT_S
        has_share = self.is_leased(now) and self._grant.burst > 0
        return has_no_calls and not has_share

    def record_arrival(self, now):
        """Count a call as demand, once for each call."""
        self._arrivals += 1
        self._last_call_at = now

    def debit(self, now):
        """Take a token.

        :returns: the :class:`Debit`, or None without a token.
        """
        self._refill(now)
        if self._tokens < 1.0:
            return None
        self._record_peak()
        self._tokens -= 1.0
        if self._tokens < 1.0:
            self._needs_early_request = True
        return Debit(self._peak_number)

    def credit(self, debit, now):
        """Return the token of a call that certainly does not run.

        The state must be as if the call had never been debited: at each peak
        since the debit, the bucket must have had capacity for one more token.
        Otherwise that token would have been lost to the burst limit, and
        returning it would admit more than rate and burst allow.

        :returns: whether the token was returned.
        """
        self._refill(now)
        later = [p for p in self._peaks if p.number > debit.number]
        is_known = any(p.number == debit.number for p in self._peaks)
        if not is_known or self._grant is None:
            return False
        if self._tokens + 1.0 > self._grant.burst:
            return False
        if any(peak.slack < 1.0 for peak in later):
            return False
        for peak in later:
            peak.slack -= 1.0
        self._tokens += 1.0
        return True

    def find_next_request_time(self, waiting):
        """Return when to send the next request, in monotonic seconds.

        :param waiting: number of calls waiting for a token.
        """
        if self._sent_at is None:
            return 0.0
        is_early = waiting > 0 or self._needs_early_request
        interval_s = WAITING_INTERVAL_S if is_early else REPORT_INTERVAL_S
        return self._sent_at + interval_s

    def make_request(self, now, waiting):
        """Return the :class:`LeaseRequest` to send now.

        Replies to earlier requests are ignored from now on.
        """
        self._refill(now)
        self._measure_demand(now)
        self._sequence += 1
        self._pending_sequence = self._sequence
        self._sent_at = now
        self._needs_early_request = False
        returned, self._returned = self._returned, 0.0
        request = _messages.LeaseRequest(
            self._account,
            self._name,
            self._boot,
            self._sequence,
            self._demand,
            returned,
            self._count_wanted(waiting),
        )
        if self._grant is None:
            return request
        return attrs.evolve(
            request,
            allocator=self._grant.allocator,
            grant=self._grant.number,
            rate=self._grant.rate,
            burst=self._grant.burst,
        )

    def apply_grant(self, grant, now):
        """Apply the reply to the latest request once; ignore other replies."""
        if grant.sequence != self._pending_sequence:
            return
        # A duplicate would add the tokens again.
        self._pending_sequence = 0
        self._refill(now)
        expires_at = self._sent_at + self._grant_validity_s
        if now >= expires_at:
            return
        if self._grant is not None and _is_smaller(grant, self._grant):
            # The next request presents the smaller share, which releases the
            # difference to other holders.
            self._needs_early_request = True
        self._grant = grant
        self._expires_at = expires_at
        self._return_excess()
        self._tokens = min(grant.burst, self._tokens + grant.tokens)

    def _refill(self, now):
        if self._grant is not None and now >= self._expires_at:
            self._grant = None
            self._tokens = self._returned = 0.0
            self._peaks.clear()
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        if self._grant is None:
            return
        rate = self._grant.rate * (1 - _messages.REFILL_MARGIN)
        earned = rate * elapsed_s
        self._tokens = min(self._grant.burst, self._tokens + earned)

    def _record_peak(self):
        self._peak_number += 1
        slack = self._grant.burst - self._tokens
        self._peaks.append(_Peak(self._peak_number, slack))

    def _return_excess(self):
        """Set aside the tokens that a smaller bucket cannot hold.

        The next request returns them to the allocator, which counts the
        larger share until then.
        """
        self._record_peak()
        excess = max(0.0, self._tokens - self._grant.burst)
        self._returned += excess
        self._tokens -= excess

    def _measure_demand(self, now):
        elapsed_s = now - self._measured_at
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / DEMAND_WINDOW_S)
        rate = self._arrivals / elapsed_s
        self._demand += weight * (rate - self._demand)
        self._arrivals = 0
        self._measured_at = now
        if now - self._last_call_at > IDLE_TIMEOUT_S:
            self._demand = 0.0

    def _count_wanted(self, waiting):
        """Return the tokens lacking for the waiting and the expected calls."""
        expected = waiting + self._demand * REPORT_INTERVAL_S
        if waiting == 0 and self._tokens >= 1.0:
            return 0.0
        return max(0.0, expected - self._tokens)


def _is_smaller(grant, other):
    return grant.rate < other.rate or grant.burst < other.burst
