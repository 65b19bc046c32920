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
LONGEST_WINDOW_S = 1.0


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
    :ivar probe_share: share of the limit at which it must have helped.
    :ivar lag_windows: windows until a cut shows in the latency.
    :ivar least_help: largest remaining share of the growth of latency that
        counts as help.
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
    probe_share: float = 0.7
    lag_windows: int = 1
    least_help: float = 0.85


@attrs.define
class _Window:
    started_at: float
    in_flight_peak: int = 0
    successes: int = 0
    shed: int = 0
    latencies: dict[str, list[float]] = attrs.Factory(dict)

    def count(self):
        return sum(len(values) for values in self.latencies.values())


@attrs.define
class _Slowdown:
    """Growth of latency since cutting began.

    :ivar peak: largest growth seen.
    :ivar limit: limit when cutting began.
    :ivar windows: windows since the limit was cut enough to judge.
    """

    peak: float
    limit: float
    windows: int = 0


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
        self._slowdown = None
        self._latency_s = 0.0

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
        # At least one latency, or the effect of the last change on the calls
        # in flight would not show yet.
        length_s = max(self._settings.window_s, self._latency_s)
        if now - window.started_at < length_s:
            return False
        samples = window.count() + window.shed
        return samples >= self._settings.window_samples

    def _close_window(self, now):
        window, self._window = self._window, _Window(now)
        growth = self._measure_growth(window)
        self._judge_slowdown(growth, window)
        gradient = self._compute_gradient(growth)
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

    def _measure_growth(self, window):
        """Return short by long latency, as the mean over all calls."""
        weighted, count, total_s = 0.0, 0, 0.0
        for kind, latencies in window.latencies.items():
            short = _pick_quantile(latencies, self._settings.quantile)
            weighted += len(latencies) * self._compare(kind, short)
            count += len(latencies)
            total_s += sum(latencies)
        if not count:
            return 1.0
        self._latency_s = min(LONGEST_WINDOW_S, total_s / count)
        return weighted / count

    def _compare(self, kind, short):
        settings = self._settings
        long = self._long.get(kind, short)
        share = settings.rise if short > long else settings.fall
        self._long[kind] = long + share * (short - long)
        self._long.move_to_end(kind)
        if len(self._long) > KEPT_KINDS:
            self._long.popitem(last=False)
        return short / long if long > 0 else 1.0

    def _compute_gradient(self, growth):
        gradient = self._settings.tolerance / growth if growth > 0 else 1.0
        return min(1.0, max(self._settings.lowest_gradient, gradient))

    def _judge_slowdown(self, growth, window):
        """Accept a slowness that cutting the limit has not mended.

        Its cause is elsewhere, as in a slow service deeper in the chain, and
        a small limit would only add to the loss of throughput.
        """
        settings = self._settings
        if growth <= settings.tolerance:
            self._slowdown = None
            return
        if self._slowdown is None:
            self._slowdown = _Slowdown(growth, self._limit)
        found = self._slowdown
        found.peak = max(found.peak, growth)
        if self._limit > settings.probe_share * found.limit:
            return
        found.windows += 1
        if found.windows <= settings.lag_windows:
            return
        self._slowdown = None
        is_helped = growth <= settings.least_help * found.peak
        # Without successes the backend server may be frozen.
        if window.successes and not is_helped:
            for kind in self._long:
                self._long[kind] *= growth


def _pick_quantile(values, quantile):
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))]
