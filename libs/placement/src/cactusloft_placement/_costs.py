"""Expected slot-seconds of a call by route, at the usual speed of the server.

The load pattern: routes of 15 ms and of 800 ms share a service, and a few
calls of each take several times as long as the others. One such call must not
change what the next ones are expected to cost.
"""

import collections

import attrs

# Weight of the newest call in the moving average of a route, once the route
# has had as many calls as its inverse.
SMOOTHING = 0.05
# A call counts as at most this multiple of the mean of its route. After a
# lasting change of the cost, the mean still grows by a tenth with each call.
MAX_OUTLIER = 3.0
TAIL_SHARE = 0.95
# Step of the tail estimate as a share of the mean.
TAIL_STEP = 0.1
MAX_KEPT_ROUTES = 256


@attrs.define
class _RouteCost:
    mean_s: float
    tail_s: float
    count: int = 1


class CallCosts:
    """Mean and tail of the slot-seconds of calls by route.

    Keeps at most ``MAX_KEPT_ROUTES`` routes; the one that had no call for the
    longest time is forgotten first.
    """

    def __init__(self):
        self._by_route = collections.OrderedDict()

    def record(self, route, cost_s):
        """Record the cost of a call.

        :param cost_s: seconds that it held its slot, divided by the slowness
            of the server at that time.
        """
        if not cost_s >= 0.0:
            return
        cost = self._by_route.get(route)
        if cost is None:
            self._by_route[route] = _RouteCost(cost_s, cost_s)
            if len(self._by_route) > MAX_KEPT_ROUTES:
                self._by_route.popitem(last=False)
            return
        self._by_route.move_to_end(route)
        cost.count += 1
        clipped_s = min(cost_s, MAX_OUTLIER * cost.mean_s or cost_s)
        weight = max(SMOOTHING, 1.0 / cost.count)
        cost.mean_s += weight * (clipped_s - cost.mean_s)
        is_above = cost_s > cost.tail_s
        step_s = TAIL_STEP * cost.mean_s
        cost.tail_s += step_s * (TAIL_SHARE if is_above else TAIL_SHARE - 1.0)

    def expect(self, route):
        """Return the expected cost in slot-seconds, None if unknown."""
        cost = self._by_route.get(route)
        return None if cost is None else cost.mean_s

    def expect_tail(self, route):
        """Return the cost that 95% of calls stay below, None if unknown."""
        cost = self._by_route.get(route)
        return None if cost is None else max(cost.mean_s, cost.tail_s)

    def clear(self):
        """Forget all routes, as when another process has started."""
        self._by_route.clear()
