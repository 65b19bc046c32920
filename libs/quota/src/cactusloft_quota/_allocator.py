"""The allocator: divides an account's rate and burst among holders.

The tokens in existence are the allocator's level and the holders' buckets. The
level plus the live burst shares never exceeds the burst, and tokens only come
from refill: the allocator refills with the rate that is not leased. So the use
in every window is bounded by rate x length + burst, whatever messages are
lost. A share counts until its holder shows a later grant or its grant has
certainly expired.
"""

from cactusloft_quota import _messages
from cactusloft_quota import _shares

# Rate shares exceed the reported demand, so that random peaks find tokens.
RATE_HEADROOM = 1.2
# The allocator keeps some burst, to serve holders with sudden demand at once.
SHARED_BURST = 0.75
# Below this demand a holder gets single tokens instead of a share, when the
# burst is too small for one token each.
MIN_BURST = 1.0
# An allocator grants only while its leadership was confirmed within this time.
CONFIRMATION_VALIDITY_S = 1.0
# A new allocator is silent until an earlier one has certainly stopped, by
# clocks that are off by 1% in opposite directions.
SILENCE_S = 1.05 * CONFIRMATION_VALIDITY_S
_ROUNDING = 1e-9
# Number of a share that an earlier allocator granted.
_ADOPTED = 0


class Allocator:
    """Grant rate leases for one account.

    :param name: identity, different for each allocator of the account.
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
        self._numbers = 0
        self._shares = _shares.Shares()
        # Grants of an earlier allocator, of which nothing is known.
        self._unknown_rate = rate
        self._unknown_burst = burst
        self._silent_until = now + SILENCE_S
        self._unknown_until = self._silent_until + lifetime_s

    @property
    def level(self):
        """Return the tokens in the allocator's own bucket."""
        return self._level

    @property
    def leased_rate(self):
        """Return the rate that may be in use by holders."""
        return self._shares.rate + self._unknown_rate

    @property
    def leased_burst(self):
        """Return the burst that may be in use by holders."""
        return self._shares.burst + self._unknown_burst

    def set_limits(self, rate, burst, now):
        """Change the account's rate and burst.

        Larger shares shrink when their holders renew them.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._clip_level()

    def handle(self, request, now):
        """Return the :class:`Grant` for a request.

        :param now: monotonic seconds.
        :returns: None for an old request, and while an earlier allocator may
            still grant.
        """
        self._refill(now)
        if now < self._silent_until:
            return None
        key = (request.holder, request.boot)
        holder = self._shares.find(key)
        if request.sequence <= holder.sequence:
            return None
        holder.sequence = request.sequence
        self._shares.record_request(key, request.demand, now)
        self._adopt(key, holder, request, now)
        # A holder drops replies to earlier requests, so it will not use any
        # grant but the one that it shows.
        shown = self._number_shown(request)
        before = holder.burst
        kept = [s for s in holder.shares if s.number == shown]
        self._shares.replace(key, kept)
        # Tokens come back only in place of capacity that was counted until
        # now. A request so late that the share has expired gives none.
        self._level += min(request.returned, before - holder.burst)
        self._clip_level()
        return self._grant(key, holder, request, now)

    def _refill(self, now):
        """Earn tokens and forget what has expired.

        The refill up to now goes by the shares before, which is the safe
        side when some of them expired meanwhile.
        """
        if self._refilled_at < self._unknown_until <= now:
            # All grants of an earlier allocator have expired.
            self._earn(self._unknown_until)
            self._unknown_rate = self._unknown_burst = 0.0
        self._earn(now)
        self._shares.expire(now)

    def _earn(self, until):
        elapsed = max(0.0, until - self._refilled_at)
        self._refilled_at = max(until, self._refilled_at)
        own_rate = max(0.0, self._rate - self.leased_rate)
        own_rate *= 1 - _messages.REFILL_MARGIN
        self._level += own_rate * elapsed
        self._clip_level()

    def _clip_level(self):
        room = max(0.0, self._burst - self.leased_burst)
        self._level = min(self._level, room)

    def _number_shown(self, request):
        if not request.grant:
            return None
        return request.grant if request.allocator == self.name else _ADOPTED

    def _adopt(self, key, holder, request, now):
        """Take over a share that an earlier allocator granted.

        The earlier allocator has stopped, so the share is the last one that
        it gave to this holder.
        """
        if self._number_shown(request) != _ADOPTED or holder.shares:
            return
        if request.rate > self._unknown_rate + _ROUNDING:
            return
        if request.burst > self._unknown_burst + _ROUNDING:
            return
        self._unknown_rate = max(0.0, self._unknown_rate - request.rate)
        self._unknown_burst = max(0.0, self._unknown_burst - request.burst)
        expires_at = now + self._lifetime_s
        self._shares.add(
            key,
            _shares.Share(
                _ADOPTED, request.rate, request.burst, 0.0, expires_at
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
        if burst < MIN_BURST:
            # A bucket that cannot hold one token admits nothing.
            burst = rate = 0.0
        tokens = self._choose_tokens(holder, request, burst)
        self._numbers += 1
        expires_at = now + self._lifetime_s
        self._shares.add(
            key, _shares.Share(self._numbers, rate, burst, tokens, expires_at)
        )
        self._level -= tokens
        self._clip_level()
        return _messages.Grant(
            self._account,
            request.sequence,
            self.name,
            self._numbers,
            rate,
            burst,
            tokens,
        )

    def _choose_tokens(self, holder, request, burst):
        """Return the tokens to move from the level to a grant."""
        # Level beyond the room that the new share leaves would be cut off;
        # the holder can use it.
        other_burst = self.leased_burst - holder.burst
        spare = self._level - (self._burst - other_burst - burst)
        tokens = max(request.wanted, spare)
        return max(0.0, min(tokens, self._level, burst))

    def _choose_rate(self, holder):
        wanted = self._shares.demand * RATE_HEADROOM
        scale = min(1.0, self._rate / wanted) if wanted > 0 else 0.0
        return holder.demand * RATE_HEADROOM * scale

    def _choose_burst(self, holder, request):
        total = self._shares.demand
        if total <= 0:
            return min(request.wanted, self._burst)
        part = self._burst * SHARED_BURST * holder.demand / total
        if part >= MIN_BURST:
            return part
        return max(MIN_BURST, request.wanted) if request.wanted else 0.0
