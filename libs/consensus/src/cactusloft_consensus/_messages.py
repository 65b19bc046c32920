"""Messages between replicas, log entries and storage records.

All are attrs classes encoded with msgspec MessagePack. A one-byte kind and a
protocol version precede each message.
"""

import enum

import attrs
import msgspec

PROTOCOL_VERSION = 1


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    NO_OP = 0
    COMMAND = 1
    MEMBERS = 2


@attrs.frozen
class Member:
    """A replica in the group.

    :ivar replica_id: random identity from the data folder.
    :ivar address: name under which the transport reaches the replica.
    :ivar is_voter: False for a learner, which never counts.
    """

    replica_id: str
    address: str
    is_voter: bool


@attrs.frozen
class Entry:
    """One position of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@attrs.frozen
class Snapshot:
    """State that replaces all entries up to ``index``.

    :ivar members: membership in force at ``index``.
    :ivar data: state of the replicated state machine.
    :ivar version: number of membership changes up to ``index``.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes
    version: int = 0


EMPTY_SNAPSHOT = Snapshot(0, 0, (), b'')


@attrs.frozen
class PreVote:
    """Ask whether an election could be won, without raising the term."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class PreVoteReply:
    """Answer to :class:`PreVote`.

    :ivar term: term of the replier.
    :ivar asked_term: term that the request named.
    """

    term: int
    asked_term: int
    granted: bool


@attrs.frozen
class Vote:
    """Ask for the vote in ``term``."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class VoteReply:
    """Answer to :class:`Vote`, sent once the vote is synced."""

    term: int
    granted: bool


@attrs.frozen
class Append:
    """Heartbeat of the leader with any number of entries.

    :ivar round_id: heartbeat round that the reply acknowledges.
    :ivar echo: token of the latest reply seen from the receiver.
    :ivar confirmed_age: seconds since the confirmation of the leader, or
        None while it has none.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round_id: int
    echo: int
    confirmed_age: float | None


@attrs.frozen
class InstallSnapshot:
    """Snapshot for a replica whose next entry is truncated."""

    term: int
    snapshot: Snapshot
    round_id: int


@attrs.frozen
class AppendReply:
    """Answer to :class:`Append` or :class:`InstallSnapshot`, after sync.

    :ivar match: highest index known to equal the leader's log; when refused,
        the index from which the leader should try again.
    :ivar token: identifies the time of sending to the replier itself.
    """

    term: int
    accepted: bool
    match: int
    round_id: int
    token: int


@attrs.frozen
class VoteRecord:
    """Storage record of the term and the vote in it."""

    term: int
    voted_for: str


@attrs.frozen
class EntriesRecord:
    """Storage record of entries; the first replaces all from its index."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Rewrite:
    """Whole state of the log, which replaces all earlier records."""

    vote: VoteRecord
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@attrs.frozen
class Envelope:
    """A message with the identities of its sender and receiver."""

    sender: str
    target: str
    message: object


_KINDS = (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
)
_KIND_OF = {kind: number for number, kind in enumerate(_KINDS)}


@attrs.frozen
class _Frame:
    sender: str
    target: str
    body: msgspec.Raw


def encode_message(envelope):
    """Return the bytes of an :class:`Envelope`."""
    kind = _KIND_OF[type(envelope.message)]
    body = msgspec.Raw(msgspec.msgpack.encode(envelope.message))
    frame = _Frame(envelope.sender, envelope.target, body)
    return bytes((kind, PROTOCOL_VERSION)) + msgspec.msgpack.encode(frame)


def decode_message(content):
    """Return the :class:`Envelope` in ``content``.

    :raises ValueError: if the bytes are no message of this protocol version.

    >>> sent = Envelope('a', 'b', VoteReply(3, True))
    >>> decode_message(encode_message(sent)) == sent
    True
    """
    if len(content) < 2 or content[0] >= len(_KINDS):
        raise ValueError('unknown kind of consensus message')
    if content[1] != PROTOCOL_VERSION:
        raise ValueError(f'protocol version {content[1]} is not supported')
    frame = msgspec.msgpack.decode(content[2:], type=_Frame)
    message = msgspec.msgpack.decode(frame.body, type=_KINDS[content[0]])
    return Envelope(frame.sender, frame.target, message)
