"""Pressure of one backend server, as its owner reports it.

The level rises while calls are shed or a long queue stands, and falls while
the queue runs empty. In between it stays, so that early refusal leaves just
enough calls to keep the backend server busy.
"""

from cactusloft_admission import _pressure

WINDOW_S = 0.1
FIRST_STEP = 0.02
LARGEST_RISE = 0.1
LARGEST_FALL = 0.4
# Queue length per slot above which a queue that never empties is overload.
STANDING_PER_SLOT = 0.5


class PressureMeter:
    """Change the level once a window.

    The step doubles with each window in the same direction, so that the level
    crosses all classes within a second or two after a sudden change.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        self._rise = FIRST_STEP
        self._fall = FIRST_STEP
        self._begin_window(now, 0)

    def _begin_window(self, now, queued):
        self._started_at = now
        self._shortest_queue = queued
        self._lowest_offered = None
        self._shed = 0

    def note_offer(self, priority):
        """Take note of a call that arrived."""
        lowest = self._lowest_offered
        if lowest is None or priority < lowest:
            self._lowest_offered = priority

    def note_queue(self, queued):
        """Take note of the length of the queue."""
        self._shortest_queue = min(self._shortest_queue, queued)

    def note_shed(self):
        """Take note of a call that was evicted or expired."""
        self._shed += 1

    def read(self, now, queued, slots):
        """Return the present :class:`Pressure`.

        :param queued: calls in the queue.
        :param slots: announced slots.
        """
        if now - self._started_at >= WINDOW_S:
            self._change_level(slots)
            self._begin_window(now, queued)
        return _pressure.Pressure.from_level(self._level)

    def _change_level(self, slots):
        shortest = self._shortest_queue
        if self._shed or shortest > STANDING_PER_SLOT * slots:
            self._raise_level()
        elif shortest == 0:
            self._level = max(0.0, self._level - self._fall)
            self._fall = min(LARGEST_FALL, 2 * self._fall)
            self._rise = FIRST_STEP

    def _raise_level(self):
        self._fall = FIRST_STEP
        if self._lowest_offered is None:
            return
        # Never past the lowest class that still arrives: an overshoot would
        # refuse a higher class that has room.
        ceiling = self._lowest_offered + 1.0
        raised = min(self._level + self._rise, ceiling)
        self._level = max(self._level, raised)
        self._rise = min(LARGEST_RISE, 2 * self._rise)
