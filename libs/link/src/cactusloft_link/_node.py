"""The link endpoint of a daemon: one listener, and one link per peer.

A link is a DEALER socket that connects to the ROUTER socket of a peer. ZeroMQ
reconnects and resends queued messages without notice, but a call must not
reach its peer after the sender has given up on it. When the connection breaks
or the peer becomes unresponsive, a link therefore opens a new socket and
discards the old one with all queued messages.
"""

import asyncio
import itertools
import time

import attrs
from returns import result

from cactusloft_link import _background
from cactusloft_link import _codec
from cactusloft_link import _errors
from cactusloft_link import _immediate
from cactusloft_link import _listener
from cactusloft_link import _plain
from cactusloft_link import _streams

PING_INTERVAL_S = 0.2
# A peer that owes only replies to requests, such as a long poll, is pinged at
# this interval. Hundreds of daemons poll all the time.
REQUEST_PING_INTERVAL_S = 0.5
# With open exchanges, a ping is sent at this interval even while frames
# arrive: on a stream that only the peer sends on, it receives nothing else.
BUSY_PING_INTERVAL_S = 1.0
# Pings only keep an idle connection from being dropped by the network. With
# dozens of idle peers, frequent pings would cost more than control traffic.
IDLE_PING_INTERVAL_S = 10.0
PEER_TIMEOUT_S = 1.5

_Type = _codec.FrameType


@attrs.frozen
class PeerAddress:
    """Endpoint and public key of a peer.

    :ivar endpoint: ``IP:port``.
    :ivar public_key: Z85-encoded CURVE key, empty on unencrypted links.
    """

    endpoint: str
    public_key: str


