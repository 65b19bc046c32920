"""Cold start and load reports of a backend server.

Load endpoints may be stale or misleading, so a report can only lower the
limit of the owner, down to a minimum and for a short time. The number of calls
in flight is always the owner's own count.
"""

import attrs

RAMP_S = 5.0
INITIAL_SHARE = 0.2
REPORT_LIFETIME_S = 3.0
# Lower bound, so that a backend server that always reports no free capacity
# still gets calls.
MIN_REPORTED_SHARE = 0.25
MISLEADING_DIFFERENCE_SHARE = 0.5


class ColdStartRamp:
    """Share of its slots that a new backend server may use.

    :param started_at: monotonic seconds of the first announcement.
    :param ramp_s: seconds until all slots may be used.
    """

    def __init__(self, started_at, ramp_s=RAMP_S):
        self._started_at = started_at
        self._ramp_s = ramp_s

    def compute_share(self, now):
        """Return a share between ``INITIAL_SHARE`` and 1.

        >>> ramp = ColdStartRamp(started_at=10.0, ramp_s=4.0)
        >>> [ramp.compute_share(now) for now in (10.0, 14.0, 99.0)]
        [0.2, 1.0, 1.0]
        """
        if self._ramp_s <= 0:
            return 1.0
        progress = min(1.0, max(0.0, now - self._started_at) / self._ramp_s)
        return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress


@attrs.frozen
class LoadReport:
    """Load that a backend server reports.

    :ivar load: reported share of slots in use.
    :ivar slots: reported number of slots, None if not reported.
    :ivar received_at: monotonic seconds of the receipt.
    """

    load: float
    slots: int | None
    received_at: float


class LoadReports:
    """Check load reports against the owner's own count.

    :param slots: announced slots.
    """

    def __init__(self, slots):
        self._slots = slots
        self._latest = None
        self.misleading = 0

    def set_slots(self, slots):
        """Set the slots of a renewed announcement."""
        self._slots = slots

    def receive(self, report, own_in_flight):
        """Keep a report, and count it if it contradicts the owner's count.

        :param own_in_flight: calls that the owner knows to be in flight.
        """
        difference = abs(report.load * self._slots - own_in_flight)
        if difference > MISLEADING_DIFFERENCE_SHARE * self._slots:
            self.misleading += 1
        self._latest = report

    def compute_cap(self, now):
        """Return the slots that may be used, at most those announced."""
        report = self._latest
        if report is None or report.slots is None:
            return self._slots
        if now - report.received_at > REPORT_LIFETIME_S:
            return self._slots
        min_slots = max(1, int(self._slots * MIN_REPORTED_SHARE))
        return min(self._slots, max(min_slots, report.slots))
