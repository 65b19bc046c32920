"""How long requests wait for what a process learns after its start.

The load pattern: all hosts lose power at once, or one of them restarts. For
about a second hosts take requests, but know neither document nor leader.
Callers that are refused come back once; most come back too early and are
refused again. A request that waits is served by the time at which a refused
caller would have come back.
"""

import asyncio

# A process that knows nothing after this time refuses at once: the control
# group is lost, or out of reach.
MAX_START_S = 4.0
# Longest wait, and its share of the time until the deadline. The rest is for
# the call, or for a caller that comes back.
MAX_WAIT_S = 1.5
MAX_WAIT_SHARE = 0.3


def compute_wait(age_s, remaining_s):
    """Return the seconds that a request may wait, 0 to refuse it at once.

    :param age_s: seconds since the start of the process.
    :param remaining_s: seconds until the deadline of the request.

    >>> [compute_wait(*times) for times in ((1.0, 2.0), (3.8, 9.0), (5.0, 9))]
    [0.6, 0.2, 0.0]
    """
    wait_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * remaining_s, MAX_START_S - age_s)
    return max(0.0, round(wait_s, 3))


class Starting:
    """Start of a process, until its first document is confirmed.

    :param now: function that returns monotonic time in seconds.
    """

    def __init__(self, now):
        self._now = now
        self._started_at = now()
        self._finished = asyncio.Event()

    @property
    def is_over(self):
        """Tell whether a document was confirmed."""
        return self._finished.is_set()

    def finish(self):
        """Let all requests go on; called when a document is installed."""
        self._finished.set()

    def compute_wait(self, remaining_s):
        """Return how long a request may wait; see :func:`compute_wait`."""
        return compute_wait(self._now() - self._started_at, remaining_s)

    async def wait(self, remaining_s):
        """Wait for the first document, as long as a request may.

        :param remaining_s: seconds until the deadline of the request.
        """
        try:
            async with asyncio.timeout(self.compute_wait(remaining_s)):
                await self._finished.wait()
        except TimeoutError:
            # The caller refuses the request.
            return
