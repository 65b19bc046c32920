"""A connection to the backend server, with one exchange at a time.

A response is matched to its request by the attempt id that the backend server
echoes; a response with another id is skipped. The connection is closed if data
arrives while no request is in progress.
"""

import asyncio
import collections

import attrs
import httptools

import cactusloft_link as link

# A response up to this size is buffered before any of it is forwarded, so that
# the call can still be retried if the response is truncated.
MAX_BUFFERED_BYTES = 64 * 1024
# Reading from the socket is paused above this size, until all is read.
MAX_UNREAD_BYTES = 64 * 1024
# Request bodies up to this size are sent in one piece with the head.
MAX_JOINED_BYTES = 64 * 1024
# Size of the parts in which a body is read.
CHUNK_BYTES = 16 * 1024
# Attempt ids that a connection remembers.
MAX_KEPT_IDS = 16
# Declined attempts after which a connection is not used again. Until then it
# remembers all of them, as they may be sent again at any time.
MAX_DECLINED_IDS = 64
# Bytes that are no part of a body (heads, chunk sizes, trailers), in addition
# to ``MAX_OVERHEAD_RATIO`` times the bytes of the body.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_RATIO = 16
# Responses with another id and interim responses before the response. Their
# bytes are bounded as well, since a body may have no end.
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 1024 * 1024
_BODILESS = (204, 304)


class ExchangeLostError(Exception):
    """The connection failed before a whole valid response had arrived."""


@attrs.define
class BackendResponse:
    """A response whose body may still be arriving.

    :ivar headers: name and value pairs as received.
    :ivar by_name: values by lower-case name; the last of repeated headers.
    :ivar length: body size in bytes, None without a Content-Length.
    :ivar metadata: :class:`protocol.ResponseMetadata`.
    :ivar body: bytes that have arrived and were not yet read.
    :ivar is_complete: whether all of the body has arrived.
    """

    status: int
    headers: list[tuple[str, str]]
    by_name: dict[str, str]
    length: int | None
    metadata: object
    body: bytearray = attrs.Factory(bytearray)
    is_complete: bool = False


