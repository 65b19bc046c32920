"""Pressure of one backend server, as its owner reports it.

The level is raised by the number of arrived calls above those that could be
started plus a margin. The margin keeps the queue filled: the owner then sheds
from the queue by exact classes and fair shares, and the backend server does
not idle because a pressure report is one response old.
"""

from cactusloft_admission import _pressure
from cactusloft_model import calls

WINDOW_S = 0.1
INITIAL_STEP = 0.05
MAX_STEP = 0.8
# Ratios of arrived to started calls: above the first, the level rises towards
# the second; below the third, it falls.
RAISE_ABOVE_RATIO = 1.25
TARGET_RATIO = 1.15
LOWER_BELOW_RATIO = 1.1
# Most windows until a change of the level shows in the arrivals.
MAX_LAG_WINDOWS = 10.0


class PressureMeter:
    """Pressure level, updated once per window.

    :param now: monotonic seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        self._step = INITIAL_STEP
        self._start_window(now)

    def _start_window(self, now):
        self._started_at = now
        self._arrived = dict.fromkeys(calls.Priority, 0)
        self._started = 0
        self._shed = 0

    def record_arrival(self, priority):
        """Count a submitted call."""
        self._arrived[priority] += 1

    def record_start(self):
        """Count a started call."""
        self._started += 1

    def record_shed(self):
        """Count a call that was evicted or expired."""
        self._shed += 1

    def read(self, now, admitted):
        """Return the present :class:`Pressure`.

        :param admitted: number of calls in flight or queued.
        """
        if now - self._started_at >= WINDOW_S:
            self._update_level(admitted)
            self._start_window(now)
        return _pressure.Pressure.from_level(self._level)

    def _update_level(self, admitted):
        # Calls of classes that are already refused at the entry will cease;
        # counting them would raise the level for higher classes.
        counted = [p for p in calls.Priority if p >= int(self._level)]
        arrived = sum(self._arrived[priority] for priority in counted)
        if self._shed and arrived > RAISE_ABOVE_RATIO * self._started:
            excess = arrived - TARGET_RATIO * self._started
            self._raise_level(counted, excess / self._estimate_lag(admitted))
            self._step = INITIAL_STEP
        elif arrived < LOWER_BELOW_RATIO * self._started or not self._shed:
            self._level = max(0.0, self._level - self._step)
            self._step = min(MAX_STEP, 2 * self._step)

    def _estimate_lag(self, admitted):
        """Return the windows that a call stays admitted, by Little's law."""
        if not self._started:
            return MAX_LAG_WINDOWS
        return min(MAX_LAG_WINDOWS, max(1.0, admitted / self._started))

    def _raise_level(self, counted, excess):
        """Raise the level by ``excess`` calls, lowest class first."""
        for priority in counted:
            arrived = self._arrived[priority]
            if not arrived:
                continue
            admitted_share = 1.0 - max(0.0, self._level - priority)
            refused_share = min(1.0, excess / arrived)
            self._level = (
                priority + 1.0 - admitted_share * (1.0 - refused_share)
            )
            excess -= arrived
            if excess <= 0:
                return
