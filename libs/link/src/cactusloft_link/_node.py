"""The peer endpoint of a daemon: one listener, and one link for each peer.

A link is a DEALER socket to a peer's ROUTER. ZeroMQ reconnects and resends
silently, which must not happen to calls: a queued message could reach its peer
after the sender gave it up. A link therefore takes a new socket, which drops
everything queued, whenever the connection broke or the peer was silent.
"""

import asyncio
import itertools
import time

import attrs
from returns import result
import zmq
import zmq.auth.asyncio

from cactusloft_link import _codec
from cactusloft_link import _errors
from cactusloft_link import _listener
from cactusloft_link import _monitor
from cactusloft_link import _plain
from cactusloft_link import _socket
from cactusloft_link import _streams

PING_INTERVAL_S = 0.2
# The peer has to hear of an open exchange that only the peer sends on.
BUSY_PING_INTERVAL_S = 1.0
# An idle link is only kept from being dropped on the way; with dozens of idle
# peers, frequent pings would cost more than the control traffic.
IDLE_PING_INTERVAL_S = 10.0
SILENCE_LIMIT_S = 1.5
HIGH_WATER_MARK = 10_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
ZAP_DOMAIN = b'cactusloft'

_T = _codec.FrameType


@attrs.frozen
class PeerAddress:
    """Where a peer listens, and the key that it must prove.

    :ivar endpoint: ``IP:port``.
    :ivar public_key: Z85 CURVE public key, empty on plain links.
    """

    endpoint: str
    public_key: str


