"""Calls sent from an entry to the owner on another daemon."""

from returns import result

from cactusloft_admission import pressure
import cactusloft_link as link
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _messages

_E = errors.ErrorKind
# Payload of one message of a body.
CHUNK_BYTES = 16 * 1024
# A new connection takes a few round trips for the key exchange.
CONNECT_TIMEOUT_S = 0.3
OWNER_LOST = 'owner was lost'
NO_MEMORY = 'owner has no memory for the request'


class RemoteOwner:
    """Run calls on the owner of another daemon.

    :ivar load: running and queued calls per slot, as reported with the last
        reply of the owner, or None.
    :ivar work: :class:`work.WorkReport` of that reply, or None.
    :param peer: :class:`link.Link` to the owner's daemon.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, peer, now):
        self._peer = peer
        self._now = now
        self._pressure = pressure.NO_PRESSURE
        self.load = self.work = None

    def read_pressure(self, _call):
        """Return the pressure that came with the last reply."""
        return self._pressure

    async def run(self, call):
        """Run ``call`` on the remote owner.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        peer = self._peer
        if not (peer.is_up or await peer.wait_until_up(CONNECT_TIMEOUT_S)):
            return _calls.fail(
                _E.NO_BACKEND_SERVER, 'no connection to the owner'
            )
        body = call.body
        start = _make_start(call, self._now())
        try:
            stream = peer.open_stream(start, body[:CHUNK_BYTES])
        except link.StreamLostError as error:
            return _calls.fail(_E.NO_BACKEND_SERVER, str(error))
        is_streaming = False
        try:
            if len(body) > CHUNK_BYTES:
                await _send_remaining_body(stream, body, _messages.BodyChunk)
            frame = await stream.receive()
            outcome = _convert_reply(stream, frame)
            self._pressure = _read_pressure(frame.message)
            self.load = getattr(frame.message, 'load', None)
            self.work = getattr(frame.message, 'work', None)
            is_streaming = isinstance(outcome, result.Success)
            if _is_final(frame.message):
                stream.finish()
            return outcome
        except link.StreamLostError:
            return _calls.fail(_E.BACKEND_SERVER_FAILED, OWNER_LOST)
        finally:
            if not is_streaming:
                stream.close()


class CallServer:
    """Serve the calls that other daemons send to the local owner.

    :param owner: the local :class:`_calls.Runner`.
    :param now: function that returns monotonic seconds.
    :param budget: :class:`memory.MemoryBudget` of the process, None for no
        limit.
    """

    def __init__(self, owner, now, budget=None):
        self._owner = owner
        self._now = now
        self._budget = budget

    async def serve(self, stream, frame):
        """Serve one call; the stream handler of ``CallStart``."""
        if self._budget is None:
            await self._serve(stream, frame)
            return
        start = frame.message
        hold = self._budget.make_hold()
        has_room = hold.add_head(len(start.headers), 0)
        try:
            if has_room and hold.grow(start.body_bytes):
                await self._serve(stream, frame)
            else:
                await self._refuse_for_memory(stream, frame)
        finally:
            hold.release()

    async def _refuse_for_memory(self, stream, frame):
        """Refuse a call without holding its body.

        The entry reads the refusal once it has sent the body.
        """
        size = len(frame.payload)
        while size < frame.message.body_bytes:
            size += len((await stream.receive()).payload)
        error = errors.CallError(_E.OVERLOADED, NO_MEMORY)
        load = self._owner.load
        await stream.send(_make_refusal(error, 0.0, load))
        stream.finish()

    async def _serve(self, stream, frame):
        start = frame.message
        body = await _receive_request_body(stream, frame)
        # Time that the message spent in queues counts towards the deadline.
        deadline = self._now() + start.remaining_ms / 1000 - stream.age_s
        call = _make_call(start, body, deadline)
        if deadline <= self._now():
            outcome = _calls.fail(_E.EXPIRED_IN_QUEUE)
        else:
            outcome = await self._owner.run(call)
        level = self._owner.read_pressure(call).level
        load, work = self._owner.load, self._owner.work
        if not isinstance(outcome, result.Success):
            error = outcome.failure()
            await stream.send(_make_refusal(error, level, load, work))
            stream.finish()
            return
        response = outcome.unwrap()
        try:
            await _send_response(stream, response, level, load, work)
        finally:
            await response.close()


