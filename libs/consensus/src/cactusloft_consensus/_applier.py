"""Application of committed entries to the document store."""

import attrs

from cactusloft_consensus import _messages


@attrs.frozen
class Limits:
    """When the log is replaced by a snapshot.

    :ivar entries: applied entries after the last snapshot.
    :ivar size: bytes in the log.
    """

    entries: int = 1000
    size: int = 16 * 1024 * 1024


@attrs.frozen
class Applied:
    """An entry with what applying it gave.

    :ivar outcome: :class:`Outcome` of a change, None for other entries.
    """

    entry: _messages.Entry
    outcome: object


class Applier:
    """Apply outputs of a node to a store and compact the log.

    :param node: :class:`Node`.
    :param store: :class:`DocumentStore`.
    :param limits: :class:`Limits` of the log.
    """

    def __init__(self, node, store, limits):
        self._node = node
        self._store = store
        self._limits = limits
        self._last_index = 0

    def take(self, output):
        """Apply an output.

        :returns: list of :class:`Applied` in log order.
        """
        if output.snapshot is not None:
            self._store.restore(output.snapshot.data)
            self._last_index = output.snapshot.index
        return [self._apply(entry) for entry in output.entries]

    def _apply(self, entry):
        self._last_index = entry.index
        outcome = None
        if entry.kind == _messages.EntryKind.COMMAND:
            outcome = self._store.apply(entry.data)
        return Applied(entry, outcome)

    def compact(self):
        """Replace the applied entries by a snapshot when it is due."""
        log = self._node.log
        count = self._last_index - log.snapshot.index
        is_due = count > self._limits.entries or log.size > self._limits.size
        if count > 0 and is_due:
            self._node.compact(self._last_index, self._store.save())
