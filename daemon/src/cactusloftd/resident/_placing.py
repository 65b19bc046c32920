"""How many owners are asked for a free slot before a call waits.

The load pattern: a service has many backend servers with few slots, and each
entry sends it few calls, so the loads that an entry knows are older than a
call lasts. Two random owners compared by them are as good as one, and calls
wait at a busy backend server while others are idle. An owner that refuses at
once when it has no free slot tells its present load for one round trip, which
is short against the service time. When all backend servers are busy, asking
only adds work, so an entry that mostly finds them busy asks less.
"""

# Owners asked for a free slot before the call waits at the least loaded one.
MAX_OFFERS = 2
# Weight of the newest answer in the moving average of full owners.
SMOOTHING = 0.05
# Above these shares of full owners, one owner and none is asked.
FEW_OFFERS_SHARE = 0.6
NO_OFFERS_SHARE = 0.85


def describe_work(report):
    """Return the log fields for what an owner told of its work.

    :param report: :class:`work.WorkReport`, or None.
    """
    if report is None:
        return {}
    return {
        'start_delay_ms': report.start_delay_ms,
        'slowness': report.slowness,
    }


class Placing:
    """What an entry has observed of the owners of each service."""

    def __init__(self):
        self._full_shares = {}

    def find_full_share(self, service):
        """Return the share of owners that had no slot, 0 to 1."""
        return self._full_shares.get(service, 0.0)

    def count_offers(self, service):
        """Return how many owners to ask for a free slot first."""
        share = self.find_full_share(service)
        if share > NO_OFFERS_SHARE:
            return 0
        return 1 if share > FEW_OFFERS_SHARE else MAX_OFFERS

    def record(self, service, is_full):
        """Record whether an owner had no slot for a call."""
        share = self.find_full_share(service)
        self._full_shares[service] = share + SMOOTHING * (is_full - share)
