"""Failures of links and streams."""

import enum

import attrs


class LinkFailure(enum.Enum):
    """Why a request over a link failed."""

    LOST = 'lost'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'


@attrs.frozen
class LinkError:
    """The failure side of a request.

    :ivar failure: the kind of failure.
    :ivar detail: one sentence for a person.
    """

    failure: LinkFailure
    detail: str = ''


class StreamLostError(Exception):
    """The other end of a stream reset it, or its link was lost."""
