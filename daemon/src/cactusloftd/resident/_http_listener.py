"""HTTP/1.1 listeners of a resident.

Requests that a client sends before it has the response to the first one are
handled at the same time and answered in the order in which they came. Closing
the connection cancels the requests in progress. The HTTP library of the
daemon's own listeners takes a quarter of the start time of a process and a
fifth of a call's time at the entry, which the platform's small hosts cannot
afford; this module only uses a parser.
"""

import asyncio
import collections
import http
import pathlib
import traceback

import attrs
import httptools

import cactusloft_link as link
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd.resident import _http_messages

# Bounds memory: an idle connection costs a few KiB.
MAX_CONNECTIONS = 3000
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Bodies of all requests that are being received or handled. The memory of the
# smallest hosts is 200 MB.
MAX_HELD_BYTES = 64 * 1024 * 1024
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
EXPIRY_INTERVAL_S = 5.0
BACKLOG = 1024
# Lets the event loop send responses that were written before a close.
CLOSE_DELAY_S = 0.1
# Time for the responses to requests that arrived just before a close. The end
# of the shutdown grace is near by then.
MAX_CLOSE_S = 0.4
CLOSE_POLL_S = 0.02
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BODILESS = (204, 304)
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_V = events.Event


class HttpListener:
    """Serve HTTP/1.1 at one endpoint.

    :param handle: coroutine function that takes a
        :class:`_http_messages.Request` and returns an ``HttpResponse``.
    :param log: :class:`events.EventLog`.
    :ivar port: TCP port, 0 until started.
    """

    def __init__(self, handle, log):
        self.handle = handle
        self._log = log
        self._server = None
        self._expiry_task = None
        self._connections = set()
        self._held_bytes = 0
        self.port = 0

    async def start(self, endpoint):
        """Listen at ``IP:port``."""
        address, _, port = endpoint.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address, int(port), backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry_task = loop.create_task(self._expire_connections())

    def stop_listening(self):
        """Refuse new connections; existing ones continue."""
        self._server.close()

    async def close(self):
        """Close all connections, those with requests after the responses."""
        self._server.close()
        self._expiry_task.cancel()
        for connection in list(self._connections):
            connection.close_when_idle()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_CLOSE_S
        while loop.time() < deadline and any(
            connection.is_busy for connection in self._connections
        ):
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in list(self._connections):
            connection.close()
        await asyncio.sleep(CLOSE_DELAY_S)

    def add(self, connection):
        """Register a connection; tell whether the limit allows it."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.log_malformed_request('too many connections')
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection):
        """Remove a closed connection."""
        self._connections.discard(connection)

    def hold(self, size):
        """Account for bytes of a body; tell whether the limit allows them.

        :param size: bytes, negative when they are released.
        """
        self._held_bytes += size
        return self._held_bytes <= MAX_HELD_BYTES

    def log_malformed_request(self, detail):
        """Log a request that cannot be handled."""
        self._log.record(_V.REQUEST_MALFORMED, detail=detail)

    def log_internal_error(self, error):
        """Log the place of an internal error, without data of clients."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f'{pathlib.Path(frame.filename).name}:{frame.lineno}'
        self._log.record(
            _V.INTERNAL_ERROR, error=type(error).__name__, place=place
        )

    async def _expire_connections(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self._connections):
                connection.expire(now)


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


class _Connection(asyncio.Protocol):
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
        """Tell whether requests are being handled."""
        return bool(self._running)

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
        await exchange.turn
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
                await self._write_chunks(request, http_response, is_last)
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
