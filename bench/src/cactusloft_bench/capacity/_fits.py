"""Fit straight lines to measured costs."""

import time

import attrs

CPU_TIME_RUNS = 5


@attrs.frozen
class Slope:
    """A cost that grows linearly with one quantity.

    :ivar name: what was measured.
    :ivar quantity: what the cost grows with.
    :ivar unit: unit of the cost.
    :ivar sizes: quantities at which it was measured.
    :ivar costs: measured cost at each of the sizes.
    :ivar fixed: fitted cost at size zero.
    :ivar slope: fitted growth of the cost per unit of the quantity.
    :ivar residual: largest deviation from the line as a share of the largest
        cost.
    """

    name: str
    quantity: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    fixed: float
    slope: float
    residual: float

    def compute(self, size):
        """Return the fitted cost at ``size``, extrapolated if need be."""
        return self.fixed + self.slope * size


def fit(name, quantity, unit, sizes, costs):
    """Return the least-squares line through the measured costs.

    >>> line = fit('x', 'n', 'ms', (1, 2, 3), (3.0, 5.0, 7.0))
    >>> round(line.fixed, 6), round(line.slope, 6), round(line.residual, 6)
    (1.0, 2.0, 0.0)
    """
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_cost = sum(costs) / count
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        / size_variation
    )
    fixed = mean_cost - slope * mean_size
    deviations = (
        abs(cost - fixed - slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    )
    residual = max(deviations) / max(map(abs, costs))
    return Slope(
        name,
        quantity,
        unit,
        tuple(map(float, sizes)),
        tuple(map(float, costs)),
        fixed,
        slope,
        residual,
    )


def measure(name, quantity, unit, sizes, measure_cost):
    """Measure a cost at each size and return the fitted :class:`Slope`.

    :param measure_cost: function(size) that returns the cost.
    """
    costs = [measure_cost(size) for size in sizes]
    return fit(name, quantity, unit, sizes, costs)


def time_cpu(function, runs=CPU_TIME_RUNS):
    """Return the minimum processor time of several runs in seconds.

    On a busy machine the minimum is closest to the undisturbed cost.
    """

    def run_once():
        start = time.process_time()
        function()
        return time.process_time() - start

    return min(run_once() for _ in range(runs))
