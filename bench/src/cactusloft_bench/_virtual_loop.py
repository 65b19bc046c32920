"""Event loop in simulated time.

The clock jumps to the next timer instead of waiting for it, so a comparison
does not depend on how busy the machine is.
"""

import asyncio
import selectors


class _InstantSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('simulation waits for nothing')
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop without sockets whose time is simulated."""

    def __init__(self):
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self):
        """Return simulated seconds since the start."""
        return self._instant.now


def run_simulated(coroutine):
    """Run a coroutine to its end in simulated time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
