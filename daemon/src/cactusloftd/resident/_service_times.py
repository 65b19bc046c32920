"""Mean service times of the backend server beside a resident."""

# Weight of the newest call in the mean of all calls and of one route.
SERVICE_SMOOTHING = 0.05
ROUTE_SMOOTHING = 0.1


class ServiceTimes:
    """Means over recent calls.

    :ivar mean_s: mean seconds of all calls.
    """

    def __init__(self):
        self.mean_s = 0.0
        self._by_route = {}

    def record(self, route, used_s):
        """Take note of a call that was answered.

        :param used_s: seconds from its start to its answer.
        """
        self.mean_s += SERVICE_SMOOTHING * (used_s - self.mean_s)
        mean_s = self._by_route.get(route, used_s)
        self._by_route[route] = mean_s + ROUTE_SMOOTHING * (used_s - mean_s)

    def find(self, route):
        """Return the mean seconds of a route's calls, or None."""
        return self._by_route.get(route)

    def forget_routes(self):
        """Forget the routes: another process has taken the place."""
        self._by_route = {}
