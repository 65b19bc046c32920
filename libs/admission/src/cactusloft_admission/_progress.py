"""Which senders a process drops when it is short of memory or descriptors.

The load pattern: most clients of a crowd stop just short of the end of their
request and keep the connection open, or go on with a byte from time to time.
What has made the least progress for its time is dropped first, so that those
who send at an ordinary pace keep their place.
"""

import attrs

# A sender is judged by what it sent in a time of at least this length.
MEASURE_S = 1.0
# A sender that is faster than this is not dropped for others.
MAX_DROPPED_BYTES_PER_S = 64 * 1024
# Time from the first byte in which a head must be complete, whatever the bytes
# that still come. A body has more time for each byte that it consists of.
MAX_RECEIVE_S = 20.0
LEAST_BODY_BYTES_PER_S = 16 * 1024


@attrs.define
class Progress:
    """Progress of one sender.

    :ivar is_receiving: whether a request has begun and is not complete.
    :ivar began_at: monotonic seconds at which it began, or at which the last
        request ended.
    :ivar received_bytes: bytes of the request so far.
    """

    began_at: float
    is_receiving: bool = False
    received_bytes: int = 0
    _received_at: float = 0.0
    _measured_at: float = 0.0
    _measured_bytes: int = 0
    # Of the last whole measure; None in the first one.
    _last_rate: float | None = None

    def receive(self, size, now):
        """Record received bytes.

        :param now: monotonic seconds.
        """
        if not self.is_receiving:
            self.is_receiving = True
            self.began_at = self._measured_at = now
            self.received_bytes = self._measured_bytes = 0
            self._last_rate = None
        elif now - self._measured_at >= MEASURE_S:
            self._last_rate = self._compute_measured_rate(now)
            self._measured_at = now
            self._measured_bytes = self.received_bytes
        self.received_bytes += size
        self._received_at = now

    def finish(self, now):
        """Record that the request is complete or was answered."""
        self.is_receiving = False
        self.began_at = now

    def compute_rate(self, now):
        """Return the bytes per second of late, None if not measured yet."""
        if now - self._received_at >= MEASURE_S:
            return 0.0
        if now - self._measured_at < MEASURE_S:
            return self._last_rate
        return self._compute_measured_rate(now)

    def _compute_measured_rate(self, now):
        measured_bytes = self.received_bytes - self._measured_bytes
        return measured_bytes / (now - self._measured_at)

    def is_late(self, now, body_bytes):
        """Tell whether the request should have been complete by now.

        :param body_bytes: bytes of the body so far, 0 for a head.
        """
        allowed_s = MAX_RECEIVE_S + body_bytes / LEAST_BODY_BYTES_PER_S
        return self.is_receiving and now - self.began_at > allowed_s


def select_slowest(senders, count, now):
    """Return senders to drop when there is no room for another one.

    Idle connections come first, the longest idle one first, then requests with
    the least progress. A sender that has just come or makes progress stays.

    :param senders: pairs of a sender and its :class:`Progress`.
    :param count: most senders to return.
    :param now: monotonic seconds.
    """
    ranked = []
    for sender, progress in senders:
        if not progress.is_receiving:
            if now - progress.began_at >= MEASURE_S:
                ranked.append((-1.0, progress.began_at, sender))
            continue
        rate = progress.compute_rate(now)
        if rate is not None and rate < MAX_DROPPED_BYTES_PER_S:
            ranked.append((rate, progress.began_at, sender))
    ranked.sort(key=lambda entry: entry[:2])
    return [sender for _, _, sender in ranked[:count]]
