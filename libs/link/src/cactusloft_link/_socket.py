"""A ZeroMQ socket that is read by a reader callback of the event loop.

``zmq.asyncio`` creates a future for each message. This class passes each
message directly to a callback, which takes less CPU time per hop of a call.
"""

import asyncio

import zmq

MAX_MESSAGES_PER_WAKEUP = 64


class LoopSocket:
    """Pass each received message to a callback.

    :param socket: connected or bound ZeroMQ socket; this object closes it.
    :param on_parts: function(parts) called with each message.
    """

    def __init__(self, socket, on_parts):
        self._socket = socket
        self._on_parts = on_parts
        self._loop = asyncio.get_running_loop()
        self._fd = socket.getsockopt(zmq.FD)
        self._is_receive_scheduled = False
        self._loop.add_reader(self._fd, self._receive)
        self._schedule_receive()

    @property
    def is_closed(self):
        """Tell whether the socket was closed."""
        return self._socket.closed

    def send(self, parts):
        """Send a message without blocking.

        :returns: False when it cannot be queued for the peer now.
        """
        try:
            self._socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            if error.errno in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                return False
            raise
        # The descriptor is edge-triggered, and sending can clear the signal
        # for a message that has just arrived.
        self._schedule_receive()
        return True

    def close(self):
        """Close the socket and discard unsent messages."""
        if self._socket.closed:
            return
        self._loop.remove_reader(self._fd)
        self._socket.close(linger=0)

    def _schedule_receive(self):
        if not self._is_receive_scheduled:
            self._is_receive_scheduled = True
            self._loop.call_soon(self._receive)

    def _receive(self):
        self._is_receive_scheduled = False
        for _ in range(MAX_MESSAGES_PER_WAKEUP):
            if self._socket.closed:
                return
            # Often nothing is readable, and this check costs less than the
            # exception that recv_multipart() would raise.
            if not self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                return
            self._on_parts(self._socket.recv_multipart(zmq.NOBLOCK))
        self._schedule_receive()
