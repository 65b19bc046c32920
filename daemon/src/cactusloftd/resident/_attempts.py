"""State of one client request while the entry tries owners."""

import collections

import attrs
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd.resident import _delivery
from cactusloftd.resident import _owner

_E = errors.ErrorKind


@attrs.define
class Attempt:
    """State of one client request: the owners tried and what is known so far.

    :ivar max_reached: number of backend servers that may receive the call.
    :ivar tried: names of the owners that were tried.
    :ivar reached: names of the owners whose backend server received the call
        or may have received it.
    :ivar sends: number of sends that count in ``reached``; one backend server
        may receive the call several times.
    :ivar declined_owners: name and runner of each owner whose backend server
        declined to run the call.
    :ivar offers_left: number of owners that may still be asked for a free
        slot before the call waits for one.
    :ivar full_owners: load, name and runner of each owner that had none.
    :ivar may_have_run: whether a backend server may have run the call.
    :ivar is_offer: whether the owner is only asked for a free slot.
    :ivar is_in_flight: whether an owner is processing the call now.
    :ivar owner: name of the owner that was tried last.
    :ivar failed_outcome: outcome with the first error response of a backend
        server, returned to the client if no retry succeeds.
    """

    call: _calls.Call
    max_reached: int
    tried: set[str] = attrs.Factory(set)
    reached: set[str] = attrs.Factory(set)
    sends: int = 0
    declined_owners: collections.deque = attrs.Factory(collections.deque)
    offers_left: int = 0
    full_owners: list = attrs.Factory(list)
    may_have_run: bool = False
    is_in_flight: bool = False
    is_offer: bool = False
    owner: str = ''
    failed_outcome: object = None

    @property
    def may_try_another(self):
        """Tell whether another backend server may get the call."""
        return len(self.reached) < self.max_reached

    def start_send(self, name):
        """Record that the call is being sent to an owner."""
        self.tried.add(name)
        self.owner = name
        self.is_in_flight = True

    def make_call_to_send(self):
        """Return the call for the next owner, marked as a repeat if it is."""
        call = self.call
        if self.sends and not call.context.is_repeat:
            context = attrs.evolve(call.context, is_repeat=True)
            call = attrs.evolve(call, context=context)
        if self.is_offer:
            call = call.make_offer()
        return call

    def take_least_loaded(self):
        """Remove and return name and runner of the best full owner."""
        best = min(self.full_owners, key=lambda owner: owner[0])
        self.full_owners.remove(best)
        return best[1:]

    def record_outcome(self, name, runner, outcome):
        """Count a send that reached a backend server."""
        if not isinstance(outcome, result.Success):
            error = outcome.failure()
            if error.detail == _owner.NO_FREE_SLOT:
                self.full_owners.append((runner.load or 1.0, name, runner))
            if is_not_run(error) and not is_declined(error):
                return
            if is_declined(error):
                self.declined_owners.append((name, runner))
        self.sends += 1
        self.reached.add(name)

    async def close_failed_outcome(self):
        """Release what the first error response holds, if there is one."""
        if self.failed_outcome is not None:
            await self.failed_outcome.unwrap().close()

    def settle(self, outcome, retry_after_s):
        """Return the outcome for the client.

        :param retry_after_s: for a refusal that does not name a time itself.
        """
        if isinstance(outcome, result.Success):
            return outcome
        if self.failed_outcome is not None:
            return self.failed_outcome
        error = outcome.failure()
        if not self.may_have_run and error.kind is _E.DEADLINE_EXCEEDED:
            # The call never reached a backend server.
            return _calls.fail(
                _E.OVERLOADED,
                'no owner in time',
                errors.NotRun.TRUE,
                retry_after_s,
            )
        if self.may_have_run and is_not_run(error):
            # An earlier send of the same request may have run.
            return _calls.fail(_E.OUTCOME_UNKNOWN, error.detail)
        if is_not_run(error) and error.kind is _E.BACKEND_SERVER_FAILED:
            # Clients retry a request that is not idempotent only if the
            # response declares that it has not run.
            error = errors.CallError(_E.NO_BACKEND_SERVER, error.detail)
        if is_not_run(error) and error.retry_after_s is None:
            error = attrs.evolve(error, retry_after_s=retry_after_s)
        return result.Failure(error)


def is_failed(outcome):
    """Tell whether an outcome is an error for the caller."""
    if not isinstance(outcome, result.Success):
        return True
    return outcome.unwrap().status >= 500


def is_declined(error):
    """Tell whether the backend server itself declined to run the call."""
    return error.detail == _delivery.DECLINED


def is_not_run(error):
    """Tell whether the call is known not to have run."""
    return error.effective_not_run is errors.NotRun.TRUE
