"""Debits of client accounts, from holders at entries to the leader's buckets.

A host has at most one debit request in flight. Calls that arrive meanwhile are
batched into the next one, so the number of messages grows with the number of
hosts and not of calls.
"""

import asyncio
import collections
import random

from returns import result

import cactusloft_link as link
from cactusloft_model import errors
import cactusloft_quota as quota
from cactusloftd import _calls
from cactusloftd import _leader_link
from cactusloftd import _rate_messages
from cactusloftd.resident import _returning
from cactusloftd.resident import _starting

REQUEST_TIMEOUTS = _leader_link.LeaderTimeouts(connect_s=0.1, reply_s=0.2)
RETRY_DELAY_S = 0.05
# Unused tokens are returned with the next request, at the latest after this
# time.
RETURN_INTERVAL_S = 0.25
LEADER_POLL_INTERVAL_S = 0.1
# A holder that asked for no debit in this time does not count as one.
HOLDER_RETENTION_S = 5.0
# Resource in the metrics.
TOKEN = 'token'
_E = errors.ErrorKind
# Whether an admitted call has a token of the leader.
_WITH_TOKEN, _WITHOUT_TOKEN = result.Success(True), result.Success(False)


class Debits:
    """Debits of root calls from their accounts, at an entry.

    :param name: name of this daemon.
    :param view: :class:`_group.GroupView`.
    :param config: :class:`_installed.InstalledDocument`.
    :param node: :class:`link.LinkNode`.
    :param buckets: :class:`Buckets` of this daemon.
    :param now: function that returns monotonic time in seconds.
    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, name, view, config, node, buckets, now, metrics):
        self._name = name
        self._config = config
        self._leader = _leader_link.LeaderLink(
            view, node, buckets.handle_debit, REQUEST_TIMEOUTS
        )
        self._now = now
        self._metrics = metrics
        self._holders = {}
        self._waiters = collections.defaultdict(collections.deque)
        self._wake = asyncio.Event()
        self._has_contact = True
        self._last_contact_at = float('-inf')
        self._random = random.Random()
        self._starting = _starting.Starting(now)
        # Of the last contact.
        self._holder_count = 0
        self._short_accounts = ()

    async def admit(self, context):
        """Take a token from the account of a call, from the leader if needed.

        :param context: :class:`calls.CallContext`.
        :returns: ``Success`` of whether the token is one of the leader's, to
            which it can be returned, or ``Failure(CallError)``.
        """
        name = context.client_account
        account = self._config.current.accounts.get(name)
        if account is None or not account.rate:
            return _WITHOUT_TOKEN
        holder = self._find_holder(name)
        holder.record_arrival()
        if holder.take(self._now()):
            self._metrics.release(TOKEN)
            return _WITH_TOKEN
        if not self._has_contact and not self._is_starting():
            return self._admit_without_leader(account, holder, context)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[name].append(waiter)
        self._wake.set()
        try:
            with link.limit(self._compute_wait(context)):
                retry_after_s = await waiter
        except TimeoutError:
            self._return_granted_token(name, waiter)
            return self._refuse_without_leader(context)
        except asyncio.CancelledError:
            self._return_granted_token(name, waiter)
            raise
        if retry_after_s is None:
            return self._admit_without_leader(account, holder, context)
        if retry_after_s:
            return _calls.fail(
                _E.RATE_EXCEEDED, '', errors.NotRun.TRUE, retry_after_s
            )
        return _WITH_TOKEN

    def return_token(self, context):
        """Return the token of a call that is known not to have run.

        Only for a token of the leader, as :meth:`admit` tells.
        """
        self._return_token(context.client_account)

    def count_held(self):
        """Return the tokens that are not used or returned yet."""
        return sum(holder.held for holder in self._holders.values())

    async def run(self):
        """Send debits when calls wait and return tokens, until cancelled."""
        while True:
            # Without calls of its own, a host has nothing to return.
            has_work = self._holders or not self._has_contact
            try:
                async with asyncio.timeout(
                    RETURN_INTERVAL_S if has_work else None
                ):
                    await self._wake.wait()
            except TimeoutError:
                # Unused tokens are returned now.
                pass
            self._wake.clear()
            await self._send()

    async def _send(self):
        now = self._now()
        waiting, self._waiters = (
            self._waiters,
            collections.defaultdict(collections.deque),
        )
        names = [*waiting, *(n for n in self._holders if n not in waiting)]
        debits = (
            self._holders[name].make_debit(name, len(waiting[name]), now)
            for name in names
        )
        debits = tuple(debit for debit in debits if debit is not None)
        self._metrics.release(TOKEN, sum(debit.returned for debit in debits))
        if not debits and self._has_contact:
            return
        reply = await self._leader.ask(quota.DebitRequest(self._name, debits))
        self._has_contact = reply is not None and reply.grants is not None
        self._metrics.count(
            'cactusloft_rate_grants_total',
            'granted' if self._has_contact else 'unanswered',
        )
        if not self._has_contact:
            if self._is_starting():
                self._keep_waiting(waiting)
            else:
                _resolve_without_grant(waiting)
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._last_contact_at = self._now()
        # A new leader has not heard of all holders yet.
        self._holder_count = max(self._holder_count, reply.holders)
        self._short_accounts = reply.short_accounts
        for grant in reply.grants:
            self._apply_grant(grant, waiting.pop(grant.client_account, ()))
        # The leader does not know these accounts yet.
        _resolve_without_grant(waiting)

    def _is_starting(self):
        """Tell whether the process has just started and heard no leader."""
        is_known = self._last_contact_at != float('-inf')
        return not is_known and self._starting.compute_wait(1.0) > 0

    def _compute_wait(self, context):
        """Return how long a call may wait for a token, in seconds."""
        remaining_s = context.deadline - self._now()
        if self._is_starting():
            return self._starting.compute_wait(remaining_s)
        return remaining_s

    def _keep_waiting(self, waiting):
        """Ask again for tokens that no leader granted or refused."""
        for name, waiters in waiting.items():
            pending = (waiter for waiter in waiters if not waiter.done())
            self._waiters[name].extendleft(reversed(list(pending)))
        self._wake.set()

    def _apply_grant(self, grant, waiters):
        holder = self._holders[grant.client_account]
        pending = [waiter for waiter in waiters if not waiter.done()]
        tokens = holder.apply_grant(grant, len(pending), self._now())
        self._metrics.grant(TOKEN, grant.tokens)
        self._metrics.release(TOKEN, tokens)
        for index, waiter in enumerate(pending):
            is_granted = index < tokens
            waiter.set_result(0.0 if is_granted else grant.retry_after_s)

    def _admit_without_leader(self, account, holder, context):
        """Admit a call without the leader if a spare token is left."""
        now, contact_at = self._now(), self._last_contact_at
        draw = self._random.random()
        if holder.take_spare_token(account.rate, now, contact_at, draw):
            return _WITHOUT_TOKEN
        is_short = account.name in self._short_accounts
        if self._holder_count and not is_short:
            limits = account.rate, account.burst
            if holder.take_outage_token(
                limits, self._holder_count, now, contact_at, draw
            ):
                return _WITHOUT_TOKEN
        return self._refuse_without_leader(context)

    def _refuse_without_leader(self, context):
        now = self._now()
        return _calls.fail(
            _E.RATE_UNAVAILABLE,
            'no contact to the control leader',
            errors.NotRun.TRUE,
            _returning.compute_outage_retry_after(
                context.call_id,
                context.deadline - now,
                now - self._last_contact_at,
            ),
        )

    def _return_granted_token(self, name, waiter):
        if not waiter.done() or waiter.cancelled():
            return
        if waiter.result() == 0.0:
            self._return_token(name)

    def _return_token(self, name):
        self._metrics.grant(TOKEN)
        self._holders[name].return_token()

    def _find_holder(self, name):
        holder = self._holders.get(name)
        if holder is None:
            holder = self._holders[name] = quota.DebitHolder(self._now())
        return holder


class Buckets:
    """Token buckets of all accounts, on the control leader.

    :param leadership: :class:`_leadership.Leadership`.
    :param view: :class:`_group.GroupView`.
    :param config: :class:`_installed.InstalledDocument`.
    :param now: function that returns monotonic time in seconds.
    """

    def __init__(self, leadership, view, config, now):
        self._leadership = leadership
        self._view = view
        self._config = config
        self._now = now
        self._term = None
        self._buckets = {}
        self._document = config.current
        # Time of the last request of each holder.
        self._heard_at = {}
        self._short_accounts = ()

    async def run(self):
        """Poll for a leadership and for new limits, until cancelled."""
        while True:
            self._leadership.is_confirmed()
            self._follow_document()
            self._review_buckets()
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)

    async def handle_debit(self, request, _age_s):
        """Handle a :class:`quota.DebitRequest`: grant tokens."""
        leadership = self._leadership
        if not leadership.is_confirmed() or not self._config.is_fresh():
            return _rate_messages.DebitReply(None, self._view.read().leader)
        if leadership.term != self._term:
            self._term = leadership.term
            self._buckets = {}
            self._heard_at = {}
            self._short_accounts = ()
        self._follow_document()
        self._heard_at[request.holder] = self._now()
        grants = (self._debit(request.holder, d) for d in request.debits)
        return _rate_messages.DebitReply(
            tuple(grant for grant in grants if grant is not None),
            self._view.replica.replica_id,
            self._count_holders(),
            self._short_accounts,
        )

    def _review_buckets(self):
        """Find out which accounts are short, and forget holders that left."""
        now = self._now()
        self._short_accounts = tuple(
            name
            for name, bucket in self._buckets.items()
            if bucket.is_short(now)
        )
        self._heard_at = {
            holder: heard_at
            for holder, heard_at in self._heard_at.items()
            if now - heard_at < HOLDER_RETENTION_S
        }

    def _count_holders(self):
        """Return the number of holders, 0 until all have been heard."""
        age_s = self._now() - self._leadership.started_at
        return len(self._heard_at) if age_s > HOLDER_RETENTION_S else 0

    def _follow_document(self):
        """Set changed limits, also of accounts without calls at present.

        The delay of a lower limit counts from the change.
        """
        document = self._config.current
        if document is self._document:
            return
        self._document = document
        now = self._now()
        for name, bucket in self._buckets.items():
            account = document.accounts.get(name)
            if account is not None and account.rate:
                bucket.set_limits(account.rate, account.burst, now)

    def _debit(self, holder, debit):
        account = self._config.current.accounts.get(debit.client_account)
        if account is None or not account.rate:
            return None
        now = self._now()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = quota.CentralBucket(
                account.rate, account.burst, self._leadership.started_at, now
            )
        if debit.borrowed:
            bucket.charge_borrowed(debit.borrowed, debit.borrowed_s, now)
        debited = bucket.debit(holder, debit.wanted, debit.returned, now)
        return quota.AccountGrant(account.name, *debited, bucket.level)


def _resolve_without_grant(waiting):
    """Resolve waiters with None: the leader neither granted nor refused."""
    for waiters in waiting.values():
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
