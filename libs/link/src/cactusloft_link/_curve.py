"""Encrypted sockets of ZeroMQ with CURVE keys.

Imported only for nodes with keys: ZeroMQ takes 2.5 MB of a process.
"""

import zmq
import zmq.auth.asyncio

from cactusloft_link import _monitor
from cactusloft_link import _socket

MAX_QUEUED_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
ZAP_DOMAIN = b'cactusloft'


class CurveSockets:
    """Sockets of one node.

    :param key_pair: :class:`KeyPair` of the node.
    :param is_allowed: function(public key as bytes) that tells whether a peer
        may connect.
    """

    def __init__(self, key_pair, is_allowed):
        self._key_pair = key_pair
        self._is_allowed = is_allowed
        self._context = zmq.Context()
        self._authenticator = None

    def listen(self, endpoint, on_parts):
        """Accept peers with an allowed key at ``endpoint``.

        :param on_parts: function(parts) called with each message.
        :returns: :class:`LoopSocket` and its port.
        """
        socket = self._make_socket(zmq.ROUTER)
        self._authenticate(socket)
        # Without this option, ZeroMQ discards frames to a disconnected peer
        # without an error.
        socket.router_mandatory = True
        socket.bind(f'tcp://{endpoint}')
        port = int(socket.last_endpoint.rsplit(b':', 1)[1])
        return _socket.LoopSocket(socket, on_parts), port

    def connect(self, address, on_parts, on_connected, on_disconnected):
        """Return a connecting :class:`LoopSocket` and its monitor.

        :param address: :class:`PeerAddress`.
        """
        socket = self._make_socket(zmq.DEALER)
        socket.curve_serverkey = address.public_key.encode('ascii')
        # Rejects messages while there is no connection: a queued call could
        # be delivered after its sender has given up on it.
        socket.immediate = 1
        socket.reconnect_ivl = 50
        socket.reconnect_ivl_max = 1000
        monitor = _monitor.Monitor(socket, on_connected, on_disconnected)
        socket.connect(f'tcp://{address.endpoint}')
        return _socket.LoopSocket(socket, on_parts), monitor

    def close(self):
        """Release what the sockets of the node share."""
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def callback(self, _domain, key):
        """Tell whether a peer may connect; called by the authenticator."""
        return self._is_allowed(key)

    def _authenticate(self, socket):
        """Restrict a listening socket to peers with an allowed key."""
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(ZAP_DOMAIN.decode(), self)
        socket.curve_server = True
        socket.zap_domain = ZAP_DOMAIN

    def _make_socket(self, socket_type):
        socket = self._context.socket(socket_type)
        socket.linger = 0
        socket.sndhwm = MAX_QUEUED_MESSAGES
        socket.rcvhwm = MAX_QUEUED_MESSAGES
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.curve_publickey = self._key_pair.public
        socket.curve_secretkey = self._key_pair.secret
        return socket
