"""HTTP requests and responses at the listeners of a resident."""

import attrs

from cactusloftd import _calls


class HeaderFields:
    """Header fields in their original order.

    :param pairs: name and value pairs.
    """

    def __init__(self, pairs):
        self._pairs = pairs
        self._by_name = {name.lower(): value for name, value in pairs}

    def items(self):
        """Return the name and value pairs."""
        return self._pairs

    def get(self, name, default=''):
        """Return the value of a field, the last one if it is repeated.

        :param name: in any case.
        """
        return self._by_name.get(name.lower(), default)


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class Request:
    """A request with its whole body.

    :ivar target: path and query, exactly as received.
    :ivar read_at: time of the event loop in seconds at which it was read.
    """

    method: str
    target: str
    headers: HeaderFields
    body: bytes
    read_at: float

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]


@attrs.frozen(slots=False)
class HttpResponse:
    """A response with a whole or a streamed body.

    :ivar headers: name and value pairs, without Connection, Content-Length and
        Transfer-Encoding.
    :ivar response: source of the body instead of ``body``, or None.
    :ivar is_last: whether the connection is closed after the response.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    response: _calls.Response | None = None
    is_last: bool = False
