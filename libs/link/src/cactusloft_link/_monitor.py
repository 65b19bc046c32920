"""Notice of made and broken connections from a socket's monitor."""

import asyncio

import zmq
import zmq.utils.monitor


class Monitor:
    """Call back when a connection of a socket is ready or breaks.

    :param socket: ZeroMQ socket to watch.
    :param on_connected: called after the key exchange.
    :param on_disconnected: called when an established connection broke.
    """

    def __init__(self, socket, on_connected, on_disconnected):
        self._watched = socket
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._loop = asyncio.get_running_loop()
        self._socket = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        )
        self._fd = self._socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self._receive)
        # The descriptor is edge-triggered and armed by a read.
        self._loop.call_soon(self._receive)

    def close(self):
        """Stop watching."""
        if self._socket is None:
            return
        self._loop.remove_reader(self._fd)
        self._socket = None
        self._watched.disable_monitor()

    def _receive(self):
        while self._socket is not None:
            try:
                notice = zmq.utils.monitor.recv_monitor_message(
                    self._socket, zmq.NOBLOCK
                )
            except zmq.Again:
                return
            if notice['event'] == zmq.EVENT_DISCONNECTED:
                self._on_disconnected()
            else:
                self._on_connected()
