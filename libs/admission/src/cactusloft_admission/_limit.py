"""Adaptive concurrency limit from the gradient of observed latency.

For each window and kind of call, a low quantile of the latencies is computed.
Its ratio to the long-term baseline of the same kind shows how much of the
latency is due to concurrency. Kinds have separate baselines because a change
in the mix of cheap and expensive calls would otherwise look like a change of
load.
"""

import collections
import math

import attrs

from cactusloft_admission import _tickets

MAX_KEPT_KINDS = 64
# A high mean latency lengthens the windows up to this.
MAX_WINDOW_S = 1.0


@attrs.frozen
class LimitSettings:
    """Parameters of the limit.

    :ivar min_window_s: shortest seconds between two changes of the limit.
    :ivar min_window_samples: fewest samples in a window.
    :ivar quantile: quantile of the latencies of a window; 0 is the minimum.
    :ivar latency_tolerance: ratio of latency to baseline up to which the
        limit is not lowered.
    :ivar min_gradient: smallest factor on the limit after one window.
    :ivar smoothing: weight of the newly computed limit in the next limit.
    :ivar baseline_rise: weight of a higher latency in the baseline, per
        window.
    :ivar baseline_fall: weight of a lower latency in the baseline, per
        window.
    :ivar min_limit_share: smallest limit as a share of the slots.
    :ivar probe_share: share of its initial value to which the limit must
        have been lowered before the effect on latency is checked.
    :ivar cut_lag_windows: windows until a lower limit shows in the latency.
    :ivar max_remaining_growth: largest share of the peak growth of latency
        that counts as an improvement.
    """

    min_window_s: float = 0.1
    min_window_samples: int = 10
    quantile: float = 0.0
    latency_tolerance: float = 1.5
    min_gradient: float = 0.5
    smoothing: float = 0.5
    baseline_rise: float = 0.01
    baseline_fall: float = 0.3
    min_limit_share: float = 0.1
    probe_share: float = 0.7
    cut_lag_windows: int = 1
    max_remaining_growth: float = 0.85


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
    """Growth of latency since the limit began to be lowered.

    :ivar peak: largest growth observed.
    :ivar limit: limit before it was lowered.
    :ivar windows: windows since the limit fell to ``probe_share``.
    """

    peak: float
    limit: float
    windows: int = 0


class ConcurrencyLimit:
    """Adaptive limit on the calls in flight on a backend server.

    :param slots: announced slots; the limit never exceeds them.
    :param now: monotonic seconds.
    :param settings: :class:`LimitSettings`.
    """

    def __init__(self, slots, now, settings=None):
        self._settings = settings or LimitSettings()
        self._slots = slots
        self._limit = float(slots)
        self._baselines = collections.OrderedDict()
        self._window = _Window(now)
        self._slowdown = None
        self._mean_latency_s = 0.0

    @property
    def value(self):
        """Return the limit in calls, at least 1."""
        return max(1, int(self._limit))

    def set_slots(self, slots):
        """Set the slots of a renewed announcement."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def observe(self, kind, latency_s, outcome, in_flight, now):
        """Record the end of a call.

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
        elif latency_s > self._baselines.get(kind, math.inf):
            # A failed call may only lower the limit: a slow failure shows a
            # lack of capacity, a quick one shows nothing about capacity.
            self._add_latency(kind, latency_s)
        if self._is_window_full(now):
            self._close_window(now)

    def _add_latency(self, kind, latency_s):
        self._window.latencies.setdefault(kind, []).append(latency_s)

    def _is_window_full(self, now):
        window = self._window
        # A window lasts at least the mean latency: the calls that end earlier
        # were started under the previous limit.
        length_s = max(self._settings.min_window_s, self._mean_latency_s)
        if now - window.started_at < length_s:
            return False
        samples = window.count() + window.shed
        return samples >= self._settings.min_window_samples

    def _close_window(self, now):
        window, self._window = self._window, _Window(now)
        growth = self._compute_growth(window)
        self._check_slowdown(growth, window)
        gradient = self._compute_gradient(growth)
        if window.shed:
            gradient = min(gradient, 0.9)
        target = self._limit * gradient
        may_grow = window.successes and not window.shed
        if may_grow and window.in_flight_peak * 2 >= self._limit:
            target += max(math.sqrt(self._limit), 0.1 * self._limit)
        smoothing = self._settings.smoothing
        smoothed = (1 - smoothing) * self._limit + smoothing * target
        min_limit = max(1.0, self._settings.min_limit_share * self._slots)
        self._limit = min(float(self._slots), max(min_limit, smoothed))

    def _compute_growth(self, window):
        """Return the ratio of latency to baseline, averaged over all calls."""
        weighted, count, total_s = 0.0, 0, 0.0
        for kind, latencies in window.latencies.items():
            window_latency_s = _select_quantile(
                latencies, self._settings.quantile
            )
            weighted += len(latencies) * self._compare_with_baseline(
                kind, window_latency_s
            )
            count += len(latencies)
            total_s += sum(latencies)
        if not count:
            return 1.0
        self._mean_latency_s = min(MAX_WINDOW_S, total_s / count)
        return weighted / count

    def _compare_with_baseline(self, kind, window_latency_s):
        settings = self._settings
        baseline_s = self._baselines.get(kind, window_latency_s)
        share = (
            settings.baseline_rise
            if window_latency_s > baseline_s
            else settings.baseline_fall
        )
        self._baselines[kind] = baseline_s + share * (
            window_latency_s - baseline_s
        )
        self._baselines.move_to_end(kind)
        if len(self._baselines) > MAX_KEPT_KINDS:
            self._baselines.popitem(last=False)
        return window_latency_s / baseline_s if baseline_s > 0 else 1.0

    def _compute_gradient(self, growth):
        gradient = (
            self._settings.latency_tolerance / growth if growth > 0 else 1.0
        )
        return min(1.0, max(self._settings.min_gradient, gradient))

    def _check_slowdown(self, growth, window):
        """Raise the baselines if a lower limit has not reduced the latency.

        The cause is then elsewhere, such as a slow service deeper in the call
        chain, and a low limit would only reduce the throughput further.
        """
        settings = self._settings
        if growth <= settings.latency_tolerance:
            self._slowdown = None
            return
        if self._slowdown is None:
            self._slowdown = _Slowdown(growth, self._limit)
        slowdown = self._slowdown
        slowdown.peak = max(slowdown.peak, growth)
        if self._limit > settings.probe_share * slowdown.limit:
            return
        slowdown.windows += 1
        if slowdown.windows <= settings.cut_lag_windows:
            return
        self._slowdown = None
        has_improved = growth <= settings.max_remaining_growth * slowdown.peak
        # Without successes the backend server may be frozen.
        if window.successes and not has_improved:
            for kind in self._baselines:
                self._baselines[kind] *= growth


def _select_quantile(values, quantile):
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))]
