"""Errors of links and streams."""

import enum

import attrs


class LinkFailure(enum.Enum):
    """Kinds of failure of a request over a link."""

    LOST = 'lost'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'


@attrs.frozen
class LinkError:
    """Why a request over a link failed.

    :ivar detail: human-readable explanation.
    """

    failure: LinkFailure
    detail: str = ''


class StreamLostError(Exception):
    """The peer reset the stream, or the connection was lost."""
