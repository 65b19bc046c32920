"""State of one client request while the entry tries owners."""

import collections

import attrs
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd.resident import _delivery
from cactusloftd.resident import _owner

_E = errors.ErrorKind
# Waits from this length on count against the patience of the next send.
MIN_COUNTED_WAIT_S = 0.02
# Patience of a call that has used all of its own, so that it still starts
# where there is room.
MIN_PATIENCE_S = 0.05


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
    :ivar full_owners: rank, name and runner of each owner that had none or
        was slow; the rank is the expected end of the call there, or the load
        of owners that do not know it.
    :ivar may_have_run: whether a backend server may have run the call.
    :ivar is_offer: whether the owner is only asked for a free slot.
    :ivar is_in_flight: whether an owner is processing the call now.
    :ivar owner: name of the owner that was tried last.
    :ivar room_in_s: least seconds until a call like it would start at an owner
        that refused it, None if no owner said so.
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
    room_in_s: float | None = None
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

    def make_call_to_send(self, waited_s=0.0):
        """Return the call for the next owner, marked as a repeat if it is.

        :param waited_s: seconds for which other owners have held it.
        """
        call = self.call
        if self.sends and not call.context.is_repeat:
            context = attrs.evolve(call.context, is_repeat=True)
            call = attrs.evolve(call, context=context)
        if self.is_offer:
            call = call.make_offer()
        if waited_s >= MIN_COUNTED_WAIT_S:
            patience_s = max(MIN_PATIENCE_S, call.patience_s - waited_s)
            call = attrs.evolve(call, patience_s=patience_s)
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
            if error.detail in (_owner.NO_FREE_SLOT, _owner.SLOW_NOW):
                rank = runner.estimate_end(self.call) or runner.load or 1.0
                self.full_owners.append((rank, name, runner))
            if error.detail in _owner.NO_ROOM_DETAILS:
                self._record_room(error.retry_after_s)
            if is_not_run(error) and not is_declined(error):
                return
            if is_declined(error):
                self.declined_owners.append((name, runner))
        self.sends += 1
        self.reached.add(name)

    def _record_room(self, room_in_s):
        if room_in_s is None:
            return
        if self.room_in_s is None or room_in_s < self.room_in_s:
            self.room_in_s = room_in_s

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
        # What an owner names is its own queue; the callers are spread here.
        has_time = error.retry_after_s is not None
        has_time = has_time and error.detail not in _owner.NO_ROOM_DETAILS
        if is_not_run(error) and not has_time:
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
