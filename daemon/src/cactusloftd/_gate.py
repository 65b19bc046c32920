"""Waiting for admission: decisions of the admission library as futures."""

import asyncio

from cactusloft_admission import controller

_V = controller.Verdict


class AdmissionGate:
    """The way of calls to one backend server process.

    :param admission: :class:`controller.Admission`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, admission, now):
        self.admission = admission
        self._now = now
        self._waiters = {}

    @property
    def has_capacity(self):
        """Tell whether a call would start at once."""
        admission = self.admission
        is_open = admission.in_flight < admission.compute_limit()
        return is_open and not admission.queued

    @property
    def held(self):
        """Return the number of calls that run or wait."""
        return self.admission.in_flight + self.admission.queued

    async def enter(self, ticket):
        """Wait until the call may start, and at most as long as it may.

        :returns: :class:`controller.Verdict`; after ``STARTED`` the call has
            to ``leave``.
        """
        decisions = self.admission.submit(ticket)
        self._apply(decisions)
        for decision in decisions:
            if decision.ticket is ticket:
                # As for most calls; a timer would be in vain.
                return decision.verdict
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        try:
            async with asyncio.timeout(ticket.last_start - self._now()):
                return await waiter
        except TimeoutError:
            self._give_up(ticket, is_late=True)
            return _V.EXPIRED
        except asyncio.CancelledError:
            self._give_up(ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)

    def leave(self, ticket, outcome, latency_s=None):
        """Free the slot of a started call.

        :param outcome: :class:`controller.Outcome`.
        :param latency_s: seconds from the start to the head of the response,
            None for the whole time that the slot was taken.
        """
        self._apply(self.admission.finish(ticket, outcome, latency_s))

    def _give_up(self, ticket, is_late=False):
        if ticket.started_at is None:
            self._apply(self.admission.cancel(ticket, is_late))
        else:
            self.leave(ticket, controller.Outcome.ABANDONED)

    def _apply(self, decisions):
        for decision in decisions:
            waiter = self._waiters.get(decision.ticket)
            # A waiter that is done was cancelled; its task gives up the
            # ticket when it runs next.
            if waiter is not None and not waiter.done():
                waiter.set_result(decision.verdict)