async def _receive_request_body(stream, first_frame):
    """Return the whole body of a request, in time linear in its size."""
    body_bytes = first_frame.message.body_bytes
    if len(first_frame.payload) >= body_bytes:
        return first_frame.payload
    body = bytearray(first_frame.payload)
    while len(body) < body_bytes:
        body += (await stream.receive()).payload
    return body


def _is_final(message):
    """Return whether ``message`` is the last one of the owner."""
    if isinstance(message, _messages.ResponseStart):
        return message.is_complete
    return isinstance(message, _messages.Refusal)


def _make_start(call, now):
    context = call.context
    return _messages.CallStart(
        call_id=context.call_id,
        root_call_id=context.root_call_id,
        parent_call_id=context.parent_call_id,
        root_entry=context.root_entry,
        client_account=context.client_account,
        service=context.service,
        priority=context.priority,
        remaining_ms=context.remaining_ms(now),
        depth=context.depth,
        idempotent=context.idempotent,
        fingerprint=context.fingerprint,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body_bytes=len(call.body),
        route=call.route,
        host=call.host,
        caller_service=call.caller_service,
        patience_ms=int(call.patience_s * 1000),
        is_repeat=context.is_repeat,
        rank=context.rank,
        needs_free_slot=call.needs_free_slot,
        urgency=context.urgency,
        is_return=context.is_return,
    )


def _make_call(start, body, deadline):
    context = calls.CallContext(
        start.call_id,
        start.root_call_id,
        start.parent_call_id,
        start.root_entry,
        start.client_account,
        start.service,
        start.priority,
        deadline,
        start.depth,
        start.idempotent,
        start.fingerprint,
        start.is_repeat,
        start.rank,
    )
    return _calls.Call(
        context,
        start.method,
        start.target,
        start.headers,
        body,
        start.route,
        host=start.host,
        caller_service=start.caller_service,
        patience_s=start.patience_ms / 1000,
        needs_free_slot=start.needs_free_slot,
    )


def _make_refusal(error, level, load, work):
    return _messages.Refusal(
        error.kind,
        error.detail,
        error.not_run,
        level,
        load,
        error.retry_after_s,
        work,
    )


def _read_pressure(message):
    level = getattr(message, 'pressure', 0.0)
    return pressure.Pressure.from_level(level)


async def _send_remaining_body(stream, body, make_message):
    for offset in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        chunk = body[offset : offset + CHUNK_BYTES]
        is_last = offset + CHUNK_BYTES >= len(body)
        await stream.send(make_message(is_last), chunk)


async def _send_response(stream, response, level, load, work):
    """Send a response; a small body is sent in one message with the head."""
    chunks = response.chunks
    is_small = (
        response.length is not None
        and response.length <= _calls.SMALL_BODY_BYTES
    )
    body = await _calls.join_chunks(chunks) if is_small else b''
    head = _messages.ResponseStart(
        response.status,
        response.headers,
        response.length,
        is_small,
        level,
        load,
        response.is_caused_below,
        response.leaving_process,
        work,
    )
    await stream.send(head, body)
    if is_small:
        stream.finish()
        return
    async for data in chunks:
        for chunk in _split(data):
            await stream.send(_messages.BodyChunk(False), chunk)
    await stream.send(_messages.BodyChunk(True))
    await stream.wait_closed()


def _split(data):
    """Yield the chunks of data that may have any size."""
    for start in range(0, len(data), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]


def _convert_reply(stream, frame):
    message = frame.message
    if isinstance(message, _messages.Refusal):
        return result.Failure(
            errors.CallError(
                message.kind,
                message.detail,
                message.not_run,
                message.retry_after_s,
            )
        )
    if not isinstance(message, _messages.ResponseStart):
        return _calls.fail(
            _E.BACKEND_SERVER_FAILED,
            'owner sent an unexpected message',
        )
    if message.is_complete:
        # The stream ends with this message.
        chunks = _calls.iterate_once(frame.payload)
        close = _calls.close_nothing
    else:
        chunks = _receive_body(stream)
        close = _make_close(stream)
    return result.Success(
        _calls.Response(
            message.status,
            message.headers,
            message.length,
            chunks,
            close,
            is_caused_below=message.is_caused_below,
            leaving_process=message.leaving_process,
        )
    )


def _make_close(stream):
    async def close():
        stream.close()

    return close


async def _receive_body(stream):
    is_last = False
    while not is_last:
        try:
            frame = await stream.receive()
        except link.StreamLostError as error:
            raise _calls.ResponseCut(OWNER_LOST) from error
        is_last = frame.message.is_last
        if frame.payload:
            yield frame.payload
