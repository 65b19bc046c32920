"""Tasks and wake-ups that do not wait for another turn of the event loop.

A task of asyncio starts, and continues after each wait, in a later iteration
of the event loop; each of these iterations polls the sockets again. Most of
the cost of a short exchange between hosts is in these polls. The task here
runs its coroutine at once up to its first wait, and a :class:`Wakeup` that is
set from a callback of the event loop continues it at once.
"""

import asyncio


class Wakeup:
    """An event that is set once and awaited by one task."""

    _asyncio_future_blocking = False

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._callback = None
        self._is_set = False
        self._is_cancelled = False

    def __await__(self):
        if not self._is_set:
            self._asyncio_future_blocking = True
            yield self
        return self.result()

    def set(self):
        """Continue the waiting task; has no effect if it was called before."""
        self._finish()

    def done(self):
        """Tell whether the event was set or its task cancelled."""
        return self._is_set

    def cancel(self, msg=None):
        """Cancel the wait; called by the waiting task."""
        if self._is_set:
            return False
        self._is_cancelled = True
        self._finish()
        return True

    # What a task of asyncio requires of a future.

    def get_loop(self):
        """Return the event loop."""
        return self._loop

    def result(self):
        """Return None, or raise CancelledError after a cancellation."""
        if self._is_cancelled:
            raise asyncio.CancelledError
        return None

    def add_done_callback(self, callback, *, context=None):
        """Call ``callback`` with this object once it is set."""
        if self._is_set:
            self._loop.call_soon(callback, self)
        else:
            self._callback = callback

    def remove_done_callback(self, _callback):
        """Remove the callback."""
        self._callback = None

    def _finish(self):
        if self._is_set:
            return
        self._is_set = True
        callback, self._callback = self._callback, None
        if callback is None:
            return
        if self._is_cancelled or asyncio.current_task(self._loop) is not None:
            # The running task must reach its next wait first.
            self._loop.call_soon(callback, self)
        else:
            callback(self)


class ImmediateTask:
    """A task that runs its coroutine at once, up to its first wait.

    It supports what :func:`asyncio.timeout` requires of the current task. It
    is not listed by :func:`asyncio.all_tasks`, and its owner must keep a
    reference to it.

    :param coroutine: the coroutine to run.
    :param on_error: function(error) called with an exception that ends the
        coroutine, except a cancellation.
    """

    def __init__(self, coroutine, on_error):
        self._loop = asyncio.get_running_loop()
        self._coroutine = coroutine
        self._on_error = on_error
        self._waits_for = None
        self._is_done = False
        self._is_cancel_due = False
        self._cancel_requests = 0
        self._on_done = None
        self._step(None)

    def done(self):
        """Tell whether the coroutine has ended."""
        return self._is_done

    def add_done_callback(self, callback):
        """Call ``callback`` with this task when the coroutine ends."""
        if self._is_done:
            callback(self)
        else:
            self._on_done = callback

    def cancel(self, msg=None):
        """Raise CancelledError in the coroutine at its present wait."""
        if self._is_done:
            return False
        self._cancel_requests += 1
        if self._waits_for is None or not self._waits_for.cancel():
            self._is_cancel_due = True
        return True

    def cancelling(self):
        """Return the number of cancellations that were not withdrawn."""
        return self._cancel_requests

    def uncancel(self):
        """Withdraw one cancellation; return the number of those left."""
        if self._cancel_requests:
            self._cancel_requests -= 1
        return self._cancel_requests

    def _continue(self, _awaited):
        # Results and errors are raised by the awaited object itself.
        self._waits_for = None
        self._step(None)

    def _resume(self):
        self._step(None)

    def _step(self, error):
        if self._is_done:
            return
        if self._is_cancel_due:
            self._is_cancel_due = False
            error = asyncio.CancelledError()
        loop = self._loop
        outer = asyncio.current_task(loop)
        if outer is not None:
            asyncio._leave_task(loop, outer)
        asyncio._enter_task(loop, self)
        try:
            if error is None:
                awaited = self._coroutine.send(None)
            else:
                awaited = self._coroutine.throw(error)
        except (StopIteration, asyncio.CancelledError):
            self._finish()
        except Exception as failure:
            self._finish()
            self._on_error(failure)
        else:
            self._wait_for(awaited)
        finally:
            asyncio._leave_task(loop, self)
            if outer is not None:
                asyncio._enter_task(loop, outer)

    def _wait_for(self, awaited):
        if awaited is None:
            # A bare yield, for example of asyncio.sleep(0).
            self._loop.call_soon(self._resume)
            return
        awaited._asyncio_future_blocking = False
        self._waits_for = awaited
        awaited.add_done_callback(self._continue)
        if self._is_cancel_due and awaited.cancel():
            self._is_cancel_due = False

    def _finish(self):
        self._is_done = True
        self._waits_for = None
        callback, self._on_done = self._on_done, None
        if callback is not None:
            callback(self)
