"""Steps of the dequeue pipeline, each a generator over the one before."""

from cactusloft_admission import _tickets


def judge_deadlines(tickets, read_clock, expect_service_s, is_active):
    """Yield a decision for each call that leaves the queue.

    :param tickets: calls in order of service.
    :param expect_service_s: function from kind to the shortest time in
        seconds that such a call takes at present.
    :param is_active: whether calls that would be late are dropped.
    """
    for ticket in tickets:
        now = read_clock()
        needed_s = expect_service_s(ticket.kind)
        is_late = now > ticket.start_by or now + needed_s > ticket.deadline
        if is_active and is_late:
            yield _tickets.Decision(ticket, _tickets.Verdict.EXPIRED)
        else:
            yield _tickets.Decision(ticket, _tickets.Verdict.STARTED)


def fill_slots(decisions, has_room):
    """Yield decisions as long as there is room for one more call.

    :param has_room: function asked before each decision is made.
    """
    while has_room():
        decision = next(decisions, None)
        if decision is None:
            return
        yield decision
