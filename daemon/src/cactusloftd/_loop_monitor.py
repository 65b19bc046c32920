"""Detection of an event loop that was blocked, or a process that stood still.

While the loop is blocked, a daemon answers nobody: heartbeats, watches and
confirmations are late. Other hosts only see the silence.
"""

import asyncio

from cactusloft_model import events

CHECK_INTERVAL_S = 0.25
# Shorter delays are common on a busy host and harm no heartbeat.
BLOCKED_S = 0.2


class LoopMonitor:
    """Log each delay of the event loop.

    :param log: :class:`events.EventLog`.
    :param now: function that returns seconds of a clock that also counts
        while the host is suspended.
    """

    def __init__(self, log, now):
        self._log = log
        self._now = now

    async def run(self):
        """Measure how late a timer fires, until cancelled."""
        while True:
            due_at = self._now() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            delay_s = self._now() - due_at
            if delay_s > BLOCKED_S:
                self._log.record(
                    events.Event.LOOP_BLOCKED, delay_s=round(delay_s, 3)
                )
