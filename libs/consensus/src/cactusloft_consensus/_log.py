"""In-memory log of one replica: a snapshot and the entries after it."""

import attrs
import msgspec

from cactusloft_consensus import _messages

# Entry data in one append message; one entry is sent whatever its size.
MAX_BATCH_BYTES = 1024 * 1024


@attrs.frozen
class Membership:
    """Members of the group at one version of the membership.

    :ivar version: number of membership changes since the bootstrap. It does
        not depend on when a replica takes snapshots.
    """

    version: int
    members: tuple[_messages.Member, ...]


class Log:
    """A snapshot, the entries after it and the resulting membership.

    :param snapshot: :class:`Snapshot` that replaces the earlier entries.
    :param entries: entries after the snapshot.
    """

    def __init__(self, snapshot, entries=()):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._update_members()

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.find_term(self.last_index)

    @property
    def data_bytes(self):
        """Return the total size of the data in the entries."""
        return sum(len(entry.data) for entry in self._entries)

    def find_term(self, index):
        """Return the term of the entry at ``index``, or None if not held."""
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
        """Return as many entries from ``first`` on as fit in a message."""
        batch, batch_bytes = [], 0
        base = self.snapshot.index + 1
        for position in range(first - base, len(self._entries)):
            batch_bytes += len(self._entries[position].data)
            if batch and batch_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._entries[position])
        return tuple(batch)

    def append(self, entries):
        """Append ``entries``, replacing all held from the first index on."""
        if not entries:
            return
        del self._entries[entries[0].index - self.snapshot.index - 1 :]
        self._entries.extend(entries)
        self._update_members()

    def list_differing(self, entries):
        """Return ``entries`` from the first on that this log does not hold."""
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.find_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def is_covered_by(self, last_index, last_term):
        """Tell whether a log that ends there is at least as up to date."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def replace(self, snapshot):
        """Replace the entries that ``snapshot`` covers.

        Later entries are kept if the log agrees with the snapshot, because
        the leader may already count them as replicated.
        """
        is_equal = self.find_term(snapshot.index) == snapshot.term
        kept = self.list_entries(snapshot.index + 1) if is_equal else ()
        self.snapshot = snapshot
        self._entries = list(kept)
        self._update_members()

    def find_membership(self, index):
        """Return the :class:`Membership` in force at ``index``."""
        membership = Membership(self.snapshot.version, self.snapshot.members)
        for entry in self.list_entries(self.snapshot.index + 1, index):
            if entry.kind == _messages.EntryKind.MEMBERS:
                members = decode_members(entry.data)
                membership = Membership(membership.version + 1, members)
        return membership

    def _update_members(self):
        self.members = self.snapshot.members
        self.members_index = self.snapshot.index
        for entry in reversed(self._entries):
            if entry.kind == _messages.EntryKind.MEMBERS:
                self.members = decode_members(entry.data)
                self.members_index = entry.index
                return


def encode_members(members):
    """Encode ``members`` as the data of a membership entry."""
    return msgspec.msgpack.encode(members)


def decode_members(data):
    """Decode the members in the data of a membership entry."""
    return msgspec.msgpack.decode(data, type=tuple[_messages.Member, ...])
