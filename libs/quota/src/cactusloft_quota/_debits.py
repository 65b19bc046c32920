"""Debits of single calls from a central bucket, for accounts with few calls.

A lease divides a rate among holders and wastes whatever a holder does not use;
at about one call per second and host, that is most of it. Here the only bucket
of an account is debited for each call. A holder with many calls prefetches
tokens for calls expected shortly, and one that has lost contact with the
bucket uses part of its former share for a limited time.
"""

import collections
import math

import attrs

from cactusloft_quota import _outage

# A holder requests tokens for the calls that it expects within this time, in
# addition to those for waiting calls.
PREFETCH_S = 0.2
# Tokens not used within this time are returned. All holders together may
# exceed the rate by the tokens that they hold, which is far below the 10% in a
# window of 5 s that the operators tolerate.
MAX_TOKEN_AGE_S = 0.3
# Demand is averaged over about this time.
DEMAND_WINDOW_S = 1.0
SHARE_WINDOW_S = 4.0
# Without contact, a holder uses this fraction of its share of the rate and of
# the tokens in the bucket, for this long. With the full share, holders with
# and without contact would use the same rate twice.
FALLBACK_SHARE = 0.6
FALLBACK_S = 2.5
# Refused callers are told to retry when the next token is due, within these
# limits.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
# A lowered limit takes effect this long after it was set, as clients may use
# the previous limit until the change is known everywhere. The operators count
# a window of 5 s that begins 2 s after the change as the last one under it.
LOWERING_DELAY_S = 5.0


@attrs.frozen
class AccountDebit:
    """Request of a holder for tokens of one account.

    :ivar wanted: tokens for waiting and expected calls.
    :ivar returned: tokens of earlier debits that were not used.
    :ivar borrowed: tokens used without contact since the last debit.
    :ivar borrowed_s: seconds since the first of them was used.
    """

    client_account: str
    wanted: int
    returned: int
    borrowed: int = 0
    borrowed_s: float = 0.0


@attrs.frozen
class DebitRequest:
    """Request to debit several accounts."""

    holder: str
    debits: tuple[AccountDebit, ...]


@attrs.frozen
class AccountGrant:
    """Tokens granted to a holder for one account.

    :ivar tokens: granted tokens, at most as many as were wanted.
    :ivar share: this holder's share of the demand for the account.
    :ivar retry_after_s: seconds until the next token, 0 if all were granted.
    :ivar level: tokens left in the bucket.
    """

    client_account: str
    tokens: int
    share: float
    retry_after_s: float
    level: float = 0.0


