"""Whether owners share room by the work of calls, and what follows for one.

Sharing by work is on where backend servers report how long work takes now.
Such deployments have calls of very different length and backend servers of
different speed. Others are served by the count of calls, as before.
"""

from cactusloft_admission import waiting

# For calls whose entry sent no patience.
DEFAULT_PATIENCE_S = 1.4
# For calls of a backend server that has not ended any yet.
DEFAULT_COST_S = 0.05


class Sharing:
    """Switch of the sharing by work at one owner.

    :ivar is_on: whether it is on; it stays on while the daemon runs.
    """

    def __init__(self):
        self.is_on = False

    def observe(self, load):
        """Switch it on if a backend server reports its slowness.

        :param load: load of a :class:`protocol.ResponseMetadata`, or None.
        """
        if load is not None and load.slowness is not None:
            self.is_on = True


def estimate_cost(times, route):
    """Return the slot seconds that a call is expected to use.

    :param times: :class:`_service_times.ServiceTimes` of the backend server.
    """
    return times.find(route) or times.mean_s or DEFAULT_COST_S


def plan_wait(call, ticket, admission, slots, now):
    """Return the :class:`waiting.Wait` for a call at its owner.

    :param ticket: :class:`controller.Ticket` with the cost of the call.
    :param admission: :class:`controller.Admission` of the backend server.
    :param slots: announced slots. They count until the first response, since
        the bound on first calls ends with it.
    """
    if admission.first_calls is None:
        slots = admission.compute_limit()
    outlook = waiting.Outlook(
        left_s=call.context.deadline - now,
        patience_s=call.patience_s or DEFAULT_PATIENCE_S,
        cost_s=ticket.cost_s,
        work_ahead_s=admission.estimate_work_ahead(ticket),
        calls_ahead=admission.count_ahead(ticket),
        slots=slots,
        rate_limit=admission.rate_limit,
    )
    return waiting.decide(outlook)
