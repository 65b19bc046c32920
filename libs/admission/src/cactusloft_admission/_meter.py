"""Pressure of one backend server, as its owner reports it.

The level is raised by what exceeds the calls that could be started, plus a
margin. The margin keeps the queue filled: the owner sheds it with exact
classes and shares, and the backend server never idles because of pressure
reports that are one response old.
"""

from cactusloft_admission import _pressure
from cactusloft_model import calls

WINDOW_S = 0.1
FIRST_STEP = 0.05
LARGEST_STEP = 0.8
# Offered calls for each started one: above the first the level rises towards
# the second, and below the third it falls.
RAISE_ABOVE = 1.25
AIM = 1.15
FALL_BELOW = 1.1
# Windows that a change of the level takes to show, at most.
LONGEST_LAG = 10.0


class PressureMeter:
    """Change the level once a window.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        self._step = FIRST_STEP
        self._begin_window(now)

    def _begin_window(self, now):
        self._started_at = now
        self._offered = dict.fromkeys(calls.Priority, 0)
        self._started = 0
        self._shed = 0

    def record_offer(self, priority):
        """Take note of a call that arrived."""
        self._offered[priority] += 1

    def record_start(self):
        """Take note of a call that started."""
        self._started += 1

    def record_shed(self):
        """Take note of a call that was evicted or expired."""
        self._shed += 1

    def read(self, now, held):
        """Return the present :class:`Pressure`.

        :param held: calls in flight or in the queue.
        """
        if now - self._started_at >= WINDOW_S:
            self._change_level(held)
            self._begin_window(now)
        return _pressure.Pressure.from_level(self._level)

    def _change_level(self, held):
        # Calls of classes that are already refused early are on their way
        # out; they must not cost a higher class anything.
        counted = [p for p in calls.Priority if p >= int(self._level)]
        offered = sum(self._offered[priority] for priority in counted)
        if self._shed and offered > RAISE_ABOVE * self._started:
            excess = offered - AIM * self._started
            self._cut(counted, excess / self._estimate_lag(held))
            self._step = FIRST_STEP
        elif offered < FALL_BELOW * self._started or not self._shed:
            self._level = max(0.0, self._level - self._step)
            self._step = min(LARGEST_STEP, 2 * self._step)

    def _estimate_lag(self, held):
        """Return the windows that a held call stays, by Little's law."""
        if not self._started:
            return LONGEST_LAG
        return min(LONGEST_LAG, max(1.0, held / self._started))

    def _cut(self, counted, excess):
        """Raise the level by ``excess`` calls, lowest class first."""
        for priority in counted:
            offered = self._offered[priority]
            if not offered:
                continue
            share = 1.0 - max(0.0, self._level - priority)
            cut = min(1.0, excess / offered)
            self._level = priority + 1.0 - share * (1.0 - cut)
            excess -= offered
            if excess <= 0:
                return
