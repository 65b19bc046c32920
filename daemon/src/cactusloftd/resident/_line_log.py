"""Rate-limited, non-blocking log lines on standard output.

Each kind of event has its own rate limit, so that a flood of one kind does not
suppress the others. The limit of failed calls is higher than that of served
calls. If the reader of the log stalls, lines are dropped; the process never
blocks.
"""

import errno
import math
import os
import time

import structlog

from cactusloft_model import events

# Limits for each kind of event; bursts may have twice as many lines.
MAX_LINES_PER_S = 60
MAX_SERVED_LINES_PER_S = 4
REPORT_INTERVAL_S = 5.0
_SERVED_EVENTS = (events.Event.CALL_ANSWERED, events.Event.CALL_ACCEPTED)
_PLAIN_TYPES = (int, float, str, bool, type(None))


class LineWriter:
    """Write whole lines to a file descriptor without blocking.

    :param descriptor: file descriptor, set to non-blocking.
    :ivar dropped: number of lines dropped so far.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write a line, or drop it while an earlier one is incomplete."""
        if self._unwritten and not self._write_pending():
            self.dropped += 1
            return
        self._unwritten = text.encode()
        self._write_pending()

    def flush(self):
        """Do nothing: lines are written at once."""

    def _write_pending(self):
        try:
            while self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EINTR):
                # The reader is gone, so the line cannot be completed.
                self._unwritten = b''
            return False
        return True


class _LineLimit:
    """Token bucket that limits the lines of one kind of event.

    :param rate: lines per second.
    :param now: monotonic time in seconds.
    :ivar dropped: number of lines dropped so far.
    """

    def __init__(self, rate, now):
        self._rate = rate
        self._tokens = 2.0 * rate
        self._filled_at = now
        self.dropped = 0

    def take(self, now):
        """Take the token for one line; tell whether there was one."""
        refill = (now - self._filled_at) * self._rate
        self._tokens = min(2.0 * self._rate, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class LineLog(events.EventLog):
    """Event log that writes one line per event within the rate limits.

    :param daemon: name of the daemon.
    :param hybrid_clock: :class:`clock.HybridClock`.
    :param writer: :class:`LineWriter`.
    :param lines_per_s: maximum lines per second for each kind of event, None
        for the limits above.
    """

    def __init__(self, daemon, hybrid_clock, writer, lines_per_s=None):
        logger = structlog.wrap_logger(
            structlog.WriteLogger(writer),
            processors=[
                structlog.processors.TimeStamper(fmt='iso', utc=True),
                structlog.processors.JSONRenderer(),
            ],
        )
        super().__init__(daemon, hybrid_clock, logger, max_records=0)
        self._lines = logger
        self._writer = writer
        self._limits = {}
        self._lines_per_s = lines_per_s
        self._reported_at = time.monotonic()
        self._reported_dropped = 0

    def record(self, event, **fields):
        """Count an event and write its line if the rate limit allows it."""
        if self.takes(event):
            self._write(event, fields)

    def takes(self, event):
        """Count an event; tell whether the rate limit allows its line."""
        self.on_record(event, None)
        now = time.monotonic()
        if now - self._reported_at > REPORT_INTERVAL_S:
            self._report_dropped(now)
        limit = self._limits.get(event)
        if limit is None:
            rate = self._lines_per_s
            if rate is None:
                rate = (
                    MAX_SERVED_LINES_PER_S
                    if event in _SERVED_EVENTS
                    else MAX_LINES_PER_S
                )
            limit = self._limits[event] = _LineLimit(rate, now)
        return limit.take(now)

    def write(self, event, **fields):
        """Write the line of an event that :meth:`takes` has counted."""
        self._write(event, fields)

    def _write(self, event, fields):
        plain = {name: _make_plain(value) for name, value in fields.items()}
        self._lines.info(event.name.lower(), event_id=int(event), **plain)

    def _report_dropped(self, now):
        self._reported_at = now
        by_event = {
            event.name.lower(): limit.dropped
            for event, limit in self._limits.items()
            if limit.dropped
        }
        total = sum(by_event.values()) + self._writer.dropped
        if total == self._reported_dropped:
            return
        self._reported_dropped = total
        self._write(
            events.Event.LINES_DROPPED,
            {'by_event': str(by_event), 'unread': self._writer.dropped},
        )


def _make_plain(value):
    """Return a value that JSON has, which lacks infinity."""
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value if isinstance(value, _PLAIN_TYPES) else str(value)
