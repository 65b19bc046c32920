"""What an adapter hands to the resident and takes from it."""

import typing

import attrs

from cactusloftd import _calls


@attrs.frozen
class Request:
    """One attempt of a client, as a listener read it.

    :ivar attempt_id: identity that the client gave this attempt; a later
        attempt has another one.
    :ivar root_id: attempt of the client above this one, itself for a client.
    :ivar parent_id: attempt that the backend server ran when it sent this
        one, empty when it is a client's.
    :ivar host: name that the client addressed.
    :ivar target: path with query, byte for byte.
    :ivar key: caller key, or empty.
    :ivar deadline_ms: milliseconds that the client waits, or None.
    :ivar headers: end-to-end headers without the key and without those that
        the resident sets itself.
    """

    attempt_id: str
    method: str
    host: str
    target: str
    key: str
    deadline_ms: int | None
    headers: _calls.Headers
    body: bytes
    root_id: str
    parent_id: str

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Heartbeat:
    """What the backend server says of itself.

    :ivar instance: identity, which a later process may have again.
    :ivar born_ms: wall clock milliseconds of the start of its process.
    :ivar sequence: grows with each message of one process.
    :ivar slots: calls that it runs at once.
    :ivar cold_left_s: seconds for which it stays slow after its start.
    """

    instance: str
    service: str
    born_ms: int
    sequence: int
    slots: int
    is_draining: bool
    cold_left_s: float


@attrs.frozen
class ResponseMetadata:
    """What the head of a backend server's answer says beside its status.

    :ivar attempt_id: the request that it answers, empty when it says none.
    :ivar is_not_run: whether it declares that it did not run the request.
    :ivar is_other_instance: whether the request was meant for another one.
    :ivar load: calls that it runs and holds, or None when not said.
    :ivar idle_s: seconds after which it closes an idle connection, or None.
    """

    attempt_id: str
    is_not_run: bool
    is_other_instance: bool
    load: int | None
    idle_s: float | None


class BackendProtocol(typing.Protocol):
    """HTTP as the backend servers of the platform speak it."""

    def write_head(
        self, call: _calls.Call, instance: str, remaining_ms: int
    ) -> bytes:
        """Return the request line and the headers of a call."""

    def read_metadata(
        self, status: int, headers: dict[str, str]
    ) -> ResponseMetadata:
        """Return what the head of an answer says.

        :param headers: by name in lower case; of equal ones the last.
        """


class DocumentReader(typing.Protocol):
    """Reads the operators' texts, see :class:`_texts.TextParser`."""

    def has_parsed(self, text: str) -> bool:
        """Tell whether ``text`` was read last, so that reading is free."""

    def parse(self, text: str):
        """Return ``Success(Document)`` or ``Failure(faults)``."""
