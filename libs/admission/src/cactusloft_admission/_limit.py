"""Adaptive concurrency limit from the gradient of observed latency.

Each window yields a low quantile of the latency of every kind of call. Its
ratio to the long-term value of the same statistic of the same kind tells how
much of the latency comes from concurrency. Kinds are kept apart because a
change in the mix of cheap and expensive calls would otherwise look like a
change of load.
"""

import collections
import math

import attrs

from cactusloft_admission import _tickets

KEPT_KINDS = 64


@attrs.frozen
class LimitSettings:
    """Constants of the limit.

    :ivar window_s: shortest time between two changes of the limit.
    :ivar window_samples: fewest latencies in a window.
    :ivar quantile: which latency of a window counts; 0 is the minimum.
    :ivar tolerance: growth of latency that does not narrow the limit.
    :ivar lowest_gradient: largest cut of one window.
    :ivar smoothing: share of the newly computed limit in the next limit.
    :ivar rise: share of a higher short latency in the long one, per window.
    :ivar fall: share of a lower short latency in the long one, per window.
    :ivar lowest_share: smallest limit as a share of the slots.
    """

    window_s: float = 0.1
    window_samples: int = 10
    quantile: float = 0.0
    tolerance: float = 1.5
    lowest_gradient: float = 0.5
    smoothing: float = 0.5
    rise: float = 0.01
    fall: float = 0.3
    lowest_share: float = 0.1


@attrs.define
class _Window:
    started_at: float
    in_flight_peak: int = 0
    successes: int = 0
    shed: int = 0
    latencies: dict[str, list[float]] = attrs.Factory(dict)

    def count(self):
        return sum(len(values) for values in self.latencies.values())


class ConcurrencyLimit:
    """Number of calls that a backend server should run at once.

    :param slots: announced slots; the limit never exceeds them.
    :param now: monotonic seconds.
    :param settings: :class:`LimitSettings`.
    """

    def __init__(self, slots, now, settings=None):
        self._settings = settings or LimitSettings()
        self._slots = slots
        self._limit = float(slots)
        self._long = collections.OrderedDict()
        self._window = _Window(now)

    @property
    def value(self):
        """Return the limit in calls, at least 1."""
        return max(1, int(self._limit))

    def set_slots(self, slots):
        """Take over newly announced slots."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def observe(self, kind, latency_s, outcome, in_flight, now):
        """Take note of a call that ended.

        :param kind: label of calls with similar service times.
        :param latency_s: seconds since the start of the call.
        :param in_flight: calls in flight when it ended, itself included.
        """
        window = self._window
        window.in_flight_peak = max(window.in_flight_peak, in_flight)
        if outcome is _tickets.Outcome.SHED:
            window.shed += 1
        elif outcome is _tickets.Outcome.SUCCESS:
            window.successes += 1
            self._add_latency(kind, latency_s)
        elif latency_s > self._long.get(kind, math.inf):
            # A failed call may only narrow the limit: a quick error says
            # nothing about capacity, a slow one does.
            self._add_latency(kind, latency_s)
        if self._is_window_full(now):
            self._close_window(now)

    def _add_latency(self, kind, latency_s):
        self._window.latencies.setdefault(kind, []).append(latency_s)

    def _is_window_full(self, now):
        window = self._window
        if now - window.started_at < self._settings.window_s:
            return False
        samples = window.count() + window.shed
        return samples >= self._settings.window_samples

    def _close_window(self, now):
        window, self._window = self._window, _Window(now)
        gradient = self._compute_gradient(window)
        if window.shed:
            gradient = min(gradient, 0.9)
        target = self._limit * gradient
        may_grow = window.successes and not window.shed
        if may_grow and window.in_flight_peak * 2 >= self._limit:
            target += max(math.sqrt(self._limit), 0.1 * self._limit)
        smoothing = self._settings.smoothing
        mixed = (1 - smoothing) * self._limit + smoothing * target
        lowest = max(1.0, self._settings.lowest_share * self._slots)
        self._limit = min(float(self._slots), max(lowest, mixed))

    def _compute_gradient(self, window):
        """Return the mean gradient of the kinds, weighted by calls."""
        weighted, count = 0.0, 0
        for kind, latencies in window.latencies.items():
            short = _pick_quantile(latencies, self._settings.quantile)
            weighted += len(latencies) * self._compare(kind, short)
            count += len(latencies)
        return weighted / count if count else 1.0

    def _compare(self, kind, short):
        settings = self._settings
        long = self._long.get(kind, short)
        share = settings.rise if short > long else settings.fall
        self._long[kind] = long + share * (short - long)
        self._long.move_to_end(kind)
        if len(self._long) > KEPT_KINDS:
            self._long.popitem(last=False)
        if short <= 0:
            return 1.0
        gradient = settings.tolerance * long / short
        return min(1.0, max(settings.lowest_gradient, gradient))


def _pick_quantile(values, quantile):
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))]
