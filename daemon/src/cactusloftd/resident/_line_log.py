"""Bounded log lines on standard output.

Each kind of event has a budget of lines, so that a flood of one kind leaves
room for the others, and events of failed calls have a larger one than those of
served calls. A reader that stops costs lines, never time.
"""

import errno
import os
import time

import structlog

from cactusloft_model import events

# Lines a second of each kind of event; bursts of twice as many.
LINES_PER_S = 60
SERVED_LINES_PER_S = 4
REPORT_INTERVAL_S = 5.0
_SERVED = (events.Event.CALL_ANSWERED, events.Event.CALL_ACCEPTED)
_PLAIN = (int, float, str, bool, type(None))


class LineWriter:
    """Write whole lines to a descriptor without waiting for its reader.

    :param descriptor: file descriptor, made non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._rest = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write a line, or drop it when the reader is behind."""
        if self._rest and not self._write_rest():
            self.dropped += 1
            return
        self._rest = text.encode()
        self._write_rest()

    def flush(self):
        """Do nothing: lines are written at once."""

    def _write_rest(self):
        try:
            while self._rest:
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EINTR):
                # Nobody reads any more; the lines have nowhere to go.
                self._rest = b''
            return False
        return True


class _Budget:
    """Token bucket for the lines of one kind of event."""

    def __init__(self, rate, now):
        self._rate = rate
        self._tokens = 2.0 * rate
        self._filled_at = now
        self.dropped = 0

    def take(self, now):
        """Take a line; return whether there was one."""
        earned = (now - self._filled_at) * self._rate
        self._tokens = min(2.0 * self._rate, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class LineLog(events.EventLog):
    """Event log that writes one line for each event, within bounds.

    :param daemon: name of the daemon.
    :param hybrid_clock: :class:`clock.HybridClock`.
    :param writer: :class:`LineWriter`.
    :param lines_per_s: lines a second of each kind of event, None for the
        limits above.
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
        self._budgets = {}
        self._lines_per_s = lines_per_s
        self._reported_at = time.monotonic()
        self._reported = 0

    def record(self, event, **fields):
        """Count an event and write its line if there is budget for it."""
        if self.takes(event):
            self._write(event, fields)

    def takes(self, event):
        """Count an event; tell whether there is budget for its line."""
        self.on_record(event, None)
        now = time.monotonic()
        if now - self._reported_at > REPORT_INTERVAL_S:
            self._report_dropped(now)
        budget = self._budgets.get(event)
        if budget is None:
            rate = self._lines_per_s
            if rate is None:
                rate = SERVED_LINES_PER_S if event in _SERVED else LINES_PER_S
            budget = self._budgets[event] = _Budget(rate, now)
        return budget.take(now)

    def write(self, event, **fields):
        """Write the line of an event that was counted."""
        self._write(event, fields)

    def _write(self, event, fields):
        plain = {
            name: value if isinstance(value, _PLAIN) else str(value)
            for name, value in fields.items()
        }
        self._lines.info(event.name.lower(), event_id=int(event), **plain)

    def _report_dropped(self, now):
        self._reported_at = now
        by_event = {
            event.name.lower(): budget.dropped
            for event, budget in self._budgets.items()
            if budget.dropped
        }
        total = sum(by_event.values()) + self._writer.dropped
        if total == self._reported:
            return
        self._reported = total
        self._write(
            events.Event.LINES_DROPPED,
            {'by_event': str(by_event), 'unread': self._writer.dropped},
        )
