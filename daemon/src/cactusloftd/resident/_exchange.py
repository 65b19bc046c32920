"""One connection to the backend server, one exchange at a time on it.

The head of an answer is bound to its request by the id that the backend server
echoes: an answer that carries another id is skipped, whole. Bytes that come
while no request waits belong to none and end the connection.
"""

import asyncio

import attrs
import httptools

# An answer up to this size is read whole before any of it is passed on, so
# that one that breaks off can still be repeated.
BUFFERED_BYTES = 64 * 1024
# Reading pauses while more than this waits for the reader.
MOST_UNREAD_BYTES = 256 * 1024
_BODILESS = (204, 304)


class ExchangeLost(Exception):
    """The connection ended, or carried no valid answer, before its end."""


@attrs.define
class Answer:
    """Head of an answer, and its body as it arrives.

    :ivar headers: pairs as received.
    :ivar by_name: values by name in lower case; of equal ones the last.
    :ivar length: bytes of the body, None when only its end tells.
    :ivar is_complete: whether all of the body has arrived.
    """

    status: int
    headers: list[tuple[str, str]]
    by_name: dict[str, str]
    length: int | None
    facts: object
    body: bytearray = attrs.Factory(bytearray)
    is_complete: bool = False


class Connection(asyncio.Protocol):
    """A connection to the backend server.

    :param read_metadata: function(status, headers by name) that returns
        :class:`protocol.ResponseMetadata`.
    :param on_closed: function called with the connection once it is closed.
    """

    def __init__(self, read_metadata, on_closed):
        self._read_facts = read_metadata
        self._on_closed = on_closed
        self._transport = None
        self._parser = None
        self._attempt_id = ''
        self._method = ''
        self._fields = []
        self._answer = None
        self._is_skipping = False
        self._failure = None
        self._changed = None
        self._keeps_alive = True
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_s = None

    def connection_made(self, transport):
        """Take the transport; called by the event loop."""
        self._transport = transport

    @property
    def is_reusable(self):
        """Tell whether another request may be sent on it."""
        return (
            not self.is_closed
            and self._keeps_alive
            and self._failure is None
            and not self._transport.is_closing()
            # A request that was answered before it was read whole.
            and not self._transport.get_write_buffer_size()
        )

    def send(self, attempt_id, method, content):
        """Send a request; the answer is read by :meth:`receive_head`."""
        self._attempt_id = attempt_id
        self._method = method
        self._answer = None
        self._is_skipping = False
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._transport.write(content)

    async def receive_head(self):
        """Return the :class:`Answer` to the request once its head is there.

        :raises ExchangeLost: when there is none.
        """
        while self._answer is None:
            await self._wait()
        return self._answer

    async def receive_whole(self):
        """Return the answer once it is complete or larger than the buffer.

        :raises ExchangeLost: when it breaks off before.
        """
        answer = await self.receive_head()
        while not answer.is_complete and len(answer.body) <= BUFFERED_BYTES:
            await self._wait()
        return answer

    async def iterate_body(self):
        """Yield the body of the answer.

        :raises ExchangeLost: when it breaks off.
        """
        answer = self._answer
        while True:
            if answer.body:
                chunk = bytes(answer.body)
                answer.body.clear()
                self._resume_reading()
                yield chunk
            elif answer.is_complete:
                return
            else:
                await self._wait()

    def finish(self, now):
        """End the exchange; the connection is idle if it is reusable.

        :param now: monotonic seconds.
        """
        is_whole = self._answer is not None and self._answer.is_complete
        self._attempt_id = ''
        self.idle_since = now
        if not is_whole or not self.is_reusable:
            self.abort()

    def abort(self):
        """Close the connection at once."""
        if self._transport is not None and not self.is_closed:
            self._transport.abort()
        self.is_closed = True

    # Called by the event loop.

    def data_received(self, data):
        """Parse what has arrived."""
        if not self._attempt_id:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'not an answer: {error!r}')
        except httptools.HttpParserUpgrade:
            self._fail('upgrade')

    def eof_received(self):
        """Take the end of an answer without a length."""
        answer = self._answer
        if answer and answer.length is None and not self._is_chunked(answer):
            answer.is_complete = True
        self._keeps_alive = False
        self._fail('connection closed')
        return False

    def connection_lost(self, error):
        """Take note of the end of the connection."""
        self.is_closed = True
        self._fail(f'connection lost: {error!r}')
        self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self):
        """Begin an answer."""
        self._fields = []
        if self._answer is not None:
            # A second answer to one request.
            self._keeps_alive = False
            self._is_skipping = True

    def on_header(self, name, value):
        """Take one header."""
        self._fields.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Take the head, if it answers the request that waits."""
        status = self._parser.get_status_code()
        if self._is_skipping or status < 200:
            return
        by_name = {name.lower(): value for name, value in self._fields}
        facts = self._read_facts(status, by_name)
        if facts.attempt_id != self._attempt_id:
            self._is_skipping = True
            return
        has_body = self._method != 'HEAD' and status not in _BODILESS
        length = by_name.get('content-length') if has_body else '0'
        self.idle_s = facts.idle_s
        self._keeps_alive = (
            self._keeps_alive and self._parser.should_keep_alive()
        )
        self._answer = Answer(
            status,
            self._fields,
            by_name,
            None if length is None else int(length),
            facts,
        )
        self._wake()

    def on_body(self, data):
        """Take a part of the body."""
        if self._is_skipping or self._answer is None:
            return
        self._answer.body += data
        if len(self._answer.body) > MOST_UNREAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self):
        """End an answer."""
        if self._answer is not None and not self._is_skipping:
            self._answer.is_complete = True
            self._wake()
        elif self._answer is None:
            # The answer to the request that waits may still come.
            self._is_skipping = False

    def _is_chunked(self, answer):
        return 'chunked' in answer.by_name.get('transfer-encoding', '')

    def _resume_reading(self):
        if not self.is_closed and not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, reason):
        if self._failure is None:
            self._failure = reason
        self._wake()

    def _wake(self):
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    async def _wait(self):
        if self._failure is not None:
            raise ExchangeLost(self._failure)
        self._changed = asyncio.get_running_loop().create_future()
        await self._changed
