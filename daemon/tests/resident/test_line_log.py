"""Tests of the limits on log lines."""

import json
import os

from cactusloft_model import clock
from cactusloft_model import events
from cactusloftd.resident import _line_log

_V = events.Event
PIPE_BYTES = 4096


def make_log(descriptor):
    """Return a log that writes to a descriptor, and its writer."""
    writer = _line_log.LineWriter(descriptor)
    hybrid_clock = clock.HybridClock(lambda: 0)
    return _line_log.LineLog('d', hybrid_clock, writer), writer


class Reader:
    """Reads and decodes whole lines; keeps an incomplete one for later."""

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''

    def read(self):
        """Return the decoded lines that are complete."""
        while True:
            try:
                chunk = os.read(self._descriptor, 1 << 16)
            except BlockingIOError:
                break
            self._rest += chunk
        *lines, self._rest = self._rest.split(b'\n')
        return [json.loads(line) for line in lines]


def test_flood_of_one_event_does_not_suppress_others():
    """Thousands of refusals must not hide the event that explains them."""
    reading, writing = os.pipe()
    log, _ = make_log(writing)
    for index in range(2000):
        log.record(_V.CALL_REFUSED, call_id=str(index))
        log.record(_V.CALL_ANSWERED, call_id=str(index))
    log.record(_V.DOCUMENT_INSTALLED, version=7)
    lines = Reader(reading).read()
    names = [line['event'] for line in lines]
    assert names[-1] == 'document_installed'
    refused = names.count('call_refused')
    served = names.count('call_answered')
    assert served < refused <= 3 * _line_log.MAX_LINES_PER_S
    os.close(reading)
    os.close(writing)


def test_stalled_reader_drops_lines_without_blocking():
    """The process must not block on the collector of its log."""
    reading, writing = os.pipe()
    log, writer = make_log(writing)
    reader = Reader(reading)
    for kind in (_V.CALL_REFUSED, _V.CALL_SHED, _V.CALL_RETRIED):
        for index in range(100):
            log.record(kind, detail='x' * PIPE_BYTES)
    assert writer.dropped > 0
    # All received lines are whole, also once the reader resumes.
    assert all(line['detail'] for line in reader.read())
    log.record(_V.PEER_LOST, endpoint='127.0.0.1:1')
    log.record(_V.PEER_CONNECTED, endpoint='127.0.0.1:1')
    assert reader.read()[-1]['event'] == 'peer_connected'
    os.close(reading)
    os.close(writing)


def test_closed_reader_raises_nothing():
    """A closed standard output must not terminate the process."""
    reading, writing = os.pipe()
    log, _ = make_log(writing)
    os.close(reading)
    for _ in range(10):
        log.record(_V.PEER_LOST, endpoint='127.0.0.1:1')
    os.close(writing)


def test_infinite_age_makes_a_line_unreadable():
    """JSON has no infinity; strict readers would drop the whole line."""
    reading, writing = os.pipe()
    log, _ = make_log(writing)
    log.record(_V.READ_REFUSED, age_s=float('inf'))
    assert b'Infinity' not in os.read(reading, PIPE_BYTES)
    os.close(reading)
    os.close(writing)
