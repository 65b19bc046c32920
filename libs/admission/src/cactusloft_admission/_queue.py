"""Bounded queue with priority classes and fair shares within a class.

Calls are served strictly by priority class, and inside it by urgency where
calls carry one. Among equals, nested calls come before root calls and calls
that came back after a refusal before others; nested calls are then ordered by
the rank of their call tree and root calls by the fair shares of their
accounts. Calls are evicted in reverse order, so none is refused while a call
of a lower class is queued.
"""

import collections
import typing

import attrs

from cactusloft_admission import _shares
from cactusloft_model import calls

# Ranks are rounded down to this number of steps; calls of the same step are
# served by the fair shares of their accounts.
RANK_STEPS = 16


class _Rank(typing.NamedTuple):
    """Order of service; a plain tuple since it is compared for each call."""

    priority: calls.Priority
    urgency: int
    nested: bool
    is_return: bool
    step: int


@attrs.define
class _Lane:
    """Queued calls of one rank.

    :ivar work: expected work of the queued calls of each account.
    """

    by_account: dict[str, collections.deque] = attrs.Factory(dict)
    work: dict[str, float] = attrs.Factory(dict)
    weights: dict[str, float] = attrs.Factory(dict)

    def push(self, account, ticket):
        account_calls = self.by_account.setdefault(
            account, collections.deque()
        )
        account_calls.append(ticket)
        self.work[account] = self.work.get(account, 0.0) + ticket.work
        self.weights[account] = ticket.weight

    def pop(self, account, newest):
        account_calls = self.by_account[account]
        ticket = account_calls.pop() if newest else account_calls.popleft()
        self._record_removal(account, ticket)
        return ticket

    def remove(self, account, ticket):
        account_calls = self.by_account.get(account, ())
        if ticket not in account_calls:
            return False
        account_calls.remove(ticket)
        self._record_removal(account, ticket)
        return True

    def _record_removal(self, account, ticket):
        self.work[account] -= ticket.work
        if not self.by_account[account]:
            del self.by_account[account]
            del self.work[account]
            del self.weights[account]

    def find_account_most_over_share(self):
        """Return the account with the most queued work for its weight.

        Calls of unknown cost count as equal.
        """
        return max(
            self.by_account, key=lambda a: self.work[a] / self.weights[a]
        )

    def estimate_work_before(self, account, weight, shares):
        """Return the queued work that fair shares put before a new call.

        :param shares: :class:`FairShares` of the priority class.
        """
        own = self.work.get(account, 0.0)
        start_tag = shares.find_start_tag(account) + own / weight
        before = own
        for other, queued in self.work.items():
            if other != account:
                due = start_tag - shares.find_start_tag(other)
                before += min(queued, max(0.0, due * self.weights[other]))
        return before


class CallQueue:
    """Calls queued for a slot of one backend server.

    :param policy: :class:`AdmissionPolicy`.
    """

    def __init__(self, policy):
        self._policy = policy
        self._lanes = {}
        self._shares = {}
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self):
        for lane in self._lanes.values():
            for account_calls in lane.by_account.values():
                yield from account_calls

    def count_ahead(self, ticket):
        """Return the number of queued calls served before a new call.

        All calls of its own rank count, whatever the fair shares.
        """
        rank = self._get_rank(ticket)
        lanes = (lane for r, lane in self._lanes.items() if r >= rank)
        return sum(
            len(account_calls)
            for lane in lanes
            for account_calls in lane.by_account.values()
        )

    def estimate_work_ahead(self, ticket):
        """Return the work of the queued calls served before a new call.

        Of its own rank it counts what the fair shares put before it, so the
        queue of one account does not count against the others.

        :returns: slot seconds, if the calls carry their costs.
        """
        rank = self._get_rank(ticket)
        ahead = sum(
            sum(lane.work.values())
            for other, lane in self._lanes.items()
            if other > rank
        )
        lane = self._lanes.get(rank)
        if lane is None:
            return ahead
        return ahead + lane.estimate_work_before(
            self._get_account(ticket),
            ticket.weight,
            self._find_shares(rank.priority),
        )

    def push(self, ticket):
        """Queue a call."""
        lane = self._lanes.setdefault(self._get_rank(ticket), _Lane())
        lane.push(self._get_account(ticket), ticket)
        self._length += 1

    def remove(self, ticket):
        """Remove a call.

        :returns: whether the call was queued.
        """
        rank = self._get_rank(ticket)
        lane = self._lanes.get(rank)
        if lane is None or not lane.remove(self._get_account(ticket), ticket):
            return False
        self._record_removal(rank)
        return True

    def evict(self):
        """Remove and return the call that is to be shed first."""
        rank = min(self._lanes)
        lane = self._lanes[rank]
        ticket = lane.pop(lane.find_account_most_over_share(), newest=True)
        self._record_removal(rank)
        return ticket

    def take_ordered(self, is_newest_first):
        """Remove and yield calls in order of service.

        :param is_newest_first: function called for each call that tells
            whether an account's newest call comes first.
        """
        while self._length:
            rank = max(self._lanes)
            lane = self._lanes[rank]
            shares = self._find_shares(rank.priority)
            account = min(lane.by_account, key=shares.find_start_tag)
            ticket = lane.pop(account, newest=is_newest_first())
            self._record_removal(rank)
            yield ticket

    def charge_start(self, ticket):
        """Charge the expected slot seconds of a call to its account."""
        shares = self._find_shares(self._get_rank(ticket).priority)
        account = self._get_account(ticket)
        ticket.charge_s = shares.charge_start(
            account, ticket.weight, ticket.cost_s
        )

    def settle(self, ticket, used_s):
        """Replace the charge of an ended call by its actual slot seconds."""
        shares = self._find_shares(self._get_rank(ticket).priority)
        account = self._get_account(ticket)
        shares.settle(account, ticket.weight, ticket.charge_s, used_s)

    def _get_rank(self, ticket):
        if self._policy.priorities:
            step = int(RANK_STEPS * ticket.rank) if ticket.nested else 0
            return _Rank(
                ticket.priority,
                ticket.urgency,
                ticket.nested,
                ticket.is_return,
                step,
            )
        return _Rank(calls.Priority.NORMAL, 0, False, False, 0)

    def _get_account(self, ticket):
        return ticket.client_account if self._policy.fairness else ''

    def _find_shares(self, priority):
        if priority not in self._shares:
            self._shares[priority] = _shares.FairShares()
        return self._shares[priority]

    def _record_removal(self, rank):
        self._length -= 1
        if not self._lanes[rank].by_account:
            del self._lanes[rank]
