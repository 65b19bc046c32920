"""A holder: admits calls of one account from its lease."""

import collections

import attrs

from cactusloft_quota import _messages

REPORT_INTERVAL_S = 0.2
# Calls that wait ask again this often; the allocator may earn or get back
# tokens at any moment.
SHORT_INTERVAL_S = 0.03
# Demand is averaged over about this time: long enough for a rate of a few
# calls each second, short enough to follow demand that moves.
DEMAND_WINDOW_S = 0.4
# A holder without calls for this time stops renewing its lease.
IDLE_LIMIT_S = 2.0
# A token can be returned while at most this many later ones were taken. Owners
# refuse within milliseconds, so few calls lose theirs.
RETURNABLE = 256


@attrs.frozen
class Debit:
    """A token that was taken.

    :ivar number: number of the peak of the bucket before it was taken.
    """

    number: int


@attrs.define
class _Peak:
    """A moment at which the bucket was as full as it got.

    :ivar slack: tokens that the bucket could still have held.
    """

    number: int
    slack: float


class LeaseHolder:
    """Bucket of one account on one daemon.

    :param name: name of the daemon.
    :param boot: identity of the process.
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
        self._usable_s = lifetime_s * (1 - _messages.LIFETIME_MARGIN)
        self._name = name
        self._boot = boot
        self._account = client_account
        self._grant = None
        self._expires_at = 0.0
        self._tokens = 0.0
        self._refilled_at = now
        self._peaks = collections.deque(maxlen=RETURNABLE)
        self._peak_number = 0
        self._sequence = 0
        self._awaited = 0
        self._sent_at = None
        self._is_report_due = False
        self._demand = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._called_at = now
        self._returned = 0.0

    @property
    def tokens(self):
        """Return the tokens at the last look."""
        return self._tokens

    def is_leased(self, now):
        """Tell whether a grant is live."""
        return self._grant is not None and now < self._expires_at

    def is_idle(self, now):
        """Tell whether no share is held and nobody called for a while."""
        is_quiet = now - self._called_at > IDLE_LIMIT_S
        has_share = self.is_leased(now) and self._grant.burst > 0
        return is_quiet and not has_share

    def record_arrival(self, now):
        """Count a call as demand; call it once for each call."""
        self._arrivals += 1
        self._called_at = now

    def debit(self, now):
        """Take a token.

        :returns: the :class:`Debit`, or None when there is no token.
        """
        self._refill(now)
        if self._tokens < 1.0:
            return None
        self._note_peak()
        self._tokens -= 1.0
        if self._tokens < 1.0:
            self._is_report_due = True
        return Debit(self._peak_number)

    def credit(self, debit, now):
        """Return the token of a call that is certainly not run.

        The result must equal a history without the call: at each peak since
        the debit, the bucket must have had room for one more token. Otherwise
        that token would have been lost, and returning it would admit more
        than rate and burst allow.

        :returns: True when the token was returned.
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

        :param waiting: number of calls that wait for a token.
        """
        if self._sent_at is None:
            return 0.0
        is_short = waiting > 0 or self._is_report_due
        interval_s = SHORT_INTERVAL_S if is_short else REPORT_INTERVAL_S
        return self._sent_at + interval_s

    def make_request(self, now, waiting):
        """Return the :class:`LeaseRequest` to send now.

        Replies to earlier requests are dropped from here on.
        """
        self._refill(now)
        self._measure_demand(now)
        self._sequence += 1
        self._awaited = self._sequence
        self._sent_at = now
        self._is_report_due = False
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
        """Take the reply to the latest request, once; others are dropped."""
        if grant.sequence != self._awaited:
            return
        # A second copy would add the tokens again.
        self._awaited = 0
        self._refill(now)
        expires_at = self._sent_at + self._usable_s
        if now >= expires_at:
            return
        if self._grant is not None and _is_smaller(grant, self._grant):
            # The next request proves the smaller share, which frees the
            # difference for other holders.
            self._is_report_due = True
        self._grant = grant
        self._expires_at = expires_at
        self._return_excess()
        self._tokens = min(grant.burst, self._tokens + grant.tokens)

    def _refill(self, now):
        if self._grant is not None and now >= self._expires_at:
            self._grant = None
            self._tokens = self._returned = 0.0
            self._peaks.clear()
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        if self._grant is None:
            return
        rate = self._grant.rate * (1 - _messages.REFILL_MARGIN)
        earned = rate * elapsed
        self._tokens = min(self._grant.burst, self._tokens + earned)

    def _note_peak(self):
        self._peak_number += 1
        slack = self._grant.burst - self._tokens
        self._peaks.append(_Peak(self._peak_number, slack))

    def _return_excess(self):
        """Give back what a smaller bucket cannot hold.

        The allocator counts the larger share until the next request, which
        carries the tokens.
        """
        self._note_peak()
        excess = max(0.0, self._tokens - self._grant.burst)
        self._returned += excess
        self._tokens -= excess

    def _measure_demand(self, now):
        elapsed = now - self._measured_at
        if elapsed <= 0:
            return
        weight = min(1.0, elapsed / DEMAND_WINDOW_S)
        rate = self._arrivals / elapsed
        self._demand += weight * (rate - self._demand)
        self._arrivals = 0
        self._measured_at = now
        if now - self._called_at > IDLE_LIMIT_S:
            self._demand = 0.0

    def _count_wanted(self, waiting):
        """Return the tokens lacking for the waiting and the next calls."""
        expected = waiting + self._demand * REPORT_INTERVAL_S
        if waiting == 0 and self._tokens >= 1.0:
            return 0.0
        return max(0.0, expected - self._tokens)


def _is_smaller(grant, other):
    return grant.rate < other.rate or grant.burst < other.burst
