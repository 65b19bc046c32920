"""Processor time of the decision log for one request: ``python -m``.

A served and a refused request leave their lines with logging on, beyond the
budget of lines, and with a log that keeps nothing; the three are measured in
turn in one run, and the best round of each counts.
"""

import os
import time

from cactusloft_model import clock
from cactusloft_model import events
from cactusloftd.resident import _line_log

ROUNDS = 7
REQUESTS = 2000
_V = events.Event
# The lines of a request that an owner and the entry refuse after one repeat.
REFUSED = (
    _V.CALL_SHED,
    _V.CALL_DISPATCHED,
    _V.CALL_RETRIED,
    _V.CALL_SHED,
    _V.CALL_DISPATCHED,
    _V.CALL_REFUSED,
)
SERVED = (_V.CALL_ANSWERED,)
FIELDS = {
    'call_id': 'c2c22bab95399de5.cef5824bbeb2b634',
    'service': 'stock',
    'route': 'r-e9itfrz',
    'kind': 'overloaded',
    'not_run': 'true',
    'detail': 'no slot in time',
    'after_ms': 12,
}


class _Silent:
    """A log that keeps nothing."""

    def record(self, event, **fields):
        """Drop an event."""


def _make_log(lines_per_s):
    hybrid_clock = clock.HybridClock(lambda: time.time_ns() // 10**6)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    writer = _line_log.LineWriter(descriptor)
    return _line_log.LineLog('daemon', hybrid_clock, writer, lines_per_s)


def _measure_us(log, kinds):
    """Return microseconds of processor time for one request."""
    started_at = time.process_time()
    for _ in range(REQUESTS):
        for event in kinds:
            log.record(event, **FIELDS)
    return (time.process_time() - started_at) / REQUESTS * 1e6


def main():
    """Print the cost of logging for both kinds of request."""
    logs = {
        'every line written': _make_log(1e9),
        'lines beyond the budget': _make_log(0.0),
        'no log': _Silent(),
    }
    for title, kinds in (('served', SERVED), ('refused', REFUSED)):
        best = dict.fromkeys(logs, float('inf'))
        for _ in range(ROUNDS):
            for name, log in logs.items():
                best[name] = min(best[name], _measure_us(log, kinds))
        for name, cost_us in best.items():
            print(f'{title} request, {name}: {cost_us:.1f} us')


if __name__ == '__main__':
    main()
