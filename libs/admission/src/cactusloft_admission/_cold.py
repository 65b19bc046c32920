"""Limit on the calls per second to a backend server that is cold.

The load pattern: a backend server that has just started, or that has lost its
caches, crashes under its usual load, and the load that returns after a
failover or the end of an evacuation is more than the usual. All of its calls
start at one owner, which keeps to the rate that the document names for that
time.
"""

# Calls that may start at the same time.
BURST = 1.0


class ColdLimit:
    """Token bucket that is in force while the backend server is cold.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._rate = None
        self._ends_at = now
        self._tokens = 0.0
        self._filled_at = now

    def begin(self, rate, duration_s, now):
        """Limit the calls from now on.

        It replaces an earlier limit, so that a duration of 0 ends it.

        :param rate: calls per second, above 0.
        :param duration_s: seconds for which the limit is in force.
        """
        if self.find_rate(now) is None:
            # Calls just before may still be on their way.
            self._tokens, self._filled_at = 0.0, now
        else:
            self._fill(now)
        self._rate, self._ends_at = rate, now + duration_s

    def find_rate(self, now):
        """Return the calls per second that may start, None for no limit."""
        return self._rate if now < self._ends_at else None

    def has_token(self, now):
        """Tell whether a call may start."""
        if self.find_rate(now) is None:
            return True
        self._fill(now)
        return self._tokens >= 1.0

    def take(self, now):
        """Count a call that starts."""
        if self.find_rate(now) is not None:
            self._fill(now)
            self._tokens -= 1.0

    def compute_delay(self, now):
        """Return the seconds until a call may start."""
        if self.has_token(now):
            return 0.0
        missing_s = (1.0 - self._tokens) / self._rate
        return min(missing_s, self._ends_at - now)

    def _fill(self, now):
        refill = (now - self._filled_at) * self._rate
        self._tokens = min(BURST, self._tokens + refill)
        self._filled_at = now
