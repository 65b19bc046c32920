"""Cold start and load reports of a backend server.

Load endpoints are stale or misleading, so a report can only lower what the
owner would run, within bounds and for a short time. The number of calls in
flight is always the owner's own count.
"""

import attrs

RAMP_S = 5.0
FIRST_SHARE = 0.2
REPORT_LIFETIME_S = 3.0
# A backend server that always claims to be full must still get work.
LOWEST_REPORTED_SHARE = 0.25
MISLEADING_DIFFERENCE = 0.5


class ColdStartRamp:
    """Share of its slots that a new backend server may use.

    :param started_at: monotonic seconds of the first announcement.
    :param ramp_s: seconds until the whole share is open.
    """

    def __init__(self, started_at, ramp_s=RAMP_S):
        self._started_at = started_at
        self._ramp_s = ramp_s

    def compute_share(self, now):
        """Return a share between ``FIRST_SHARE`` and 1.

        >>> ramp = ColdStartRamp(started_at=10.0, ramp_s=4.0)
        >>> [ramp.compute_share(now) for now in (10.0, 14.0, 99.0)]
        [0.2, 1.0, 1.0]
        """
        if self._ramp_s <= 0:
            return 1.0
        passed = min(1.0, max(0.0, now - self._started_at) / self._ramp_s)
        return FIRST_SHARE + (1.0 - FIRST_SHARE) * passed


@attrs.frozen
class LoadReport:
    """What a backend server says about itself.

    :ivar load: share of its slots that it claims to be taken.
    :ivar slots: slots that it claims to have, None when not said.
    :ivar received_at: monotonic seconds.
    """

    load: float
    slots: int | None
    received_at: float


class LoadReports:
    """Judge load reports against the owner's own count.

    :param slots: announced slots.
    """

    def __init__(self, slots):
        self._slots = slots
        self._latest = None
        self.misleading = 0

    def set_slots(self, slots):
        """Take over newly announced slots."""
        self._slots = slots

    def receive(self, report, own_in_flight):
        """Keep a report and count it when it contradicts the owner.

        :param own_in_flight: calls that the owner knows to be in flight.
        """
        difference = abs(report.load * self._slots - own_in_flight)
        if difference > MISLEADING_DIFFERENCE * self._slots:
            self.misleading += 1
        self._latest = report

    def compute_cap(self, now):
        """Return the slots that may be used, at most the announced ones."""
        report = self._latest
        if report is None or report.slots is None:
            return self._slots
        if now - report.received_at > REPORT_LIFETIME_S:
            return self._slots
        lowest = max(1, int(self._slots * LOWEST_REPORTED_SHARE))
        return min(self._slots, max(lowest, report.slots))
