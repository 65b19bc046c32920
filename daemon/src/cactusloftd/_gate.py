"""Waiting for admission, by the decisions of the admission library."""

import asyncio

from cactusloft_admission import controller
import cactusloft_link as link

# Shortest timer: the clocks of the event loop and of the decisions differ.
MIN_DELAY_S = 0.001


class AdmissionGate:
    """Queue in which calls wait for a slot of one backend server process.

    :param admission: :class:`controller.Admission`.
    :param now: function that returns monotonic seconds.
    :ivar on_wait: function called when a call begins to wait.
    :ivar on_waited: function called when a call no longer waits.
    """

    def __init__(self, admission, now):
        self.admission = admission
        self._now = now
        self._waiters = {}
        self._timer = None
        self.on_wait = self.on_waited = _do_nothing

    @property
    def has_capacity(self):
        """Return whether a call would start without queueing."""
        return self.admission.has_capacity

    @property
    def held(self):
        """Return the number of calls that run or are queued."""
        return self.admission.in_flight + self.admission.queued

    async def enter(self, ticket):
        """Wait until the call may start, or until its latest start time.

        :returns: :class:`controller.Verdict`; after ``STARTED`` the caller
            must call :meth:`leave`.
        """
        verdict = self.submit(ticket)
        return verdict or await self.wait(ticket)

    def submit(self, ticket):
        """Let a call start if it can do so at once.

        :returns: :class:`controller.Verdict`, or None if it is queued and
            :meth:`wait` must be called.
        """
        decisions = self.admission.submit(ticket)
        self._apply(decisions)
        for decision in decisions:
            if decision.ticket is ticket:
                # Most calls are decided at once and need no timer.
                return decision.verdict
        return None

    async def wait(self, ticket):
        """Wait until a queued call may start, or until its latest start time.

        :returns: :class:`controller.Verdict`, as of :meth:`enter`.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        self.on_wait()
        try:
            with link.limit(ticket.last_start - self._now()):
                return await waiter
        except TimeoutError:
            self._withdraw(ticket, is_late=True)
            return controller.Verdict.EXPIRED
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)
            self.on_waited()

    def leave(self, ticket, outcome, latency_s=None):
        """Free the slot of a started call.

        :param outcome: :class:`controller.Outcome`.
        :param latency_s: seconds from the start to the head of the response,
            or None to count the whole time that the slot was occupied.
        """
        self._apply(self.admission.finish(ticket, outcome, latency_s))

    def receive_response(self, rate_limit, started_at):
        """Apply the rate limit that a response named, None for no limit.

        :param started_at: monotonic seconds at which its call was sent.
        """
        self._apply(self.admission.receive_response(rate_limit, started_at))

    def set_cold(self, rate, duration_s):
        """Limit the calls while the backend server is cold.

        :param rate: calls per second that it tolerates, above 0.
        :param duration_s: seconds for which it stays cold, 0 once it is warm.
        """
        self._apply(self.admission.set_cold(rate, duration_s))

    def _withdraw(self, ticket, is_late=False):
        if ticket.started_at is None:
            self._apply(self.admission.cancel(ticket, is_late))
        else:
            self.leave(ticket, controller.Outcome.ABANDONED)

    def _apply(self, decisions):
        for decision in decisions:
            waiter = self._waiters.get(decision.ticket)
            # A waiter that is done was cancelled; its task withdraws the
            # ticket when it is next scheduled.
            if waiter is not None and not waiter.done():
                waiter.set_result(decision.verdict)
        self._schedule_start()

    def _schedule_start(self):
        """Start the next queued call when the rate limit allows it."""
        delay_s = self.admission.compute_start_delay()
        if delay_s is None:
            return
        loop = asyncio.get_running_loop()
        due_at = loop.time() + max(MIN_DELAY_S, delay_s)
        if self._timer is not None:
            if self._timer.when() <= due_at + MIN_DELAY_S:
                return
            # The limit has been raised since.
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._start_queued)

    def _start_queued(self):
        self._timer = None
        self._apply(self.admission.advance())


def _do_nothing():
    pass
