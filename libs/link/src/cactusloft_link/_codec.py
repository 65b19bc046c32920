"""Frames: a fixed header, a MessagePack body and raw payload bytes.

The header carries the message number, the exchange it belongs to, the
sender's monotonic clock, its hybrid clock stamp and the length of the body.
Bodies are attrs classes, so that both ends check types when they decode. A
frame is one part of a ZeroMQ message, because each part is encrypted and
passed between threads by itself.
"""

import enum
import struct

import attrs
import msgspec

from cactusloft_model import clock

PROTOCOL_VERSION = 1
_HEADER = struct.Struct('!BBHQQQII')
# Of frames between nodes without a hybrid clock.
NO_STAMP = clock.Stamp(0, 0)


class FrameType(enum.IntEnum):
    """What a frame means to the link."""

    REQUEST = 1
    REPLY = 2
    ERROR = 3
    STREAM_OPEN = 4
    STREAM_DATA = 5
    STREAM_CREDIT = 6
    STREAM_RESET = 7
    PING = 8
    PONG = 9


_TYPES = {kind.value: kind for kind in FrameType}


@attrs.define
class Frame:
    """One frame.

    :ivar exchange: number of the request or stream, chosen by its opener.
    :ivar sent_us: sender's monotonic clock in microseconds.
    :ivar message: decoded attrs object, or None.
    :ivar payload: raw bytes beside the message.
    """

    type: FrameType
    exchange: int
    sent_us: int
    stamp: clock.Stamp
    message: object = None
    payload: bytes = b''


class MalformedFrame(Exception):
    """Bytes from a peer that are not a frame of this protocol."""


class Codec:
    """Encode and decode messages by number.

    :param classes: mapping from message number (1 to 65535) to attrs class.
    """

    def __init__(self, classes):
        self._numbers = {cls: number for number, cls in classes.items()}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            number: msgspec.msgpack.Decoder(cls)
            for number, cls in classes.items()
        }

    def encode(self, frame):
        """Return the parts of ``frame``: a list of one bytes object."""
        number, body = 0, b''
        if frame.message is not None:
            number = self._numbers[type(frame.message)]
            body = self._encoder.encode(frame.message)
        header = _HEADER.pack(
            PROTOCOL_VERSION,
            frame.type,
            number,
            frame.exchange,
            frame.sent_us,
            frame.stamp.wall_ms,
            frame.stamp.counter,
            len(body),
        )
        return [b''.join((header, body, frame.payload))]

    def decode(self, parts):
        """Return the frame of ``parts``.

        :raises MalformedFrame: when the parts are not a known frame.
        """
        try:
            (content,) = parts
            fields = _HEADER.unpack_from(content)
            version, kind, number, exchange, sent_us = fields[:5]
            wall_ms, counter, body_bytes = fields[5:]
            if version != PROTOCOL_VERSION:
                raise MalformedFrame(f'protocol version {version}')
            body_end = _HEADER.size + body_bytes
            if body_end > len(content):
                raise MalformedFrame('shorter than its body')
            body = memoryview(content)[_HEADER.size : body_end]
            message = self._decoders[number].decode(body) if number else None
            return Frame(
                _TYPES[kind],
                exchange,
                sent_us,
                clock.Stamp(wall_ms, counter) if wall_ms else NO_STAMP,
                message,
                content[body_end:],
            )
        except (ValueError, KeyError, struct.error) as error:
            raise MalformedFrame(str(error)) from error
        except msgspec.DecodeError as error:
            raise MalformedFrame(str(error)) from error
