"""Service times of the local backend server."""

from cactusloft_placement import costs

# Weights of the newest call in the moving averages over all calls and over
# those of one route.
TOTAL_SMOOTHING = 0.05
ROUTE_SMOOTHING = 0.1


class ServiceTimes:
    """Exponential moving averages of service times, in total and by route.

    :ivar mean_s: mean service time of all calls in seconds.
    """

    def __init__(self):
        self.mean_s = 0.0
        self._by_route = {}
        self._costs = costs.CallCosts()

    def record(self, route, service_time_s):
        """Record the service time of a call.

        :param service_time_s: seconds from start to response.
        """
        self.mean_s += TOTAL_SMOOTHING * (service_time_s - self.mean_s)
        mean_s = self._by_route.get(route, service_time_s)
        self._by_route[route] = mean_s + ROUTE_SMOOTHING * (
            service_time_s - mean_s
        )

    def record_cost(self, route, service_time_s, slowness):
        """Record what a successful call cost.

        :param service_time_s: seconds from start to response.
        :param slowness: multiple of the usual time that work took meanwhile.
        """
        self._costs.record(route, service_time_s / slowness)

    def find(self, route):
        """Return the mean service time of a route in seconds, or None."""
        return self._by_route.get(route)

    def expect(self, route):
        """Return the slot-seconds that a call is expected to cost.

        They are those at the usual speed of the backend server. For a route
        without calls so far, the mean of all calls is returned.
        """
        cost_s = self._costs.expect(route)
        return self.mean_s if cost_s is None else cost_s

    def clear_routes(self):
        """Clear the means by route; used when a new process starts."""
        self._by_route = {}
        self._costs.clear()
