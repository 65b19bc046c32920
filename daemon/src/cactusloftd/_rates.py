"""Rate leases in the daemon: holders at entries, allocators at the leader."""

import asyncio
import collections
import itertools

import attrs
from returns import result

from cactusloft_model import errors
import cactusloft_quota as quota
from cactusloftd import _calls
from cactusloftd import _leader_link
from cactusloftd import _rate_messages

# Calls wait this long for a token before they are refused. An account of a few
# calls each second, used through two entries, lost 1.4% of the calls that one
# bucket would have admitted with 0.25 s, and none with 1 s.
WAIT_S = 1.0
# Bounds the memory that the calls of one account take while they wait.
MAX_WAITING = 256
WAITING_POLL_S = 0.01
PATIENCE = _leader_link.LeaderTimeouts(connect_s=0.3, reply_s=0.25)
FAILURE_PAUSE_S = 0.05
LEADER_POLL_S = 0.1
_E = errors.ErrorKind


@attrs.frozen
class Token:
    """A debited token of an account."""

    account: object
    debit: quota.Debit


class Rates:
    """Debit the rate leases of client accounts.

    :param name: name of this daemon.
    :param boot: identity of this process.
    :param view: :class:`_group.GroupView`.
    :param node: :class:`link.LinkNode`.
    :param allocators: :class:`Allocators` of this daemon.
    :param now: function that returns monotonic seconds.
    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, name, boot, view, node, allocators, now, metrics):
        self._name = name
        self._boot = boot
        self._leader = _leader_link.LeaderLink(
            view, node, allocators.answer, PATIENCE
        )
        self._allocators = allocators
        self._now = now
        self._metrics = metrics
        self._accounts = {}
        self._numbers = itertools.count()

    async def admit(self, context):
        """Debit the account of a root call.

        :param context: :class:`calls.CallContext`.
        :returns: ``Success(Token)``, ``Success(None)`` without an account, or
            ``Failure(CallError)``.
        """
        name = context.client_account
        if not name or not self._allocators.is_limited(name):
            return result.Success(None)
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = self._make_account(name)
        return await account.admit(context.deadline)

    def return_token(self, token):
        """Return the token of a call that is certainly not run."""
        if token is not None:
            token.account.return_token(token.debit)

    def count_leases(self):
        """Return the number of accounts with a live lease."""
        return sum(a.is_leased for a in self._accounts.values())

    def close(self):
        """Stop renewing all leases."""
        for account in self._accounts.values():
            account.task.cancel()

    def _make_account(self, name):
        # A holder that starts again counts its requests anew.
        boot = f'{self._boot}.{next(self._numbers)}'
        holder = quota.LeaseHolder(self._name, boot, name, self._now())
        account = _Account(holder, self._ask, self._now)
        account.task = asyncio.create_task(account.run())
        account.task.add_done_callback(lambda _: self._forget(name, account))
        return account

    def _forget(self, name, account):
        if self._accounts.get(name) is account:
            del self._accounts[name]

    async def _ask(self, request):
        reply = await self._leader.ask(request)
        grant = None if reply is None else reply.grant
        outcome = 'unanswered' if grant is None else 'granted'
        self._metrics.count('cactusloft_rate_grants_total', outcome)
        return grant


class _Account:
    """The holder of one account, its task, and the calls that wait."""

    def __init__(self, holder, ask, now):
        self._holder = holder
        self._ask = ask
        self._now = now
        self._waiters = collections.deque()
        self._wake = asyncio.Event()
        self.task = None

    @property
    def is_leased(self):
        """Tell whether the holder has a live lease."""
        return self._holder.is_leased(self._now())

    async def admit(self, deadline):
        """Take a token, waiting briefly for one."""
        now = self._now()
        self._holder.record_arrival(now)
        if not self._waiters:
            debit = self._holder.debit(now)
            if debit is not None:
                self._wake_if_due(now)
                return result.Success(Token(self, debit))
        if len(self._waiters) >= MAX_WAITING:
            return self._refuse()
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake.set()
        try:
            wait_s = min(WAIT_S, deadline - now)
            async with asyncio.timeout(wait_s):
                debit = await asyncio.shield(waiter)
            return result.Success(Token(self, debit))
        except TimeoutError:
            if waiter.done():
                # The token came together with the end of the wait.
                return result.Success(Token(self, waiter.result()))
            return self._refuse()
        except asyncio.CancelledError:
            if waiter.done():
                self.return_token(waiter.result())
            raise
        finally:
            if not waiter.done():
                self._waiters.remove(waiter)

    def return_token(self, debit):
        """Return a token."""
        self._holder.credit(debit, self._now())

    async def run(self):
        """Renew the lease until nobody calls any more."""
        while True:
            now = self._now()
            self._serve_waiters(now)
            due = self._holder.find_next_request_time(len(self._waiters))
            if now < due:
                await self._sleep(due - now)
            elif self._holder.is_idle(now):
                return
            else:
                await self._renew(now)

    def _refuse(self):
        if self._holder.is_leased(self._now()):
            return _calls.fail(_E.RATE_EXCEEDED)
        return _calls.fail(_E.RATE_UNAVAILABLE)

    def _wake_if_due(self, now):
        if self._holder.find_next_request_time(len(self._waiters)) <= now:
            self._wake.set()

    def _serve_waiters(self, now):
        while self._waiters:
            debit = self._holder.debit(now)
            if debit is None:
                return
            self._waiters.popleft().set_result(debit)

    async def _sleep(self, timeout_s):
        if self._waiters:
            timeout_s = min(timeout_s, WAITING_POLL_S)
        self._wake.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew(self, now):
        request = self._holder.make_request(now, len(self._waiters))
        grant = await self._ask(request)
        if grant is None:
            await asyncio.sleep(FAILURE_PAUSE_S)
            return
        self._holder.apply_grant(grant, self._now())


class Allocators:
    """Allocators of all accounts, on the control leader.

    :param view: :class:`_group.GroupView`.
    :param config: :class:`_config.Config`.
    :param leadership: :class:`_leadership.Leadership`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, view, config, leadership, now):
        self._view = view
        self._config = config
        self._leadership = leadership
        self._now = now
        self._term = None
        self._allocators = {}

    def is_limited(self, name):
        """Tell whether the document limits the rate of an account."""
        account = self._config.current.accounts.get(name)
        return account is None or account.rate > 0

    async def run(self):
        """Notice the start of a leadership, until cancelled."""
        while True:
            self._leadership.is_confirmed()
            await asyncio.sleep(LEADER_POLL_S)

    async def answer(self, request, _age_s):
        """Grant a lease; the handler of ``LeaseRequest``."""
        group = self._view.read()
        if not self._leadership.is_confirmed():
            return _rate_messages.LeaseReply(None, group.leader)
        if self._leadership.term != self._term:
            self._term = self._leadership.term
            self._allocators = {}
        own = self._view.replica.replica_id
        account = self._config.current.accounts.get(request.client_account)
        if account is None or not self._config.is_fresh():
            return _rate_messages.LeaseReply(None, own)
        allocator = self._find_allocator(account)
        grant = allocator.handle(request, self._now())
        return _rate_messages.LeaseReply(grant, own)

    def _find_allocator(self, account):
        allocator = self._allocators.get(account.name)
        if allocator is None:
            name = f'{self._view.replica.replica_id}:{self._term}'
            allocator = quota.Allocator(
                name,
                account.name,
                account.rate,
                account.burst,
                self._leadership.started_at,
            )
            self._allocators[account.name] = allocator
        allocator.set_limits(account.rate, account.burst, self._now())
        return allocator
