"""Delivery of calls to the local backend server over HTTP."""

import asyncio
import collections

from returns import result

import cactusloft_link as link
from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _headers
from cactusloftd.resident import _exchange

# The backend server is on the same host. When its accept queue is full, the
# SYN is dropped and sent again only after 1 s.
CONNECT_TIMEOUT_S = 0.6
# Idle connections are closed this long before the backend server would close
# them, so that no request is sent while it does.
IDLE_MARGIN_S = 1.5
# For backend servers that do not report their idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 5.0
# After the deadline, the backend server's own timeout error may still be in
# transit.
DEADLINE_GRACE_S = 0.12
# A streamed body ends this long after the deadline at the latest. Its client
# has left by then, or reads a body that may have no end.
MAX_BODY_OVERTIME_S = 2.0
OTHER_INSTANCE = 'the address belongs to another backend server'
DECLINED = 'declined by the backend server'
# Resource in the metrics.
CONNECTION = 'connection'
UNREACHABLE = 'the backend server takes no connection'
_E = errors.ErrorKind
_TRUE = errors.NotRun.TRUE


class Delivery:
    """Connection pool of one backend server process.

    :param address: ``IP:port``.
    :param instance: identity of the process.
    :param protocol: :class:`protocol.BackendProtocol`.
    :param now: function that returns monotonic time in seconds.
    :ivar on_take: function called when a connection is taken for a call.
    :ivar on_release: function called when it is released.
    :ivar on_metadata: function called with the
        :class:`protocol.ResponseMetadata` of each response of the process
        and the monotonic time in seconds at which its request was sent.
    """

    def __init__(self, address, instance, protocol, now):
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._instance = instance
        self._protocol = protocol
        self._now = now
        self._idle = collections.deque()
        self._connections = set()
        self.on_metadata = lambda metadata, sent_at: None
        self.on_take = self.on_release = lambda: None

    @property
    def busy_connections(self):
        """Return the number of connections that carry a call."""
        return sum(c.is_in_use for c in self._connections)

    def close(self):
        """Close all connections."""
        for connection in list(self._connections):
            connection.abort()

    async def send(self, call):
        """Send ``call`` and wait for its response.

        A response larger than the buffer is streamed.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        try:
            connection = (
                self._take_idle(call.context.call_id) or await self._connect()
            )
        except (OSError, TimeoutError):
            return _calls.fail(_E.BACKEND_SERVER_FAILED, UNREACHABLE, _TRUE)
        self.on_take()
        is_handed_over = False
        try:
            outcome = await self._exchange(connection, call)
            is_handed_over = isinstance(outcome, result.Success)
            return outcome
        finally:
            if not is_handed_over:
                self._release(connection)

    async def probe(self):
        """Tell whether the backend server accepts a connection."""
        try:
            connection = await self._connect()
        except (OSError, TimeoutError):
            return False
        self._idle.appendleft(connection)
        connection.idle_since = self._now()
        return True

    async def _exchange(self, connection, call):
        context = call.context
        sent_at = self._now()
        remaining_ms = context.remaining_ms(sent_at)
        head = self._protocol.write_head(call, self._instance, remaining_ms)
        connection.send(context.call_id, call.method, head, call.body)
        try:
            with link.limit(remaining_ms / 1000 + DEADLINE_GRACE_S):
                response = await connection.receive_whole()
        except TimeoutError:
            return _calls.fail(_E.DEADLINE_EXCEEDED)
        except _exchange.ExchangeLostError as error:
            return _calls.fail(_E.BACKEND_SERVER_FAILED, str(error))
        if response.metadata.is_other_instance:
            return _calls.fail(_E.NO_BACKEND_SERVER, OTHER_INSTANCE, _TRUE)
        self.on_metadata(response.metadata, sent_at)
        if response.metadata.is_not_run:
            return _calls.fail(_E.OVERLOADED, DECLINED)
        return result.Success(
            self._make_response(connection, response, context.deadline)
        )

    def _make_response(self, connection, response, deadline):
        headers = _headers.select_end_to_end_headers(
            _HeaderPairs(response.headers)
        )
        if response.is_complete:
            body = bytes(response.body)
            self._release(connection)
            return _calls.Response(
                response.status,
                headers,
                len(body),
                _calls.iterate_once(body),
                _calls.close_nothing,
            )

        async def close():
            self._release(connection)

        return _calls.Response(
            response.status,
            headers,
            response.length,
            self._iterate_body(connection, deadline),
            close,
        )

    def _take_idle(self, attempt_id):
        """Return an idle connection that is safe for an attempt, or None."""
        now = self._now()
        skipped = []
        chosen = None
        while self._idle and chosen is None:
            connection = self._idle.pop()
            if connection.has_carried(attempt_id):
                skipped.append(connection)
                continue
            max_idle_s = (
                connection.idle_s or DEFAULT_IDLE_TIMEOUT_S
            ) - IDLE_MARGIN_S
            is_fresh = now - connection.idle_since < max_idle_s
            if is_fresh and connection.is_reusable:
                chosen = connection
            else:
                connection.abort()
        self._idle.extend(reversed(skipped))
        return chosen

    async def _connect(self):
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: _exchange.Connection(
                    self._protocol.read_metadata, self._discard
                ),
                self._host,
                self._port,
            )
        if not connection.is_reusable:
            # The server resets those beyond its limit. Nothing was sent.
            connection.abort()
            raise ConnectionResetError
        self._connections.add(connection)
        return connection

    async def _iterate_body(self, connection, deadline):
        chunks = connection.iterate_body()
        end_at = deadline + MAX_BODY_OVERTIME_S
        try:
            while True:
                with link.limit(end_at - self._now()):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    return
                yield chunk
        except TimeoutError as error:
            raise _calls.ResponseCut('body without an end') from error
        except _exchange.ExchangeLostError as error:
            raise _calls.ResponseCut(str(error)) from error

    def _release(self, connection):
        self.on_release()
        connection.finish(self._now())
        if not connection.is_closed:
            self._idle.append(connection)

    def _discard(self, connection):
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


class _HeaderPairs:
    """Header pairs as the part of a multidict that is needed here."""

    def __init__(self, pairs):
        self._pairs = pairs

    def items(self):
        return self._pairs
