"""Messages between replicas, log entries and storage records.

All are attrs classes and are encoded as MessagePack. One byte for the kind
and one for the protocol version precede each message.
"""

import enum

import attrs
import msgspec

PROTOCOL_VERSION = 1


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    NO_OP = 0
    COMMAND = 1
    MEMBERS = 2


@attrs.frozen
class Member:
    """A replica in the group.

    :ivar replica_id: random identity of its data folder.
    :ivar address: name under which the transport reaches the replica.
    :ivar is_voter: False for a learner, which receives entries but counts in
        no majority.
    """

    replica_id: str
    address: str
    is_voter: bool


@attrs.frozen
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@attrs.frozen
class Snapshot:
    """State after all entries up to ``index``, which replaces them.

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
    """Ask whether the receiver would vote, without raising the term."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class PreVoteReply:
    """Reply to :class:`PreVote`.

    :ivar term: current term of the sender.
    :ivar asked_term: term in the request.
    """

    term: int
    asked_term: int
    granted: bool


@attrs.frozen
class Vote:
    """Ask for the receiver's vote in ``term``."""

    term: int
    last_index: int
    last_term: int


@attrs.frozen
class MissedRounds:
    """Heartbeat rounds that a silent member has not acknowledged."""

    replica_id: str
    rounds: int


@attrs.frozen
class VoteReply:
    """Reply to :class:`Vote`, sent once the vote is synced.

    :ivar missed_rounds: silent members that the voter knows of. A candidate
        that has just restarted knows of none.
    """

    term: int
    granted: bool
    missed_rounds: tuple[MissedRounds, ...] = ()


@attrs.frozen
class Append:
    """Heartbeat of the leader with zero or more entries.

    :ivar commit: highest committed index that the leader knows.
    :ivar round_id: heartbeat round that the reply acknowledges.
    :ivar echo: token of the latest reply received from the target.
    :ivar confirmed_age: seconds since a majority last confirmed the leader,
        or None before it has committed an entry of its term.
    :ivar missed_rounds: silent members, for the next leader.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round_id: int
    echo: int
    confirmed_age: float | None
    missed_rounds: tuple[MissedRounds, ...] = ()


@attrs.frozen
class InstallSnapshot:
    """Snapshot for a replica whose next entry is no longer in the log."""

    term: int
    snapshot: Snapshot
    round_id: int


@attrs.frozen
class AppendReply:
    """Reply to :class:`Append` or :class:`InstallSnapshot`, sent after sync.

    :ivar match: highest index up to which the log equals the leader's; if
        not accepted, the index after which the leader should try again.
    :ivar token: identifies the reply; the leader echoes it, and the sender
        looks up the time at which it sent the reply.
    """

    term: int
    accepted: bool
    match: int
    round_id: int
    token: int


@attrs.frozen
class VoteRecord:
    """Storage record of the current term and the vote in it."""

    term: int
    voted_for: str


@attrs.frozen
class EntriesRecord:
    """Storage record of entries that replace all from the first index on."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Rewrite:
    """Storage record of the whole log, which replaces all earlier records."""

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
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}


@attrs.frozen
class _Frame:
    sender: str
    target: str
    body: msgspec.Raw


def encode_message(envelope):
    """Encode an :class:`Envelope`."""
    kind = _KIND_NUMBERS[type(envelope.message)]
    body = msgspec.Raw(msgspec.msgpack.encode(envelope.message))
    frame = _Frame(envelope.sender, envelope.target, body)
    return bytes((kind, PROTOCOL_VERSION)) + msgspec.msgpack.encode(frame)


def decode_message(content):
    """Decode an :class:`Envelope`.

    :raises ValueError: if ``content`` is not a message of this protocol
        version.

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