class CentralBucket:
    """Central token bucket of one account.

    :param rate: tokens per second.
    :param burst: tokens.
    :param since: monotonic seconds from which it is refilled; an earlier
        bucket may have been used until then.
    :param now: monotonic seconds.
    """

    def __init__(self, rate, burst, since, now):
        self._limits = rate, burst
        # Earlier limits, and until when each of them may be used.
        self._former_limits = collections.deque()
        self._rate = rate
        self._burst = burst
        self._since = since
        self._level = 1.0
        self._refilled_at = since
        self._demands = {}
        self._decayed_at = now

    @property
    def level(self):
        """Return the tokens left after the last debit."""
        return self._level

    def is_short(self, now):
        """Tell whether the account uses its rate, or nearly."""
        self._refill(now)
        return self._level < _outage.SHORT_SHARE * self._burst

    def set_limits(self, rate, burst, now):
        """Set rate and burst, at the time at which they change.

        Higher ones apply at once. Each lower one applies
        ``LOWERING_DELAY_S`` later, however often the limits change meanwhile.
        """
        self._refill(now)
        if (rate, burst) == self._limits:
            return
        self._former_limits.append((*self._limits, now + LOWERING_DELAY_S))
        self._limits = rate, burst
        self._apply_limits()

    def debit(self, holder, wanted, returned, now):
        """Take tokens for a holder.

        :returns: tokens, the holder's share of the demand, and seconds until
            the next token if there were too few, otherwise 0.
        """
        self._refill(now)
        self._level = min(self._burst, self._level + returned)
        share = self._record_demand(holder, wanted, now)
        tokens = max(0, min(wanted, math.floor(self._level)))
        self._level -= tokens
        retry_after_s = 0.0
        if tokens < wanted:
            next_token_s = (1.0 - self._level) / self._rate
            retry_after_s = min(
                MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, next_token_s)
            )
        return tokens, share, retry_after_s

    def charge_borrowed(self, borrowed, borrowed_s, now):
        """Take tokens that a holder used without contact.

        The bucket was not refilled before it was created, so only the part
        that was used since then is taken. The level may become negative.

        :param borrowed_s: seconds since the first of them was used.
        """
        age_s = max(0.0, now - self._since)
        share = 1.0 if age_s >= borrowed_s else age_s / borrowed_s
        self._refill(now)
        self._level -= share * borrowed

    def _apply_limits(self):
        """Use the highest of the present limits and the former ones."""
        usable = [self._limits, *(f[:2] for f in self._former_limits)]
        self._rate, self._burst = map(max, zip(*usable))
        self._level = min(self._level, self._burst)

    def _refill(self, now):
        while self._former_limits and self._former_limits[0][2] <= now:
            self._add_tokens(self._former_limits.popleft()[2])
            self._apply_limits()
        self._add_tokens(now)

    def _add_tokens(self, now):
        earned = max(0.0, now - self._refilled_at) * self._rate
        self._level = min(self._burst, self._level + earned)
        self._refilled_at = max(now, self._refilled_at)

    def _record_demand(self, holder, wanted, now):
        if now - self._decayed_at > SHARE_WINDOW_S / 4:
            factor = math.exp((self._decayed_at - now) / SHARE_WINDOW_S)
            self._demands = {
                name: demand * factor
                for name, demand in self._demands.items()
                if demand * factor > 0.05
            }
            self._decayed_at = now
        demand = self._demands.get(holder, 0.0) + wanted
        self._demands[holder] = demand
        total = sum(self._demands.values())
        return demand / total if total else 0.0


