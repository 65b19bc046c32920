"""Replicated document store: versions, change ids and history.

The store is a deterministic state machine. Every replica applies the same
changes in the same order, so the store must not read a clock or use random
numbers.
"""

import collections
import enum
import hashlib
import zlib

import attrs
import msgspec

from cactusloft_consensus import _evacuations

# Outcomes kept to answer resends, besides those of the kept revisions. A
# resend that arrives after more changes than either holds is refused because
# of its old base version.
MAX_KEPT_OUTCOMES = 4096
MAX_KEPT_REVISIONS = 1000
MAX_KEPT_TEXTS = 10


class OutcomeKind(enum.Enum):
    """Kind of the outcome of a change."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    CHANGE_ID_REUSED = 'change_id_reused'


@attrs.frozen
class Change:
    """A change of the document that an operator requests.

    :ivar base_version: version on which the operator based the change.
    :ivar change_id: identity of the change, the same in every resend.
    :ivar wall_ms: wall-clock time of the proposer in milliseconds, used in
        the history only.
    :ivar packed_text: text compressed with zlib; see :meth:`pack`.
    :ivar version: version that the change creates, higher than the base
        version; 0 for the next one.
    """

    base_version: int
    change_id: str
    wall_ms: int
    packed_text: bytes
    version: int = 0

    @classmethod
    def pack(cls, base_version, change_id, wall_ms, text, version=0):
        """Make a change that sets the document to ``text``."""
        packed = zlib.compress(text.encode())
        return cls(base_version, change_id, wall_ms, packed, version)

    @classmethod
    def decode(cls, data):
        """Decode a change from the data of a log entry."""
        return msgspec.msgpack.decode(data, type=cls)

    def encode(self):
        """Encode the change as the data of a log entry."""
        return msgspec.msgpack.encode(self)

    @property
    def text(self):
        """Return the decompressed text."""
        return zlib.decompress(self.packed_text).decode()


@attrs.frozen
class Outcome:
    """Outcome of a change.

    :ivar version: version in force after the decision.
    """

    kind: OutcomeKind
    version: int


@attrs.frozen
class Revision:
    """An accepted version in the history.

    :ivar digest: SHA-256 of the text in hexadecimal digits.
    """

    version: int
    change_id: str
    wall_ms: int
    digest: str


@attrs.frozen
class _DecidedChange:
    change_id: str
    digest: str
    outcome: Outcome


@attrs.frozen
class _State:
    version: int
    texts: tuple[tuple[int, bytes], ...]
    revisions: tuple[Revision, ...]
    remembered: tuple[_DecidedChange, ...]
    evacuations: _evacuations.Evacuations = _evacuations.NO_EVACUATIONS


class DocumentStore:
    """Document, history and outcomes of recent changes, and evacuations.

    :ivar version: version of the document in force.
    :ivar evacuations: :class:`Evacuations` in force.

    >>> store = DocumentStore()
    >>> change = Change.pack(0, 'first', 0, 'text')
    >>> store.apply(change.encode()).version, store.text
    (1, 'text')
    """

    def __init__(self):
        self.version = 0
        self.evacuations = _evacuations.NO_EVACUATIONS
        self._texts = collections.OrderedDict()
        self._revisions = collections.deque(maxlen=MAX_KEPT_REVISIONS)
        self._decided = collections.OrderedDict()

    @property
    def text(self):
        """Return the document in force, empty before the first version."""
        return self.find_text(self.version) or ''

    @property
    def change_id(self):
        """Return the id of the change that made the version in force.

        Empty before the first version.
        """
        return self._revisions[-1].change_id if self._revisions else ''

    def find_text(self, version):
        """Return the text of ``version``, or None if it is no longer kept."""
        packed = self._texts.get(version)
        return None if packed is None else zlib.decompress(packed).decode()

    def list_revisions(self):
        """Return the kept revisions, oldest first."""
        return tuple(self._revisions)

    def apply(self, data):
        """Apply a change or refuse it, or apply an order for an evacuation.

        :param data: encoded :class:`Change` or :class:`EvacuationOrder`.
        :returns: :class:`Outcome`; a resend gets that of the first attempt.
            That of an order has the revision of the evacuations as version.
        """
        if _evacuations.is_order(data):
            order = _evacuations.EvacuationOrder.decode(data)
            self.evacuations = self.evacuations.apply(order)
            return Outcome(OutcomeKind.ACCEPTED, self.evacuations.revision)
        change = Change.decode(data)
        digest = hashlib.sha256(change.text.encode()).hexdigest()
        earlier = self._find_decided(change.change_id)
        if earlier is not None and earlier.digest == digest:
            return earlier.outcome
        if earlier is not None:
            return Outcome(OutcomeKind.CHANGE_ID_REUSED, self.version)
        outcome = self._decide(change, digest)
        self._decided[change.change_id] = _DecidedChange(
            change.change_id, digest, outcome
        )
        if len(self._decided) > MAX_KEPT_OUTCOMES:
            self._decided.popitem(last=False)
        return outcome

    def _find_decided(self, change_id):
        """Return the earlier decision on a change id, or None.

        A refusal is kept too. Had the change another chance, a late copy of
        it could come in force after the operator was told that it is refused.
        """
        decided = self._decided.get(change_id)
        if decided is not None:
            return decided
        # Refused changes don't push an accepted one out of the revisions.
        for revision in self._revisions:
            if revision.change_id == change_id:
                outcome = Outcome(OutcomeKind.ACCEPTED, revision.version)
                return _DecidedChange(change_id, revision.digest, outcome)
        return None

    def _decide(self, change, digest):
        if change.base_version != self.version:
            return Outcome(OutcomeKind.CONFLICT, self.version)
        if change.version and change.version <= self.version:
            return Outcome(OutcomeKind.CONFLICT, self.version)
        self.version = change.version or self.version + 1
        self._texts[self.version] = change.packed_text
        if len(self._texts) > MAX_KEPT_TEXTS:
            self._texts.popitem(last=False)
        self._revisions.append(
            Revision(self.version, change.change_id, change.wall_ms, digest)
        )
        return Outcome(OutcomeKind.ACCEPTED, self.version)

    def save(self):
        """Encode the whole state."""
        state = _State(
            version=self.version,
            texts=tuple(self._texts.items()),
            revisions=tuple(self._revisions),
            remembered=tuple(self._decided.values()),
            evacuations=self.evacuations,
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data):
        """Replace the state by one that :meth:`save` encoded.

        :param data: encoded state; empty for that of a new group.
        """
        if not data:
            self.__init__()
            return
        state = msgspec.msgpack.decode(data, type=_State)
        self.version = state.version
        self.evacuations = state.evacuations
        self._texts = collections.OrderedDict(state.texts)
        self._revisions = collections.deque(
            state.revisions, maxlen=MAX_KEPT_REVISIONS
        )
        self._decided = collections.OrderedDict(
            (item.change_id, item) for item in state.remembered
        )
