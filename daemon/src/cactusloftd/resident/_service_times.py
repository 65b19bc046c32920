"""Mean service times of the local backend server."""

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

    def record(self, route, service_time_s):
        """Record the service time of a call.

        :param service_time_s: seconds from start to response.
        """
        self.mean_s += TOTAL_SMOOTHING * (service_time_s - self.mean_s)
        mean_s = self._by_route.get(route, service_time_s)
        self._by_route[route] = mean_s + ROUTE_SMOOTHING * (
            service_time_s - mean_s
        )

    def find(self, route):
        """Return the mean service time of a route in seconds, or None."""
        return self._by_route.get(route)

    def clear_routes(self):
        """Clear the means by route; used when a new process starts."""
        self._by_route = {}
