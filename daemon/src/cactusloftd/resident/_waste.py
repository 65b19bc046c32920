"""Refusal of calls whose nested calls would be refused.

A call that is admitted here and fails because a service below refuses its
nested calls has wasted the work of both. Each owner watches the runs of its
routes: when some of them fail while nested calls of its backend server are
refused for overload, it admits fewer calls of these routes, the less urgent
ones first, until the rest succeed. No knowledge of the call graph is needed,
and the services below see fewer calls.
"""

import attrs

WINDOW_S = 0.25
# Fewer ended runs in a window say nothing about a route.
LEAST_RUNS = 4
# Share of failed runs that is accepted; backend servers fail some calls of
# their own.
ACCEPTED_FAILURES = 0.1
# How much of the share of failed runs a window takes off, and how much it
# adds after one without refusals.
CUT_PART = 0.6
RISE = 0.08
# Keeps answers coming, and with them news of the services below.
LEAST_SHARE = 0.05
# More urgent routes are cut once less urgent ones are below this share.
SPARED_ABOVE = 0.3


@attrs.define
class _Route:
    """Runs of one route in the present window.

    :ivar share: part of its calls that is admitted.
    :ivar credit: admitted part of the calls so far, less those admitted.
    """

    priority: int
    share: float = 1.0
    credit: float = 0.0
    runs: int = 0
    failures: int = 0


class WasteGuard:
    """Admitted share of each route of one owner.

    :param now: function that returns monotonic seconds.
    """

    def __init__(self, now):
        self._now = now
        self._routes = {}
        self._refused_nested = 0
        self._window_at = now()

    def note_refused_nested(self):
        """Take note of a nested call that was refused for overload."""
        self._refused_nested += 1

    def note_run(self, route, priority, is_failed):
        """Take note of a run that ended."""
        state = self._find(route, priority)
        state.runs += 1
        state.failures += is_failed

    def admits(self, route, priority):
        """Tell whether the next call of a route is admitted."""
        if self._now() - self._window_at >= WINDOW_S:
            self._close_window()
        state = self._find(route, priority)
        if state.share >= 1.0:
            return True
        state.credit = min(1.0, state.credit + state.share)
        if state.credit < 1.0:
            return False
        state.credit -= 1.0
        return True

    def read_share(self, route):
        """Return the admitted share of a route."""
        state = self._routes.get(route)
        return state.share if state else 1.0

    def _find(self, route, priority):
        state = self._routes.get(route)
        if state is None:
            state = self._routes[route] = _Route(priority)
        state.priority = priority
        return state

    def _close_window(self):
        is_overloaded = self._refused_nested > 0
        spared = self._find_spared()
        for state in self._routes.values():
            failed = state.failures / state.runs if state.runs else 0.0
            is_wasted = state.runs >= LEAST_RUNS and failed > ACCEPTED_FAILURES
            if is_overloaded and is_wasted:
                if state.priority <= spared:
                    cut = 1.0 - CUT_PART * failed
                    state.share = max(LEAST_SHARE, state.share * cut)
            elif not is_overloaded or failed <= ACCEPTED_FAILURES:
                state.share = min(1.0, state.share + RISE)
            state.runs = state.failures = 0
        self._refused_nested = 0
        self._window_at = self._now()

    def _find_spared(self):
        """Return the highest priority that may be cut now."""
        above = (
            state.priority
            for state in self._routes.values()
            if state.share > SPARED_ABOVE and state.runs
        )
        return min(above, default=float('inf'))
