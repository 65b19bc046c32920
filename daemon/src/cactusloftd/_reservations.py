"""Idempotency keys: reservations in the call ledger, and its local member."""

import asyncio
import hashlib
import pathlib

import attrs
from returns import pipeline
from returns import result

import cactusloft_ledger as ledger
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _headers
from cactusloftd import _ledger_messages

GROUP_POLL_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 0.3
COPY_TIMEOUT_S = 5.0
LEDGER_FOLDER = 'ledger'
_E = errors.ErrorKind
_EVENTS = {
    'ledger_member_active': events.Event.LEDGER_MEMBER_ACTIVE,
    'ledger_storage_full': events.Event.LEDGER_STORAGE_FULL,
    'ledger_storage_failed': events.Event.LEDGER_STORAGE_FAILED,
}


class Reservations:
    """Run calls that carry an idempotency key at most once.

    :param settings: :class:`_settings.Settings`.
    :param view: :class:`_group.GroupView`.
    :param node: :class:`link.LinkNode`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, settings, view, node, log, now):
        self._folder = settings.data_folder
        self._view = view
        self._node = node
        self._log = log
        self._now = now
        self._client = ledger.LedgerClient(self, read_clock=now)
        self._member = None
        self._is_failed = False
        self._tasks = set()

    @property
    def is_voting(self):
        """Return whether the local member votes in the current epoch."""
        return self._member is not None and self._member.core.is_active

    def is_settled(self):
        """Return whether the local member votes in the newest epoch.

        A change of the group waits for this, since members that skip epochs
        before they have voted find no member to copy the state from. A member
        whose storage failed counts as settled, so that it can be replaced.
        """
        if self._is_failed:
            return True
        if self._member is None:
            return False
        if self._member.is_failed:
            return True
        epoch = self._view.replica.membership.version
        return self._member.core.active_epoch == epoch

    @property
    def open_calls(self):
        """Return the number of calls with a key that are in progress."""
        return len(self._tasks)

    def handle_messages(self):
        """Register handlers for messages of entries and other members."""
        for message in _ledger_messages.LEDGER_MESSAGES:
            self._node.handle_requests(message, self._handle_message)
        self._node.handle_requests(
            ledger.CopyRequest, self._handle_copy_request
        )

    async def run_member(self):
        """Run the local member until cancelled; only on control replicas."""
        if self._view.replica is None:
            return
        folder = pathlib.Path(self._folder) / LEDGER_FOLDER
        member = ledger.MemberService(
            self._view.replica.replica_id,
            ledger.SegmentStore(folder),
            self._request_copy,
            self._report,
        )
        try:
            await member.start()
        except (
            OSError,
            ledger.StorageCorruptedError,
            ledger.StorageFailedError,
        ) as error:
            # The ledger keeps working with its other members.
            self._is_failed = True
            self._report('ledger_storage_failed', detail=str(error))
            return
        self._member = member
        try:
            while True:
                group = self._view.read()
                member.enter_epoch(group.epoch, _list_replica_ids(group))
                await asyncio.sleep(GROUP_POLL_INTERVAL_S)
        finally:
            await member.stop()

    async def run(self, call, dispatch):
        """Run ``call`` unless its idempotency key was used before.

        :param dispatch: coroutine function(call) that runs it.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        # The call continues after its caller has disconnected, so that a
        # repeat finds the response.
        task = asyncio.create_task(self._run(call, dispatch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def read_group(self):
        """Return the members of the ledger; part of ``ledger.Transport``."""
        group = self._view.read()
        return ledger.Group(group.epoch, _list_replica_ids(group))

    async def ask(self, member, message, timeout_s):
        """Send a message to a member; part of ``ledger.Transport``.

        :returns: the reply, or None.
        """
        if self._is_local(member):
            return await self._handle_message(message, 0.0)
        peer = await self._connect(member)
        if peer is None:
            return None
        reply = await peer.request(message, timeout_s)
        return reply.value_or(None)

    async def _run(self, call, dispatch):
        context = call.context
        ticket = ledger.Ticket(
            context.client_account,
            call.idempotency_key,
            context.call_id,
            context.fingerprint,
        )
        reserved = await self._client.reserve(ticket, context.deadline)
        if not pipeline.is_successful(reserved):
            return reserved
        reservation = reserved.unwrap()
        if isinstance(reservation, ledger.Outcome):
            return result.Success(_replay(reservation))
        try:
            outcome = await dispatch(call)
        except BaseException:
            await self._complete(reservation, ledger.OutcomeKind.UNKNOWN)
            raise
        if pipeline.is_successful(outcome):
            return await self._record_response(reservation, outcome.unwrap())
        if outcome.failure().response.not_run is errors.NotRun.TRUE:
            self._client.release(reservation)
        else:
            await self._complete(reservation, ledger.OutcomeKind.UNKNOWN)
        return outcome

    async def _record_response(self, reservation, response):
        """Store a response in the ledger and return it to the caller.

        A body over ``MAX_KEPT_BODY_BYTES`` is streamed, and only its digest is
        stored.
        """
        head, size = [], 0
        try:
            async for chunk in response.chunks:
                head.append(chunk)
                size += len(chunk)
                if size > ledger.MAX_KEPT_BODY_BYTES:
                    return self._pass_through(reservation, response, head)
        except _calls.ResponseCut as error:
            await response.close()
            await self._complete(reservation, ledger.OutcomeKind.UNKNOWN)
            return _calls.fail(_E.OUTCOME_UNKNOWN, str(error))
        await response.close()
        body = b''.join(head)
        await self._complete(
            reservation, ledger.OutcomeKind.KEPT, response, body=body
        )
        return result.Success(
            _calls.Response(
                response.status,
                response.headers,
                # A response to HEAD has a length but no body.
                len(body) if body else response.length,
                _calls.iterate_once(body),
                _calls.close_nothing,
            )
        )

    def _pass_through(self, reservation, response, head):
        """Stream a long response and store its digest at the end."""
        state = _PassThrough()

        async def iterate():
            digest = hashlib.blake2b(digest_size=16)
            for chunk in head:
                digest.update(chunk)
                yield chunk
            async for chunk in response.chunks:
                digest.update(chunk)
                yield chunk
            state.is_recorded = True
            await self._complete(
                reservation,
                ledger.OutcomeKind.DIGEST,
                response,
                digest=digest.hexdigest(),
            )

        async def close():
            await response.close()
            if not state.is_recorded:
                # Records that the call ran, without a digest: the body was
                # not read to its end.
                await self._complete(
                    reservation, ledger.OutcomeKind.DIGEST, response
                )

        return result.Success(
            attrs.evolve(response, chunks=iterate(), close=close)
        )

    async def _complete(self, reservation, kind, response=None, **content):
        ticket = reservation.ticket
        status, headers = 0, []
        if response is not None:
            status = response.status
            headers = list(_headers.select_for_caller(response.headers))
        outcome = ledger.Outcome(
            kind,
            ticket.call_id,
            ticket.fingerprint,
            status,
            headers,
            **content,
        )
        await self._client.complete(reservation, outcome)

    async def _handle_message(self, message, _age_s):
        if self._member is None:
            return ledger.LedgerReply(
                ledger.Status.REFUSED, 0, refusal=ledger.Refusal.NOT_READY
            )
        return await self._member.handle(message)

    async def _handle_copy_request(self, request, _age_s):
        if self._member is None:
            return ledger.CopyPage(False, 0)
        return await self._member.handle_copy_request(request)

    async def _request_copy(self, member, request):
        peer = await self._connect(member)
        if peer is None:
            return None
        reply = await peer.request(request, COPY_TIMEOUT_S)
        return reply.value_or(None)

    async def _connect(self, member):
        voter = self._view.read().find_voter(member)
        if voter is None:
            return None
        peer = self._node.connect(voter.address)
        if not await peer.wait_until_up(CONNECT_TIMEOUT_S):
            return None
        return peer

    def _is_local(self, member):
        replica = self._view.replica
        return replica is not None and replica.replica_id == member

    def _report(self, name, **fields):
        self._log.record(_EVENTS[name], **fields)


@attrs.define
class _PassThrough:
    """State of a long response that is being streamed.

    :ivar is_recorded: whether its digest was stored in the ledger.
    """

    is_recorded: bool = False


def _list_replica_ids(group):
    return tuple(voter.replica_id for voter in group.voters)


def _replay(outcome):
    return _calls.Response(
        outcome.status,
        tuple((name, value) for name, value in outcome.headers),
        len(outcome.body),
        _calls.iterate_once(outcome.body),
        _calls.close_nothing,
        is_replayed=True,
    )