class LinkNode:
    """All links of one daemon.

    :param codec: :class:`Codec` of the messages.
    :param key_pair: this daemon's :class:`KeyPair`, or None for plain links:
        every process that reaches the port is then trusted.
    :param allowed_keys: :class:`AllowedKeys` for incoming connections; not
        used on plain links.
    :param hybrid_clock: stamps frames for the time line, or None.
    """

    def __init__(self, codec, key_pair, allowed_keys, hybrid_clock):
        self._codec = codec
        self._key_pair = key_pair
        self._allowed_keys = allowed_keys
        self._clock = hybrid_clock
        self._context = None if key_pair is None else zmq.Context()
        self._links = {}
        self._listener = _listener.Listener(self)
        self._authenticator = None
        self._tasks = set()
        self._keeper = None
        self.on_event = lambda name, **fields: None

    def handle_requests(self, message_class, handler):
        """Answer requests of a class.

        :param handler: coroutine function(message, age_s) that returns the
            reply. ``age_s`` is an estimate of the message's time in queues.
        """
        self._listener.request_handlers[message_class] = handler

    def handle_streams(self, message_class, handler):
        """Serve streams that open with a class.

        :param handler: coroutine function(stream, frame); the stream is closed
            when it returns.
        """
        self._listener.stream_handlers[message_class] = handler

    def listen(self, endpoint):
        """Accept peers at ``endpoint`` (``IP:port``).

        :returns: the port, chosen by the system for port 0.
        """
        if self._key_pair is None:
            return self._listener.start_plain(endpoint)
        socket = self._make_socket(zmq.ROUTER)
        self._authenticate(socket)
        # Without it, frames to a peer that went away vanish silently.
        socket.router_mandatory = True
        socket.bind(f'tcp://{endpoint}')
        port = int(socket.last_endpoint.rsplit(b':', 1)[1])
        self._listener.start(socket)
        return port

    def _authenticate(self, socket):
        """Let a listening socket take only peers with an allowed key."""
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(ZAP_DOMAIN.decode(), self)
        socket.curve_server = True
        socket.zap_domain = ZAP_DOMAIN

    def callback(self, _domain, key):
        """Decide on a connecting peer; called by the ZAP authenticator."""
        is_allowed = self._allowed_keys.allows(key)
        if not is_allowed:
            self.on_event('peer_refused', public_key=key.decode('ascii'))
        return is_allowed

    def connect(self, address):
        """Return the link to ``address``, made on first use.

        :param address: :class:`PeerAddress`.
        """
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(self, address)
            link.start()
            if self._keeper is None:
                self._keeper = self.spawn(self._keep_links())
        return link

    def disconnect(self, address):
        """Close the link to ``address`` if there is one."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self):
        """Close all links and the listener."""
        for address in list(self._links):
            self.disconnect(address)
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.destroy(linger=0)

    def encode(self, kind, exchange, message=None, payload=b''):
        """Return the parts of a frame that is sent now."""
        sent_us = time.monotonic_ns() // 1000
        stamp = _codec.NO_STAMP if self._clock is None else self._clock.tick()
        frame = _codec.Frame(kind, exchange, sent_us, stamp, message, payload)
        return self._codec.encode(frame)

    def decode(self, parts):
        """Return the frame of ``parts``, or None when it is malformed."""
        try:
            frame = self._codec.decode(parts)
        except _codec.MalformedFrame as error:
            self.on_event('malformed_frame', detail=str(error))
            return None
        if frame.stamp is not _codec.NO_STAMP and self._clock is not None:
            self._clock.merge(frame.stamp)
        return frame

    def spawn(self, coroutine):
        """Run a coroutine as a task that ends with the node."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def make_dealer(self, address, on_parts, on_connected, on_disconnected):
        """Return a connected socket and its monitor, None for none."""
        if self._key_pair is None:
            dealer = _plain.PlainDealer(
                address.endpoint, on_parts, on_connected, on_disconnected
            )
            return dealer, None
        socket = self._make_socket(zmq.DEALER)
        socket.curve_serverkey = address.public_key.encode('ascii')
        # Messages wait for no connection: a queued call would be delivered
        # after its sender gave it up.
        socket.immediate = 1
        socket.reconnect_ivl = 50
        socket.reconnect_ivl_max = 1000
        monitor = _monitor.Monitor(socket, on_connected, on_disconnected)
        socket.connect(f'tcp://{address.endpoint}')
        return _socket.LoopSocket(socket, on_parts), monitor

    async def _keep_links(self):
        # One task for all links: dozens of timers would cost more than the
        # pings of idle links.
        while True:
            for link in list(self._links.values()):
                link.keep_alive()
            await asyncio.sleep(PING_INTERVAL_S)

    def _make_socket(self, kind):
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK
        socket.rcvhwm = HIGH_WATER_MARK
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.curve_publickey = self._key_pair.public
        socket.curve_secretkey = self._key_pair.secret
        return socket


