"""Ledger client of an entry daemon.

It reserves idempotency keys, waits for the first call on a key to end, stores
outcomes and releases keys of calls that did not run.
"""

import asyncio
import random
import time
import typing

import attrs
from returns import result

from cactusloft_ledger import _claim
from cactusloft_ledger import _member
from cactusloft_ledger import _messages
from cactusloft_model import errors

REQUEST_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# The caller can repeat its request after a failure; a longer timeout would
# only hold it up.
RESERVE_TIMEOUT_S = 3.0
# A lost release would keep the key of a call that did not run from being used
# again, so releases are retried for this long while the entry runs.
DELIVERY_TIMEOUT_S = 30.0
# The response waits this long for its outcome to be stored. If the outcome is
# lost, a repeat gets ``outcome_unknown`` and never runs the call again.
COMPLETE_TIMEOUT_S = 1.0

_K = errors.ErrorKind
_V = _claim.Verdict


@attrs.frozen
class Group:
    """The ledger group as this daemon knows it.

    :ivar epoch: version of the control membership.
    :ivar members: names that ``Transport`` understands.
    """

    epoch: int
    members: tuple[str, ...]


class Transport(typing.Protocol):
    """Delivery of messages to ledger members."""

    def read_group(self):
        """Return the current :class:`Group`."""

    async def ask(self, member, message, timeout_s):
        """Return the :class:`LedgerReply` of a member, None on failure."""


@attrs.frozen
class Reservation:
    """A reserved key; its call may be dispatched.

    :ivar attempt: number of the attempt that won.
    """

    ticket: _claim.Ticket
    attempt: int


