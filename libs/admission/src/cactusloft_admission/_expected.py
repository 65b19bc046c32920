"""Shortest recent service time of each kind of call."""

import collections

WINDOW_S = 1.0
MAX_KEPT_KINDS = 64


class ServiceTimes:
    """Minimum service time over the last one to two seconds.

    The minimum is conservative: a call is dropped only when even the fastest
    recent one would have missed its deadline. It expires when no call
    succeeds, so that a slow period cannot lead to dropping all calls for good.
    """

    def __init__(self):
        self._current = collections.OrderedDict()
        self._previous = {}
        self._window_started_at = 0.0

    def add(self, kind, service_s, now):
        """Record the service time of a successful call."""
        self._rotate_windows(now)
        minimum_s = self._current.get(kind, service_s)
        self._current[kind] = min(minimum_s, service_s)
        self._current.move_to_end(kind)
        if len(self._current) > MAX_KEPT_KINDS:
            self._current.popitem(last=False)

    def read(self, kind, now):
        """Return the shortest recent service time in seconds, 0 if unknown."""
        self._rotate_windows(now)
        found = (
            times[kind]
            for times in (self._current, self._previous)
            if kind in times
        )
        return min(found, default=0.0)

    def _rotate_windows(self, now):
        elapsed_s = now - self._window_started_at
        if elapsed_s < WINDOW_S:
            return
        self._previous = self._current if elapsed_s < 2 * WINDOW_S else {}
        self._current = collections.OrderedDict()
        self._window_started_at = now
