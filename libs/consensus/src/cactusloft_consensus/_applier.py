"""Apply committed entries to the document store."""

import attrs

from cactusloft_consensus import _messages


@attrs.frozen
class CompactionLimits:
    """Size of the log above which a snapshot replaces it.

    :ivar max_entries: applied entries since the last snapshot.
    :ivar max_data_bytes: data in all entries of the log.
    """

    max_entries: int = 1000
    max_data_bytes: int = 16 * 1024 * 1024


@attrs.frozen
class AppliedEntry:
    """An applied entry.

    :ivar outcome: :class:`Outcome` of a document change, None for other
        entries.
    """

    entry: _messages.Entry
    outcome: object


class Applier:
    """Apply the output of a node to a store and compact its log.

    :param node: :class:`Node`.
    :param store: :class:`DocumentStore`.
    :param limits: :class:`CompactionLimits`.
    """

    def __init__(self, node, store, limits):
        self._node = node
        self._store = store
        self._limits = limits
        self._last_index = 0

    def apply(self, output):
        """Apply the snapshot and the entries of an :class:`Output`.

        :returns: list of :class:`AppliedEntry` in log order.
        """
        if output.snapshot is not None:
            self._store.restore(output.snapshot.data)
            self._last_index = output.snapshot.index
        return [self._apply_entry(entry) for entry in output.entries]

    def _apply_entry(self, entry):
        self._last_index = entry.index
        outcome = None
        if entry.kind == _messages.EntryKind.COMMAND:
            outcome = self._store.apply(entry.data)
        return AppliedEntry(entry, outcome)

    def compact(self):
        """Replace the applied entries by a snapshot if a limit is exceeded."""
        log = self._node.log
        count = self._last_index - log.snapshot.index
        is_over_limit = (
            count > self._limits.max_entries
            or log.data_bytes > self._limits.max_data_bytes
        )
        if count > 0 and is_over_limit:
            self._node.compact(self._last_index, self._store.save())
