"""A ZeroMQ socket driven by the event loop's readiness callback.

``zmq.asyncio`` makes a future for each message; here every readable message is
handed to a callback directly, which costs less for each hop of a call.
"""

import asyncio

import zmq

RECEIVE_BATCH = 64


class LoopSocket:
    """Hand each received message to a callback.

    :param socket: connected or bound ZeroMQ socket, owned from now on.
    :param on_parts: function that takes the list of parts of a message.
    """

    def __init__(self, socket, on_parts):
        self._socket = socket
        self._on_parts = on_parts
        self._loop = asyncio.get_running_loop()
        self._fd = socket.getsockopt(zmq.FD)
        self._is_check_due = False
        self._loop.add_reader(self._fd, self._receive)
        self._schedule_check()

    @property
    def is_closed(self):
        """Tell whether the socket was closed."""
        return self._socket.closed

    def send(self, parts):
        """Send without waiting.

        :returns: False when the peer cannot take the message now.
        """
        try:
            self._socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            if error.errno in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                return False
            raise
        # The descriptor is edge-triggered, and sending can consume the edge
        # of a message that arrived meanwhile.
        self._schedule_check()
        return True

    def close(self):
        """Close the socket and drop what is unsent."""
        if self._socket.closed:
            return
        self._loop.remove_reader(self._fd)
        self._socket.close(linger=0)

    def _schedule_check(self):
        if not self._is_check_due:
            self._is_check_due = True
            self._loop.call_soon(self._receive)

    def _receive(self):
        self._is_check_due = False
        for _ in range(RECEIVE_BATCH):
            if self._socket.closed:
                return
            # Most checks find nothing; asking costs less than the exception.
            if not self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                return
            self._on_parts(self._socket.recv_multipart(zmq.NOBLOCK))
        self._schedule_check()
