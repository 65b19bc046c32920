"""HTTP requests and answers as the listeners of a resident handle them."""

import attrs

from cactusloftd import _calls


class HeaderFields:
    """Header fields in the order of the message.

    :param pairs: pairs of name and value.
    """

    def __init__(self, pairs):
        self._pairs = pairs
        self._by_name = {name.lower(): value for name, value in pairs}

    def items(self):
        """Return the pairs."""
        return self._pairs

    def get(self, name, default=''):
        """Return the value of a field, the last of equal ones."""
        return self._by_name.get(name.lower(), default)


@attrs.frozen
class Request:
    """A request with its whole body.

    :ivar target: path with query, byte for byte.
    """

    method: str
    target: str
    headers: HeaderFields
    body: bytes

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Answer:
    """An answer whose body is there, or still arriving.

    :ivar headers: pairs, without those of the connection and the body.
    :ivar response: source of the body in place of ``body``, or None.
    :ivar is_last: whether the connection is closed after it.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    response: _calls.Response | None = None
    is_last: bool = False
