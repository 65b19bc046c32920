"""What has become of one attempt of a client."""

import collections

import attrs
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd.resident import _delivery

# Seconds for Retry-After of a call that found no room. Long enough for a
# queue to drain, short enough to come back in time.
RETRY_AFTER_S = 0.4
_E = errors.ErrorKind


@attrs.define
class Attempt:
    """What has become of one attempt of a client so far.

    :ivar most_reached: backend servers that may get the call.
    :ivar reached: owners whose backend server got it, or may have got it.
    :ivar sends: how often one of these got it.
    :ivar decliners: name and runner of owners whose backend server declined
        to run it although it was in time.
    :ivar may_have_run: whether one of them may have run it.
    :ivar is_sent: whether an owner has it just now.
    :ivar owner: the owner that was asked last.
    :ivar failed_answer: a backend server's own failure, given to the client
        when no repeat did better.
    """

    call: _calls.Call
    most_reached: int
    tried: set[str] = attrs.Factory(set)
    reached: set[str] = attrs.Factory(set)
    sends: int = 0
    decliners: collections.deque = attrs.Factory(collections.deque)
    may_have_run: bool = False
    is_sent: bool = False
    owner: str = ''
    failed_answer: object = None

    @property
    def may_try_another(self):
        """Tell whether another backend server may get the call."""
        return len(self.reached) < self.most_reached

    def begin(self, name):
        """Take note that an owner gets the call now."""
        self.tried.add(name)
        self.owner = name
        self.is_sent = True

    def make_sent_call(self):
        """Return the call as the next owner gets it."""
        if not self.sends or self.call.context.is_repeat:
            return self.call
        context = attrs.evolve(self.call.context, is_repeat=True)
        return attrs.evolve(self.call, context=context)

    def record_outcome(self, name, runner, outcome):
        """Count a send that reached a backend server."""
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            if is_not_run(error) and not is_declined(error):
                return
            if is_declined(error):
                self.decliners.append((name, runner))
        self.sends += 1
        self.reached.add(name)

    def settle(self, outcome):
        """Return the outcome for the client."""
        if isinstance(outcome, result.Success):
            return outcome
        if self.failed_answer is not None:
            return self.failed_answer
        error = outcome.failure()
        if not self.may_have_run and error.kind is _E.DEADLINE_EXCEEDED:
            # Nobody has it: no backend server was found in time.
            return _calls.fail(
                _E.OVERLOADED, 'no owner in time', errors.NotRun.TRUE
            )
        if self.may_have_run and is_not_run(error):
            # An earlier run of the same attempt may have happened.
            return _calls.fail(_E.OUTCOME_UNKNOWN, error.detail)
        if is_not_run(error) and error.kind is _E.BACKEND_SERVER_FAILED:
            # An order may come again only after a refusal that promises.
            error = errors.CallError(_E.NO_BACKEND_SERVER, error.detail)
        if is_not_run(error) and error.retry_after_s is None:
            error = attrs.evolve(error, retry_after_s=RETRY_AFTER_S)
        return result.Failure(error)


def is_failed(outcome):
    """Tell whether the sender of a call sees it fail."""
    if isinstance(outcome, result.Failure):
        return True
    return outcome.unwrap().status >= 500


def is_declined(error):
    """Tell whether a backend server itself declined to run a call."""
    return error.detail == _delivery.DECLINED


def is_not_run(error):
    """Tell whether a call has certainly not run."""
    return error.effective_not_run is errors.NotRun.TRUE
