"""What the local backend server still has to do, and how slow it is now.

The owner tells this to entries with each response and refusal, see
``docs/design/placing.md``.
"""

from cactusloft_placement import speeds
from cactusloft_placement import work


class Backlog:
    """Running and queued work of one backend server process.

    :param times: :class:`_service_times.ServiceTimes`.
    :param now: function that returns monotonic time in seconds.
    """

    def __init__(self, times, now):
        self._times = times
        self._now = now
        self._work = work.ServerWork()
        self._speed = speeds.ServerSpeed()

    def receive_load(self, load):
        """Apply the load that the backend server reported.

        :param load: :class:`protocol.ServerLoad`, or None.
        """
        if load is not None and load.slowness is not None:
            self._speed.record_figure(load.slowness, self._now())

    def enqueue(self, route):
        """Add a call that waits for a slot; return its expected cost.

        :returns: slot-seconds, to be given back to :meth:`dequeue`.
        """
        cost_s = self._times.expect(route)
        self._work.enqueue(cost_s)
        return cost_s

    def dequeue(self, cost_s):
        """Remove a call that waits no longer."""
        self._work.dequeue(cost_s)

    def start(self, cost_s, now):
        """Add a call that has started; return the slowness at its start.

        :param now: monotonic time in seconds.
        """
        self._work.start(cost_s, now)
        if not self._speed.has_figure:
            return 1.0
        return self._speed.compute_slowness(now)

    def finish(self, cost_s, started_at):
        """Remove a call that has ended, with the values of its start."""
        self._work.finish(cost_s, started_at)

    def record_success(self, route, service_time_s, cost_s, slowness):
        """Record the service time of a call that succeeded.

        :param cost_s: slot-seconds that it was expected to cost.
        :param slowness: the one at its start, which stands for its whole time
            together with the present one.
        """
        if not self._speed.has_figure:
            self._times.record_cost(route, service_time_s, 1.0)
            return
        now = self._now()
        slowness = (slowness + self._speed.compute_slowness(now)) / 2
        self._times.record_cost(route, service_time_s, slowness)
        self._speed.record_response(service_time_s, cost_s, slowness, now)

    def is_slow_for(self, call):
        """Tell whether another backend server would suit a call better."""
        if not self._speed.has_figure:
            return False
        slowness = self._speed.compute_slowness(self._now())
        if slowness <= 1.0:
            return False
        cost_s = self._times.expect(call.route)
        return work.is_too_slow(cost_s, slowness, call.patience_s)

    def estimate_end(self, call, report):
        """Return the seconds until the end of a call, None if unknown.

        :param report: present :class:`work.WorkReport`, or None.
        """
        if report is None:
            return None
        cost_s = self._times.expect(call.route)
        return work.estimate_end(report, cost_s)

    def make_report(self, slots, has_capacity, is_asked=False):
        """Return the :class:`work.WorkReport` for entries.

        None if the backend server does not report how long work takes, unless
        it is asked for.

        :param slots: number of calls that may run at once.
        :param has_capacity: whether a call would start at once.
        """
        if not self._speed.has_figure and not is_asked:
            return None
        now = self._now()
        slowness = self._speed.compute_slowness(now)
        delay_s = self._work.compute_start_delay(
            slots, slowness, has_capacity, now
        )
        return work.WorkReport(round(delay_s * 1000), round(slowness * 100))
