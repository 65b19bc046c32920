"""An entry's client of the ledger: reserve, wait, complete and release."""

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
# Trying longer than this holds up a caller that could ask again.
RESERVE_TIMEOUT_S = 3.0
# A lost release keeps the key of a call that did not run from being used
# again, so it is repeated while its entry lives.
DELIVERY_TIMEOUT_S = 30.0
# A caller's answer waits this long for its outcome to be stored; a repeat
# after a lost one gets ``outcome_unknown``, never a second run.
COMPLETE_TIMEOUT_S = 1.0

_K = errors.ErrorKind
_V = _claim.Verdict


@attrs.frozen
class Group:
    """The ledger group as the entry knows it.

    :ivar epoch: version of the control membership.
    :ivar members: names that ``Transport`` understands.
    """

    epoch: int
    members: tuple[str, ...]


class Transport(typing.Protocol):
    """Deliver messages to members."""

    def read_group(self):
        """Return the :class:`Group` in force."""

    async def ask(self, member, message, timeout_s):
        """Return the member's reply, or None."""


@attrs.frozen
class Reservation:
    """A won key; the call may be dispatched."""

    ticket: _claim.Ticket
    attempt: int


class LedgerClient:
    """Reserve keys for calls and settle them.

    :param transport: :class:`Transport`.
    :param rng: random source for pauses between attempts.
    :param read_clock: monotonic seconds.
    """

    def __init__(self, transport, rng=None, read_clock=time.monotonic):
        self._transport = transport
        self._rng = rng or random.Random()
        self._read_clock = read_clock
        self._tasks = set()

    async def reserve(self, ticket, deadline):
        """Win the key of ``ticket`` or find out about the first call.

        :param deadline: monotonic seconds of the call.
        :returns: ``Success(Reservation)`` to run the call,
            ``Success(Outcome)`` to answer a repeat with, or
            ``Failure(CallError)``.
        """
        claim = _claim.Claim(ticket)
        try:
            return await self._reserve(claim, ticket, deadline)
        except asyncio.CancelledError:
            # The caller is gone; its call was never dispatched.
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
            found = await self._await_first_call(claim, ticket, deadline)
            if found is not None:
                return found
            # The first call was released as not run: the key is free again.
            claim.reset_rivals()

    async def complete(self, reservation, outcome):
        """Store how the call ended, on a majority when it answers in time.

        :returns: True when a majority stored it.
        """
        ticket = reservation.ticket
        group = self._transport.read_group()
        message = _messages.Complete(
            ticket.client_account,
            ticket.idempotency_key,
            group.epoch,
            outcome,
        )
        done = asyncio.get_running_loop().create_future()
        sends = [_claim.Send(m, message, 0) for m in group.members]
        self._spawn(self._deliver_to_all(sends, done))
        try:
            async with asyncio.timeout(COMPLETE_TIMEOUT_S):
                await asyncio.shield(done)
        except TimeoutError:
            return False
        return True

    def release(self, reservation):
        """Free the key of a call that is certainly not run."""
        ticket = reservation.ticket
        group = self._transport.read_group()
        message = _messages.Release(
            ticket.client_account,
            ticket.idempotency_key,
            group.epoch,
            ticket.call_id,
            reservation.attempt,
        )
        sends = [_claim.Send(m, message, 0) for m in group.members]
        self._spawn(self._deliver_to_all(sends))

    async def drain(self):
        """Wait until releases and outcomes are delivered or given up."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _make_attempts(self, claim, deadline):
        """Make attempts until one wins, meets a first call or time is up."""
        limit = min(deadline, self._read_clock() + RESERVE_TIMEOUT_S)
        pause_s = INITIAL_BACKOFF_S
        while True:
            await self._attempt(claim, deadline)
            if claim.verdict in (_V.WON, _V.REPEAT):
                return
            if self._read_clock() + pause_s > limit:
                return
            if claim.should_release:
                self._spawn(self._deliver_to_all(claim.make_release()))
            # Random pauses keep two entries from meeting in step again.
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)

    async def _attempt(self, claim, deadline):
        group = self._transport.read_group()
        remaining_ms = self._count_remaining_ms(deadline)
        sends = claim.begin(group.epoch, group.members, remaining_ms)
        if not sends:
            claim.verdict = _V.UNAVAILABLE
        queue = asyncio.Queue()
        tasks = set()
        waiting = 0
        while True:
            for send in sends:
                task = asyncio.create_task(self._request_reply(send, queue))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                waiting += 1
            if claim.verdict is not None or not waiting:
                break
            send, reply = await queue.get()
            waiting -= 1
            sends = claim.take(send, reply)
        # Requests still under way end by themselves after the verdict.
        self._tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._tasks.discard)

    async def _request_reply(self, send, queue):
        reply = await self._transport.ask(
            send.member, send.message, REQUEST_TIMEOUT_S
        )
        queue.put_nowait((send, reply))

    def _count_remaining_ms(self, deadline):
        return max(0, round((deadline - self._read_clock()) * 1000))

    async def _await_first_call(self, claim, ticket, deadline):
        """Wait for the end of the first call.

        :returns: the result for the repeat, None when the key is free again.
        """
        if claim.outcome is not None:
            return _make_repeat_result(claim.outcome, ticket)
        if claim.holder.fingerprint != ticket.fingerprint:
            return _make_failure(_K.IDEMPOTENCY_KEY_REUSED)
        pause_s = INITIAL_BACKOFF_S
        while self._read_clock() + pause_s < deadline:
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
            group, replies = await self._query_holders(ticket)
            ended = next((r.outcome for r in replies if r.outcome), None)
            if ended is not None:
                return _make_repeat_result(ended, ticket)
            majority = _member.count_majority(len(group.members))
            if len(replies) < majority:
                continue
            holders = [h for reply in replies for h in reply.holders]
            if not holders:
                return None
            if all(holder.remaining_ms == 0 for holder in holders):
                return _make_failure(_K.OUTCOME_UNKNOWN)
        return _make_failure(_K.CALL_IN_PROGRESS)

    async def _query_holders(self, ticket):
        """Return the group and its valid replies about a key."""
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
        refused = _messages.Status.REFUSED
        valid = [r for r in replies if r is not None]
        return group, [
            r
            for r in valid
            if r.epoch == group.epoch and r.status is not refused
        ]

    async def _deliver_to_all(self, sends, on_majority=None):
        """Repeat messages until each member acknowledged its own."""
        majority = _member.count_majority(len(sends))
        tasks = [asyncio.create_task(self._deliver(send)) for send in sends]
        acknowledged = 0
        for finished in asyncio.as_completed(tasks):
            acknowledged += await finished
            is_stored = acknowledged >= majority
            if is_stored and on_majority and not on_majority.done():
                on_majority.set_result(None)

    async def _deliver(self, send):
        """Return True once the member acknowledged the message."""
        limit = self._read_clock() + DELIVERY_TIMEOUT_S
        pause_s = INITIAL_BACKOFF_S
        while self._read_clock() < limit:
            reply = await self._transport.ask(
                send.member, send.message, REQUEST_TIMEOUT_S
            )
            if reply is not None and reply.status is _messages.Status.DONE:
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
        return False

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_failure(kind, detail='', not_run=None):
    return result.Failure(errors.CallError(kind, detail, not_run))


def _make_reserve_error(claim):
    """Return the error of a call that could not reserve its key.

    This call never ran, but where another call holds the key, that one may
    have, and a caller that repeats its request must not conclude otherwise.
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
