"""Stages of the dequeue pipeline, each a generator over the previous one."""

from cactusloft_admission import _tickets


def check_deadlines(tickets, read_clock, estimate_service_s, drops_late_calls):
    """Yield a decision for each call, to start it or to expire it when late.

    :param tickets: calls in order of service.
    :param estimate_service_s: function that maps a kind of call to its
        shortest recent service time in seconds.
    :param drops_late_calls: whether calls that would miss their deadline
        expire.
    """
    for ticket in tickets:
        now = read_clock()
        needed_s = estimate_service_s(ticket.kind)
        is_late = now > ticket.start_by or now + needed_s > ticket.deadline
        if drops_late_calls and is_late:
            yield _tickets.Decision(ticket, _tickets.Verdict.EXPIRED)
        else:
            yield _tickets.Decision(ticket, _tickets.Verdict.STARTED)


def fill_slots(decisions, has_capacity):
    """Yield decisions while a further call may start.

    :param has_capacity: function called before each decision is taken.
    """
    while has_capacity():
        decision = next(decisions, None)
        if decision is None:
            return
        yield decision
