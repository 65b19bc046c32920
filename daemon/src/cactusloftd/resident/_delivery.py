"""Delivery of calls to the backend server beside the resident."""

import asyncio
import collections

from returns import result

from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _headers
from cactusloftd.resident import _exchange

# On the same host; a full accept queue drops the first packet for 1 s.
CONNECT_TIMEOUT_S = 0.6
# Idle connections are given up this long before the backend server closes
# them, so that no request crosses the close.
IDLE_MARGIN_S = 1.5
# For backend servers that do not tell their timeout.
DEFAULT_IDLE_S = 5.0
# After the deadline, the backend server's own answer that it has passed is
# still on its way.
DEADLINE_GRACE_S = 0.12
OTHER_INSTANCE = 'the address belongs to another backend server'
DECLINED = 'declined by the backend server'
UNREACHABLE = 'the backend server takes no connection'
_E = errors.ErrorKind
_TRUE = errors.NotRun.TRUE


class Delivery:
    """Connections to one backend server process.

    :param address: ``IP:port``.
    :param instance: identity of the process.
    :param protocol: :class:`protocol.BackendProtocol`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, address, instance, protocol, now):
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._instance = instance
        self._protocol = protocol
        self._now = now
        self._idle = collections.deque()
        self._open = set()

    def close(self):
        """Close all connections."""
        for connection in list(self._open):
            connection.abort()

    async def send(self, call):
        """Deliver ``call``.

        :returns: ``Success(Response)`` or ``Failure(CallError)``. The load
            that the backend server reports is in ``Response.load``.
        """
        try:
            connection = self._take_idle() or await self._connect()
        except (OSError, TimeoutError):
            return _calls.fail(_E.BACKEND_SERVER_FAILED, UNREACHABLE, _TRUE)
        is_kept = False
        try:
            outcome = await self._exchange(connection, call)
            is_kept = isinstance(outcome, result.Success)
            return outcome
        finally:
            if not is_kept:
                self._release(connection)

    async def look(self):
        """Return whether the backend server takes a connection."""
        try:
            connection = await self._connect()
        except (OSError, TimeoutError):
            return False
        self._idle.appendleft(connection)
        connection.idle_since = self._now()
        return True

    async def _exchange(self, connection, call):
        context = call.context
        remaining_ms = context.remaining_ms(self._now())
        head = self._protocol.write_head(call, self._instance, remaining_ms)
        connection.send(context.call_id, call.method, head + call.body)
        try:
            async with asyncio.timeout(remaining_ms / 1000 + DEADLINE_GRACE_S):
                answer = await connection.receive_whole()
        except TimeoutError:
            return _calls.fail(_E.DEADLINE_EXCEEDED)
        except _exchange.ExchangeLost as error:
            return _calls.fail(_E.BACKEND_SERVER_FAILED, str(error))
        if answer.facts.is_other_instance:
            return _calls.fail(_E.NO_BACKEND_SERVER, OTHER_INSTANCE, _TRUE)
        if answer.facts.is_not_run:
            return _calls.fail(_E.OVERLOADED, DECLINED)
        return result.Success(self._wrap(connection, answer))

    def _wrap(self, connection, answer):
        headers = _headers.select_end_to_end_headers(_Fields(answer.headers))
        if answer.is_complete:
            body = bytes(answer.body)
            self._release(connection)
            return _calls.Response(
                answer.status,
                headers,
                len(body),
                _calls.iterate_once(body),
                _calls.close_nothing,
            )

        async def close():
            self._release(connection)

        return _calls.Response(
            answer.status, headers, answer.length, _pass_on(connection), close
        )

    def _take_idle(self):
        now = self._now()
        while self._idle:
            connection = self._idle.pop()
            kept_s = (connection.idle_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
            is_young = now - connection.idle_since < kept_s
            if is_young and connection.is_reusable:
                return connection
            connection.abort()
        return None

    async def _connect(self):
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: _exchange.Connection(
                    self._protocol.read_metadata, self._forget
                ),
                self._host,
                self._port,
            )
        self._open.add(connection)
        return connection

    def _release(self, connection):
        connection.finish(self._now())
        if not connection.is_closed:
            self._idle.append(connection)

    def _forget(self, connection):
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


class _Fields:
    """Header pairs with the part of a multidict that is read."""

    def __init__(self, pairs):
        self._pairs = pairs

    def items(self):
        return self._pairs


async def _pass_on(connection):
    try:
        async for chunk in connection.iterate_body():
            yield chunk
    except _exchange.ExchangeLost as error:
        raise _calls.ResponseCut(str(error)) from error
