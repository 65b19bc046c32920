"""What has become of one attempt of a client."""

import attrs
from returns import result

from cactusloft_model import errors
from cactusloftd import _calls

# Seconds for Retry-After of a call that found no room. Long enough for a
# queue to drain, short enough to come back in time.
RETRY_AFTER_S = 0.4
_E = errors.ErrorKind


@attrs.define
class Attempt:
    """What has become of one attempt of a client so far.

    :ivar runs: backend servers that got the call, or may have got it.
    :ivar may_have_run: whether one of them may have run it.
    :ivar is_sent: whether an owner has it just now.
    :ivar owner: the owner that was asked last.
    :ivar failed_answer: a backend server's own failure, given to the client
        when no repeat did better.
    """

    call: _calls.Call
    most_runs: int
    tried: set[str] = attrs.Factory(set)
    runs: int = 0
    may_have_run: bool = False
    is_sent: bool = False
    owner: str = ''
    failed_answer: object = None

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


def is_not_run(error):
    """Tell whether a call has certainly not run."""
    return error.answer.not_run is errors.NotRun.TRUE
