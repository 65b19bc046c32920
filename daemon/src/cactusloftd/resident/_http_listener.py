"""HTTP listeners of a resident.

One task for each connection answers its requests in turn. A connection that
closes is a cancellation. The library of the daemon's own listeners takes a
quarter of the start of a process and a fifth of a call's time at the entry,
which the platform's small hosts cannot spare; this uses a parser alone.
"""

import asyncio
import collections
import http
import pathlib
import traceback

import httptools

from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd.resident import _http_messages

# Bounds memory: an idle connection costs a few KiB.
MAX_CONNECTIONS = 3000
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Requests of one connection that wait for their turn.
MAX_WAITING = 8
# Longer than the operators let clients keep an idle connection.
IDLE_TIMEOUT_S = 75.0
# A client that sends its request slower than this holds a connection for no
# use.
RECEIVE_TIMEOUT_S = 20.0
SWEEP_INTERVAL_S = 5.0
BACKLOG = 1024
CLOSE_S = 0.1
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BODILESS = (204, 304)
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_V = events.Event


class HttpListener:
    """Serve HTTP at one endpoint.

    :param handle: coroutine function that takes a
        :class:`_http_messages.Request` and returns an ``HttpResponse``.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, handle, log):
        self.handle = handle
        self._log = log
        self._server = None
        self._sweeping = None
        self._connections = set()
        self.port = 0

    async def start(self, endpoint):
        """Listen at ``IP:port``."""
        address, _, port = endpoint.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address, int(port), backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeping = loop.create_task(self._sweep())

    def stop_listening(self):
        """Refuse new connections; the others go on."""
        self._server.close()

    async def close(self):
        """Close all connections."""
        self._server.close()
        self._sweeping.cancel()
        for connection in list(self._connections):
            connection.close()
        # Lets what was written leave.
        await asyncio.sleep(CLOSE_S)

    def add(self, connection):
        """Take a connection; tell whether there is room for it."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.log_malformed('too many connections')
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection):
        """Forget a closed connection."""
        self._connections.discard(connection)

    def log_malformed(self, detail):
        """Log input that cannot be served."""
        self._log.record(_V.REQUEST_MALFORMED, detail=detail)

    def note_fault(self, error):
        """Log where a fault of this program is, without what clients sent."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f'{pathlib.Path(frame.filename).name}:{frame.lineno}'
        self._log.record(
            _V.INTERNAL_ERROR, error=type(error).__name__, place=place
        )

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self._connections):
                connection.expire(now)


class _Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = collections.deque()
        self._task = None
        self._is_ending = False
        self._writable = None
        self._changed_at = self._loop.time()
        self._is_receiving = False
        self._begin_message()

    def connection_made(self, transport):
        """Take the transport; called by the event loop."""
        self._transport = transport
        if not self._listener.add(self):
            transport.abort()

    def connection_lost(self, _error):
        """Cancel what is in progress; called by the event loop."""
        self._listener.discard(self)
        self._is_ending = True
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()
        self.resume_writing()

    def pause_writing(self):
        """Note that the client does not read; called by the event loop."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume_writing(self):
        """Go on writing; called by the event loop."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data):
        """Parse what has arrived; called by the event loop."""
        if self._is_ending:
            return
        self._changed_at = self._loop.time()
        self._is_receiving = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Served as an ordinary request; what follows is not ours.
            self._is_ending = True
        except httptools.HttpParserError as error:
            self._refuse(400, type(error).__name__)

    def expire(self, now):
        """Close the connection if it has been of no use for long."""
        if self._task is not None:
            return
        limit_s = RECEIVE_TIMEOUT_S if self._is_receiving else IDLE_TIMEOUT_S
        if now - self._changed_at > limit_s:
            self.close()

    def close(self):
        """Close the connection once what was written has left."""
        self._is_ending = True
        self._transport.close()

    # Called by the parser.

    def on_url(self, part):
        """Take a part of the target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name, value):
        """Take one header."""
        self._count_head(len(name) + len(value))
        self._fields.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Let a client that waits for it send its body."""
        for name, value in self._fields:
            if name.lower() == 'expect' and value.lower() == '100-continue':
                self._transport.write(CONTINUE)

    def on_body(self, part):
        """Take a part of the body."""
        self._size += len(part)
        if self._size > MAX_BODY_BYTES:
            self._refuse(413, 'body too large')
        else:
            self._parts.append(part)

    def on_message_complete(self):
        """Serve the request in its turn."""
        if self._is_ending:
            return
        self._is_receiving = False
        request = _http_messages.Request(
            self._parser.get_method().decode(),
            _read_target(self._target),
            _http_messages.HeaderFields(self._fields),
            b''.join(self._parts),
        )
        self._waiting.append((request, self._parser.should_keep_alive()))
        self._begin_message()
        if len(self._waiting) > MAX_WAITING:
            self._transport.pause_reading()
        if self._task is None:
            self._task = self._loop.create_task(self._serve())

    def _begin_message(self):
        self._target = b''
        self._fields = []
        self._parts = []
        self._size = 0
        self._head_bytes = 0

    def _count_head(self, size):
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(431, 'head too large')

    def _refuse(self, status, detail):
        """Answer input that cannot be served, and close the connection."""
        if self._is_ending:
            return
        self._listener.log_malformed(detail)
        self._is_ending = True
        if self._task is None:
            # Otherwise it would be read as the answer of another request.
            self._transport.write(_write_head(status, (), 0, True))
        if self._task is None:
            self._transport.close()

    async def _serve(self):
        while self._waiting:
            request, keeps_alive = self._waiting.popleft()
            if len(self._waiting) == MAX_WAITING:
                self._transport.resume_reading()
            try:
                answer = await self._listener.handle(request)
                is_last = answer.is_last or not keeps_alive
                await self._write(request, answer, is_last)
            except _calls.ResponseCut:
                # Ending the body normally would pass a part off as the whole.
                self._transport.abort()
                return
            except Exception as error:
                self._listener.note_fault(error)
                self._transport.abort()
                return
            if is_last:
                break
        self._task = None
        self._changed_at = self._loop.time()
        if self._is_ending or is_last:
            self._is_ending = True
            self._transport.close()

    async def _write(self, request, answer, is_last):
        response = answer.response
        if response is None:
            self._write_whole(request, answer, answer.body, is_last)
            return
        try:
            if response.length is None or response.length > (
                _calls.SMALL_BODY_BYTES
            ):
                await self._write_chunks(request, answer, is_last)
                return
            body = b''.join([chunk async for chunk in response.chunks])
            if len(body) != response.length:
                raise _calls.ResponseCut(f'{len(body)} bytes')
            self._write_whole(request, answer, body, is_last)
        finally:
            await response.close()

    def _write_whole(self, request, answer, body, is_last):
        head = _write_head(answer.status, answer.headers, len(body), is_last)
        has_body = request.method != 'HEAD' and answer.status not in _BODILESS
        self._transport.write(head + body if has_body else head)

    async def _write_chunks(self, request, answer, is_last):
        response = answer.response
        length = response.length
        head = _write_head(answer.status, answer.headers, length, is_last)
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
    """Return the bytes of an answer's head.

    :param length: bytes of the body, None for chunks.
    """
    lines = [f'HTTP/1.1 {status} {_PHRASES.get(status, "Unknown")}']
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
    """Return path and query; a target in absolute form names more.

    >>> _read_target(b'/a%20b?c'), _read_target(b'http://x.example/a?b')
    ('/a%20b?c', '/a?b')
    """
    target = raw.decode('latin-1')
    if target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    return '/' + rest.partition('/')[2] if separator else target
