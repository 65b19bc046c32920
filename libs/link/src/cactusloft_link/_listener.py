"""The accepting side of a node: handles requests and streams of peers."""

import asyncio
import time

from cactusloft_link import _codec
from cactusloft_link import _errors
from cactusloft_link import _plain
from cactusloft_link import _streams

# A peer with open streams sends pings. One that sends nothing for this time
# has lost its connection and abandoned the streams.
BUSY_CONNECTION_TIMEOUT_S = 3.0
IDLE_CONNECTION_TIMEOUT_S = 60.0
SWEEP_INTERVAL_S = 1.0
# The estimated minimum offset between two clocks rises at this rate, so that
# clock drift between hosts is not taken for queueing delay.
MAX_CLOCK_DRIFT_S_PER_S = 1e-4

_Type = _codec.FrameType


class Connection:
    """State of the connection of one peer."""

    def __init__(self, routing_id):
        self.routing_id = routing_id
        self.streams = {}
        self.last_received_at = time.monotonic()
        self._min_offset_s = None

    def estimate_age(self, frame):
        """Return the estimated seconds that ``frame`` spent in queues.

        The minimum offset seen between the two monotonic clocks is taken for
        that of an undelayed frame, so the clocks need not be synchronised.
        """
        now = time.monotonic()
        offset_s = now - frame.sent_us / 1e6
        if self._min_offset_s is None:
            self._min_offset_s = offset_s
        drift_s = (now - self.last_received_at) * MAX_CLOCK_DRIFT_S_PER_S
        self._min_offset_s = min(offset_s, self._min_offset_s + drift_s)
        self.last_received_at = now
        return offset_s - self._min_offset_s


class Listener:
    """Handle the frames of all peers that connect to this daemon.

    :param node: :class:`LinkNode` that owns the listener.
    :ivar request_handlers: mapping from message class to handler.
    :ivar stream_handlers: mapping from class of the opening message to
        handler.
    """

    def __init__(self, node):
        self._node = node
        self._socket = None
        self._connections = {}
        self.request_handlers = {}
        self.stream_handlers = {}

    def start_encrypted(self, curve, endpoint):
        """Accept peers with an allowed key at ``endpoint``; return the port.

        :param curve: :class:`CurveSockets`.
        """
        self._socket, port = curve.listen(endpoint, self._handle_parts)
        self._node.start_job(self._sweep)
        return port

    def start_plain(self, endpoint):
        """Accept unencrypted connections at ``endpoint``; return the port."""
        self._socket = _plain.PlainRouter(
            self._handle_parts, self._handle_lost
        )
        self._node.start_job(self._sweep)
        return self._socket.listen(endpoint)

    def close(self):
        """End all streams as lost and close the socket."""
        for connection in self._connections.values():
            _mark_streams_lost(connection)
        if self._socket is not None:
            self._socket.close()

    def _handle_parts(self, parts):
        routing_id, *rest = parts
        frame = self._node.decode(rest)
        if frame is None:
            return
        connection = self._connections.get(routing_id)
        if connection is None:
            connection = Connection(routing_id)
            self._connections[routing_id] = connection
        age_s = connection.estimate_age(frame)
        self._handle_frame(connection, frame, age_s)

    def _handle_frame(self, connection, frame, age_s):
        if frame.type is _Type.PING:
            self._send(connection, _Type.PONG, 0)
        elif frame.type is _Type.REQUEST:
            self._node.start(self._handle_request(connection, frame, age_s))
        elif frame.type is _Type.STREAM_OPEN:
            self._open_stream(connection, frame, age_s)
        else:
            stream = connection.streams.get(frame.exchange)
            if stream is not None:
                stream.handle_frame(frame)
            elif frame.type is _Type.STREAM_DATA:
                self._send(connection, _Type.STREAM_RESET, frame.exchange)

    async def _handle_request(self, connection, frame, age_s):
        handler = self.request_handlers.get(type(frame.message))
        if handler is None:
            self._send_error(connection, frame, b'no handler for this message')
            return
        try:
            reply = await handler(frame.message, age_s)
        except Exception as error:
            # A failing handler must not break the connection for others.
            self._node.on_event('handler_failed', detail=repr(error))
            self._send_error(connection, frame, b'handler failed')
            return
        self._send(connection, _Type.REPLY, frame.exchange, reply)

    def _send_error(self, connection, frame, detail):
        self._send(connection, _Type.ERROR, frame.exchange, None, detail)

    def _open_stream(self, connection, frame, age_s):
        handler = self.stream_handlers.get(type(frame.message))
        if handler is None:
            self._send(connection, _Type.STREAM_RESET, frame.exchange)
            return
        stream = _streams.Stream(
            frame.exchange,
            lambda *args: self._send(connection, *args),
            lambda exchange: connection.streams.pop(exchange, None),
        )
        stream.age_s = age_s
        connection.streams[frame.exchange] = stream
        task = self._node.start(self._serve_stream(handler, stream, frame))
        # Cancels the handler when the peer reset the stream or is lost.
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

    def _send(
        self, connection, frame_type, exchange, message=None, payload=b''
    ):
        parts = self._node.encode(frame_type, exchange, message, payload)
        if self._socket.is_closed:
            return False
        if self._socket.send([connection.routing_id, *parts]):
            return True
        self._connections.pop(connection.routing_id, None)
        _mark_streams_lost(connection)
        return False

    def _handle_lost(self, routing_id):
        connection = self._connections.pop(routing_id, None)
        if connection is not None:
            _mark_streams_lost(connection)

    async def _sweep(self):
        # Checks by timer, not on received frames: when the last connected peer
        # vanishes, no frame arrives that could end its streams.
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._remove_unresponsive_connections()

    def _remove_unresponsive_connections(self):
        now = time.monotonic()
        timeouts_s = {
            True: BUSY_CONNECTION_TIMEOUT_S,
            False: IDLE_CONNECTION_TIMEOUT_S,
        }
        unresponsive = [
            connection
            for connection in self._connections.values()
            if now - connection.last_received_at
            > timeouts_s[bool(connection.streams)]
        ]
        for connection in unresponsive:
            del self._connections[connection.routing_id]
            _mark_streams_lost(connection)


def _mark_streams_lost(connection):
    for stream in list(connection.streams.values()):
        stream.mark_lost()
