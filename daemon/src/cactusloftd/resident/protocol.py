"""Interface between the resident and the adapter of a platform."""

import typing

import attrs

from cactusloftd import _calls


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class Request:
    """One attempt of a caller to get a request served.

    :ivar attempt_id: id that the caller gave this attempt; each attempt has
        its own.
    :ivar root_id: id of the client's attempt at the root of the call tree,
        equal to ``attempt_id`` for a client's own request.
    :ivar parent_id: id of the attempt that the backend server was running
        when it sent this one, empty for a client's own request.
    :ivar host: host name that the caller addressed.
    :ivar target: path and query, exactly as received.
    :ivar key: caller key, or empty.
    :ivar deadline_ms: milliseconds that the caller waits, or None.
    :ivar headers: end-to-end headers without the key and without those that
        the resident sets itself.
    :ivar read_at: time of the event loop in seconds at which it was read; its
        timeout counts from then.
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
    read_at: float

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Heartbeat:
    """Heartbeat of a backend server process.

    :ivar instance: identity, which a later process may use again.
    :ivar born_ms: wall clock time in milliseconds at which the process
        started.
    :ivar sequence: number that grows with each message of a process.
    :ivar slots: number of calls that it can run concurrently.
    :ivar is_draining: whether it accepts no new calls.
    :ivar cold_left_s: remaining seconds of its warm-up, while it is slow.
    :ivar address: ``IP:port`` at which it accepts calls.
    """

    instance: str
    service: str
    born_ms: int
    sequence: int
    slots: int
    is_draining: bool
    cold_left_s: float
    address: str = ''


@attrs.frozen
class ServerLoad:
    """Load that a backend server reports with a response; it may be wrong.

    :ivar running: number of calls that it runs.
    :ivar waiting: number of calls that it queues.
    :ivar slots: number of calls that it can run concurrently.
    :ivar slowness: how long work takes on its host now, as a multiple of the
        usual time, None if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.frozen(slots=False)
class ResponseMetadata:
    """Metadata from the head of a backend server's response.

    :ivar attempt_id: id of the request that it belongs to, empty if absent.
    :ivar is_not_run: whether it declares that the request was not run.
    :ivar is_other_instance: whether the request was meant for another
        instance than the one that received it.
    :ivar load: :class:`ServerLoad`, None if absent.
    :ivar idle_s: its idle timeout of connections in seconds, None if absent.
    :ivar rate_limit: requests per second that it accepts at present from all
        hosts together, None if it names no limit.
    :ivar is_leaving: whether it is about to leave.
    """

    attempt_id: str
    is_not_run: bool
    is_other_instance: bool
    load: ServerLoad | None
    idle_s: float | None
    rate_limit: float | None = None
    is_leaving: bool = False


class BackendProtocol(typing.Protocol):
    """Conventions of the platform for HTTP with backend servers."""

    def write_head(
        self, call: _calls.Call, instance: str, remaining_ms: int
    ) -> bytes:
        """Return the request line and the headers of a call as bytes.

        :param instance: instance that the call is meant for.
        :param remaining_ms: milliseconds until the deadline of the call.
        """

    def read_metadata(
        self, status: int, headers: dict[str, str]
    ) -> ResponseMetadata:
        """Return the metadata of a response.

        :param headers: values by lower-case name; the last of repeated ones.
        """


class DocumentReader(typing.Protocol):
    """Parser of configuration documents, see :class:`_texts.TextParser`."""

    def has_parsed(self, text: str) -> bool:
        """Tell whether ``text`` was parsed last and its result is cached."""

    def parse(self, text: str):
        """Return ``Success(Document)`` or ``Failure(faults)``."""
