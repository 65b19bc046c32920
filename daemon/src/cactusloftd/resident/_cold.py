"""How long the local backend server stays cold, as far as the owner knows.

Heartbeats tell how long. A backend server may become cold while its data
centre is evacuated, and no heartbeat may have told it by the end.
"""

from cactusloftd.resident import _backend_server

# After the end of an evacuation the backend server counts as cold for this
# time, two heartbeat intervals, unless a later heartbeat says otherwise.
PRESUMED_COLD_S = 3.0
# A heartbeat that arrives sooner after the end may have been sent before it.
MAX_HEARTBEAT_DELAY_S = 0.5


class ColdPeriod:
    """Time for which the backend server is cold.

    :param now: function that returns monotonic seconds.
    :ivar is_applied: whether the admission knows of it.
    """

    def __init__(self, now):
        self._now = now
        self._presumed_at = float('-inf')
        self._is_presumed = False
        self._ends_at = float('-inf')
        self.is_applied = True

    @property
    def left_s(self):
        """Return the seconds for which the backend server stays cold."""
        return max(0.0, self._ends_at - self._now())

    def presume(self):
        """Take the backend server for cold after an evacuation."""
        self._presumed_at = self._now()
        self._is_presumed = True
        self._set_left(PRESUMED_COLD_S)

    def hear(self, cold_left_s):
        """Apply a heartbeat.

        :param cold_left_s: seconds for which it says to stay cold.
        """
        left_s = min(cold_left_s, _backend_server.MAX_WARM_UP_S)
        age_s = self._now() - self._presumed_at
        if self._is_presumed and age_s < MAX_HEARTBEAT_DELAY_S:
            left_s = max(left_s, PRESUMED_COLD_S - age_s)
        else:
            self._is_presumed = False
        self._set_left(left_s)

    def _set_left(self, left_s):
        self._ends_at = self._now() + left_s
        self.is_applied = False
