"""Plain connections: frames with a length in front, over TCP, unencrypted.

For networks where peers have no keys. They cost less than half of the
processor time of an encrypted socket, which has a thread of its own for each
message to pass through. The event loop of the residents sends what is written
in one of its turns together.
"""

import asyncio
import itertools
import socket
import struct

_LENGTH = struct.Struct('!I')
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A peer that does not read gets no more beyond this.
MOST_UNSENT_BYTES = 16 * 1024 * 1024
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# All hosts may connect at the same moment after a loss of power.
BACKLOG = 512


class _Connection(asyncio.Protocol):
    """One TCP connection that carries frames.

    :param on_frame: function that takes the bytes of a frame.
    :param on_made: function called with the connection when it is there.
    :param on_lost: function called with the connection when it is gone.
    """

    def __init__(self, on_frame, on_made, on_lost):
        self._on_frame = on_frame
        self._on_made = on_made
        self._on_lost = on_lost
        self._transport = None
        self._received = bytearray()
        self.is_closed = False

    def connection_made(self, transport):
        """Take the transport; called by the event loop."""
        self._transport = transport
        self._on_made(self)

    def connection_lost(self, _error):
        """Note the end; called by the event loop."""
        self.is_closed = True
        self._on_lost(self)

    def data_received(self, data):
        """Pass on the frames that are complete."""
        received = self._received
        received += data
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
        del received[:start]

    def send(self, frame):
        """Send a frame without waiting; tell whether it was taken."""
        if self.is_closed or self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > MOST_UNSENT_BYTES:
            return False
        self._transport.write(_LENGTH.pack(len(frame)) + frame)
        return True

    def close(self):
        """Drop the connection at once."""
        if not self.is_closed:
            self.is_closed = True
            if self._transport is not None:
                self._transport.abort()


class PlainDealer:
    """The connecting end; it tries again until it is closed.

    :param endpoint: ``IP:port``.
    :param on_parts: function that takes the list of parts of a message.
    :param on_connected: function called when the connection is there.
    :param on_disconnected: function called when it is lost afterwards.
    """

    def __init__(self, endpoint, on_parts, on_connected, on_disconnected):
        self._host, _, port = endpoint.rpartition(':')
        self._port = int(port)
        self._on_parts = on_parts
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._connection = None
        self.is_closed = False
        self._task = asyncio.get_running_loop().create_task(self._connect())

    def send(self, parts):
        """Send a message without waiting; tell whether it was taken."""
        connection = self._connection
        return connection is not None and connection.send(parts[0])

    def close(self):
        """Drop the connection and what is unsent."""
        self.is_closed = True
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        pause_s = INITIAL_BACKOFF_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(
                        self._make_connection, self._host, self._port
                    )
                return
            except (OSError, TimeoutError):
                # The peer is not there yet, or no more.
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_BACKOFF_S)

    def _make_connection(self):
        return _Connection(
            lambda frame: self._on_parts([frame]), self._note_made, self._lose
        )

    def _note_made(self, connection):
        if self.is_closed:
            connection.close()
            return
        self._connection = connection
        self._on_connected()

    def _lose(self, connection):
        if connection is self._connection and not self.is_closed:
            self._on_disconnected()


class PlainRouter:
    """The accepting end; each connection has an identity.

    :param on_parts: function that takes identity and frame.
    :param on_lost: function that takes the identity of a lost connection.
    """

    def __init__(self, on_parts, on_lost):
        self._on_parts = on_parts
        self._on_lost = on_lost
        self._connections = {}
        self._identities = itertools.count(1)
        self._server = None
        self._task = None
        self.is_closed = False

    def listen(self, endpoint):
        """Accept connections; return the port."""
        host, _, port = endpoint.rpartition(':')
        listening = socket.create_server((host, int(port)), backlog=BACKLOG)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(listening))
        return listening.getsockname()[1]

    async def _serve(self, listening):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, sock=listening, backlog=BACKLOG
        )

    def send(self, parts):
        """Send ``[identity, frame]``; tell whether it was taken."""
        connection = self._connections.get(parts[0])
        return connection is not None and connection.send(parts[1])

    def close(self):
        """Drop all connections."""
        self.is_closed = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close()

    def _make_connection(self):
        identity = next(self._identities)
        return _Connection(
            lambda frame: self._on_parts([identity, frame]),
            lambda made: self._connections.update({identity: made}),
            lambda _lost: self._lose(identity),
        )

    def _lose(self, identity):
        self._connections.pop(identity, None)
        if not self.is_closed:
            self._on_lost(identity)
