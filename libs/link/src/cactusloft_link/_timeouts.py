"""Timeouts of many short waits, with one timer for all of them.

A timer of the event loop for each wait costs more than most waits last. Here
timeouts expire in steps of ``STEP_S``, and one timer runs for the earliest.
"""

import asyncio
import math
import weakref

STEP_S = 0.02

_timers_by_loop = weakref.WeakKeyDictionary()
# The last one looked up; a process has one event loop.
_latest = None


def limit(timeout_s):
    """Return a context manager that raises TimeoutError in its task.

    It works like :func:`asyncio.timeout`, but up to ``STEP_S`` later.

    :param timeout_s: seconds from now.
    """
    return _Limit(_find_timer(), timeout_s)


def _find_timer():
    global _latest
    loop = asyncio.get_running_loop()
    if _latest is not None and _latest[0]() is loop:
        return _latest[1]
    timer = _timers_by_loop.get(loop)
    if timer is None:
        timer = _timers_by_loop[loop] = _Timer(weakref.proxy(loop))
    _latest = weakref.ref(loop), timer
    return timer


class _Limit:
    """A timeout of the current task."""

    __slots__ = ('_cancelling', '_is_expired', '_step', '_task', '_timer')

    def __init__(self, timer, timeout_s):
        self._timer = timer
        self._step = timer.find_step(timeout_s)
        self._task = None
        self._cancelling = 0
        self._is_expired = False

    def __enter__(self):
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        self._timer.add(self._step, self)
        return self

    def __exit__(self, error_class, error, _traceback):
        self._timer.discard(self._step, self)
        if (
            self._is_expired
            and self._task.uncancel() <= self._cancelling
            and error_class is asyncio.CancelledError
        ):
            raise TimeoutError from error
        return False

    def expire(self):
        """Cancel the task."""
        self._is_expired = True
        self._task.cancel()


class _Timer:
    """Limits by the step at which they expire."""

    def __init__(self, loop):
        self._loop = loop
        self._limits = {}
        self._armed_step = None

    def find_step(self, timeout_s):
        """Return the number of the first step after a timeout."""
        return math.ceil((self._loop.time() + max(0.0, timeout_s)) / STEP_S)

    def add(self, step, limit):
        """Add a limit; it expires at a step."""
        limits = self._limits.get(step)
        if limits is None:
            limits = self._limits[step] = set()
            if self._armed_step is None or step < self._armed_step:
                self._arm(step)
        limits.add(limit)

    def discard(self, step, limit):
        """Remove a limit."""
        limits = self._limits.get(step)
        if limits is not None:
            limits.discard(limit)
            if not limits:
                del self._limits[step]

    def _arm(self, step):
        # The timer of a later step is left to find nothing to expire.
        self._armed_step = step
        self._loop.call_at(step * STEP_S, self._expire, step)

    def _expire(self, armed_step):
        now_step = math.floor(self._loop.time() / STEP_S + 1e-6)
        due = [step for step in self._limits if step <= now_step]
        for step in due:
            for expired in self._limits.pop(step):
                expired.expire()
        if armed_step == self._armed_step:
            self._armed_step = None
            if self._limits:
                self._arm(min(self._limits))
