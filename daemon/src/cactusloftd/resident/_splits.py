"""Weighted choice among the services of a route's traffic split."""

import collections

# Bounds memory; the oldest entry is evicted.
MAX_KEPT_SPLITS = 4096


class SplitChooser:
    """Choose services in proportion to their weights.

    Smooth weighted round robin: each call goes to the service that is furthest
    behind its share, so the counts deviate from the weights by at most one
    call instead of only matching on average.
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
        # Relative to the largest weight, as the sum may exceed all floats.
        largest = max(share.weight for share in route.split)
        total = 0.0
        for share in route.split:
            weight = share.weight / largest
            credits[share.service] += weight
            total += weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def _find_credits(self, route):
        # A route whose weights change starts with zero credits.
        key = route.name, route.split
        credits = self._credits.get(key)
        if credits is None:
            credits = dict.fromkeys(route.services, 0.0)
            self._credits[key] = credits
            if len(self._credits) > MAX_KEPT_SPLITS:
                self._credits.popitem(last=False)
        return credits
