"""Bounded queue with priority classes and fair shares inside a class.

The order of service is strict over classes, nested before root calls inside a
class, nested ones by the rank of their call tree, root calls by fair share
over the accounts. The order of eviction is the reverse one, so a call is never
refused while a call of a lower class stays.
"""

import collections
import typing

import attrs

from cactusloft_admission import _shares
from cactusloft_model import calls


# Steps of rank that are told apart; calls within one are served in turn.
RANK_STEPS = 16


class _Rank(typing.NamedTuple):
    """Order of service; compared for each call, so a plain tuple."""

    priority: calls.Priority
    nested: bool
    step: int


@attrs.define
class _Lane:
    """Queued calls of one rank."""

    by_account: dict[str, collections.deque] = attrs.Factory(dict)
    weights: dict[str, float] = attrs.Factory(dict)

    def push(self, account, ticket):
        line = self.by_account.setdefault(account, collections.deque())
        line.append(ticket)
        self.weights[account] = ticket.weight

    def pop(self, account, newest):
        line = self.by_account[account]
        ticket = line.pop() if newest else line.popleft()
        self._forget_empty(account)
        return ticket

    def remove(self, account, ticket):
        line = self.by_account.get(account, ())
        if ticket not in line:
            return False
        line.remove(ticket)
        self._forget_empty(account)
        return True

    def _forget_empty(self, account):
        if not self.by_account[account]:
            del self.by_account[account]
            del self.weights[account]

    def find_heaviest(self):
        """Return the account most over its share of the queue."""
        return max(
            self.by_account,
            key=lambda a: len(self.by_account[a]) / self.weights[a],
        )


class CallQueue:
    """Calls that wait for a slot of one backend server.

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
            for line in lane.by_account.values():
                yield from line

    def count_ahead(self, ticket):
        """Return the calls that are served before one that comes now.

        Fair shares inside its own rank are not considered.
        """
        rank = self._rank(ticket)
        lanes = (lane for r, lane in self._lanes.items() if r >= rank)
        return sum(
            len(line) for lane in lanes for line in lane.by_account.values()
        )

    def push(self, ticket):
        """Add a call."""
        lane = self._lanes.setdefault(self._rank(ticket), _Lane())
        lane.push(self._account(ticket), ticket)
        self._length += 1

    def remove(self, ticket):
        """Take out a call.

        :returns: whether the call was queued.
        """
        rank = self._rank(ticket)
        lane = self._lanes.get(rank)
        if lane is None or not lane.remove(self._account(ticket), ticket):
            return False
        self._shrink(rank)
        return True

    def evict(self):
        """Take out and return the call that is shed first."""
        rank = min(self._lanes)
        lane = self._lanes[rank]
        ticket = lane.pop(lane.find_heaviest(), newest=True)
        self._shrink(rank)
        return ticket

    def take_ordered(self, is_newest_first):
        """Yield calls in order of service and take each out.

        :param is_newest_first: function that tells the order inside an
            account, asked for each call.
        """
        while self._length:
            rank = max(self._lanes)
            lane = self._lanes[rank]
            shares = self._find_shares(rank.priority)
            account = min(lane.by_account, key=shares.start_tag)
            ticket = lane.pop(account, newest=is_newest_first())
            self._shrink(rank)
            yield ticket

    def charge_start(self, ticket):
        """Charge a started call to its account."""
        shares = self._find_shares(self._rank(ticket).priority)
        account = self._account(ticket)
        ticket.charge_s = shares.charge_start(account, ticket.weight)

    def settle(self, ticket, used_s):
        """Correct the charge of an ended call by its real slot seconds."""
        shares = self._find_shares(self._rank(ticket).priority)
        account = self._account(ticket)
        shares.settle(account, ticket.weight, ticket.charge_s, used_s)

    def _rank(self, ticket):
        if self._policy.priorities:
            step = int(RANK_STEPS * ticket.rank) if ticket.nested else 0
            return _Rank(ticket.priority, ticket.nested, step)
        return _Rank(calls.Priority.NORMAL, False, 0)

    def _account(self, ticket):
        return ticket.client_account if self._policy.fairness else ''

    def _find_shares(self, priority):
        if priority not in self._shares:
            self._shares[priority] = _shares.FairShares()
        return self._shares[priority]

    def _shrink(self, rank):
        self._length -= 1
        if not self._lanes[rank].by_account:
            del self._lanes[rank]
