"""Streams of messages over a link, with credit-based flow control.

Each direction of a stream starts with a window of payload bytes. The receiver
gives credit back as the application takes messages, so a slow reader holds up
its own stream only and memory for each stream stays bounded.
"""

import asyncio
import collections

from cactusloft_link import _codec
from cactusloft_link import _errors

WINDOW_BYTES = 256 * 1024
CREDIT_BATCH_BYTES = 64 * 1024


class Stream:
    """One end of a stream.

    :param exchange: number of the stream on its connection.
    :param send_frame: function(type, exchange, message, payload) that returns
        False when the connection cannot take the frame.
    :param forget: function called once when the stream ends.
    """

    def __init__(self, exchange, send_frame, forget):
        self._exchange = exchange
        self._send_frame = send_frame
        self._forget = forget
        self._received = collections.deque()
        self._waiter = None
        self._credit = WINDOW_BYTES
        self._credit_waiter = None
        self._consumed = 0
        self._is_lost = False
        self._is_closed = False
        self.age_s = 0.0
        self.on_lost = _do_nothing

    async def send(self, message, payload=b''):
        """Send a message, waiting for credit when it has a payload.

        :raises StreamLostError: when the stream ended meanwhile.
        """
        while payload and self._credit <= 0 and not self._is_lost:
            self._credit_waiter = asyncio.get_running_loop().create_future()
            await self._credit_waiter
        self._check_open()
        self._credit -= len(payload)
        if not self._send(_codec.FrameType.STREAM_DATA, message, payload):
            self.lose()
            raise _errors.StreamLostError('connection takes no frames')

    async def receive(self):
        """Return the next frame.

        :raises StreamLostError: when the stream ended before one came.
        """
        while not self._received:
            self._check_open()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        frame = self._received.popleft()
        self._return_credit(len(frame.payload))
        return frame

    async def wait_closed(self):
        """Wait until the other end closed the stream or was lost."""
        while not self._is_closed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def close(self):
        """End the stream; the other end sees a reset if it is still open."""
        if self._is_closed:
            return
        if not self._is_lost:
            self._send(_codec.FrameType.STREAM_RESET, None, b'')
        self._end()

    def finish(self):
        """End the stream after its last message, of which both ends know."""
        if not self._is_closed:
            self._end()

    def lose(self):
        """Mark the stream as lost: its link or the other end is gone."""
        if self._is_closed:
            return
        self._is_lost = True
        self._end()
        self.on_lost()

    def take_frame(self, frame):
        """Take a frame that the connection received for this stream."""
        if frame.type is _codec.FrameType.STREAM_DATA:
            self._received.append(frame)
            _wake(self._waiter)
        elif frame.type is _codec.FrameType.STREAM_CREDIT:
            self._credit += int.from_bytes(frame.payload, 'big')
            _wake(self._credit_waiter)
        else:
            self.lose()

    def _send(self, kind, message, payload):
        return self._send_frame(kind, self._exchange, message, payload)

    def _return_credit(self, size):
        self._consumed += size
        if self._consumed >= CREDIT_BATCH_BYTES and not self._is_lost:
            credit = self._consumed.to_bytes(8, 'big')
            self._consumed = 0
            self._send(_codec.FrameType.STREAM_CREDIT, None, credit)

    def _check_open(self):
        if self._is_lost or self._is_closed:
            raise _errors.StreamLostError('stream ended')

    def _end(self):
        if not self._is_closed:
            self._is_closed = True
            self._forget(self._exchange)
        _wake(self._waiter)
        _wake(self._credit_waiter)


def _wake(waiter):
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _do_nothing():
    pass
