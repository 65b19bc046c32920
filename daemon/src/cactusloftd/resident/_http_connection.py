"""One connection of a client to an HTTP listener.

Requests that a client sends before it has the response to the first one are
handled at the same time and answered in the order in which they came. Closing
the connection cancels the requests in progress.
"""

import asyncio
import collections
import http
import select

import attrs

from cactusloft_admission import memory
import cactusloft_link as link
from cactusloftd import _calls
from cactusloftd.resident import _http_reader

# Pipelined requests of one connection that are handled at the same time. They
# bound the responses that wait for their turn.
MAX_CONCURRENT_REQUESTS = 4
# Bytes of further requests of a connection, above which reading is paused.
MAX_WAITING_BYTES = 64 * 1024
# Longer than the operators allow clients to keep an idle connection.
IDLE_TIMEOUT_S = 75.0
# Bytes of a response that wait for a client that reads slowly. The responses
# of hundreds of such clients have to fit into the memory.
MAX_UNSENT_BYTES = 16 * 1024
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# A client that was refused for lack of memory comes back after this time.
NO_MEMORY_HEADERS = (('Retry-After', '1'),)
# A client that was refused may still be sending. Its bytes are discarded for
# some time, since a close with unread bytes would also discard the refusal.
LINGER_S = 1.0
MAX_LINGER_BYTES = 512 * 1024
# While reading is paused, the event loop does not tell that a client left.
LEAVE_CHECK_INTERVAL_S = 0.2
# Statuses of the refusals that promise that the request has not run.
TIMEOUT_STATUS, NO_MEMORY_STATUS = 408, 503
_BODILESS = (204, 304)
_STATUS_LINES = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'
    for status in http.HTTPStatus
}


@attrs.define(eq=False)
class _Exchange:
    """A request that is being handled.

    :ivar received: :class:`_http_reader.ReceivedRequest`.
    :ivar turn: set when all earlier responses are written.
    """

    received: _http_reader.ReceivedRequest
    turn: link.Wakeup = attrs.Factory(link.Wakeup)
    task: link.ImmediateTask | None = None


