"""Hybrid logical clock.

Stamps follow the wall clock where they can and message order where they must:
an event that could have caused another one always has the lower stamp.
"""

import time

import attrs


def read_boot_time():
    """Return seconds since boot, time in which the host slept included.

    Leases and confirmations have to lapse while a host is suspended; the
    monotonic clock stands still then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen(order=True)
class Stamp:
    """A point in causal order.

    :ivar wall_ms: wall clock milliseconds since the epoch.
    :ivar counter: order of events with equal ``wall_ms``.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Issue stamps that never run backwards.

    :param read_wall_ms: function that returns wall clock milliseconds.
    """

    def __init__(self, read_wall_ms):
        self._read_wall_ms = read_wall_ms
        self._last = Stamp(0, 0)

    def tick(self):
        """Return the stamp of a local event or of a message sent.

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
        """Take note of a received stamp and return the stamp of receipt.

        :param stamp: the sender's :class:`Stamp`.
        """
        if stamp > self._last:
            self._last = stamp
        return self.tick()
