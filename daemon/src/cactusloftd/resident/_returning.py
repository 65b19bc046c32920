"""When a caller whose call was turned away may come back.

The load pattern: a burst fills all queues, many calls are turned away within
the same tenth of a second, and their callers obey the same Retry-After. They
come back together and are turned away together. Here the returns are spread
over a time that grows with the load, at a place that depends on the attempt
alone. A caller with less time left comes back sooner.

Where owners tell after what time their queued work will be done, the spread
begins there, and callers of a higher class get the earlier places: those that
come back before there is room are turned away again.
"""

import zlib

from cactusloft_model import calls

MIN_RETRY_AFTER_S = 0.2
# Spread of the returns to a service with free slots, and to a saturated one.
MIN_SPREAD_S = 0.3
MAX_SPREAD_S = 1.4
# Share of the spread by which the lowest class comes back later.
CLASS_SHARE = 0.4
# Share of the remaining time that may pass before the return. It leaves the
# rest for the call itself; clients wait no longer than a third.
MAX_REMAINING_SHARE = 0.3

# Time in which a control group that lost its leader usually has a new one.
LEADER_OUTAGE_S = 2.5
# Least time until the return of a call that no leader admitted, and the
# spread of these returns.
MIN_OUTAGE_RETRY_AFTER_S = 0.5
OUTAGE_SPREAD_S = 0.3


def compute_outage_retry_after(attempt_id, remaining_s, outage_s):
    """Return the seconds after which a new control leader is likely.

    Callers repeat a call once. Those that come back before there is a leader
    have used their repetition for nothing.

    :param attempt_id: id of the attempt that was turned away.
    :param remaining_s: seconds until its deadline.
    :param outage_s: seconds since the leader was last heard.
    """
    after_s = max(MIN_OUTAGE_RETRY_AFTER_S, LEADER_OUTAGE_S - outage_s)
    after_s += _compute_place(attempt_id) * OUTAGE_SPREAD_S
    return round(min(after_s, MAX_REMAINING_SHARE * max(0.0, remaining_s)), 3)


def compute_retry_after(
    attempt_id,
    remaining_s,
    full_share,
    room_in_s=None,
    priority=calls.Priority.NORMAL,
):
    """Return the seconds after which a caller may come back.

    :param attempt_id: id of the attempt that was turned away.
    :param remaining_s: seconds until its deadline.
    :param full_share: share of the service's owners that had no slot, 0 to 1.
    :param room_in_s: seconds until an owner that refused the call would have
        started it, None if no owner said so.
    :param priority: priority of the call, from 0 to that of the highest class;
        used together with ``room_in_s``.
    """
    spread_s = MIN_SPREAD_S + full_share * (MAX_SPREAD_S - MIN_SPREAD_S)
    longest_s = MAX_REMAINING_SHARE * max(0.0, remaining_s)
    soonest_s = min(MIN_RETRY_AFTER_S, longest_s)
    place = _compute_place(attempt_id)
    if room_in_s is not None:
        # Half of the time at least remains for the spread.
        soonest_s = max(soonest_s, min(room_in_s, longest_s / 2))
        later = (calls.Priority.CRITICAL - priority) / calls.Priority.CRITICAL
        place = (1 - CLASS_SHARE) * place + CLASS_SHARE * later
    spread_s = min(spread_s, longest_s - soonest_s)
    return round(soonest_s + place * spread_s, 3)


def _compute_place(attempt_id):
    """Return a number from 0 to 1 that depends on the attempt alone."""
    return zlib.crc32(attempt_id.encode()) / 2**32
