"""Hybrid logical clock.

Stamps are close to wall clock time and never contradict message order: an
event that could have caused another one has the lower stamp, even when the
wall clocks of two hosts differ.
"""

import functools
import time

import attrs

# Returns seconds since boot, including time that the host was suspended.
# Leases and confirmations have to expire while a host is suspended;
# ``time.monotonic()`` does not advance during that time. It is not a function
# of Python, as it is called some 30 times for each call.
read_boot_time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


@attrs.frozen(order=True)
class Stamp:
    """A timestamp of the hybrid logical clock, ordered by causality.

    :ivar wall_ms: wall clock milliseconds since the epoch.
    :ivar counter: orders events with equal ``wall_ms``.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Issue strictly increasing stamps.

    :param read_wall_ms: function that returns wall clock milliseconds.
    """

    def __init__(self, read_wall_ms):
        self._read_wall_ms = read_wall_ms
        self._last = Stamp(0, 0)

    def tick(self):
        """Return the stamp of a local event or of a message to send.

        >>> clock = HybridClock(lambda: 5)
        >>> clock.tick() < clock.tick()
        True
        """
        wall_ms = self._read_wall_ms()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def merge(self, stamp):
        """Advance past a received stamp; return the stamp of the receipt.

        :param stamp: the sender's :class:`Stamp`.
        """
        if stamp > self._last:
            self._last = stamp
        return self.tick()
