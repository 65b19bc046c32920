"""Retry allowance of root calls, held by their entry only.

Every retry anywhere in the chain takes one credit here, so the number of
retries does not multiply with the depth of the chain.
"""

import collections

import attrs

MOST_ROOT_CALLS = 100_000


@attrs.define
class _Allowance:
    credits: int
    deadline: float


class RootAllowances:
    """Credits of the root calls that entered at this daemon.

    :param read_clock: function that returns monotonic seconds.
    """

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._allowances = collections.OrderedDict()

    def __len__(self):
        return len(self._allowances)

    def open(self, root_call_id, credits, deadline):
        """Give a new root call its allowance.

        :param credits: retries allowed over the whole chain.
        :param deadline: monotonic seconds; no credit is given after it.
        """
        self._allowances[root_call_id] = _Allowance(credits, deadline)
        if len(self._allowances) > MOST_ROOT_CALLS:
            self._allowances.popitem(last=False)

    def take(self, root_call_id):
        """Take one credit.

        :returns: whether one was left. An unknown root call has none, also
            after a restart of the entry.
        """
        allowance = self._allowances.get(root_call_id)
        if allowance is None or allowance.credits <= 0:
            return False
        if self._read_clock() > allowance.deadline:
            return False
        allowance.credits -= 1
        return True

    def close(self, root_call_id):
        """Forget an answered root call; late requests get no credit."""
        self._allowances.pop(root_call_id, None)