class Link:
    """The outgoing connection to one peer.

    :param node: the owning :class:`LinkNode`.
    :param address: :class:`PeerAddress` of the peer.
    """

    def __init__(self, node, address):
        self._node = node
        self._address = address
        self._exchanges = itertools.count(1)
        self._requests = {}
        self._streams = {}
        self._socket = None
        self._monitor = None
        self._last_heard = 0.0
        self._up = asyncio.Event()
        self._waiting_since = 0.0
        self._last_ping = 0.0

    @property
    def is_up(self):
        """Tell whether the peer answered on the present connection."""
        return self._up.is_set()

    @property
    def silence_s(self):
        """Return the seconds for which the peer owes a sign of life."""
        if not self._requests and not self._streams:
            return 0.0
        silent_since = max(self._last_heard, self._waiting_since)
        return time.monotonic() - silent_since

    def start(self):
        """Connect and keep the connection alive until closed."""
        self._waiting_since = time.monotonic()
        self._open_socket()

    def close(self):
        """Close the connection; open exchanges are lost."""
        self._close_socket()
        self._lose_exchanges()

    async def request(self, message, timeout_s, payload=b''):
        """Send a request and wait for its reply.

        :param timeout_s: seconds to wait.
        :returns: ``Success(reply)``, or ``Failure(LinkError)``.
        """
        exchange = next(self._exchanges)
        waiter = asyncio.get_running_loop().create_future()
        self._requests[exchange] = waiter
        try:
            if not self._send(_T.REQUEST, exchange, message, payload):
                return _fail(_errors.LinkFailure.LOST, 'not connected')
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes
            # together with the result, and the task would go on for ever.
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return _fail(_errors.LinkFailure.TIMEOUT, f'{timeout_s} s')
        finally:
            self._requests.pop(exchange, None)

    def open_stream(self, message, payload=b''):
        """Open a stream with its first message.

        :raises StreamLostError: when the peer is not connected; nothing was
            sent.
        """
        exchange = next(self._exchanges)
        if not self._send(_T.STREAM_OPEN, exchange, message, payload):
            raise _errors.StreamLostError('not connected')
        stream = _streams.Stream(exchange, self._send, self._forget_stream)
        self._streams[exchange] = stream
        return stream

    async def wait_until_up(self, timeout_s):
        """Wait until the peer answered; return False when it did not."""
        if self._up.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._up.wait()
        except TimeoutError:
            return False
        return True

    def keep_alive(self):
        """Ping the peer when it is due, and give up a silent one."""
        now = time.monotonic()
        is_idle = self.is_up and not self._requests and not self._streams
        if is_idle:
            self._waiting_since = now
        # Anything that comes in shows as much as an answer to a ping.
        is_quiet = now - self._last_heard > PING_INTERVAL_S / 2
        interval_s = BUSY_PING_INTERVAL_S
        if is_idle:
            interval_s = IDLE_PING_INTERVAL_S
        is_due = now - self._last_ping > interval_s
        if (is_quiet and not is_idle) or is_due:
            self._send(_T.PING, 0)
            self._last_ping = now
        silent_since = max(self._last_heard, self._waiting_since)
        if now - silent_since > SILENCE_LIMIT_S:
            self._reset()

    def _send(self, kind, exchange, message=None, payload=b''):
        parts = self._node.encode(kind, exchange, message, payload)
        return not self._socket.is_closed and self._socket.send(parts)

    def _open_socket(self):
        self._socket, self._monitor = self._node.make_dealer(
            self._address, self._take_parts, self._greet, self._reset
        )

    def _greet(self):
        # The first pong shows that the peer itself is alive.
        self._send(_T.PING, 0)

    def _close_socket(self):
        if self._monitor is not None:
            self._monitor.close()
        self._socket.close()

    def _reset(self):
        """Drop the connection with all that is queued, and connect anew."""
        if self.is_up:
            self._node.on_event('peer_lost', endpoint=self._address.endpoint)
        self._up.clear()
        self._last_heard = 0.0
        self._waiting_since = time.monotonic()
        self._close_socket()
        self._lose_exchanges()
        self._open_socket()

    def _lose_exchanges(self):
        lost = _fail(_errors.LinkFailure.LOST, 'connection lost')
        for waiter in list(self._requests.values()):
            if not waiter.done():
                waiter.set_result(lost)
        for stream in list(self._streams.values()):
            stream.lose()

    def _forget_stream(self, exchange):
        self._streams.pop(exchange, None)

    def _take_parts(self, parts):
        frame = self._node.decode(parts)
        if frame is None:
            return
        if not self.is_up:
            self._node.on_event(
                'peer_connected', endpoint=self._address.endpoint
            )
        self._last_heard = time.monotonic()
        self._up.set()
        if frame.type in (_T.REPLY, _T.ERROR):
            self._take_reply(frame)
        elif frame.type is not _T.PONG:
            stream = self._streams.get(frame.exchange)
            if stream is not None:
                stream.take_frame(frame)

    def _take_reply(self, frame):
        waiter = self._requests.get(frame.exchange)
        if waiter is None or waiter.done():
            return
        if frame.type is _T.REPLY:
            waiter.set_result(result.Success(frame.message))
        else:
            detail = frame.payload.decode(errors='replace')
            waiter.set_result(_fail(_errors.LinkFailure.REFUSED, detail))


def _fail(failure, detail):
    return result.Failure(_errors.LinkError(failure, detail))
