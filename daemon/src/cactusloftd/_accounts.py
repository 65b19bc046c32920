"""Rate limit and idempotency key of root calls."""

from returns import pipeline

from cactusloft_model import errors


class Accounts:
    """Charge root calls to their account and honour idempotency keys.

    :param rates: :class:`_rates.Rates`.
    :param reservations: :class:`_reservations.Reservations`.
    """

    def __init__(self, rates, reservations):
        self._rates = rates
        self._reservations = reservations

    async def run(self, call, dispatch):
        """Run a root call.

        :param dispatch: coroutine function(call) that runs it.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        admitted = await self._rates.admit(call.context)
        if not pipeline.is_successful(admitted):
            return admitted
        if call.idempotency_key:
            outcome = await self._reservations.run(call, dispatch)
        else:
            outcome = await dispatch(call)
        if _is_not_run(outcome):
            self._rates.return_token(admitted.unwrap())
        return outcome


class NoAccounts:
    """Run calls without rate limits and idempotency keys.

    Used with a fixed document file, where there is no control leader to
    allocate rates and no ledger group.
    """

    async def run(self, call, dispatch):
        """Run a root call."""
        return await dispatch(call)


def _is_not_run(outcome):
    if pipeline.is_successful(outcome):
        return outcome.unwrap().is_replayed
    return outcome.failure().response.not_run is errors.NotRun.TRUE
