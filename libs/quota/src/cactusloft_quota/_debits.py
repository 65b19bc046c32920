"""Debits of single calls at one place, for accounts with few calls a host.

A lease divides a rate among holders and wastes what one of them does not use;
with about one call a second and host, most of it. Here the one bucket of an
account is debited for each call. A holder with many calls asks for those of
the next moment too, and one without contact lives on a part of its share for
a while.
"""

import math

import attrs

# A holder asks for the calls that it expects within this time, beside those
# that wait.
PREFETCH_S = 0.2
# Tokens that were not used in this time are given back. All holders together
# may exceed the rate by what they hold, which stays far below the 10% of a
# window of 5 s that the operators allow.
KEPT_S = 0.3
# Demand is averaged over about this time.
DEMAND_WINDOW_S = 1.0
SHARE_WINDOW_S = 4.0
# Without contact a holder uses this part of its share of the rate and of what
# the bucket held, for this long: holders that are cut off and those that are
# not would otherwise get the same rate twice.
FALLBACK_PART = 0.6
FALLBACK_S = 2.5
# Refused callers are told to come back after the next token at the earliest.
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 2.0
# A lower limit counts this long after it was set: until it is known
# everywhere, clients are owed what the limit before gave them. The operators
# count a window of 5 s, begun 2 s after the change, as the last one under it.
LOWERING_DELAY_S = 5.0


@attrs.frozen
class AccountDebit:
    """What a holder asks of one account.

    :ivar wanted: tokens for calls that wait or are expected.
    :ivar returned: tokens of earlier debits that were not used.
    """

    client_account: str
    wanted: int
    returned: int


@attrs.frozen
class DebitRequest:
    """Debit several accounts."""

    holder: str
    debits: tuple[AccountDebit, ...]


@attrs.frozen
class AccountGrant:
    """Tokens of one account.

    :ivar tokens: at most as many as were wanted.
    :ivar share: part of the account's calls that this holder has.
    :ivar retry_after_s: seconds until the next token, 0 when there are some.
    :ivar level: tokens that are left in the bucket.
    """

    client_account: str
    tokens: int
    share: float
    retry_after_s: float
    level: float = 0.0


class CentralBucket:
    """The bucket of one account.

    :param rate: tokens per second.
    :param burst: tokens.
    :param since: monotonic seconds from which it has been filled; an earlier
        bucket may have been used up to then.
    :param now: monotonic seconds.
    """

    def __init__(self, rate, burst, since, now):
        self._rate = rate
        self._burst = burst
        self._level = 1.0
        self._filled_at = since
        self._demands = {}
        self._decayed_at = now
        self._lower = None

    @property
    def level(self):
        """Return the tokens that were left at the last debit."""
        return self._level

    def set_limits(self, rate, burst, now):
        """Change rate and burst; lower ones count after a while."""
        self._fill(now)
        if rate >= self._rate and burst >= self._burst:
            self._lower = None
            self._apply(rate, burst)
            return
        if self._lower is None or self._lower[:2] != (rate, burst):
            self._lower = rate, burst, now + LOWERING_DELAY_S
        # What grew counts at once.
        self._apply(max(rate, self._rate), max(burst, self._burst))

    def debit(self, holder, wanted, returned, now):
        """Take tokens for a holder.

        :returns: tokens, share of the holder, and seconds until the next
            token when there were too few.
        """
        self._fill(now)
        self._level = min(self._burst, self._level + returned)
        share = self._note_demand(holder, wanted, now)
        tokens = min(wanted, math.floor(self._level))
        self._level -= tokens
        retry_after_s = 0.0
        if tokens < wanted:
            missing = (1.0 - self._level) / self._rate
            retry_after_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, missing))
        return tokens, share, retry_after_s

    def _apply(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def _fill(self, now):
        if self._lower is not None and now >= self._lower[2]:
            self._earn(self._lower[2])
            self._apply(*self._lower[:2])
            self._lower = None
        self._earn(now)

    def _earn(self, now):
        earned = max(0.0, now - self._filled_at) * self._rate
        self._level = min(self._burst, self._level + earned)
        self._filled_at = max(now, self._filled_at)

    def _note_demand(self, holder, wanted, now):
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
    """Tokens of one account on one host.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._tokens = 0
        self._granted_at = now
        self._returned = 0
        self._demand = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._contact_at = float('-inf')
        self._share = 0.0
        self._spare = 0.0
        self._kept = 0.0
        self._spared_at = now

    def record_arrival(self):
        """Count a call as demand; once for each call."""
        self._arrivals += 1

    def take(self, now):
        """Take a token that was fetched before; tell whether there was one."""
        self._drop_old(now)
        if not self._tokens:
            return False
        self._tokens -= 1
        return True

    def return_token(self):
        """Return the token of a call that certainly did not run."""
        self._returned += 1

    def make_debit(self, client_account, waiting, now):
        """Return the :class:`AccountDebit` to send now, or None."""
        self._drop_old(now)
        self._measure(now)
        expected = int(self._demand * PREFETCH_S) if waiting else 0
        if not waiting and not self._returned:
            return None
        debit = AccountDebit(
            client_account, waiting + expected, self._returned
        )
        self._returned = 0
        return debit

    def apply_grant(self, grant, waiting, now):
        """Take a reply.

        :param waiting: calls that waited for it.
        :returns: tokens for these.
        """
        self._contact_at = now
        self._share = grant.share
        used = min(grant.tokens, waiting)
        self._tokens += grant.tokens - used
        self._granted_at = now
        self._spare = self._kept = FALLBACK_PART * grant.share * grant.level
        return used

    def take_spare_token(self, rate, now, contact_at):
        """Take a token without contact; tell whether there was one.

        :param rate: tokens per second of the account.
        :param contact_at: monotonic seconds of the last contact for any
            account.
        """
        if now - contact_at > FALLBACK_S:
            return False
        if contact_at - self._contact_at > SHARE_WINDOW_S:
            # The share at that time says nothing about now.
            return False
        part = rate * self._share * FALLBACK_PART
        earned = part * max(0.0, now - max(self._spared_at, contact_at))
        self._spare = min(self._spare + earned, max(1.0, part, self._kept))
        self._spared_at = now
        if self._spare < 1.0:
            return False
        self._spare -= 1.0
        return True

    def is_idle(self):
        """Tell whether nothing is held or to be returned."""
        return not self._tokens and not self._returned and not self._arrivals

    def _drop_old(self, now):
        if self._tokens and now - self._granted_at > KEPT_S:
            self._returned += self._tokens
            self._tokens = 0

    def _measure(self, now):
        elapsed = now - self._measured_at
        if elapsed < DEMAND_WINDOW_S / 5:
            return
        weight = min(1.0, elapsed / DEMAND_WINDOW_S)
        self._demand += weight * (self._arrivals / elapsed - self._demand)
        self._arrivals = 0
        self._measured_at = now
