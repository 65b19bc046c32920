"""Tests that no bytes of another daemon raise an unexpected error."""

import contextlib
import struct

import hypothesis
from hypothesis import strategies
import msgspec

import cactusloft_link as link
from cactusloft_link import _codec
from cactusloftd import _messages

NUMBERS = tuple(_messages.MESSAGES)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text()
    | strategies.binary(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


@strategies.composite
def draw_bodies(draw):
    """Draw the body of a message: a map of its fields with any values."""
    number = draw(strategies.sampled_from(NUMBERS))
    names = [f.name for f in _messages.MESSAGES[number].__attrs_attrs__]
    fields = draw(
        strategies.dictionaries(strategies.sampled_from(names or ['']), VALUES)
    )
    return number, msgspec.msgpack.encode(fields)


def decode(parts):
    """Decode a frame as the listener does."""
    with contextlib.suppress(_codec.MalformedFrameError):
        link.Codec(_messages.MESSAGES).decode(parts)


@hypothesis.given(
    strategies.integers(0, 255),
    draw_bodies(),
    strategies.integers(0, 2**64 - 1),
    strategies.integers(0, 2**64 - 1),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(-2, 2),
)
def test_frame_with_damaged_fields_raises_an_unexpected_error(
    kind, message, exchange, wall_ms, counter, missing_bytes
):
    """It is logged as malformed, and the connection goes on."""
    number, body = message
    size = max(0, len(body) + missing_bytes)
    head = struct.pack(
        '!BBHQQQII', 1, kind, number, exchange, 0, wall_ms, counter, size
    )
    decode([head + body])


@hypothesis.given(strategies.lists(strategies.binary(max_size=80), max_size=3))
def test_random_frame_raises_an_unexpected_error(parts):
    """Neither the number of parts nor their length is trusted."""
    decode(parts)


@hypothesis.given(strategies.binary(), strategies.data())
def test_random_body_raises_an_unexpected_error(body, data):
    """Each message class refuses bytes that are no map of its fields."""
    number = data.draw(strategies.sampled_from(NUMBERS))
    head = struct.pack('!BBHQQQII', 1, 1, number, 1, 0, 1, 0, len(body))
    decode([head + body])
