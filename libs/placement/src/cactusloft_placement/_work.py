"""What a backend server still has to do, in slot-seconds.

The load pattern: calls of 15 ms and of 800 ms wait for the same slots, so the
number of calls ahead tells little about when the next one starts.
"""

import attrs

from cactusloft_placement import _speeds

# Calls that run for longer than expected have at least this share of their
# expected cost left: most of them are of the few that take long.
MIN_REMAINING_SHARE = 0.2
# A shorter delay is not worth asking another owner, which costs a hop.
MIN_EXTRA_S = 0.05
# Share of the patience of a call that a slow server may add to it.
MAX_EXTRA_SHARE = 0.2
# Share of the patience that the expected end may use. The rest is for the way
# back and for calls that cost more than expected.
MAX_END_SHARE = 0.8


@attrs.frozen
class WorkReport:
    """What the owner of a backend server tells entries.

    :ivar start_delay_ms: milliseconds until a new call would start.
    :ivar slowness: how long work takes now in percent, 100 for as usual.
    """

    start_delay_ms: int
    slowness: int


class ServerWork:
    """Running and queued work of one backend server.

    All sums are updated by each call, so that a reading costs the same
    whatever the number of calls.
    """

    def __init__(self):
        self._queued_s = 0.0
        self._running_s = 0.0
        self._started_sum = 0.0
        self._running = 0

    def enqueue(self, cost_s):
        """Add a call that waits for a slot."""
        self._queued_s += cost_s

    def dequeue(self, cost_s):
        """Remove a call that waits no longer."""
        self._queued_s = max(0.0, self._queued_s - cost_s)

    def start(self, cost_s, now):
        """Add a call that has started.

        :param now: monotonic seconds.
        """
        self._running += 1
        self._running_s += cost_s
        self._started_sum += now

    def finish(self, cost_s, started_at):
        """Remove a call that has ended, with the values of its start."""
        self._running -= 1
        if not self._running:
            # Rounding errors must not add up.
            self._running_s = self._started_sum = 0.0
            return
        self._running_s -= cost_s
        self._started_sum -= started_at

    def compute_remaining(self, now):
        """Return the slot-seconds that are left of running calls."""
        elapsed_s = self._running * now - self._started_sum
        return max(
            MIN_REMAINING_SHARE * self._running_s, self._running_s - elapsed_s
        )

    def compute_start_delay(self, slots, slowness, has_capacity, now):
        """Return the seconds until a new call would start.

        :param slots: calls that may run at once.
        :param slowness: multiple of the usual time that work takes now.
        :param has_capacity: whether a call would start at once.
        :param now: monotonic seconds.
        """
        if has_capacity or not self._running:
            return 0.0
        mean_remaining_s = self.compute_remaining(now) / self._running
        ahead_s = self._queued_s + mean_remaining_s
        return _speeds.compute_duration(ahead_s / max(1, slots), slowness)


def estimate_end(report, cost_s):
    """Return the seconds until the end of a call that waits at an owner.

    :param report: newest :class:`WorkReport` of the owner.
    :param cost_s: expected slot-seconds of the call.

    >>> estimate_end(WorkReport(300, 100), 0.2)
    0.5
    """
    duration_s = _speeds.compute_duration(cost_s, report.slowness / 100)
    return report.start_delay_ms / 1000 + duration_s


def is_too_slow(cost_s, slowness, patience_s):
    """Tell whether a call had better run on another server than a slow one.

    :param cost_s: expected slot-seconds.
    :param slowness: multiple of the usual time that work takes now.
    :param patience_s: seconds after which the caller has little use for the
        response, 0 if unknown.

    >>> is_too_slow(0.015, 2.5, 1.0), is_too_slow(0.17, 2.5, 0.5)
    (False, True)
    """
    duration_s = _speeds.compute_duration(cost_s, slowness)
    extra_s = duration_s - cost_s
    if extra_s < MIN_EXTRA_S:
        return False
    if not patience_s:
        return False
    return (
        extra_s > MAX_EXTRA_SHARE * patience_s
        or duration_s > MAX_END_SHARE * patience_s
    )
