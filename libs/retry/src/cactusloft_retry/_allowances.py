"""Retry allowances of root calls, kept by their entry only.

Every retry anywhere in the call chain takes one credit of its root call, so
the number of retries does not grow exponentially with the depth of the chain.
"""

import collections

import attrs

MAX_ROOT_CALLS = 100_000


@attrs.define
class _Allowance:
    credits: int
    deadline: float


class RootAllowances:
    """Retry credits of the root calls that entered at this daemon.

    :param read_clock: function that returns monotonic seconds.
    """

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._allowances = collections.OrderedDict()

    def __len__(self):
        return len(self._allowances)

    def open(self, root_call_id, credits, deadline):
        """Set the allowance of a new root call.

        :param credits: retries allowed in the whole call chain.
        :param deadline: monotonic seconds; no credit is granted after it.
        """
        self._allowances[root_call_id] = _Allowance(credits, deadline)
        if len(self._allowances) > MAX_ROOT_CALLS:
            self._allowances.popitem(last=False)

    def take(self, root_call_id):
        """Take one credit of a root call.

        :returns: whether one was left. An unknown root call has none; all are
            unknown after a restart of the entry.
        """
        allowance = self._allowances.get(root_call_id)
        if allowance is None or allowance.credits <= 0:
            return False
        if self._read_clock() > allowance.deadline:
            return False
        allowance.credits -= 1
        return True

    def close(self, root_call_id):
        """Remove the allowance of a root call that has its response."""
        self._allowances.pop(root_call_id, None)