class Connection(asyncio.Protocol):
    """A connection to the backend server.

    :param read_metadata: function(status, headers by name) that returns
        :class:`protocol.ResponseMetadata`.
    :param on_closed: function called with the connection when it is closed.
    :ivar idle_since: monotonic time in seconds of the last exchange.
    :ivar idle_s: idle timeout of the backend server in seconds, or None.
    """

    def __init__(self, read_metadata, on_closed):
        self._read_metadata = read_metadata
        self._on_closed = on_closed
        self._transport = None
        self._parser = None
        self._attempt_id = ''
        self._used_ids = collections.deque(maxlen=MAX_KEPT_IDS)
        self._declined_ids = set()
        self._method = ''
        self._headers = []
        self._response = None
        self._is_skipping = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._skipped_responses = 0
        self._failure = None
        self._changed = None
        self._keeps_alive = True
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_s = None

    def connection_made(self, transport):
        """Store the transport; called by the event loop."""
        self._transport = transport

    @property
    def is_in_use(self):
        """Tell whether an exchange is in progress."""
        return bool(self._attempt_id)

    @property
    def is_reusable(self):
        """Tell whether another request may be sent on the connection."""
        return (
            not self.is_closed
            and self._keeps_alive
            and self._failure is None
            and len(self._declined_ids) < MAX_DECLINED_IDS
            and not self._transport.is_closing()
            # The server responded before it had read the whole request.
            and not self._transport.get_write_buffer_size()
        )

    def has_carried(self, attempt_id):
        """Tell whether a request with this id was declined or sent recently.

        A late copy of the response to it would be taken for the response to
        a second request with the same id.
        """
        return attempt_id in self._declined_ids or attempt_id in self._used_ids

    def send(self, attempt_id, method, head, body=b''):
        """Send a request; its response is read by :meth:`receive_head`.

        :param attempt_id: id that the response must echo.
        :param method: HTTP method; a response to HEAD has no body.
        :param head: request line and headers as bytes.
        :param body: bytes-like; a large one is not copied.
        """
        self._attempt_id = attempt_id
        self._used_ids.append(attempt_id)
        self._method = method
        self._response = None
        self._is_skipping = False
        self._overhead_bytes = self._body_bytes = 0
        self._skipped_bytes = self._skipped_responses = 0
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.writelines((head, body))

    async def receive_head(self):
        """Wait for the head of the response and return the response.

        :raises ExchangeLostError: if the connection fails before.
        """
        while self._response is None:
            await self._wait()
        return self._response

    async def receive_whole(self):
        """Return the response once it is complete or fills the buffer.

        :raises ExchangeLostError: if the connection fails before.
        """
        response = await self.receive_head()
        while (
            not response.is_complete
            and len(response.body) <= MAX_BUFFERED_BYTES
        ):
            await self._wait()
        return response

    async def iterate_body(self):
        """Yield the body of the response.

        :raises ExchangeLostError: if the connection fails before its end.
        """
        response = self._response
        while True:
            if response.body:
                chunk = bytes(response.body[:CHUNK_BYTES])
                del response.body[:CHUNK_BYTES]
                if not response.body:
                    self._resume_reading()
                yield chunk
            elif response.is_complete:
                return
            else:
                await self._wait()

    def finish(self, now):
        """End the exchange; close the connection unless it is reusable.

        :param now: monotonic time in seconds.
        """
        is_complete = self._response is not None and self._response.is_complete
        self._attempt_id = ''
        self.idle_since = now
        if not is_complete or not self.is_reusable:
            self.abort()
            return
        # Paused if the end of the body arrived together with so much that the
        # body was taken whole, or if its reader stopped early.
        self._resume_reading()

    def abort(self):
        """Close the connection at once."""
        if self._transport is not None and not self.is_closed:
            self._transport.abort()
        self.is_closed = True

    # Callbacks of the event loop.

    def data_received(self, data):
        """Parse received data."""
        if not self._attempt_id:
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'malformed response: {error!r}')
        except httptools.HttpParserUpgrade:
            self._fail('response asks for a protocol upgrade')
        self._check_bounds()
        # Only now, since the waiting task continues at once: it must know
        # whether a second response follows the first one.
        self._wake()

    def _check_bounds(self):
        """Close the connection if its bytes lead to no end of a response."""
        max_overhead_bytes = (
            MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes
        )
        is_endless = (
            self._overhead_bytes > max_overhead_bytes
            or self._skipped_bytes > MAX_SKIPPED_BYTES
            or self._skipped_responses > MAX_SKIPPED_RESPONSES
        )
        if is_endless and not self.is_closed:
            self._fail('more bytes than a response may have')
            self.abort()

    def eof_received(self):
        """Complete a response that has neither length nor chunks."""
        response = self._response
        if (
            response
            and response.length is None
            and not self._is_chunked(response)
        ):
            response.is_complete = True
        self._keeps_alive = False
        self._fail('connection closed')
        return False

    def connection_lost(self, error):
        """Fail the exchange in progress and report the closed connection."""
        self.is_closed = True
        self._fail(f'connection lost: {error!r}')
        self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a response; skip it if the request already has one."""
        self._headers = []
        if self._response is not None:
            # Unsolicited second response; the connection is not reused.
            self._keeps_alive = False
            self._is_skipping = True

    def on_header(self, name, value):
        """Store one header."""
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Store the head if it has the attempt id of the current request."""
        status = self._parser.get_status_code()
        if self._is_skipping or status < 200:
            self._skipped_responses += 1
            return
        by_name = {name.lower(): value for name, value in self._headers}
        metadata = self._read_metadata(status, by_name)
        if metadata.attempt_id != self._attempt_id:
            self._is_skipping = True
            self._skipped_responses += 1
            return
        has_body = self._method != 'HEAD' and status not in _BODILESS
        length = by_name.get('content-length') if has_body else '0'
        self.idle_s = metadata.idle_s
        if metadata.is_not_run:
            self._declined_ids.add(self._attempt_id)
        self._keeps_alive = (
            self._keeps_alive and self._parser.should_keep_alive()
        )
        self._response = BackendResponse(
            status,
            self._headers,
            by_name,
            None if length is None else int(length),
            metadata,
        )

    def on_body(self, data):
        """Store a part of the body."""
        self._overhead_bytes -= len(data)
        if self._is_skipping or self._response is None:
            self._skipped_bytes += len(data)
            return
        self._body_bytes += len(data)
        self._response.body += data
        if len(self._response.body) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self):
        """Complete the response."""
        if self._response is not None and not self._is_skipping:
            self._response.is_complete = True
        elif self._response is None:
            # The response to the current request may still follow.
            self._is_skipping = False

    def _is_chunked(self, response):
        return any(
            name.lower() == 'transfer-encoding' and 'chunked' in value.lower()
            for name, value in response.headers
        )

    def _resume_reading(self):
        if not self.is_closed and not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, reason):
        if self._failure is None:
            self._failure = reason
        self._wake()

    def _wake(self):
        if self._changed is not None:
            self._changed.set()

    async def _wait(self):
        if self._failure is not None:
            raise ExchangeLostError(self._failure)
        self._changed = link.Wakeup()
        await self._changed
