"""Allocator that divides an account's rate and burst among holders.

All tokens are in the allocator's level or in the holders' buckets. The level
plus the unexpired burst shares never exceeds the burst, and tokens are only
created by refill, which at the allocator uses the unleased rate. So the use in
every window is bounded by rate x length + burst, whichever messages are lost.
A share counts until its holder presents a later grant, or until its grant has
certainly expired despite clock drift.
"""

from cactusloft_quota import _messages
from cactusloft_quota import _shares

# Rate shares exceed the reported demand to cover its random peaks.
RATE_HEADROOM_FACTOR = 1.2
# The allocator keeps the rest of the burst for holders with sudden demand.
MAX_LEASED_BURST_SHARE = 0.75
# A holder whose burst share is smaller gets single tokens on request instead.
MIN_BURST_TOKENS = 1.0
# An allocator grants leases only if its leadership was confirmed within this
# time.
CONFIRMATION_VALIDITY_S = 1.0
# A new allocator grants nothing until an earlier one must have stopped, with
# clocks that drift by 1% in opposite directions.
TAKEOVER_DELAY_S = 1.05 * CONFIRMATION_VALIDITY_S
_ROUNDING_TOLERANCE = 1e-9
# Number of a share granted by an earlier allocator.
_INHERITED_GRANT = 0


class Allocator:
    """Grant rate leases for one account.

    :param name: identifier, different for each allocator of the account.
    :param rate: tokens per second.
    :param burst: tokens.
    :param now: monotonic seconds.
    :param lifetime_s: lifetime of grants.
    """

    def __init__(
        self,
        name,
        client_account,
        rate,
        burst,
        now,
        lifetime_s=_messages.LIFETIME_S,
    ):
        self._lifetime_s = lifetime_s
        self.name = name
        self._account = client_account
        self._rate = rate
        self._burst = burst
        self._level = 0.0
        self._refilled_at = now
        self._last_number = 0
        self._shares = _shares.Shares()
        # Rate and burst that unknown grants of an earlier allocator may use.
        self._unknown_rate = rate
        self._unknown_burst = burst
        self._grants_from = now + TAKEOVER_DELAY_S
        self._unknown_until = self._grants_from + lifetime_s

    @property
    def level(self):
        """Return the tokens in the allocator's own bucket."""
        return self._level

    @property
    def leased_rate(self):
        """Return the rate that holders may be using."""
        return self._shares.rate + self._unknown_rate

    @property
    def leased_burst(self):
        """Return the burst that holders may be using."""
        return self._shares.burst + self._unknown_burst

    def set_limits(self, rate, burst, now):
        """Change the account's rate and burst.

        Shares that are now too large shrink when their holders renew them.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._limit_level()

    def handle(self, request, now):
        """Return the :class:`Grant` for a request.

        :param now: monotonic seconds.
        :returns: None for an outdated request, and while an earlier allocator
            may still grant.
        """
        self._refill(now)
        if now < self._grants_from:
            return None
        key = (request.holder, request.boot)
        holder = self._shares.find(key)
        if request.sequence <= holder.sequence:
            return None
        holder.sequence = request.sequence
        self._shares.record_request(key, request.demand, now)
        self._inherit_share(key, holder, request, now)
        # A holder ignores replies to earlier requests, so it uses no grant
        # other than the one in this request.
        presented = self._find_presented_number(request)
        burst_before = holder.burst
        remaining = [s for s in holder.shares if s.number == presented]
        self._shares.replace(key, remaining)
        # Returned tokens are accepted only up to the burst that is released
        # by this request. If the share has already expired, none are.
        self._level += min(request.returned, burst_before - holder.burst)
        self._limit_level()
        return self._grant(key, holder, request, now)

    def _refill(self, now):
        """Add the tokens earned until ``now`` and expire shares.

        The refill uses the shares before the expiry. If some expired in the
        meantime, this adds too few tokens rather than too many.
        """
        if self._refilled_at < self._unknown_until <= now:
            # All grants of an earlier allocator have expired.
            self._add_tokens(self._unknown_until)
            self._unknown_rate = self._unknown_burst = 0.0
        self._add_tokens(now)
        self._shares.expire(now)

    def _add_tokens(self, until):
        elapsed_s = max(0.0, until - self._refilled_at)
        self._refilled_at = max(until, self._refilled_at)
        unleased_rate = max(0.0, self._rate - self.leased_rate)
        unleased_rate *= 1 - _messages.REFILL_MARGIN
        self._level += unleased_rate * elapsed_s
        self._limit_level()

    def _limit_level(self):
        capacity = max(0.0, self._burst - self.leased_burst)
        self._level = min(self._level, capacity)

    def _find_presented_number(self, request):
        if not request.grant:
            return None
        return (
            request.grant
            if request.allocator == self.name
            else _INHERITED_GRANT
        )

    def _inherit_share(self, key, holder, request, now):
        """Count a share that an earlier allocator granted.

        The earlier allocator has stopped, so this is the last share that it
        granted to this holder.
        """
        if (
            self._find_presented_number(request) != _INHERITED_GRANT
            or holder.shares
        ):
            return
        if request.rate > self._unknown_rate + _ROUNDING_TOLERANCE:
            return
        if request.burst > self._unknown_burst + _ROUNDING_TOLERANCE:
            return
        self._unknown_rate = max(0.0, self._unknown_rate - request.rate)
        self._unknown_burst = max(0.0, self._unknown_burst - request.burst)
        expires_at = now + self._lifetime_s
        self._shares.add(
            key,
            _shares.Share(
                _INHERITED_GRANT, request.rate, request.burst, 0.0, expires_at
            ),
        )

    def _grant(self, key, holder, request, now):
        other_rate = self.leased_rate - holder.rate
        other_burst = self.leased_burst - holder.burst
        burst = min(
            self._choose_burst(holder, request),
            max(0.0, self._burst - other_burst),
        )
        rate = min(
            self._choose_rate(holder), max(0.0, self._rate - other_rate)
        )
        if burst < MIN_BURST_TOKENS:
            # A bucket that cannot hold one token admits no call.
            burst = rate = 0.0
        tokens = self._choose_tokens(holder, request, burst)
        self._last_number += 1
        expires_at = now + self._lifetime_s
        self._shares.add(
            key,
            _shares.Share(self._last_number, rate, burst, tokens, expires_at),
        )
        self._level -= tokens
        self._limit_level()
        return _messages.Grant(
            self._account,
            request.sequence,
            self.name,
            self._last_number,
            rate,
            burst,
            tokens,
        )

    def _choose_tokens(self, holder, request, burst):
        """Return the tokens to move from the level to a grant."""
        # Tokens above the level that the new share leaves room for would be
        # lost, so the holder gets them.
        other_burst = self.leased_burst - holder.burst
        spare = self._level - (self._burst - other_burst - burst)
        tokens = max(request.wanted, spare)
        return max(0.0, min(tokens, self._level, burst))

    def _choose_rate(self, holder):
        wanted = self._shares.demand * RATE_HEADROOM_FACTOR
        scale = min(1.0, self._rate / wanted) if wanted > 0 else 0.0
        return holder.demand * RATE_HEADROOM_FACTOR * scale

    def _choose_burst(self, holder, request):
        total = self._shares.demand
        if total <= 0:
            return min(request.wanted, self._burst)
        share = self._burst * MAX_LEASED_BURST_SHARE * holder.demand / total
        if share >= MIN_BURST_TOKENS:
            return share
        return max(MIN_BURST_TOKENS, request.wanted) if request.wanted else 0.0
