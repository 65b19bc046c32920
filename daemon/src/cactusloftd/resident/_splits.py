"""Division of a route's calls among the services of a traffic split."""

import collections

KEPT_ROUTES = 4096


class Splits:
    """Choose services in proportion to their weights.

    Each choice goes to the service that is furthest behind its part, so the
    parts are met within one call and not only on average.
    """

    def __init__(self):
        self._credits = collections.OrderedDict()

    def choose(self, route):
        """Return the service for the next call of a route.

        :param route: :class:`cactusloft_model.document.Route`.
        """
        if len(route.split) < 2:
            return route.service
        credits = self._find_credits(route)
        total = 0.0
        for share in route.split:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def _find_credits(self, route):
        # A change of the weights begins anew.
        key = route.name, route.split
        credits = self._credits.get(key)
        if credits is None:
            credits = dict.fromkeys(route.services, 0.0)
            self._credits[key] = credits
            if len(self._credits) > KEPT_ROUTES:
                self._credits.popitem(last=False)
        return credits