class LedgerClient:
    """Reserve keys for calls, and complete or release the reservations.

    :param transport: :class:`Transport`.
    :param rng: source of the jitter between attempts.
    :param read_clock: function that returns monotonic seconds.
    """

    def __init__(self, transport, rng=None, read_clock=time.monotonic):
        self._transport = transport
        self._rng = rng or random.Random()
        self._read_clock = read_clock
        self._tasks = set()

    async def reserve(self, ticket, deadline):
        """Reserve the key of a call, or find out how its first call ended.

        :param deadline: deadline of the call in monotonic seconds.
        :returns: ``Success(Reservation)`` to run the call,
            ``Success(Outcome)`` for a repeat whose response is kept, or
            ``Failure(CallError)``.
        """
        claim = _claim.Claim(ticket)
        try:
            return await self._reserve(claim, ticket, deadline)
        except asyncio.CancelledError:
            # The caller has disconnected and its call was never dispatched.
            self._spawn(self._deliver_to_all(claim.make_release()))
            raise

    async def _reserve(self, claim, ticket, deadline):
        while True:
            await self._make_attempts(claim, deadline)
            if claim.verdict is _V.WON:
                return result.Success(Reservation(ticket, claim.attempt))
            self._spawn(self._deliver_to_all(claim.make_release()))
            if claim.verdict is not _V.REPEAT:
                return result.Failure(_make_reserve_error(claim))
            repeat_result = await self._await_first_call(
                claim, ticket, deadline
            )
            if repeat_result is not None:
                return repeat_result
            # The first call was released as not run: the key is free again.
            claim.reset_rivals()

    async def complete(self, reservation, outcome):
        """Store the outcome of a call on the members.

        Delivery continues in the background after the timeout.

        :returns: True when a majority stored it within the timeout.
        """
        ticket = reservation.ticket
        group = self._transport.read_group()
        message = _messages.Complete(
            ticket.client_account,
            ticket.idempotency_key,
            group.epoch,
            outcome,
        )
        majority_stored = asyncio.get_running_loop().create_future()
        requests = [_claim.MemberRequest(m, message, 0) for m in group.members]
        self._spawn(self._deliver_to_all(requests, majority_stored))
        try:
            async with asyncio.timeout(COMPLETE_TIMEOUT_S):
                await asyncio.shield(majority_stored)
        except TimeoutError:
            return False
        return True

    def release(self, reservation):
        """Free the key of a call that certainly did not and will not run."""
        ticket = reservation.ticket
        group = self._transport.read_group()
        message = _messages.Release(
            ticket.client_account,
            ticket.idempotency_key,
            group.epoch,
            ticket.call_id,
            reservation.attempt,
        )
        requests = [_claim.MemberRequest(m, message, 0) for m in group.members]
        self._spawn(self._deliver_to_all(requests))

    async def drain(self):
        """Wait until all releases and outcomes are delivered or time out."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _make_attempts(self, claim, deadline):
        """Make attempts until one wins, the call is a repeat or time is up."""
        give_up_at_s = min(deadline, self._read_clock() + RESERVE_TIMEOUT_S)
        backoff_s = INITIAL_BACKOFF_S
        while True:
            await self._attempt(claim, deadline)
            if claim.verdict in (_V.WON, _V.REPEAT):
                return
            if self._read_clock() + backoff_s > give_up_at_s:
                return
            if claim.should_release:
                self._spawn(self._deliver_to_all(claim.make_release()))
            # Jitter keeps two entries from colliding again on each attempt.
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _attempt(self, claim, deadline):
        """Run one attempt until its verdict."""
        group = self._transport.read_group()
        remaining_ms = self._count_remaining_ms(deadline)
        requests = claim.start_attempt(
            group.epoch, group.members, remaining_ms
        )
        if not requests:
            claim.verdict = _V.UNAVAILABLE
        queue = asyncio.Queue()
        tasks = set()
        awaited_replies = 0
        while True:
            for request in requests:
                task = asyncio.create_task(self._request_reply(request, queue))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                awaited_replies += 1
            if claim.verdict is not None or not awaited_replies:
                break
            request, reply = await queue.get()
            awaited_replies -= 1
            requests = claim.handle_reply(request, reply)
        # Replies that arrive after the verdict are ignored.
        self._tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._tasks.discard)

    async def _request_reply(self, request, queue):
        reply = await self._transport.ask(
            request.member, request.message, REQUEST_TIMEOUT_S
        )
        queue.put_nowait((request, reply))

    def _count_remaining_ms(self, deadline):
        return max(0, round((deadline - self._read_clock()) * 1000))

    async def _await_first_call(self, claim, ticket, deadline):
        """Wait until the first call on the key ends.

        :returns: result of the repeat; None when the first call was released
            and the key is free again.
        """
        if claim.outcome is not None:
            return _make_repeat_result(claim.outcome, ticket)
        if claim.holder.fingerprint != ticket.fingerprint:
            return _make_failure(_K.IDEMPOTENCY_KEY_REUSED)
        backoff_s = INITIAL_BACKOFF_S
        while self._read_clock() + backoff_s < deadline:
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            group, replies = await self._query_holders(ticket)
            outcome = next((r.outcome for r in replies if r.outcome), None)
            if outcome is not None:
                return _make_repeat_result(outcome, ticket)
            majority = _member.count_majority(len(group.members))
            if len(replies) < majority:
                continue
            holders = [holder for reply in replies for holder in reply.holders]
            if not holders:
                return None
            if all(holder.remaining_ms == 0 for holder in holders):
                return _make_failure(_K.OUTCOME_UNKNOWN)
        return _make_failure(_K.CALL_IN_PROGRESS)

    async def _query_holders(self, ticket):
        """Return the group and the valid replies about the key."""
        group = self._transport.read_group()
        message = _messages.Query(
            ticket.client_account, ticket.idempotency_key, group.epoch
        )
        replies = await asyncio.gather(
            *(
                self._transport.ask(member, message, REQUEST_TIMEOUT_S)
                for member in group.members
            )
        )
        refused_status = _messages.Status.REFUSED
        received = [r for r in replies if r is not None]
        return group, [
            r
            for r in received
            if r.epoch == group.epoch and r.status is not refused_status
        ]

    async def _deliver_to_all(self, requests, on_majority=None):
        """Send each message again until its member acknowledges it.

        :param on_majority: future that is set once a majority acknowledged.
        """
        majority = _member.count_majority(len(requests))
        tasks = [
            asyncio.create_task(self._deliver(request)) for request in requests
        ]
        acknowledged = 0
        for finished in asyncio.as_completed(tasks):
            acknowledged += await finished
            is_stored = acknowledged >= majority
            if is_stored and on_majority and not on_majority.done():
                on_majority.set_result(None)

    async def _deliver(self, request):
        """Return True once the member acknowledged, False on timeout."""
        give_up_at_s = self._read_clock() + DELIVERY_TIMEOUT_S
        backoff_s = INITIAL_BACKOFF_S
        while self._read_clock() < give_up_at_s:
            reply = await self._transport.ask(
                request.member, request.message, REQUEST_TIMEOUT_S
            )
            if reply is not None and reply.status is _messages.Status.DONE:
                return True
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        return False

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_failure(kind, detail='', not_run=None):
    return result.Failure(errors.CallError(kind, detail, not_run))


def _make_reserve_error(claim):
    """Return the error of a call that could not reserve its key.

    This call never ran. Another call that holds the key may have run, though,
    and the error must not tell a caller that repeats its request otherwise.
    """
    if claim.is_contested:
        return errors.CallError(
            _K.LEDGER_UNAVAILABLE,
            'another call may hold the key',
            errors.NotRun.UNKNOWN,
        )
    return errors.CallError(_K.LEDGER_UNAVAILABLE)


def _make_repeat_result(outcome, ticket):
    if outcome.fingerprint != ticket.fingerprint:
        return _make_failure(_K.IDEMPOTENCY_KEY_REUSED)
    if outcome.kind is _messages.OutcomeKind.KEPT:
        return result.Success(outcome)
    if outcome.kind is _messages.OutcomeKind.DIGEST:
        return _make_failure(_K.ANSWER_NOT_KEPT)
    return _make_failure(_K.OUTCOME_UNKNOWN)
