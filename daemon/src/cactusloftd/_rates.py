"""Rate limits of client accounts.

Entries hold leases; the control leader allocates them.
"""

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

# Limits the time that a call waits for a token. With 0.25 s, an account of a
# few calls per second that uses two entries lost 1.4% of the calls that a
# single token bucket would have admitted; with 1 s it lost none.
TOKEN_WAIT_TIMEOUT_S = 1.0
# Limits the memory taken by waiting calls of one account.
MAX_WAITING_CALLS = 256
WAITING_POLL_INTERVAL_S = 0.01
LEADER_TIMEOUTS = _leader_link.LeaderTimeouts(connect_s=0.3, reply_s=0.25)
RETRY_DELAY_S = 0.05
LEADERSHIP_POLL_INTERVAL_S = 0.1
_E = errors.ErrorKind


@attrs.frozen
class Token:
    """A token that a call took from the lease of an account."""

    account: object
    debit: quota.Debit


class Rates:
    """Charge root calls to the rate leases of client accounts.

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
            view, node, allocators.handle_lease_request, LEADER_TIMEOUTS
        )
        self._allocators = allocators
        self._now = now
        self._metrics = metrics
        self._accounts = {}
        self._holder_numbers = itertools.count()

    async def admit(self, context):
        """Take a token of the account of a root call, waiting if needed.

        :param context: :class:`calls.CallContext`.
        :returns: ``Success(Token)``, ``Success(None)`` without an account or
            a rate limit, or ``Failure(CallError)``.
        """
        name = context.client_account
        if not name or not self._allocators.is_limited(name):
            return result.Success(None)
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = self._make_account(name)
        return await account.admit(context.deadline)

    def return_token(self, token):
        """Return the token of a call that was certainly not run.

        :param token: :class:`Token`, or None if the call took none.
        """
        if token is not None:
            token.account.return_token(token.debit)

    def count_leases(self):
        """Return the number of accounts with a valid lease."""
        return sum(a.is_leased for a in self._accounts.values())

    def close(self):
        """Stop renewing all leases."""
        for account in self._accounts.values():
            account.task.cancel()

    def _make_account(self, name):
        # A new holder numbers its requests from the start, so it needs an
        # identity of its own.
        boot = f'{self._boot}.{next(self._holder_numbers)}'
        holder = quota.LeaseHolder(self._name, boot, name, self._now())
        account = _Account(holder, self._request_grant, self._now)
        account.task = asyncio.create_task(account.run())
        account.task.add_done_callback(lambda _: self._remove(name, account))
        return account

    def _remove(self, name, account):
        if self._accounts.get(name) is account:
            del self._accounts[name]

    async def _request_grant(self, request):
        reply = await self._leader.ask(request)
        grant = None if reply is None else reply.grant
        outcome = 'unanswered' if grant is None else 'granted'
        self._metrics.count('cactusloft_rate_grants_total', outcome)
        return grant


class _Account:
    """The lease of one account and the calls that wait for its tokens."""

    def __init__(self, holder, ask, now):
        self._holder = holder
        self._request_grant = ask
        self._now = now
        self._waiters = collections.deque()
        self._wake_event = asyncio.Event()
        self.task = None

    @property
    def is_leased(self):
        """Return whether the holder has a valid lease."""
        return self._holder.is_leased(self._now())

    async def admit(self, deadline):
        """Take a token, or wait for one up to ``TOKEN_WAIT_TIMEOUT_S``.

        :param deadline: deadline of the call.
        """
        now = self._now()
        self._holder.record_arrival(now)
        if not self._waiters:
            debit = self._holder.debit(now)
            if debit is not None:
                self._wake_if_due(now)
                return result.Success(Token(self, debit))
        if len(self._waiters) >= MAX_WAITING_CALLS:
            return self._refuse()
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake_event.set()
        try:
            wait_s = min(TOKEN_WAIT_TIMEOUT_S, deadline - now)
            async with asyncio.timeout(wait_s):
                debit = await asyncio.shield(waiter)
            return result.Success(Token(self, debit))
        except TimeoutError:
            if waiter.done():
                # The token arrived in the moment of the timeout.
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
        """Put a token back into the lease."""
        self._holder.credit(debit, self._now())

    async def run(self):
        """Renew the lease until the account is idle."""
        while True:
            now = self._now()
            self._serve_waiters(now)
            next_request_at = self._holder.find_next_request_time(
                len(self._waiters)
            )
            if now < next_request_at:
                await self._sleep(next_request_at - now)
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
            self._wake_event.set()

    def _serve_waiters(self, now):
        while self._waiters:
            debit = self._holder.debit(now)
            if debit is None:
                return
            self._waiters.popleft().set_result(debit)

    async def _sleep(self, timeout_s):
        if self._waiters:
            timeout_s = min(timeout_s, WAITING_POLL_INTERVAL_S)
        self._wake_event.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake_event.wait()
        except TimeoutError:
            return

    async def _renew(self, now):
        request = self._holder.make_request(now, len(self._waiters))
        grant = await self._request_grant(request)
        if grant is None:
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._holder.apply_grant(grant, self._now())


class Allocators:
    """Allocators of all accounts, active on the control leader.

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
        """Return whether an account may have a rate limit.

        True also for an account that the local document lacks.
        """
        account = self._config.current.accounts.get(name)
        return account is None or account.rate > 0

    async def run(self):
        """Poll the leadership, so that its start time is known.

        Runs until cancelled.
        """
        while True:
            self._leadership.is_confirmed()
            await asyncio.sleep(LEADERSHIP_POLL_INTERVAL_S)

    async def handle_lease_request(self, request, _age_s):
        """Handle a ``LeaseRequest``: grant a lease if this is the leader."""
        group = self._view.read()
        if not self._leadership.is_confirmed():
            return _rate_messages.LeaseReply(None, group.leader)
        if self._leadership.term != self._term:
            self._term = self._leadership.term
            self._allocators = {}
        own_id = self._view.replica.replica_id
        account = self._config.current.accounts.get(request.client_account)
        if account is None or not self._config.is_fresh():
            return _rate_messages.LeaseReply(None, own_id)
        allocator = self._find_allocator(account)
        grant = allocator.handle(request, self._now())
        return _rate_messages.LeaseReply(grant, own_id)

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
