"""Limit on the calls per second that a backend server named itself.

The load pattern: a backend server that is short of something other than slots
names in its responses how many calls per second it accepts. All of its calls
start at one owner, which keeps to the limit exactly. An owner that has just
started does not know what its predecessor was told; it starts only a few calls
until the first response tells.
"""

# Lowest limit in calls per second. Only responses tell that a limit has ended,
# so some calls have to start.
MIN_RATE = 0.5
# Calls that may start at the same time, in seconds of the limit.
BURST_S = 0.25
# Calls in flight before the first response of a process.
FIRST_CALLS = 2
# Responses without a limit, in a row, that end it. After a single one, which a
# faulty backend server may send, all queued calls would start at once.
LIFTING_RESPONSES = 3


class RateLimit:
    """Token bucket with the rate that the newest response named.

    :param now: monotonic seconds.
    :ivar rate: calls per second, None without a limit.
    """

    def __init__(self, now):
        self.rate = None
        self._tokens = 0.0
        self._filled_at = now
        self._named_at = float('-inf')
        self._unlimited_responses = 0
        self._has_response = False

    @property
    def max_in_flight(self):
        """Return how many calls may be in flight, None for no limit."""
        return None if self._has_response else FIRST_CALLS

    def receive(self, rate, started_at, now):
        """Apply a response.

        :param rate: calls per second that it named, None if it named none.
        :param started_at: monotonic seconds at which its call was sent.
        """
        self._has_response = True
        if rate is not None:
            self._named_at = now
            self._unlimited_responses = 0
            self._set_rate(max(MIN_RATE, rate), now)
            return
        # The response may have been written before the limit began, and have
        # arrived late.
        if started_at <= self._named_at:
            return
        self._unlimited_responses += 1
        if self._unlimited_responses >= LIFTING_RESPONSES:
            self.rate = None

    def has_token(self, now):
        """Tell whether a call may start."""
        self._fill(now)
        return self.rate is None or self._tokens >= 1.0

    def take(self, now):
        """Count a call that starts."""
        self._fill(now)
        self._tokens -= 1.0

    def compute_delay(self, now):
        """Return the seconds until a call may start."""
        if self.has_token(now):
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def _set_rate(self, rate, now):
        self._fill(now)
        if self.rate is None:
            self._tokens = 1.0
        self.rate = rate
        self._tokens = min(self._tokens, self._compute_burst())

    def _fill(self, now):
        if self.rate is None:
            self._tokens = 0.0
        else:
            refill = (now - self._filled_at) * self.rate
            self._tokens = min(self._compute_burst(), self._tokens + refill)
        self._filled_at = now

    def _compute_burst(self):
        return max(1.0, BURST_S * self.rate)