class LinkNode:
    """All links of one daemon, and its listener.

    :param codec: :class:`Codec` of the messages.
    :param key_pair: this daemon's :class:`KeyPair`, or None for unencrypted
        links, which trust every process that can reach the port.
    :param allowed_keys: :class:`AllowedKeys` for incoming connections; not
        used for unencrypted links.
    :param hybrid_clock: clock that stamps frames for the timeline, or None.
    :ivar on_event: function(name, **fields) called for events of links.
    """

    def __init__(self, codec, key_pair, allowed_keys, hybrid_clock):
        self._codec = codec
        self._allowed_keys = allowed_keys
        self._clock = hybrid_clock
        self._curve = None
        if key_pair is not None:
            # Residents have plain links and no memory for what it imports.
            from cactusloft_link import _curve

            self._curve = _curve.CurveSockets(key_pair, self._is_allowed)
        self._links = {}
        self._listener = _listener.Listener(self)
        self._tasks = set()
        self._keep_alive_task = None
        self.on_event = lambda name, **fields: None

    def handle_requests(self, message_class, handler):
        """Register the handler of requests of a message class.

        :param handler: coroutine function(message, age_s) that returns the
            reply. ``age_s`` is the estimated time that the request spent in
            queues.
        """
        self._listener.request_handlers[message_class] = handler

    def handle_streams(self, message_class, handler):
        """Register the handler of streams that a message class opens.

        :param handler: coroutine function(stream, frame) that gets the opening
            frame; the stream is closed when it returns.
        """
        self._listener.stream_handlers[message_class] = handler

    def listen(self, endpoint):
        """Accept connections of peers at ``endpoint`` (``IP:port``).

        :returns: the port; the system chooses it if ``endpoint`` has port 0.
        """
        if self._curve is None:
            return self._listener.start_plain(endpoint)
        return self._listener.start_encrypted(self._curve, endpoint)

    def _is_allowed(self, key):
        """Tell whether a peer may connect."""
        is_allowed = self._allowed_keys.allows(key)
        if not is_allowed:
            self.on_event('peer_refused', public_key=key.decode('ascii'))
        return is_allowed

    def connect(self, address):
        """Return the link to ``address``, which is opened on first use.

        :param address: :class:`PeerAddress`.
        """
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(self, address)
            link.start()
            if self._keep_alive_task is None:
                self._keep_alive_task = self.start_job(self._keep_links_alive)
        return link

    def disconnect(self, address):
        """Close the link to ``address``, if any."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self):
        """Close all links and the listener."""
        for address in list(self._links):
            self.disconnect(address)
        self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        if self._curve is not None:
            self._curve.close()

    def encode(self, frame_type, exchange, message=None, payload=b''):
        """Return the parts of a new frame with the present time."""
        sent_us = time.monotonic_ns() // 1000
        stamp = _codec.NO_STAMP if self._clock is None else self._clock.tick()
        frame = _codec.Frame(
            frame_type, exchange, sent_us, stamp, message, payload
        )
        return self._codec.encode(frame)

    def decode(self, parts):
        """Return the frame of ``parts``, or None when it is malformed."""
        try:
            frame = self._codec.decode(parts)
        except _codec.MalformedFrameError as error:
            self.on_event('malformed_frame', detail=str(error))
            return None
        if frame.stamp is not _codec.NO_STAMP and self._clock is not None:
            self._clock.merge(frame.stamp)
        return frame

    def spawn(self, coroutine):
        """Run a coroutine as a task that is cancelled when the node closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start_job(self, run):
        """Run a job until the node closes, also after unexpected errors.

        :param run: coroutine function of the job.
        """
        return self.spawn(_background.keep_running(run, self._report_failure))

    def start(self, coroutine):
        """Run a coroutine at once; cancel it when the node closes."""
        task = _immediate.ImmediateTask(coroutine, self._report_failure)
        if not task.done():
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return task

    def _report_failure(self, error):
        self.on_event('handler_failed', detail=repr(error))

    def make_dealer(self, address, on_parts, on_connected, on_disconnected):
        """Return a connecting socket, and its monitor or None."""
        if self._curve is None:
            dealer = _plain.PlainDealer(
                address.endpoint, on_parts, on_connected, on_disconnected
            )
            return dealer, None
        return self._curve.connect(
            address, on_parts, on_connected, on_disconnected
        )

    async def _keep_links_alive(self):
        # One task serves all links: dozens of timers would cost more than the
        # pings of idle links.
        while True:
            for link in list(self._links.values()):
                link.keep_alive()
            await asyncio.sleep(PING_INTERVAL_S)


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
        self._last_received_at = 0.0
        self._up = asyncio.Event()
        self._waiting_since = 0.0
        self._last_ping_at = 0.0

    @property
    def is_up(self):
        """Tell whether a frame has arrived on the current connection."""
        return self._up.is_set()

    @property
    def unresponsive_s(self):
        """Return the seconds for which the peer has been unresponsive.

        It is 0 without open exchanges, when no frame is expected.
        """
        if not self._requests and not self._streams:
            return 0.0
        unresponsive_since = max(self._last_received_at, self._waiting_since)
        return time.monotonic() - unresponsive_since

    def start(self):
        """Open the connection, which is renewed until the link is closed."""
        self._waiting_since = time.monotonic()
        self._open_socket()

    def close(self):
        """Close the connection and fail all open exchanges."""
        self._close_socket()
        self._fail_exchanges()

    async def request(self, message, timeout_s, payload=b''):
        """Send a request and wait for its reply.

        :param timeout_s: maximum time to wait for the reply.
        :returns: ``Success(reply)``, or ``Failure(LinkError)``.
        """
        exchange = next(self._exchanges)
        waiter = asyncio.get_running_loop().create_future()
        self._requests[exchange] = waiter
        try:
            if not self._send(_Type.REQUEST, exchange, message, payload):
                return _fail(_errors.LinkFailure.LOST, 'not connected')
            # In Python 3.11, asyncio.wait_for() swallows a cancellation that
            # coincides with the result, and the task would run on for ever.
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return _fail(
                _errors.LinkFailure.TIMEOUT, f'no reply within {timeout_s} s'
            )
        finally:
            self._requests.pop(exchange, None)

    def open_stream(self, message, payload=b''):
        """Open a stream with its first message.

        :raises StreamLostError: when the peer is not connected; nothing was
            sent.
        """
        exchange = next(self._exchanges)
        if not self._send(_Type.STREAM_OPEN, exchange, message, payload):
            raise _errors.StreamLostError('not connected')
        stream = _streams.Stream(exchange, self._send, self._remove_stream)
        self._streams[exchange] = stream
        return stream

    async def wait_until_up(self, timeout_s):
        """Wait until the link is up; return False after the timeout."""
        if self._up.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._up.wait()
        except TimeoutError:
            return False
        return True

    def keep_alive(self):
        """Send a ping if one is due; reconnect if the peer is unresponsive."""
        now = time.monotonic()
        is_idle = self.is_up and not self._requests and not self._streams
        if is_idle:
            self._waiting_since = now
        # Any received frame proves as much as a pong does.
        silence_s = REQUEST_PING_INTERVAL_S
        if self._streams or not self.is_up:
            silence_s = PING_INTERVAL_S / 2
        is_pong_needed = (
            now - max(self._last_received_at, self._last_ping_at) > silence_s
        )
        interval_s = BUSY_PING_INTERVAL_S
        if is_idle:
            interval_s = IDLE_PING_INTERVAL_S
        is_due = now - self._last_ping_at > interval_s
        if (is_pong_needed and not is_idle) or is_due:
            self._send(_Type.PING, 0)
            self._last_ping_at = now
        unresponsive_since = max(self._last_received_at, self._waiting_since)
        if now - unresponsive_since > PEER_TIMEOUT_S:
            self._reconnect()

    def _send(self, frame_type, exchange, message=None, payload=b''):
        parts = self._node.encode(frame_type, exchange, message, payload)
        return not self._socket.is_closed and self._socket.send(parts)

    def _open_socket(self):
        self._socket, self._monitor = self._node.make_dealer(
            self._address,
            self._handle_parts,
            self._send_first_ping,
            self._reconnect,
        )

    def _send_first_ping(self):
        # The pong proves that the daemon at the other end is running.
        self._send(_Type.PING, 0)

    def _close_socket(self):
        if self._monitor is not None:
            self._monitor.close()
        self._socket.close()

    def _reconnect(self):
        """Replace the connection; queued messages and exchanges are lost."""
        if self.is_up:
            self._node.on_event('peer_lost', endpoint=self._address.endpoint)
        self._up.clear()
        self._last_received_at = 0.0
        self._waiting_since = time.monotonic()
        self._close_socket()
        self._fail_exchanges()
        self._open_socket()

    def _fail_exchanges(self):
        lost = _fail(_errors.LinkFailure.LOST, 'connection lost')
        for waiter in list(self._requests.values()):
            if not waiter.done():
                waiter.set_result(lost)
        for stream in list(self._streams.values()):
            stream.mark_lost()

    def _remove_stream(self, exchange):
        self._streams.pop(exchange, None)

    def _handle_parts(self, parts):
        frame = self._node.decode(parts)
        if frame is None:
            return
        if not self.is_up:
            self._node.on_event(
                'peer_connected', endpoint=self._address.endpoint
            )
        self._last_received_at = time.monotonic()
        self._up.set()
        if frame.type in (_Type.REPLY, _Type.ERROR):
            self._handle_reply(frame)
        elif frame.type is not _Type.PONG:
            stream = self._streams.get(frame.exchange)
            if stream is not None:
                stream.handle_frame(frame)

    def _handle_reply(self, frame):
        waiter = self._requests.get(frame.exchange)
        if waiter is None or waiter.done():
            return
        if frame.type is _Type.REPLY:
            waiter.set_result(result.Success(frame.message))
        else:
            detail = frame.payload.decode(errors='replace')
            waiter.set_result(_fail(_errors.LinkFailure.REFUSED, detail))


def _fail(failure, detail):
    return result.Failure(_errors.LinkError(failure, detail))
