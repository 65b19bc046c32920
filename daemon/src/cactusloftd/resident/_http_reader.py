"""Requests in the bytes that a client sends, one at a time.

The bytes of a head are kept as they are until the head is complete, since
decoded header lines take many times the memory of their bytes. Requests behind
it are not looked at until the caller asks for the next one.
"""

import collections
import re

import attrs
import httptools

from cactusloft_admission import memory
from cactusloftd.resident import _http_messages

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Bytes beside the body (chunk sizes, trailers) of one request, in addition to
# ``MAX_OVERHEAD_RATIO`` times the bytes of the body.
MAX_OVERHEAD_BYTES = 128 * 1024
MAX_OVERHEAD_RATIO = 16
# Bytes of a chunked body that are parsed at a time. What follows the body in
# them is parsed too.
PIECE_BYTES = 16 * 1024
# Times of arrival that are kept for bytes that are not parsed yet.
MAX_KEPT_ARRIVALS = 64
# Line ends before a request line.
MAX_EMPTY_BYTES = 64
# A body up to this size is copied to have the exact size.
SMALL_BODY_BYTES = 64 * 1024
NO_MEMORY = 'no memory for the request'
_LINE_ENDS = b'\r\n'
_HEAD_END = re.compile(rb'\n\r?\n')
_HEAD_END_BYTES = 3


@attrs.frozen
class MalformedRequestError(Exception):
    """The bytes are no request that may be handled.

    :ivar status: HTTP status that tells the client so.
    :ivar detail: for the log, without data of the client.
    """

    status: int
    detail: str


@attrs.define
class ReceivedRequest:
    """A whole request.

    :ivar keeps_alive: whether the client keeps the connection open after it.
    :ivar hold: :class:`memory.Hold` of what it takes.
    """

    request: _http_messages.Request
    keeps_alive: bool
    hold: memory.Hold


