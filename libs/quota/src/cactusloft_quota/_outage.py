"""Tokens of accounts of which a holder knows no share while it has no leader.

The load pattern: the control leader is lost, and for two seconds nobody can be
asked for tokens. A small account sends each of many hosts one call in several
seconds, so hardly any host knows its share of the account; all calls of small
accounts would be refused, although the accounts are far below their rates.
"""

import math

# Window of the operators, and the excess over rate and burst in it that they
# tolerate.
WINDOW_S = 5.0
TOLERATED_EXCESS = 0.1
TOLERATED_TOKENS = 20
# Calls of a small account reach few of the holders, which use a fraction of
# what all of them may.
TOLERANCE_OVERBOOKING = 3.0
# Larger accounts reach most holders, and many of these know a share besides.
RATE_OVERBOOKING = 0.6
# An account is short of tokens below this share of its burst. Its calls are
# above its rate, or nearly.
SHORT_SHARE = 0.5


def compute_outage_tokens(rate, burst, holders, duration_s, share):
    """Return the tokens that each holder may use in one outage.

    :param rate: tokens per second of the account.
    :param burst: tokens of the account.
    :param holders: number of holders that use the bucket.
    :param duration_s: longest outage, in seconds.
    :param share: part of rate and burst that may be used without a leader.
    :returns: a number that may be a fraction.
    """
    excess = TOLERATED_EXCESS * (rate * WINDOW_S + burst)
    usable = share * (rate * duration_s + burst)
    tokens = TOLERANCE_OVERBOOKING * TOLERATED_TOKENS
    tokens += RATE_OVERBOOKING * (excess + usable)
    return tokens / max(1, holders)


def round_randomly(number, draw):
    """Round a number up or down, so that the mean stays the same.

    :param draw: random number, from 0 to 1.

    >>> round_randomly(2.25, 0.2), round_randomly(2.25, 0.3)
    (3, 2)
    """
    whole = math.floor(number)
    return whole + (draw < number - whole)
