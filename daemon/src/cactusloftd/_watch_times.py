"""Times of the watch.

A change must reach every daemon within 2 s of its acknowledgement. What a
daemon doesn't know was acknowledged after its last confirmation, so the times
count from there.
"""

import math

import attrs

HOLD_TIME_S = 1.0
# Relays poll more often, so that a daemon that watches one stays within the
# freshness bound while a control leader is elected (2.4 s without
# confirmation).
RELAY_HOLD_TIME_S = 0.25
REPLY_MARGIN_S = 1.0
# The first poll of a control host, and a probe, is answered at once. A link
# that was idle looks up although its host is lost.
FIRST_REPLY_TIMEOUT_S = 0.8
# A control host whose confirmation is older than this may be isolated.
MAX_HOME_AGE_S = 1.2
# A poll is held up to this age of the daemon's confirmation at most.
REPLY_DUE_AGE_S = 1.5
# Other control hosts are asked at this age. That takes 0.2 s with a minority
# of silent control hosts, which leaves 0.2 s for the messages.
SEARCH_AGE_S = 1.6
# A reply is late this much after the hold time at the earliest.
REPLY_DELAY_S = 0.1
FIRST_REPLY_DELAY_S = 0.2
# Replies that are usually this much later count as in time: where all control
# hosts are slow, asking others only adds to their load.
MAX_USUAL_DELAY_S = 0.2
# A home whose replies are late this often in a row is left for one that is
# faster. One late reply is no reason, because all daemons that registered
# there would move together.
MAX_LATE_REPLIES = 2


@attrs.frozen
class PollTimes:
    """Times of a poll in seconds.

    :ivar hold_time_s: time for which the control host waits for a change.
    :ivar timeout_s: time after which the poll has failed.
    :ivar search_delay_s: time after which other control hosts are asked.
    """

    hold_time_s: float
    timeout_s: float
    search_delay_s: float


FIRST_POLL = PollTimes(0.0, FIRST_REPLY_TIMEOUT_S, FIRST_REPLY_DELAY_S)


def plan_poll(age_s, is_relay, usual_delay_s=0.0):
    """Return the :class:`PollTimes` of a poll of the home.

    :param age_s: age of this daemon's confirmation, infinite without one.
    :param usual_delay_s: how long after the hold time a reply came that was
        late and that no other control host was faster than.
    """
    hold_time_s = RELAY_HOLD_TIME_S if is_relay else HOLD_TIME_S
    search_delay_s = hold_time_s + FIRST_REPLY_DELAY_S
    if not math.isinf(age_s):
        # With the age of a sound home, this is the whole hold time.
        hold_time_s = max(0.0, min(hold_time_s, REPLY_DUE_AGE_S - age_s))
        delay_s = REPLY_DELAY_S + min(usual_delay_s, MAX_USUAL_DELAY_S)
        search_delay_s = max(SEARCH_AGE_S - age_s, hold_time_s + delay_s)
    return PollTimes(hold_time_s, hold_time_s + REPLY_MARGIN_S, search_delay_s)
