"""Which requests are still taken while the process stops.

Callers keep their connections and go on sending until they notice the stop.
Once they had time to notice, a request is passed on only if it ends before the
process does: its response would otherwise be cut off, and a request that must
not be repeated would be lost. The others are refused, which lets their callers
send them to another host.
"""

import math

# Time for callers to detect that the host accepts no new requests.
NOTICE_S = 2.5
# Meanwhile the backend server goes on to get calls for this time, which leaves
# its last calls more than half of the grace. When several hosts are stopped in
# turn, a service would otherwise miss most of its backend servers.
SERVING_S = 2.0
# Upper limits of these two as fractions of the time until the exit, for
# platforms with a short grace.
MAX_NOTICE_FRACTION = 0.5
MAX_SERVING_FRACTION = 0.4
# Part of the shutdown grace that is reserved for the exit of the process.
EXIT_RESERVE_S = 0.95
# Delay until a refused caller may return, which then finds another host.
RETRY_AFTER_S = 0.1


class Stop:
    """The stop of a process.

    :param grace_s: seconds from its begin until the process must have ended.
    :param now: function that returns monotonic seconds.
    :ivar serving_until: until when the local backend server gets new calls.
    :ivar notice_until: until when all requests are taken.
    :ivar exit_at: when requests in progress are no longer waited for.
    """

    def __init__(self, grace_s, now):
        self._grace_s = grace_s
        self._now = now
        self.serving_until = math.inf
        self.notice_until = math.inf
        self.exit_at = math.inf

    @property
    def has_begun(self):
        """Tell whether the process is stopping."""
        return self.exit_at < math.inf

    def begin(self):
        """Start to stop."""
        started_at = self._now()
        left_s = max(0.0, self._grace_s - EXIT_RESERVE_S)
        serving_s = min(SERVING_S, MAX_SERVING_FRACTION * left_s)
        notice_s = min(NOTICE_S, MAX_NOTICE_FRACTION * left_s)
        self.serving_until = started_at + serving_s
        self.notice_until = started_at + notice_s
        self.exit_at = started_at + left_s

    def finish(self):
        """Take no more requests, as connections are about to be closed."""
        self.notice_until = self.exit_at = -math.inf

    def takes(self, deadline):
        """Tell whether a request that ends by ``deadline`` is taken now.

        :param deadline: monotonic seconds.
        """
        return self._now() < self.notice_until or deadline <= self.exit_at