class RequestReader:
    """Parser of the requests on one connection.

    :param budget: :class:`memory.MemoryBudget`.
    :param read_time: function that returns the time of the event loop in
        seconds.
    :param on_continue: function called when the client waits for permission
        to send a body, unless an earlier request was not read yet.
    :ivar awaits_continue: whether the client waits for it.
    :ivar is_upgraded: whether bytes follow that are not HTTP.
    """

    def __init__(self, budget, read_time, on_continue):
        self._budget = budget
        self._read_time = read_time
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        # The bytes object of one arrival, or a bytearray of several.
        self._unread = b''
        self._unread_hold = budget.make_hold()
        self._parsed_bytes = 0
        # End, in bytes since the first one, and time of each arrival.
        self._arrivals = collections.deque()
        self._finished = collections.deque()
        # Raised once the requests before it are read.
        self._error = None
        # Whether bytes are parsed that may be behind the end of a body.
        self._is_parsing_body = False
        self.is_upgraded = False
        self._begin_request()

    @property
    def unread_bytes(self):
        """Return the bytes that are not parsed yet."""
        return len(self._unread)

    @property
    def body_bytes(self):
        """Return the bytes of the body that has not ended yet."""
        return len(self._body)

    @property
    def is_receiving(self):
        """Tell whether a request has begun and is not complete."""
        return bool(self._unread) or self._has_begun

    def feed(self, data):
        """Keep received bytes if there is memory for them; tell whether.

        Those of one arrival are held only once they have to wait.
        """
        unread = self._unread
        if not unread:
            self._unread = data
        elif isinstance(unread, bytearray):
            unread += data
        else:
            self._unread = bytearray(unread)
            self._unread += data
        if len(self._arrivals) == MAX_KEPT_ARRIVALS:
            self._arrivals.pop()
        end = self._parsed_bytes + len(self._unread)
        self._arrivals.append((end, self._read_time()))
        return not unread or self.hold_unread()

    def hold_unread(self):
        """Hold the bytes that are not parsed; tell whether there is room."""
        size = len(self._unread) - self._unread_hold.size
        return size <= 0 or self._unread_hold.grow(size)

    def read(self):
        """Return the next :class:`ReceivedRequest`, None without a whole one.

        :raises MalformedRequestError: when it must not be handled.
        """
        while not self._finished:
            if self._error is not None:
                raise attrs.evolve(self._error)
            if not self._unread:
                return None
            try:
                has_progress = (
                    self._read_body() if self._has_head else self._read_head()
                )
                if not has_progress and not self.hold_unread():
                    raise MalformedRequestError(503, NO_MEMORY)
            except MalformedRequestError as error:
                # Its traceback would keep the parsed bytes.
                self._error = attrs.evolve(error)
                continue
            if not has_progress:
                return None
        return self._finished.popleft()

    def release(self):
        """Forget all bytes and give their memory back."""
        self._unread = b''
        self._unread_hold.release()
        self._hold.release()
        self._body = bytearray()
        self._headers = []
        while self._finished:
            self._finished.popleft().hold.release()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Record that a request has begun."""
        self._has_begun = True

    def on_url(self, data):
        """Append to the request target."""
        if self._is_parsing_body:
            self._add_head_bytes(len(data), 0)
        self._target += data

    def on_header(self, name, value):
        """Store one header line; those behind a body are ignored."""
        if self._has_head:
            return
        if self._is_parsing_body:
            self._add_head_bytes(len(name) + len(value), 1)
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Find out how the end of the body is told."""
        self._has_head = True
        fields = self._fields = _http_messages.HeaderFields(self._headers)
        length = fields.get('content-length')
        if length.isdecimal() and len(length) < 20:
            self._left_bytes = int(length)
            if self._left_bytes > MAX_BODY_BYTES:
                raise MalformedRequestError(413, 'body too large')
        if fields.get('expect').lower() == '100-continue':
            self.awaits_continue = self._parser.get_http_version() != '1.0'
            if self.awaits_continue and not self._finished:
                self._on_continue()

    def on_body(self, data):
        """Append to the body."""
        self._overhead_bytes -= len(data)
        if len(self._body) + len(data) > MAX_BODY_BYTES:
            raise MalformedRequestError(413, 'body too large')
        if not self._hold.grow(len(data)):
            raise MalformedRequestError(503, 'no memory for the body')
        self._body += data

    def on_message_complete(self):
        """Queue the request for the next call of :meth:`read`."""
        body = self._body
        if len(body) <= SMALL_BODY_BYTES:
            body = bytes(body)
        request = _http_messages.Request(
            self._parser.get_method().decode(),
            _read_target(self._target),
            self._fields,
            body,
            self._find_arrival(),
        )
        self._finished.append(
            ReceivedRequest(
                request, self._parser.should_keep_alive(), self._hold
            )
        )
        self._begin_request()

    def _find_arrival(self):
        """Return the time at which the last parsed byte arrived."""
        arrivals = self._arrivals
        while arrivals[0][0] < self._parsed_bytes and len(arrivals) > 1:
            arrivals.popleft()
        return arrivals[0][1]

    def _begin_request(self):
        self._target = b''
        self._headers = []
        self._fields = None
        self._body = bytearray()
        self._hold = self._budget.make_hold()
        self._has_begun = self._has_head = self.awaits_continue = False
        # Bytes of the body that are still to come, None if they are chunked.
        self._left_bytes = None
        self._head_bytes = self._empty_bytes = self._overhead_bytes = 0
        self._searched_bytes = 0

    def _read_head(self):
        """Parse a head that is complete; tell whether there was one."""
        if not self._has_begun and self._unread[0] in _LINE_ENDS:
            self._skip_empty_lines()
        unread = self._unread
        found = _HEAD_END.search(unread, self._searched_bytes)
        size = found.end() if found else len(unread)
        if self._head_bytes + size > MAX_HEAD_BYTES:
            raise MalformedRequestError(431, 'head too large')
        if found is None:
            self._searched_bytes = max(0, len(unread) - _HEAD_END_BYTES)
            return False
        lines = unread.count(b'\n', 0, size)
        if not self._hold.add_head(lines, size):
            raise MalformedRequestError(503, 'no memory for the head')
        self._searched_bytes = 0
        # Those of a head that the parser does not end here.
        self._head_bytes += size
        self._parse(self._take_unread(size))
        return True

    def _skip_empty_lines(self):
        """Drop the line ends before a request line."""
        unread = self._unread
        rest = unread.lstrip(_LINE_ENDS)
        skipped = len(unread) - len(rest)
        self._empty_bytes += skipped
        if self._empty_bytes > MAX_EMPTY_BYTES:
            raise MalformedRequestError(400, 'empty lines')
        self._take_unread(skipped)

    def _read_body(self):
        """Parse what has arrived of a body; tell whether there was any."""
        size = min(len(self._unread), PIECE_BYTES)
        if self._left_bytes is not None:
            size = min(len(self._unread), self._left_bytes)
            self._left_bytes -= size
        if not size:
            return False
        self._overhead_bytes += size
        self._is_parsing_body = True
        try:
            self._parse(self._take_unread(size))
        finally:
            self._is_parsing_body = False
        limit = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * len(self._body)
        if self._overhead_bytes > limit:
            raise MalformedRequestError(431, 'chunks too small')
        return True

    def _take_unread(self, size):
        """Remove and return the first bytes that are not parsed yet."""
        unread = self._unread
        if size == len(unread):
            # An array has allocated more than its size.
            self._unread = b''
            data = bytes(unread)
        else:
            data = bytes(unread[:size])
            if isinstance(unread, bytes):
                unread = self._unread = bytearray(unread)
            del unread[:size]
        excess = self._unread_hold.size - len(self._unread)
        if excess > 0:
            self._unread_hold.shrink(excess)
        self._parsed_bytes += size
        return data

    def _parse(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Handled as an ordinary request; later bytes are not HTTP.
            self.is_upgraded = True
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, MalformedRequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise MalformedRequestError(400, type(error).__name__) from None

    def _add_head_bytes(self, size, lines):
        """Hold a part of a head that is parsed with the body before it.

        Any other head is held before it is parsed.
        """
        self._head_bytes += size
        if not self._hold.add_head(lines, size):
            raise MalformedRequestError(503, 'no memory for the head')


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
