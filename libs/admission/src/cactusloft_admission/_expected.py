"""Shortest service time of each kind of call in the recent past."""

import collections

MEMORY_S = 1.0
KEPT_KINDS = 64


class ServiceTimes:
    """Minimum service time over the last one to two seconds.

    The minimum is cautious: a call is dropped only when not even the fastest
    recent one would have met its deadline. It is forgotten when no call
    succeeds, so that dropping can never stop all work for good.
    """

    def __init__(self):
        self._current = collections.OrderedDict()
        self._previous = {}
        self._turned_at = 0.0

    def add(self, kind, service_s, now):
        """Take note of a successful call."""
        self._turn(now)
        known = self._current.get(kind, service_s)
        self._current[kind] = min(known, service_s)
        self._current.move_to_end(kind)
        if len(self._current) > KEPT_KINDS:
            self._current.popitem(last=False)

    def read(self, kind, now):
        """Return the expected shortest time in seconds, 0 when unknown."""
        self._turn(now)
        found = (
            times[kind]
            for times in (self._current, self._previous)
            if kind in times
        )
        return min(found, default=0.0)

    def _turn(self, now):
        passed_s = now - self._turned_at
        if passed_s < MEMORY_S:
            return
        self._previous = self._current if passed_s < 2 * MEMORY_S else {}
        self._current = collections.OrderedDict()
        self._turned_at = now
