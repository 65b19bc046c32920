"""Detection of established and lost connections by a socket monitor."""

import asyncio

import zmq
import zmq.utils.monitor


class Monitor:
    """Call back when a socket's connection is established or lost.

    :param socket: ZeroMQ socket to monitor.
    :param on_connected: function called after the CURVE handshake.
    :param on_disconnected: function called when the connection is lost.
    """

    def __init__(self, socket, on_connected, on_disconnected):
        self._monitored_socket = socket
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._loop = asyncio.get_running_loop()
        self._event_socket = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        )
        self._fd = self._event_socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self._receive)
        # The descriptor is edge-triggered: it signals new events only after a
        # first read.
        self._loop.call_soon(self._receive)

    def close(self):
        """Stop monitoring."""
        if self._event_socket is None:
            return
        self._loop.remove_reader(self._fd)
        # The I/O thread of ZeroMQ blocks for ever, and with it every later
        # call on the socket, if it has an event to send and nobody receives.
        self._monitored_socket.monitor(None, 0)
        self._event_socket.close(linger=0)
        self._event_socket = None
        self._monitored_socket.disable_monitor()

    def _receive(self):
        while self._event_socket is not None:
            try:
                event = zmq.utils.monitor.recv_monitor_message(
                    self._event_socket, zmq.NOBLOCK
                )
            except zmq.Again:
                return
            if event['event'] == zmq.EVENT_DISCONNECTED:
                self._on_disconnected()
            else:
                self._on_connected()
