"""Notice of broken connections from a socket's monitor."""

import asyncio

import zmq
import zmq.utils.monitor


class Monitor:
    """Call back when an established connection of a socket breaks.

    :param socket: ZeroMQ socket to watch.
    :param on_disconnected: function without parameters.
    """

    def __init__(self, socket, on_disconnected):
        self._watched = socket
        self._on_disconnected = on_disconnected
        self._loop = asyncio.get_running_loop()
        self._socket = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._fd = self._socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self._receive)

    def close(self):
        """Stop watching."""
        if self._socket is None:
            return
        self._loop.remove_reader(self._fd)
        self._socket = None
        self._watched.disable_monitor()

    def _receive(self):
        is_disconnected = False
        while self._socket is not None:
            try:
                zmq.utils.monitor.recv_monitor_message(
                    self._socket, zmq.NOBLOCK
                )
            except zmq.Again:
                break
            is_disconnected = True
        if is_disconnected:
            self._on_disconnected()
