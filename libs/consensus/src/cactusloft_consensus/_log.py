"""In-memory log of one replica: a snapshot and the entries after it."""

import attrs
import msgspec

from cactusloft_consensus import _messages

MAX_APPEND_BYTES = 1024 * 1024


@attrs.frozen
class Membership:
    """Members of the group after a number of changes.

    :ivar version: number of changes since the bootstrap. It is the same on
        all replicas, whenever they take snapshots.
    """

    version: int
    members: tuple[_messages.Member, ...]


class Log:
    """Entries after a snapshot, with the membership that they define.

    :param snapshot: :class:`Snapshot` that replaces the earlier entries.
    :param entries: entries that follow the snapshot.
    """

    def __init__(self, snapshot, entries=()):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._find_members()

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.find_term(self.last_index)

    @property
    def size(self):
        """Return the number of bytes in the entries."""
        return sum(len(entry.data) for entry in self._entries)

    def find_term(self, index):
        """Return the term of the entry at ``index``, or None."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def list_entries(self, first, last=None):
        """Return the entries from ``first`` to ``last`` inclusive."""
        base = self.snapshot.index + 1
        end = None if last is None else last - base + 1
        return tuple(self._entries[first - base : end])

    def list_batch(self, first):
        """Return entries from ``first`` on that fit into one message."""
        batch, size = [], 0
        base = self.snapshot.index + 1
        for position in range(first - base, len(self._entries)):
            size += len(self._entries[position].data)
            if batch and size > MAX_APPEND_BYTES:
                break
            batch.append(self._entries[position])
        return tuple(batch)

    def append(self, entries):
        """Add ``entries``; the first replaces all from its index on."""
        if not entries:
            return
        del self._entries[entries[0].index - self.snapshot.index - 1 :]
        self._entries.extend(entries)
        self._find_members()

    def list_missing(self, entries):
        """Return the part of ``entries`` that this log does not hold."""
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.find_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def is_covered_by(self, last_index, last_term):
        """Tell whether a log that ends so is at least as complete."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def replace(self, snapshot):
        """Put ``snapshot`` in place of the entries that it covers.

        Entries after it stay where the log agrees with the snapshot, because
        the leader may already have counted them.
        """
        agrees = self.find_term(snapshot.index) == snapshot.term
        rest = self.list_entries(snapshot.index + 1) if agrees else ()
        self.snapshot = snapshot
        self._entries = list(rest)
        self._find_members()

    def find_membership(self, index):
        """Return the :class:`Membership` in force at ``index``."""
        found = Membership(self.snapshot.version, self.snapshot.members)
        for entry in self.list_entries(self.snapshot.index + 1, index):
            if entry.kind == _messages.EntryKind.MEMBERS:
                members = decode_members(entry.data)
                found = Membership(found.version + 1, members)
        return found

    def _find_members(self):
        self.members = self.snapshot.members
        self.members_index = self.snapshot.index
        for entry in reversed(self._entries):
            if entry.kind == _messages.EntryKind.MEMBERS:
                self.members = decode_members(entry.data)
                self.members_index = entry.index
                return


def encode_members(members):
    """Return the data of a membership entry."""
    return msgspec.msgpack.encode(members)


def decode_members(data):
    """Return the members in the data of a membership entry."""
    return msgspec.msgpack.decode(data, type=tuple[_messages.Member, ...])
