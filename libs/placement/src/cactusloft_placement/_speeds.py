"""How slow a backend server is now, as a multiple of its usual time.

The load pattern: a machine shared with others slows to 2.5 for some 600 ms
and recovers, and machines differ for good between 0.5 and 1.6. Backend servers
report how long work takes now; the figure may be old, wrong or missing, so it
is compared with the response times that are seen.
"""

import math

# Time constant with which an old figure loses its weight. A figure tells no
# more of a machine that is slow for some hundred milliseconds after that.
FIGURE_RETENTION_S = 0.6
# A machine that is slow now is expected to stay so for this time.
SPELL_S = 0.6
# Figures outside these bounds are treated as the bound.
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
# Weight of the newest response in what is seen of a server.
SEEN_SMOOTHING = 0.1
STANDING_SMOOTHING = 0.05
TRUST_SMOOTHING = 0.05
# Time constant with which a slowness that was only seen is forgotten.
SEEN_RETENTION_S = 3.0
# A figure this close to the usual speed contradicts nothing (logarithm).
MIN_DEVIATION = 0.2


class ServerSpeed:
    """Speed of one backend server.

    :ivar standing: lasting slowness as a multiple of the expected costs.
    """

    def __init__(self):
        self.standing = 1.0
        self._figure = None
        self._figure_at = float('-inf')
        self._trust = 1.0
        self._seen = 1.0
        self._seen_at = float('-inf')

    @property
    def has_figure(self):
        """Tell whether the server has reported its slowness."""
        return self._figure is not None

    @property
    def trust(self):
        """Return the weight of the reported figures, 0 to 1."""
        return self._trust

    def record_figure(self, slowness, now):
        """Record the slowness that the server reported.

        :param slowness: 1 for as usual; a figure that is no positive number
            is ignored.
        :param now: monotonic seconds.
        """
        if not 0.0 < slowness < math.inf:
            return
        self._figure = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self._figure_at = now

    def record_response(self, service_s, expected_s, slowness, now):
        """Record the service time of a call.

        :param expected_s: slot-seconds that it was expected to cost.
        :param slowness: slowness that the server reported during the call.
        :param now: monotonic seconds.
        """
        if expected_s <= 0.0 or service_s <= 0.0:
            return
        ratio = service_s / expected_s
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        usual = ratio / self.standing
        self._judge_figure(usual, slowness)
        self._seen += SEEN_SMOOTHING * (usual - self._seen)
        self._seen_at = now
        # Without the reported slowness as far as it is believed.
        spell = 1.0 + self._trust * (slowness - 1.0)
        self.standing += STANDING_SMOOTHING * (ratio / spell - self.standing)

    def compute_slowness(self, now):
        """Return the slowness now against the usual speed of this server.

        :param now: monotonic seconds.
        """
        reported = 1.0
        if self._figure is not None:
            age_s = max(0.0, now - self._figure_at)
            weight = math.exp(-age_s / FIGURE_RETENTION_S)
            reported += weight * (self._figure - 1.0)
        if self._trust == 1.0:
            return reported
        age_s = max(0.0, now - self._seen_at)
        weight = math.exp(-age_s / SEEN_RETENTION_S)
        seen = 1.0 + weight * (self._seen - 1.0)
        return self._trust * reported + (1.0 - self._trust) * seen

    def _judge_figure(self, usual, slowness):
        """Change the trust by whether the figure explains a response."""
        deviation = abs(math.log(max(MIN_SLOWNESS, slowness)))
        if self._figure is None or deviation < MIN_DEVIATION:
            return
        error = abs(math.log(usual / max(MIN_SLOWNESS, slowness)))
        # Also when the figure explains nothing, a call may have been one of
        # the few that take long.
        is_explained = error <= abs(math.log(usual))
        self._trust += TRUST_SMOOTHING * (is_explained - self._trust)


def compute_duration(cost_s, slowness):
    """Return the seconds that a call takes on a server that is slow now.

    The slowness is expected to end after ``SPELL_S``, so a long call runs for
    the most part at the usual speed.

    >>> [round(compute_duration(c, 2.5), 3) for c in (0.02, 0.2, 0.8)]
    [0.05, 0.5, 1.16]
    """
    if slowness <= 1.0:
        return cost_s * slowness
    return min(cost_s * slowness, cost_s + SPELL_S * (1.0 - 1.0 / slowness))
