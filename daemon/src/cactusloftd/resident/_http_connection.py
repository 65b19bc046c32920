"""One connection of a client to an HTTP listener.

Requests that a client sends before it has the response to the first one are
handled at the same time and answered in the order in which they came. Closing
the connection cancels the requests in progress.
"""

import asyncio
import collections
import http

import attrs
import httptools

import cactusloft_link as link
from cactusloftd import _calls
from cactusloftd.resident import _http_messages

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Bytes beside the body (head, chunk sizes, trailers) of one request, in
# addition to ``MAX_OVERHEAD_RATIO`` times the bytes of the body.
MAX_OVERHEAD_BYTES = 128 * 1024
MAX_OVERHEAD_RATIO = 16
# Pipelined requests of one connection that are handled at the same time, and
# that wait to be handled. They bound the responses that wait for their turn.
MAX_CONCURRENT_REQUESTS = 4
MAX_QUEUED_REQUESTS = 8
# Longer than the operators allow clients to keep an idle connection.
IDLE_TIMEOUT_S = 75.0
# Limits how long a slow or stalled sender occupies a connection.
RECEIVE_TIMEOUT_S = 20.0
# Bytes of a response that wait for a client that reads slowly. The responses
# of hundreds of such clients have to fit into the memory.
MAX_UNSENT_BYTES = 16 * 1024
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BODILESS = (204, 304)
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@attrs.define(eq=False)
class _Exchange:
    """A request that is being handled.

    :ivar keeps_alive: whether the client keeps the connection open after it.
    :ivar turn: set when all earlier responses are written.
    """

    request: _http_messages.Request
    keeps_alive: bool
    turn: link.Wakeup = attrs.Factory(link.Wakeup)
    task: link.ImmediateTask | None = None


class Connection(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        # Requests that wait to be handled, and those that are being handled.
        self._queue = collections.deque()
        self._running = collections.deque()
        self._is_closing = False
        self._writable = None
        self._active_at = self._loop.time()
        self._is_receiving = False
        self._held_bytes = 0
        self._begin_message()

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
        self._hold(-self._held_bytes)
        self._queue.clear()
        for exchange in self._running:
            if exchange.task is not None:
                exchange.task.cancel()
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

    def data_received(self, data):
        """Parse received data; called by the event loop."""
        if self._is_closing:
            return
        self._active_at = self._loop.time()
        self._is_receiving = True
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Handled as an ordinary request; later data is not HTTP.
            self._is_closing = True
        except httptools.HttpParserError as error:
            self._refuse(400, type(error).__name__)
        limit = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes
        if self._overhead_bytes > limit:
            self._refuse(431, 'head too large')
        self._start_queued()

    def expire(self, now):
        """Close the connection if its idle or receive timeout has passed."""
        if self._running:
            return
        limit_s = RECEIVE_TIMEOUT_S if self._is_receiving else IDLE_TIMEOUT_S
        if now - self._active_at > limit_s:
            self.close()

    @property
    def is_busy(self):
        """Tell whether requests are handled or responses are being sent."""
        return bool(self._running or self._transport.get_write_buffer_size())

    def close_when_idle(self):
        """Close after the responses to the requests that are handled now."""
        if self._running:
            self._is_closing = True
            self._queue.clear()
        else:
            self.close()

    def close(self):
        """Close the connection once all written data is sent."""
        self._is_closing = True
        self._transport.close()

    # Callbacks of the parser.

    def on_url(self, data):
        """Append to the request target."""
        self._target += data
        self._add_head_bytes(len(data))

    def on_header(self, name, value):
        """Store one header."""
        self._add_head_bytes(len(name) + len(value))
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Send 100 Continue to a client that expects it."""
        for name, value in self._headers:
            if name.lower() == 'expect' and value.lower() == '100-continue':
                self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, data):
        """Append to the body."""
        self._overhead_bytes -= len(data)
        self._body_bytes += len(data)
        if self._is_closing:
            return
        if self._body_bytes > MAX_BODY_BYTES:
            self._refuse(413, 'body too large')
        elif not self._hold(len(data)):
            self._refuse(503, 'too many bodies at the same time')
        else:
            self._body_parts.append(data)

    def on_message_complete(self):
        """Queue the request."""
        if self._is_closing:
            return
        self._is_receiving = False
        request = _http_messages.Request(
            self._parser.get_method().decode(),
            _read_target(self._target),
            _http_messages.HeaderFields(self._headers),
            b''.join(self._body_parts),
            self._loop.time(),
        )
        self._queue.append(
            _Exchange(request, self._parser.should_keep_alive())
        )
        self._begin_message()
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()

    def _begin_message(self):
        self._target = b''
        self._headers = []
        self._body_parts = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._overhead_bytes = 0

    def _hold(self, size):
        self._held_bytes += size
        return self._listener.hold(size)

    def _add_head_bytes(self, size):
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(431, 'head too large')

    def _refuse(self, status, detail):
        """Respond to a request that cannot be handled, and close."""
        if self._is_closing:
            return
        self._listener.log_malformed_request(detail)
        self._is_closing = True
        if not self._running and not self._queue:
            # The client would take it for the response to an earlier request
            # if one were still in progress.
            self._transport.write(_write_head(status, (), 0, True))
            self._transport.close()

    def _start_queued(self):
        """Handle queued requests as far as the limit allows."""
        while self._queue and len(self._running) < MAX_CONCURRENT_REQUESTS:
            exchange = self._queue.popleft()
            if len(self._queue) == MAX_QUEUED_REQUESTS:
                self._transport.resume_reading()
            self._running.append(exchange)
            if len(self._running) == 1:
                exchange.turn.set()
            exchange.task = link.ImmediateTask(
                self._serve(exchange), self._abort
            )

    async def _serve(self, exchange):
        http_response = await self._listener.handle(exchange.request)
        try:
            await exchange.turn
        except asyncio.CancelledError:
            await _close_response(http_response)
            raise
        is_last = http_response.is_last or not exchange.keeps_alive
        if is_last and len(self._running) > 1:
            # The responses to the requests behind it are still written, since
            # these may have run. What is queued counts as not read.
            self._is_closing = True
            self._queue.clear()
            is_last = False
        is_last = is_last or (self._is_closing and len(self._running) == 1)
        await self._write(exchange.request, http_response, is_last)
        self._finish(is_last)

    def _finish(self, is_last):
        """Let the next response be written, or close the connection."""
        finished = self._running.popleft()
        self._hold(-min(len(finished.request.body), self._held_bytes))
        self._active_at = self._loop.time()
        if is_last:
            self._is_closing = True
            self._queue.clear()
        if self._running:
            self._running[0].turn.set()
        elif not self._is_closing:
            self._start_queued()
        elif not self._queue:
            self._transport.close()
        else:
            self._start_queued()

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
            body = b''.join([chunk async for chunk in response.chunks])
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
    lines = [f'HTTP/1.1 {status} {_REASON_PHRASES.get(status, "Unknown")}']
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


def _read_target(raw):
    """Return path and query of a request target, also in absolute form.

    >>> _read_target(b'/a%20b?c'), _read_target(b'http://x.example/a?b')
    ('/a%20b?c', '/a?b')
    """
    target = raw.decode('latin-1')
    if target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    return '/' + rest.partition('/')[2] if separator else target
