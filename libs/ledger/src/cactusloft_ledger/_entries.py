"""In-memory table of the keys of a ledger member, by their last change."""

import bisect

import attrs

from cactusloft_ledger import _messages

# Bars reject delayed messages of earlier attempts. A link discards a request
# when its deadline passes, so the bars of the latest calls on a key suffice.
MAX_KEPT_BARS = 32


@attrs.frozen
class Claimant:
    """A call that holds, or may hold, a key; the in-memory form of a holder.

    :ivar deadline: deadline of the call in monotonic seconds of this member.
    """

    call_id: str
    attempt: int
    fingerprint: str
    deadline: float

    def make_holder(self, now):
        """Return the :class:`Holder` that is sent and stored."""
        remaining_ms = max(0, round((self.deadline - now) * 1000))
        return _messages.Holder(
            self.call_id, self.attempt, self.fingerprint, remaining_ms
        )


@attrs.frozen
class KeyEntry:
    """State of one key at a member.

    A key has several claimants when copies from other members disagree. The
    member then votes for none of them.
    """

    claimants: tuple[Claimant, ...] = ()
    bars: tuple[_messages.Bar, ...] = ()
    outcome: _messages.Outcome | None = None

    def get_claimant(self, call_id):
        """Return the claimant of a call, or None."""
        matches = (c for c in self.claimants if c.call_id == call_id)
        return next(matches, None)

    def find_barred_attempt(self, call_id, dead_only=False):
        """Return the highest barred attempt of a call, 0 for none.

        :param dead_only: ignore bars that are only promises.
        """
        attempts = (
            bar.attempt
            for bar in self.bars
            if bar.call_id == call_id and (bar.is_dead or not dead_only)
        )
        return max(attempts, default=0)

    def with_bar(self, bar):
        """Return the entry with ``bar`` and without the claimants it voids."""
        known_attempt = self.find_barred_attempt(bar.call_id, bar.is_dead)
        bars = self.bars
        if known_attempt < bar.attempt:
            bars = tuple(b for b in bars if not _supersedes(bar, b)) + (bar,)
        claimants = self.claimants
        if bar.is_dead:
            claimants = tuple(c for c in claimants if not _voids(bar, c))
        return attrs.evolve(
            self, bars=bars[-MAX_KEPT_BARS:], claimants=claimants
        )

    def with_claimant(self, claimant):
        """Return the entry with ``claimant`` instead of its older attempt."""
        others = tuple(
            c for c in self.claimants if c.call_id != claimant.call_id
        )
        return attrs.evolve(self, claimants=others + (claimant,))


def _supersedes(bar, other):
    return (
        bar.call_id == other.call_id
        and bar.attempt >= other.attempt
        and bar.is_dead >= other.is_dead
    )


def _voids(bar, claimant):
    return bar.call_id == claimant.call_id and bar.attempt >= claimant.attempt


class KeyTable:
    """Key entries in the order of their last change.

    Each change gets a position, so that a copy can be read page by page.
    """

    def __init__(self):
        self._entries = {}
        self._last_positions = {}
        self._change_positions = []
        self._changed_keys = []
        self._next_position = 1

    def __len__(self):
        return len(self._entries)

    def get(self, key):
        """Return the entry of ``key``, an empty one for an unknown key."""
        return self._entries.get(key, EMPTY_KEY_ENTRY)

    def put(self, key, entry):
        """Set the entry of ``key`` at the latest position.

        An empty entry removes the key.
        """
        if entry == EMPTY_KEY_ENTRY:
            self.remove(key)
            return
        self._entries[key] = entry
        self._last_positions[key] = self._next_position
        self._change_positions.append(self._next_position)
        self._changed_keys.append(key)
        self._next_position += 1
        # Compacting only beyond twice the entries keeps its cost per change
        # constant.
        if len(self._change_positions) > 2 * len(self._entries) + 1024:
            self._compact()

    def remove(self, key):
        """Remove ``key`` if it is known."""
        self._entries.pop(key, None)
        self._last_positions.pop(key, None)

    def list_after(self, after, count):
        """Return up to ``count`` keys changed after position ``after``.

        :returns: list of (position, key) in the order of their change.
        """
        changes = []
        start = bisect.bisect_right(self._change_positions, after)
        for index in range(start, len(self._change_positions)):
            position, key = (
                self._change_positions[index],
                self._changed_keys[index],
            )
            if self._last_positions.get(key) != position:
                continue
            changes.append((position, key))
            if len(changes) == count:
                break
        return changes

    def _compact(self):
        """Remove the positions of earlier changes."""
        latest = [
            (position, key)
            for position, key in zip(
                self._change_positions, self._changed_keys
            )
            if self._last_positions.get(key) == position
        ]
        self._change_positions = [position for position, _ in latest]
        self._changed_keys = [key for _, key in latest]


EMPTY_KEY_ENTRY = KeyEntry()
