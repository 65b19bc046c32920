"""Event loop in simulated time.

The clock advances to the next timer without waiting, so results do not
depend on the load of the machine.
"""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                'simulation is deadlocked: no timer is scheduled'
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a simulated clock and without socket I/O."""

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Return simulated seconds since the loop was created."""
        return self._virtual_selector.now


def run_simulated(coroutine):
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