class Connection(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._reader = _http_reader.RequestReader(
            listener.clients.budget, self._loop.time, self._send_continue
        )
        self._running = collections.deque()
        self._is_closing = False
        self._is_parsing = False
        self._is_starting = False
        self._is_reading_paused = False
        # Whether the client sent bytes that are not handled.
        self._has_discarded = False
        # Bytes discarded since the last response, None before.
        self._lingering_bytes = None
        self._writable = None
        self.progress = memory.Progress(self._loop.time())

    def connection_made(self, transport):
        """Store the transport; called by the event loop."""
        self._transport = transport
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        if not self._listener.add(self):
            transport.abort()

    def connection_lost(self, _error):
        """Cancel the request in progress; called by the event loop."""
        self._listener.discard(self)
        self._is_closing = True
        self._is_reading_paused = False
        self._reader.release()
        for exchange in self._running:
            if exchange.task is not None:
                exchange.task.cancel()
            exchange.received.hold.release()
        self.resume_writing()

    def pause_writing(self):
        """Pause the response body; called by the event loop."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume_writing(self):
        """Resume the response body; called by the event loop."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self._start_requests()

    def data_received(self, data):
        """Keep received data and start requests; called by the event loop."""
        if self._is_closing:
            self._discard(data)
            return
        self.progress.receive(len(data), self._loop.time())
        self._is_parsing = True
        try:
            has_room = self._reader.feed(data)
            if has_room:
                self._start_requests()
                # Those that are read only after earlier responses.
                has_room = self._is_closing or self._reader.hold_unread()
            if not has_room:
                self._refuse(NO_MEMORY_STATUS, _http_reader.NO_MEMORY)
        finally:
            self._is_parsing = False

    def expire(self, now):
        """Close the connection if its idle or receive timeout has passed."""
        if self._running:
            return
        is_idle = now - self.progress.began_at > IDLE_TIMEOUT_S
        if self._transport.get_write_buffer_size():
            # A close would wait for a client that reads nothing.
            if is_idle:
                self._transport.abort()
        elif self.progress.is_late(now, self._reader.body_bytes):
            self._refuse(TIMEOUT_STATUS, 'request not complete in time')
        elif is_idle and not self.progress.is_receiving:
            self.close()

    @property
    def is_busy(self):
        """Tell whether requests are handled or responses are being sent."""
        return bool(self._running or self._transport.get_write_buffer_size())

    @property
    def may_be_dropped(self):
        """Tell whether nothing of a request was passed on or answered."""
        return not (self._is_parsing or self._is_starting or self.is_busy)

    def drop(self):
        """Make room for other clients; see :attr:`may_be_dropped`."""
        if self.progress.is_receiving:
            self._refuse(TIMEOUT_STATUS, 'dropped for other clients')
        self.close()

    def close_when_idle(self):
        """Close after the responses to the requests that are handled now."""
        if self._running:
            self._stop_reading()
        else:
            self.close()

    def close(self):
        """Close the connection once all written data is sent."""
        self._stop_reading()
        self._transport.close()

    def _stop_reading(self):
        """Handle no further requests; those not begun count as not read."""
        self._is_closing = True
        if self._reader.unread_bytes or self._is_reading_paused:
            self._has_discarded = True
        self._reader.release()
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _discard(self, data):
        """Discard what a client sends that is not handled, within a limit."""
        self._has_discarded = True
        if self._lingering_bytes is None:
            return
        self._lingering_bytes += len(data)
        if (
            self._lingering_bytes > MAX_LINGER_BYTES
            and not self._transport.is_closing()
        ):
            self._transport.pause_reading()

    def _linger(self):
        """Close once the client had time to read the last response."""
        if self._transport.is_closing():
            return
        self._lingering_bytes = 0
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _check_left(self):
        """Close the connection if its client has left."""
        if not self._is_reading_paused or self._transport.is_closing():
            return
        if _has_left(self._transport.get_extra_info('socket')):
            self._transport.close()
        else:
            self._loop.call_later(LEAVE_CHECK_INTERVAL_S, self._check_left)

    def _send_continue(self):
        """Permit a body, unless it would be taken for an earlier response."""
        if not self._running:
            self._reader.awaits_continue = False
            self._transport.write(CONTINUE_RESPONSE)

    def _refuse(self, status, detail):
        """Respond to a request that cannot be handled, and close."""
        if self._is_closing:
            return
        self._listener.log_malformed_request(detail)
        self._stop_reading()
        if not self._running:
            # The client would take it for the response to an earlier request
            # if one were still in progress.
            headers = NO_MEMORY_HEADERS if status == NO_MEMORY_STATUS else ()
            self._transport.write(_write_head(status, headers, 0, True))
            self._linger()

    def _start_requests(self):
        """Handle received requests as far as the limit allows.

        Other connections have their turn after that many requests, also where
        all of them are answered at once. A client that does not read its
        responses has no further requests handled.
        """
        if self._is_starting or self._is_closing:
            return
        self._is_starting = True
        try:
            for _ in range(MAX_CONCURRENT_REQUESTS - len(self._running)):
                if self._writable is not None:
                    break
                received = self._read_request()
                if received is None:
                    break
                self._start_request(received)
            else:
                if len(self._running) < MAX_CONCURRENT_REQUESTS:
                    self._loop.call_soon(self._start_requests)
        finally:
            self._is_starting = False
        if self._is_closing:
            return
        if self._reader.awaits_continue:
            self._send_continue()
        self._pause_or_resume_reading()

    def _start_request(self, received):
        exchange = _Exchange(received)
        self._running.append(exchange)
        if len(self._running) == 1:
            exchange.turn.set()
        exchange.task = link.ImmediateTask(self._serve(exchange), self._abort)

    def _read_request(self):
        """Return the next whole request, or None."""
        if self._is_closing:
            return None
        try:
            received = self._reader.read()
        except _http_reader.MalformedRequestError as error:
            self._refuse(error.status, error.detail)
            return None
        if self._reader.is_upgraded:
            self._stop_reading()
        return received

    def _restart_progress(self):
        """Measure the progress of the request behind the last one."""
        now = self._loop.time()
        self.progress.finish(now)
        if self._reader.is_receiving:
            self.progress.receive(self._reader.unread_bytes, now)

    def _pause_or_resume_reading(self):
        is_full = self._reader.unread_bytes > MAX_WAITING_BYTES and (
            len(self._running) >= MAX_CONCURRENT_REQUESTS
            or self._writable is not None
        )
        if is_full == self._is_reading_paused or self._transport.is_closing():
            return
        self._is_reading_paused = is_full
        if is_full:
            self._transport.pause_reading()
            self._loop.call_later(LEAVE_CHECK_INTERVAL_S, self._check_left)
        else:
            self._transport.resume_reading()

    async def _serve(self, exchange):
        received = exchange.received
        http_response = await self._listener.handle(received.request)
        try:
            await exchange.turn
        except asyncio.CancelledError:
            await _close_response(http_response)
            raise
        is_last = http_response.is_last or not received.keeps_alive
        if is_last and len(self._running) > 1:
            # The responses to the requests behind it are still written, since
            # these may have run. Later ones count as not read.
            self._stop_reading()
            is_last = False
        is_last = is_last or (self._is_closing and len(self._running) == 1)
        await self._write(received.request, http_response, is_last)
        self._finish(is_last)

    def _finish(self, is_last):
        """Let the next response be written, or close the connection."""
        self._running.popleft().received.hold.release()
        self._restart_progress()
        if is_last:
            self._stop_reading()
        if self._running:
            self._running[0].turn.set()
        if not self._is_closing:
            self._start_requests()
        elif not self._running:
            if self._has_discarded:
                self._linger()
            else:
                self._transport.close()

    def _abort(self, error):
        """Abort the connection after an error.

        An orderly end would make a truncated body look complete.
        """
        if not isinstance(error, _calls.ResponseCut):
            self._listener.log_internal_error(error)
        self._transport.abort()

    async def _write(self, request, http_response, is_last):
        response = http_response.response
        if response is None:
            self._write_whole(
                request, http_response, http_response.body, is_last
            )
            return
        try:
            if response.length is None or response.length > (
                _calls.SMALL_BODY_BYTES
            ):
                await self._write_in_time(request, http_response, is_last)
                return
            body = await _calls.join_chunks(response.chunks)
            if len(body) != response.length:
                raise _calls.ResponseCut(f'{len(body)} bytes')
            self._write_whole(request, http_response, body, is_last)
        finally:
            await response.close()

    def _write_whole(self, request, http_response, body, is_last):
        head = _write_head(
            http_response.status, http_response.headers, len(body), is_last
        )
        has_body = (
            request.method != 'HEAD' and http_response.status not in _BODILESS
        )
        self._transport.write(head + body if has_body else head)

    async def _write_in_time(self, request, http_response, is_last):
        """Write a long body, or cut it at the time by which it must end.

        The limit covers the waits for the body and for a client that does
        not read. Either may last for ever and keep a slot.
        """
        ends_at = http_response.response.ends_at
        if ends_at is None:
            await self._write_chunks(request, http_response, is_last)
            return
        try:
            with link.limit(ends_at - self._loop.time()):
                await self._write_chunks(request, http_response, is_last)
        except TimeoutError as error:
            raise _calls.ResponseCut('not finished in time') from error

    async def _write_chunks(self, request, http_response, is_last):
        response = http_response.response
        length = response.length
        head = _write_head(
            http_response.status, http_response.headers, length, is_last
        )
        self._transport.write(head)
        written = 0
        async for chunk in response.chunks:
            written += len(chunk)
            if length is None:
                chunk = b'%x\r\n%s\r\n' % (len(chunk), chunk)
            self._transport.write(chunk)
            if self._writable is not None:
                await self._writable
        if length is None:
            self._transport.write(b'0\r\n\r\n')
        elif written != length:
            raise _calls.ResponseCut(f'{written} of {length} bytes')


async def _close_response(http_response):
    """Release what a response holds that is not written."""
    if http_response.response is not None:
        await http_response.response.close()


def _write_head(status, headers, length, is_last):
    """Return the status line and headers of a response as bytes.

    :param length: body size in bytes, None for chunked encoding.
    :param is_last: whether the connection is closed after it.
    """
    lines = [_STATUS_LINES.get(status) or f'HTTP/1.1 {status} Unknown']
    lines += [f'{name}: {value}' for name, value in headers]
    if status not in _BODILESS:
        if length is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {length}')
    if is_last:
        lines.append('Connection: close')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('latin-1')


def _has_left(client):
    """Tell whether the other end of a socket has closed it."""
    poll = select.poll()
    poll.register(client.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
