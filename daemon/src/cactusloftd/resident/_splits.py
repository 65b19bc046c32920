"""Weighted choice among the services of a route's traffic split."""

import collections

# Bounds memory; the oldest entry is evicted.
MAX_KEPT_SPLITS = 4096
# Most calls that are skipped at the start of a split, more than a round of
# usual weights has.
MAX_SKIPPED_CALLS = 128


class SplitChooser:
    """Choose services in proportion to their weights.

    Smooth weighted round robin: each call goes to the service that is furthest
    behind its share, so the counts deviate from the weights by at most one
    call instead of only matching on average.

    Each split starts at a random point of its round. Entries that all start
    with the heaviest service together give it far too much as long as each of
    them has had only a few calls.

    :param random_source: like :class:`random.Random`.
    """

    def __init__(self, random_source):
        self._random = random_source
        self._credits = collections.OrderedDict()

    def choose(self, route):
        """Return the service for the next call of a route.

        :param route: :class:`cactusloft_model.document.Route`.
        """
        if len(route.split) < 2:
            return route.service
        return _advance(self._find_credits(route), route.split)

    def _find_credits(self, route):
        # A route whose weights change starts with new credits.
        key = route.name, route.split
        credits = self._credits.get(key)
        if credits is None:
            credits = dict.fromkeys(route.services, 0.0)
            for _ in range(self._random.randrange(MAX_SKIPPED_CALLS)):
                _advance(credits, route.split)
            self._credits[key] = credits
            if len(self._credits) > MAX_KEPT_SPLITS:
                self._credits.popitem(last=False)
        return credits


def _advance(credits, split):
    """Choose the service for the next call, and update the credits."""
    # Relative to the largest weight, as the sum may exceed all floats.
    largest = max(share.weight for share in split)
    total = 0.0
    for share in split:
        weight = share.weight / largest
        credits[share.service] += weight
        total += weight
    chosen = max(credits, key=credits.get)
    credits[chosen] -= total
    return chosen