class DebitHolder:
    """Prefetched tokens of one account on one host.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._tokens = 0
        self._granted_at = now
        self._returned = 0
        self._demand = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._last_contact_at = float('-inf')
        self._share = 0.0
        self._spare_tokens = 0.0
        self._max_spare_tokens = 0.0
        self._spare_refilled_at = now
        # Tokens used without contact that the bucket has not been told of.
        self._borrowed = 0
        self._borrowed_since = now
        # Contact after which the share was rounded.
        self._share_rounded_since = None
        # Outage tokens that are left, and when they were given or used last.
        self._outage_tokens = 0
        self._outage_tokens_at = float('-inf')

    @property
    def held(self):
        """Return the tokens for calls and those to be returned."""
        return self._tokens + self._returned

    def record_arrival(self):
        """Count a call as demand, once for each call."""
        self._arrivals += 1

    def take(self, now):
        """Take a prefetched token; return whether there was one."""
        self._return_unused(now)
        if not self._tokens:
            return False
        self._tokens -= 1
        return True

    def return_token(self):
        """Return the token of a call that certainly did not run."""
        self._returned += 1

    def make_debit(self, client_account, waiting, now):
        """Return the :class:`AccountDebit` to send now, or None."""
        self._return_unused(now)
        self._measure_demand(now)
        expected = int(self._demand * PREFETCH_S) if waiting else 0
        if not waiting and not self._returned and not self._borrowed:
            return None
        debit = AccountDebit(
            client_account,
            waiting + expected,
            self._returned,
            self._borrowed,
            now - self._borrowed_since if self._borrowed else 0.0,
        )
        self._returned = 0
        return debit

    def apply_grant(self, grant, waiting, now):
        """Apply the reply to a debit.

        :param waiting: number of calls waiting for it.
        :returns: number of tokens for these calls.
        """
        self._last_contact_at = now
        self._borrowed = 0
        self._share = grant.share
        used = min(grant.tokens, waiting)
        self._tokens += grant.tokens - used
        self._granted_at = now
        self._spare_tokens = self._max_spare_tokens = (
            FALLBACK_SHARE * grant.share * grant.level
        )
        return used

    def take_spare_token(self, rate, now, contact_at, draw=1.0):
        """Take a token while out of contact; return whether there was one.

        :param rate: tokens per second of the account.
        :param contact_at: monotonic seconds of the last contact for any
            account.
        :param draw: random number from 0 to 1, by which the tokens of a small
            share are rounded at the first call of an outage.
        """
        if now - contact_at > FALLBACK_S or not self.has_share(contact_at):
            return False
        if self._share_rounded_since != contact_at:
            self._share_rounded_since = contact_at
            if self._spare_tokens < 1.0:
                self._spare_tokens = max(
                    self._spare_tokens,
                    _outage.round_randomly(self._spare_tokens, draw),
                )
        fallback_rate = rate * self._share * FALLBACK_SHARE
        earned = fallback_rate * max(
            0.0, now - max(self._spare_refilled_at, contact_at)
        )
        self._spare_tokens = min(
            self._spare_tokens + earned,
            max(1.0, fallback_rate, self._max_spare_tokens),
        )
        self._spare_refilled_at = now
        if self._spare_tokens < 1.0:
            return False
        self._spare_tokens -= 1.0
        self._borrow(now)
        return True

    def has_share(self, contact_at):
        """Tell whether the share is known and applies to present demand.

        :param contact_at: monotonic seconds of the last contact for any
            account.
        """
        return contact_at - self._last_contact_at <= SHARE_WINDOW_S

    def take_outage_token(self, limits, holders, now, contact_at, draw):
        """Take a token of an account that was not short at the last contact.

        The operators count windows, so tokens are given once in a window,
        however often the contact is lost and regained in it.

        A holder that knows its share uses that share first, and here only
        what the operators tolerate beyond rate and burst.

        :param limits: rate in tokens per second and burst in tokens.
        :param holders: number of holders at the last contact.
        :param contact_at: monotonic seconds of the last contact for any
            account.
        :param draw: random number from 0 to 1.
        :returns: whether there was one.
        """
        if now - contact_at > FALLBACK_S:
            return False
        if now - self._outage_tokens_at >= _outage.WINDOW_S:
            self._outage_tokens_at = now
            share = 0.0 if self.has_share(contact_at) else FALLBACK_SHARE
            tokens = _outage.compute_outage_tokens(
                *limits, holders, FALLBACK_S, share
            )
            self._outage_tokens = _outage.round_randomly(tokens, draw)
        if not self._outage_tokens:
            return False
        self._outage_tokens -= 1
        self._outage_tokens_at = now
        self._borrow(now)
        return True

    def is_idle(self):
        """Tell whether there are no tokens, no returns and no recent calls."""
        return not (
            self._tokens or self._returned or self._borrowed or self._arrivals
        )

    def _borrow(self, now):
        if not self._borrowed:
            self._borrowed_since = now
        self._borrowed += 1

    def _return_unused(self, now):
        if self._tokens and now - self._granted_at > MAX_TOKEN_AGE_S:
            self._returned += self._tokens
            self._tokens = 0

    def _measure_demand(self, now):
        elapsed_s = now - self._measured_at
        if elapsed_s < DEMAND_WINDOW_S / 5:
            return
        weight = min(1.0, elapsed_s / DEMAND_WINDOW_S)
        self._demand += weight * (self._arrivals / elapsed_s - self._demand)
        self._arrivals = 0
        self._measured_at = now
