"""Callers that wait for a change or for a confirmation of the leader."""

import asyncio

import attrs

from returns import result


@attrs.frozen
class ChangeWaiter:
    """A caller that waits for the outcome of a log entry.

    :ivar term: term of the entry.
    :ivar on_decided: function called with the outcome, or None.
    """

    term: int
    future: asyncio.Future
    on_decided: object


@attrs.frozen(eq=False)
class _ConfirmationWaiter:
    asked_at: float
    future: asyncio.Future


class Confirmations:
    """Resolve callers once the leader is confirmed after they asked."""

    def __init__(self):
        self._waiters = []

    async def wait(self, asked_at, timeout_s):
        """Wait for a confirmation after ``asked_at``.

        :param asked_at: monotonic seconds.
        :returns: ``Success(None)``, the failure that ended the wait, or None
            after ``timeout_s``.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = _ConfirmationWaiter(asked_at, future)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiters.remove(waiter)

    def resolve(self, confirmed_at):
        """End the waits that began before a confirmation.

        :param confirmed_at: monotonic seconds of the confirmation, or None.
        """
        for waiter in self._waiters:
            if confirmed_at is not None and confirmed_at > waiter.asked_at:
                _set_result(waiter, result.Success(None))

    def fail(self, failure):
        """End all waits with ``failure``."""
        for waiter in self._waiters:
            _set_result(waiter, failure)


def _set_result(waiter, outcome):
    if not waiter.future.done():
        waiter.future.set_result(outcome)
