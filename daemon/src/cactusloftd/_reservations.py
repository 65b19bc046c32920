"""The ledger in the daemon: client of the entry, and member."""

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

GROUP_POLL_S = 0.1
CONNECT_WAIT_S = 0.3
COPY_TIMEOUT_S = 5.0
FOLDER = 'ledger'
_E = errors.ErrorKind
_K = ledger.OutcomeKind
_EVENTS = {
    'ledger_member_active': events.Event.LEDGER_MEMBER_ACTIVE,
    'ledger_storage_full': events.Event.LEDGER_STORAGE_FULL,
    'ledger_storage_failed': events.Event.LEDGER_STORAGE_FAILED,
}


class Reservations:
    """Run calls with an idempotency key at most once.

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
        """Tell whether the local member votes in the present epoch."""
        return self._member is not None and self._member.core.is_active

    def is_settled(self):
        """Tell whether the local member votes in the newest epoch.

        Members that skip epochs before they ever voted have nobody to copy
        from. A member with a failed disk must not hold up its replacement.
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
        """Return the number of reserved calls that run."""
        return len(self._tasks)

    def handle_messages(self):
        """Serve the messages of entries and of other members."""
        for message in _ledger_messages.LEDGER_MESSAGES:
            self._node.handle_requests(message, self._answer)
        self._node.handle_requests(ledger.CopyRequest, self._answer_copy)

    async def run_member(self):
        """Serve the local member, on control replicas, until cancelled."""
        if self._view.replica is None:
            return
        folder = pathlib.Path(self._folder) / FOLDER
        member = ledger.MemberService(
            self._view.replica.replica_id,
            ledger.SegmentStore(folder),
            self._ask_copy,
            self._report,
        )
        try:
            await member.start()
        except (
            OSError,
            ledger.StorageCorruptedError,
            ledger.StorageFailedError,
        ) as error:
            # The other members continue without this one.
            self._is_failed = True
            self._report('ledger_storage_failed', detail=str(error))
            return
        self._member = member
        try:
            while True:
                group = self._view.read()
                member.enter_epoch(group.epoch, _list_names(group))
                await asyncio.sleep(GROUP_POLL_S)
        finally:
            await member.stop()

    async def run(self, call, dispatch):
        """Run ``call`` unless its idempotency key was used before.

        :param dispatch: coroutine function(call) that runs it.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        # A repeat shall find the answer, so the call outlives its caller.
        task = asyncio.create_task(self._run(call, dispatch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def read_group(self):
        """Return the ledger group; see ``ledger.Transport``."""
        group = self._view.read()
        return ledger.Group(group.epoch, _list_names(group))

    async def ask(self, member, message, timeout_s):
        """Send a message to a member; see ``ledger.Transport``."""
        if self._is_local(member):
            return await self._answer(message, 0.0)
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
        found = await self._client.reserve(ticket, context.deadline)
        if not pipeline.is_successful(found):
            return found
        reservation = found.unwrap()
        if isinstance(reservation, ledger.Outcome):
            return result.Success(_replay(reservation))
        try:
            outcome = await dispatch(call)
        except BaseException:
            await self._complete(reservation, _K.UNKNOWN)
            raise
        if pipeline.is_successful(outcome):
            return await self._keep(reservation, outcome.unwrap())
        if outcome.failure().response.not_run is errors.NotRun.TRUE:
            self._client.release(reservation)
        else:
            await self._complete(reservation, _K.UNKNOWN)
        return outcome

    async def _keep(self, reservation, response):
        """Store a short answer; store the digest of a long one on its way."""
        head, size = [], 0
        try:
            async for chunk in response.chunks:
                head.append(chunk)
                size += len(chunk)
                if size > ledger.MAX_KEPT_BODY_BYTES:
                    return self._pass_on(reservation, response, head)
        except _calls.ResponseCut as error:
            await response.close()
            await self._complete(reservation, _K.UNKNOWN)
            return _calls.fail(_E.OUTCOME_UNKNOWN, str(error))
        await response.close()
        body = b''.join(head)
        await self._complete(reservation, _K.KEPT, response, body=body)
        return result.Success(
            _calls.Response(
                response.status,
                response.headers,
                # An answer to HEAD has a length but no body.
                len(body) if body else response.length,
                _calls.iterate_once(body),
                _calls.close_nothing,
            )
        )

    def _pass_on(self, reservation, response, head):
        """Return a long response whose end is noted in the ledger."""
        state = _Passing()

        async def iterate():
            digest = hashlib.blake2b(digest_size=16)
            for chunk in head:
                digest.update(chunk)
                yield chunk
            async for chunk in response.chunks:
                digest.update(chunk)
                yield chunk
            state.is_noted = True
            await self._complete(
                reservation, _K.DIGEST, response, digest=digest.hexdigest()
            )

        async def close():
            await response.close()
            if not state.is_noted:
                # The head proves that the call ran.
                await self._complete(reservation, _K.DIGEST, response)

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

    async def _answer(self, message, _age_s):
        if self._member is None:
            return ledger.LedgerReply(
                ledger.Status.REFUSED, 0, refusal=ledger.Refusal.NOT_READY
            )
        return await self._member.handle(message)

    async def _answer_copy(self, request, _age_s):
        if self._member is None:
            return ledger.CopyPage(False, 0)
        return await self._member.handle_copy_request(request)

    async def _ask_copy(self, member, request):
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
        if not await peer.wait_until_up(CONNECT_WAIT_S):
            return None
        return peer

    def _is_local(self, member):
        replica = self._view.replica
        return replica is not None and replica.replica_id == member

    def _report(self, name, **fields):
        self._log.record(_EVENTS[name], **fields)


@attrs.define
class _Passing:
    """A long response on its way.

    :ivar is_noted: whether the ledger got its end.
    """

    is_noted: bool = False


def _list_names(group):
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
