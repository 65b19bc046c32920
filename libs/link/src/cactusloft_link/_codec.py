"""Encoding of frames: a fixed header, a MessagePack body and a raw payload.

The header holds the protocol version, the frame type, the message number, the
exchange, the sender's monotonic clock, its hybrid clock stamp and the length
of the body. Bodies are attrs classes, whose field types are checked on
decoding. A frame is a single part of a ZeroMQ message, because each part is
encrypted and passed between threads separately.
"""

import enum
import struct

import attrs
import msgspec

from cactusloft_model import clock

PROTOCOL_VERSION = 1
_HEADER = struct.Struct('!BBHQQQII')
# Stamp of frames from nodes without a hybrid clock.
NO_STAMP = clock.Stamp(0, 0)


class FrameType(enum.IntEnum):
    """Purpose of a frame."""

    REQUEST = 1
    REPLY = 2
    ERROR = 3
    STREAM_OPEN = 4
    STREAM_DATA = 5
    STREAM_CREDIT = 6
    STREAM_RESET = 7
    PING = 8
    PONG = 9


_TYPE_BY_VALUE = {member.value: member for member in FrameType}


@attrs.define
class Frame:
    """One frame.

    :ivar exchange: number of the request or stream, assigned by the side that
        opens it.
    :ivar sent_us: sender's monotonic clock in microseconds.
    :ivar stamp: sender's hybrid clock, or :data:`NO_STAMP`.
    :ivar message: decoded attrs object, or None.
    :ivar payload: raw bytes that follow the message.
    """

    type: FrameType
    exchange: int
    sent_us: int
    stamp: clock.Stamp
    message: object = None
    payload: bytes = b''


class MalformedFrameError(Exception):
    """Bytes from a peer are not a frame of this protocol."""


class Codec:
    """Encode and decode frames.

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
        """Return ``frame`` as the list of its one ZeroMQ message part."""
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
        """Return the :class:`Frame` in the parts of a ZeroMQ message.

        :raises MalformedFrameError: when the parts are not a valid frame.
        """
        try:
            (encoded,) = parts
            (
                version,
                kind,
                number,
                exchange,
                sent_us,
                wall_ms,
                counter,
                body_bytes,
            ) = _HEADER.unpack_from(encoded)
            if version != PROTOCOL_VERSION:
                raise MalformedFrameError(
                    f'unsupported protocol version {version}'
                )
            body_end = _HEADER.size + body_bytes
            if body_end > len(encoded):
                raise MalformedFrameError(
                    'frame is shorter than its body length'
                )
            message = None
            if number:
                body = memoryview(encoded)[_HEADER.size : body_end]
                message = self._decoders[number].decode(body)
            return Frame(
                _TYPE_BY_VALUE[kind],
                exchange,
                sent_us,
                clock.Stamp(wall_ms, counter) if wall_ms else NO_STAMP,
                message,
                encoded[body_end:],
            )
        except (ValueError, KeyError, struct.error) as error:
            raise MalformedFrameError(str(error)) from error
        except msgspec.DecodeError as error:
            raise MalformedFrameError(str(error)) from error
