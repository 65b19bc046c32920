"""Streams of messages over a link, with credit-based flow control.

Each direction of a stream starts with a window of payload bytes. The receiver
returns credit as the application consumes messages, so a slow reader blocks
only its own stream and the memory of each stream is bounded.
"""

import collections

from cactusloft_link import _codec
from cactusloft_link import _errors
from cactusloft_link import _immediate

# A receiver may hold this much, and one more message, for each stream whose
# reader is slow. It is more than a link of 60 Mbit/s carries in a round trip.
WINDOW_BYTES = 48 * 1024
CREDIT_BATCH_BYTES = 12 * 1024


class Stream:
    """One end of a bidirectional stream.

    :param exchange: number of the stream on its connection.
    :param send_frame: function(type, exchange, message, payload) that returns
        False when the frame cannot be sent.
    :param on_end: function(exchange) called once when the stream ends.
    :ivar age_s: estimated seconds that the opening frame spent in queues.
    :ivar on_lost: function called when the peer reset the stream, or the
        connection was lost.
    """

    def __init__(self, exchange, send_frame, on_end):
        self._exchange = exchange
        self._send_frame = send_frame
        self._on_end = on_end
        self._received = collections.deque()
        self._receive_waiter = None
        self._credit_bytes = WINDOW_BYTES
        self._credit_waiter = None
        self._consumed_bytes = 0
        self._is_lost = False
        self._is_closed = False
        self.age_s = 0.0
        self.on_lost = _do_nothing

    async def send(self, message, payload=b''):
        """Send a message; wait for credit first if it has a payload.

        :raises StreamLostError: when the stream has ended or ends meanwhile.
        """
        while payload and self._credit_bytes <= 0 and not self._is_lost:
            self._credit_waiter = _immediate.Wakeup()
            await self._credit_waiter
        self._check_open()
        self._credit_bytes -= len(payload)
        if not self._send(_codec.FrameType.STREAM_DATA, message, payload):
            self.mark_lost()
            raise _errors.StreamLostError(
                'connection does not accept the frame'
            )

    async def receive(self):
        """Return the next frame.

        :raises StreamLostError: when the stream ends before one arrives.
        """
        while not self._received:
            self._check_open()
            self._receive_waiter = _immediate.Wakeup()
            await self._receive_waiter
        frame = self._received.popleft()
        self._return_credit(len(frame.payload))
        return frame

    async def wait_closed(self):
        """Wait until the stream is closed by either end or lost."""
        while not self._is_closed:
            self._receive_waiter = _immediate.Wakeup()
            await self._receive_waiter

    def close(self):
        """End the stream and send the peer a reset, unless it has ended."""
        if self._is_closed:
            return
        if not self._is_lost:
            self._send(_codec.FrameType.STREAM_RESET, None, b'')
        self._end()

    def finish(self):
        """End the stream without a reset.

        Call it only after the last message, when both ends know that none
        follows.
        """
        if not self._is_closed:
            self._end()

    def mark_lost(self):
        """End the stream because the peer or the connection is lost."""
        if self._is_closed:
            return
        self._is_lost = True
        self._end()
        self.on_lost()

    def handle_frame(self, frame):
        """Handle a frame that the connection received for this stream."""
        if frame.type is _codec.FrameType.STREAM_DATA:
            self._received.append(frame)
            _wake(self._receive_waiter)
        elif frame.type is _codec.FrameType.STREAM_CREDIT:
            self._credit_bytes += int.from_bytes(frame.payload, 'big')
            _wake(self._credit_waiter)
        else:
            self.mark_lost()

    def _send(self, frame_type, message, payload):
        return self._send_frame(frame_type, self._exchange, message, payload)

    def _return_credit(self, payload_bytes):
        self._consumed_bytes += payload_bytes
        if self._consumed_bytes >= CREDIT_BATCH_BYTES and not self._is_lost:
            credit = self._consumed_bytes.to_bytes(8, 'big')
            self._consumed_bytes = 0
            self._send(_codec.FrameType.STREAM_CREDIT, None, credit)

    def _check_open(self):
        if self._is_lost or self._is_closed:
            raise _errors.StreamLostError('stream ended')

    def _end(self):
        if not self._is_closed:
            self._is_closed = True
            self._on_end(self._exchange)
        _wake(self._receive_waiter)
        _wake(self._credit_waiter)


def _wake(waiter):
    if waiter is not None:
        waiter.set()


def _do_nothing():
    pass
