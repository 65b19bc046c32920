"""Measure the processor time that the event log takes for one request.

Run it with ``python -m cactusloft_bench.log_cost``. The events of a served
and of a refused request are recorded by three logs: one that writes every
line, one whose line budget is used up, and one that discards all events. The
logs take turns within one run, and the fastest round of each is reported.
"""

import os
import time

from cactusloft_model import clock
from cactusloft_model import events
from cactusloftd.resident import _line_log

ROUNDS = 7
REQUESTS_PER_ROUND = 2000
_Event = events.Event
# Events of a request that its owner sheds, the entry retries once and then
# refuses.
REFUSED_EVENTS = (
    _Event.CALL_SHED,
    _Event.CALL_DISPATCHED,
    _Event.CALL_RETRIED,
    _Event.CALL_SHED,
    _Event.CALL_DISPATCHED,
    _Event.CALL_REFUSED,
)
SERVED_EVENTS = (_Event.CALL_ANSWERED,)
EVENT_FIELDS = {
    'call_id': 'c2c22bab95399de5.cef5824bbeb2b634',
    'service': 'stock',
    'route': 'r-e9itfrz',
    'kind': 'overloaded',
    'not_run': 'true',
    'detail': 'no slot in time',
    'after_ms': 12,
}


class _DiscardingLog:
    """A log that discards all events."""

    def record(self, event, **fields):
        """Discard an event."""


def _make_log(lines_per_s):
    hybrid_clock = clock.HybridClock(lambda: time.time_ns() // 10**6)
    null_fd = os.open(os.devnull, os.O_WRONLY)
    writer = _line_log.LineWriter(null_fd)
    return _line_log.LineLog('daemon', hybrid_clock, writer, lines_per_s)


def _measure_us(log, events_of_request):
    """Return the microseconds of processor time for one request."""
    started_s = time.process_time()
    for _ in range(REQUESTS_PER_ROUND):
        for event in events_of_request:
            log.record(event, **EVENT_FIELDS)
    return (time.process_time() - started_s) / REQUESTS_PER_ROUND * 1e6


def main():
    """Print the cost of logging a served and a refused request."""
    logs = {
        'every line written': _make_log(1e9),
        'lines beyond the budget': _make_log(0.0),
        'no log': _DiscardingLog(),
    }
    for title, events_of_request in (
        ('served', SERVED_EVENTS),
        ('refused', REFUSED_EVENTS),
    ):
        lowest_us = dict.fromkeys(logs, float('inf'))
        for _ in range(ROUNDS):
            for name, log in logs.items():
                lowest_us[name] = min(
                    lowest_us[name], _measure_us(log, events_of_request)
                )
        for name, cost_us in lowest_us.items():
            print(f'{title} request, {name}: {cost_us:.1f} us')


if __name__ == '__main__':
    main()
