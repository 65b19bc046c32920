"""Unencrypted connections: length-prefixed frames over TCP.

They are for networks where peers have no keys. They take less than half of the
CPU time of an encrypted ZeroMQ socket, which passes each message through a
thread of its own. The event loop of ``cactusloftd.resident`` sends all frames
written in one iteration together.
"""

import asyncio
import itertools
import socket
import struct

_LENGTH = struct.Struct('!I')
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Frames to a peer that does not read are rejected above this buffer size.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
INITIAL_BACKOFF_S = 0.05
# After a power failure, processes start listening within a second of each
# other, and elections wait for their links.
MAX_BACKOFF_S = 0.2
CONNECT_TIMEOUT_S = 1.0
# After a power failure, all hosts may connect at the same moment.
MAX_PENDING_CONNECTIONS = 512


class _Connection(asyncio.Protocol):
    """One TCP connection that carries frames.

    :param on_frame: function(frame) called with the bytes of each frame.
    :param on_made: function(connection) called when it is established.
    :param on_lost: function(connection) called when it is closed or lost.
    """

    def __init__(self, on_frame, on_made, on_lost):
        self._on_frame = on_frame
        self._on_made = on_made
        self._on_lost = on_lost
        self._transport = None
        self._buffer = bytearray()
        self.is_closed = False

    def connection_made(self, transport):
        """Store the transport; called by the event loop."""
        self._transport = transport
        self._on_made(self)

    def connection_lost(self, _error):
        """Report the end of the connection; called by the event loop."""
        self.is_closed = True
        self._on_lost(self)

    def data_received(self, data):
        """Pass on all complete frames; called by the event loop."""
        # Most data are whole frames, which need no copy in a buffer.
        received = data
        if self._buffer:
            self._buffer += data
            received = self._buffer
        start, size = 0, len(received)
        while size - start >= _LENGTH.size and not self.is_closed:
            (length,) = _LENGTH.unpack_from(received, start)
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = start + _LENGTH.size + length
            if end > size:
                break
            frame = bytes(received[start + _LENGTH.size : end])
            start = end
            self._on_frame(frame)
        if received is self._buffer:
            del self._buffer[:start]
        elif start < size:
            self._buffer += received[start:]

    def send(self, frame):
        """Buffer a frame for sending; return False if it was rejected."""
        if self.is_closed or self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        self._transport.write(_LENGTH.pack(len(frame)) + frame)
        return True

    def close(self):
        """Abort the connection and discard unsent frames."""
        if not self.is_closed:
            self.is_closed = True
            if self._transport is not None:
                self._transport.abort()


class PlainDealer:
    """The connecting end; it retries until connected or closed.

    :param endpoint: ``IP:port``.
    :param on_parts: function(parts) called with a list of one frame.
    :param on_connected: function called when the connection is established.
    :param on_disconnected: function called when the connection is lost.
    """

    def __init__(self, endpoint, on_parts, on_connected, on_disconnected):
        self._host, _, port = endpoint.rpartition(':')
        self._port = int(port)
        self._on_parts = on_parts
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._connection = None
        self.is_closed = False
        self._connect_task = asyncio.get_running_loop().create_task(
            self._connect()
        )

    def send(self, parts):
        """Buffer ``[frame]`` for sending; return False if it was rejected."""
        connection = self._connection
        return connection is not None and connection.send(parts[0])

    def close(self):
        """Abort the connection, discard unsent frames and stop retrying."""
        self.is_closed = True
        self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(
                        self._make_connection, self._host, self._port
                    )
                return
            except (OSError, TimeoutError):
                # The peer is not listening yet, or any longer.
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _make_connection(self):
        return _Connection(
            lambda frame: self._on_parts([frame]),
            self._handle_connected,
            self._handle_lost,
        )

    def _handle_connected(self, connection):
        if self.is_closed:
            connection.close()
            return
        self._connection = connection
        self._on_connected()

    def _handle_lost(self, connection):
        if connection is self._connection and not self.is_closed:
            self._on_disconnected()


class PlainRouter:
    """The accepting end; each connection has a routing id.

    :param on_parts: function(parts) called with a list of routing id and
        frame.
    :param on_lost: function(routing_id) called when a connection is lost.
    """

    def __init__(self, on_parts, on_lost):
        self._on_parts = on_parts
        self._on_lost = on_lost
        self._connections = {}
        self._routing_ids = itertools.count(1)
        self._server = None
        self._serve_task = None
        self.is_closed = False

    def listen(self, endpoint):
        """Accept connections at ``endpoint``; return the port."""
        host, _, port = endpoint.rpartition(':')
        listening_socket = socket.create_server(
            (host, int(port)), backlog=MAX_PENDING_CONNECTIONS
        )
        loop = asyncio.get_running_loop()
        self._serve_task = loop.create_task(self._serve(listening_socket))
        return listening_socket.getsockname()[1]

    async def _serve(self, listening_socket):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            sock=listening_socket,
            backlog=MAX_PENDING_CONNECTIONS,
        )

    def send(self, parts):
        """Buffer ``[routing_id, frame]``; return False if it was rejected."""
        connection = self._connections.get(parts[0])
        return connection is not None and connection.send(parts[1])

    def close(self):
        """Stop listening and abort all connections."""
        self.is_closed = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close()

    def _make_connection(self):
        routing_id = next(self._routing_ids)
        return _Connection(
            lambda frame: self._on_parts([routing_id, frame]),
            lambda connection: self._connections.update(
                {routing_id: connection}
            ),
            lambda _lost: self._handle_lost(routing_id),
        )

    def _handle_lost(self, routing_id):
        self._connections.pop(routing_id, None)
        if not self.is_closed:
            self._on_lost(routing_id)
