"""The accepting side of a node: answers requests and serves streams."""

import asyncio
import time

from cactusloft_link import _codec
from cactusloft_link import _errors
from cactusloft_link import _plain
from cactusloft_link import _socket
from cactusloft_link import _streams

# A peer with open streams pings; one that stays silent for this time has lost
# its link and given the streams up.
CONNECTION_SILENCE_S = 3.0
IDLE_SILENCE_S = 60.0
SWEEP_INTERVAL_S = 1.0
# The lowest difference between the two clocks is learnt anew in steps, so
# that drift between hosts does not look like queueing delay.
OFFSET_DRIFT_PER_S = 1e-4

_T = _codec.FrameType


class Connection:
    """What the listener knows about one connected peer."""

    def __init__(self, routing_id):
        self.routing_id = routing_id
        self.streams = {}
        self.last_heard = time.monotonic()
        self._lowest_offset_s = None

    def estimate_age(self, frame):
        """Return seconds that ``frame`` spent in queues on its way.

        The lowest difference seen between both clocks stands for the
        undelayed transit, so no clocks are compared between hosts.
        """
        now = time.monotonic()
        offset = now - frame.sent_us / 1e6
        if self._lowest_offset_s is None:
            self._lowest_offset_s = offset
        drift = (now - self.last_heard) * OFFSET_DRIFT_PER_S
        self._lowest_offset_s = min(offset, self._lowest_offset_s + drift)
        self.last_heard = now
        return offset - self._lowest_offset_s


class Listener:
    """Serve the peers that connect to this daemon.

    :param node: the owning node.
    """

    def __init__(self, node):
        self._node = node
        self._socket = None
        self._connections = {}
        self.request_handlers = {}
        self.stream_handlers = {}

    def start(self, socket):
        """Serve a bound ROUTER socket."""
        self._socket = _socket.LoopSocket(socket, self._take_parts)
        self._node.spawn(self._sweep())

    def start_plain(self, endpoint):
        """Serve plain connections at ``endpoint``; return the port."""
        self._socket = _plain.PlainRouter(self._take_parts, self._lose)
        self._node.spawn(self._sweep())
        return self._socket.listen(endpoint)

    def close(self):
        """Lose all streams and close the socket."""
        for connection in self._connections.values():
            _lose_streams(connection)
        if self._socket is not None:
            self._socket.close()

    def _take_parts(self, parts):
        routing_id, *rest = parts
        frame = self._node.decode(rest)
        if frame is None:
            return
        connection = self._connections.get(routing_id)
        if connection is None:
            connection = Connection(routing_id)
            self._connections[routing_id] = connection
        age_s = connection.estimate_age(frame)
        self._take_frame(connection, frame, age_s)

    def _take_frame(self, connection, frame, age_s):
        if frame.type is _T.PING:
            self._send(connection, _T.PONG, 0)
        elif frame.type is _T.REQUEST:
            self._node.spawn(self._answer(connection, frame, age_s))
        elif frame.type is _T.STREAM_OPEN:
            self._open_stream(connection, frame, age_s)
        else:
            stream = connection.streams.get(frame.exchange)
            if stream is not None:
                stream.take_frame(frame)
            elif frame.type is _T.STREAM_DATA:
                self._send(connection, _T.STREAM_RESET, frame.exchange)

    async def _answer(self, connection, frame, age_s):
        handler = self.request_handlers.get(type(frame.message))
        if handler is None:
            self._refuse(connection, frame, b'no handler for this message')
            return
        try:
            reply = await handler(frame.message, age_s)
        except Exception as error:
            # A fault in one handler must not silence the peer link.
            self._node.on_event('handler_failed', detail=repr(error))
            self._refuse(connection, frame, b'handler failed')
            return
        self._send(connection, _T.REPLY, frame.exchange, reply)

    def _refuse(self, connection, frame, detail):
        self._send(connection, _T.ERROR, frame.exchange, None, detail)

    def _open_stream(self, connection, frame, age_s):
        handler = self.stream_handlers.get(type(frame.message))
        if handler is None:
            self._send(connection, _T.STREAM_RESET, frame.exchange)
            return
        stream = _streams.Stream(
            frame.exchange,
            lambda *args: self._send(connection, *args),
            lambda exchange: connection.streams.pop(exchange, None),
        )
        stream.age_s = age_s
        connection.streams[frame.exchange] = stream
        task = self._node.spawn(self._serve_stream(handler, stream, frame))
        # Work for a peer that is gone or gave the stream up is wasted.
        stream.on_lost = task.cancel

    async def _serve_stream(self, handler, stream, frame):
        try:
            await handler(stream, frame)
        except _errors.StreamLostError:
            pass
        except Exception as error:
            self._node.on_event('handler_failed', detail=repr(error))
        finally:
            stream.close()

    def _send(self, connection, kind, exchange, message=None, payload=b''):
        parts = self._node.encode(kind, exchange, message, payload)
        if self._socket.is_closed:
            return False
        if self._socket.send([connection.routing_id, *parts]):
            return True
        self._connections.pop(connection.routing_id, None)
        _lose_streams(connection)
        return False

    def _lose(self, routing_id):
        connection = self._connections.pop(routing_id, None)
        if connection is not None:
            _lose_streams(connection)

    async def _sweep(self):
        # Waiting for a frame instead would keep the streams of the last peer
        # open when it vanishes.
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._drop_silent_connections()

    def _drop_silent_connections(self):
        now = time.monotonic()
        limits = {True: CONNECTION_SILENCE_S, False: IDLE_SILENCE_S}
        silent = [
            connection
            for connection in self._connections.values()
            if now - connection.last_heard > limits[bool(connection.streams)]
        ]
        for connection in silent:
            del self._connections[connection.routing_id]
            _lose_streams(connection)


def _lose_streams(connection):
    for stream in list(connection.streams.values()):
        stream.lose()
