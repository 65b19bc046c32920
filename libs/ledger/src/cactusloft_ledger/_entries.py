"""A member's table of keys, in the order of their last change."""

import bisect

import attrs

from cactusloft_ledger import _messages

# Bars stop messages that are still under way. A link drops a request when its
# deadline passes, so the latest calls on a key suffice.
MAX_KEPT_BARS = 32


@attrs.frozen
class Claimant:
    """A holder in memory.

    :ivar overdue_at: when the call's deadline passes, monotonic seconds on
        the member's clock.
    """

    call_id: str
    attempt: int
    fingerprint: str
    deadline: float

    def make_holder(self, now):
        """Return the form that is sent and stored."""
        remaining_ms = max(0, round((self.deadline - now) * 1000))
        return _messages.Holder(
            self.call_id, self.attempt, self.fingerprint, remaining_ms
        )


@attrs.frozen
class KeyEntry:
    """What a member knows about one key.

    A key with several claimants is contested: copies from other members
    disagree, and this member votes for none of them.
    """

    claimants: tuple[Claimant, ...] = ()
    bars: tuple[_messages.Bar, ...] = ()
    outcome: _messages.Outcome | None = None

    def get_claimant(self, call_id):
        """Return the claimant of a call or None."""
        found = (c for c in self.claimants if c.call_id == call_id)
        return next(found, None)

    def find_barred_attempt(self, call_id, dead_only=False):
        """Return the highest barred attempt of a call, 0 for none."""
        attempts = (
            bar.attempt
            for bar in self.bars
            if bar.call_id == call_id and (bar.is_dead or not dead_only)
        )
        return max(attempts, default=0)

    def with_bar(self, bar):
        """Return the entry with ``bar`` and without the dead claimants."""
        known = self.find_barred_attempt(bar.call_id, bar.is_dead)
        bars = self.bars
        if known < bar.attempt:
            bars = tuple(b for b in bars if not _is_superseded_by(bar, b)) + (
                bar,
            )
        claimants = self.claimants
        if bar.is_dead:
            claimants = tuple(
                c for c in claimants if not _is_voided_by(bar, c)
            )
        return attrs.evolve(
            self, bars=bars[-MAX_KEPT_BARS:], claimants=claimants
        )

    def with_claimant(self, claimant):
        """Return the entry with ``claimant`` in place of its older attempt."""
        others = tuple(
            c for c in self.claimants if c.call_id != claimant.call_id
        )
        return attrs.evolve(self, claimants=others + (claimant,))


def _is_superseded_by(bar, other):
    return (
        bar.call_id == other.call_id
        and bar.attempt >= other.attempt
        and bar.is_dead >= other.is_dead
    )


def _is_voided_by(bar, claimant):
    return bar.call_id == claimant.call_id and bar.attempt >= claimant.attempt


class KeyTable:
    """Entries by key, with a position for each change."""

    def __init__(self):
        self._entries = {}
        self._positions = {}
        self._order = []
        self._keys = []
        self._next = 1

    def __len__(self):
        return len(self._entries)

    def get(self, key):
        """Return the entry of ``key``; an empty one when there is none."""
        return self._entries.get(key, EMPTY_KEY_ENTRY)

    def put(self, key, entry):
        """Set the entry of ``key`` and give it the latest position."""
        if entry == EMPTY_KEY_ENTRY:
            self.drop(key)
            return
        self._entries[key] = entry
        self._positions[key] = self._next
        self._order.append(self._next)
        self._keys.append(key)
        self._next += 1
        if len(self._order) > 2 * len(self._entries) + 1024:
            self._compact()

    def drop(self, key):
        """Forget ``key``."""
        self._entries.pop(key, None)
        self._positions.pop(key, None)

    def list_after(self, position, count):
        """Return up to ``count`` keys changed after ``position``.

        :returns: list of (position, key), in order.
        """
        found = []
        start = bisect.bisect_right(self._order, position)
        for index in range(start, len(self._order)):
            place, key = self._order[index], self._keys[index]
            if self._positions.get(key) != place:
                continue
            found.append((place, key))
            if len(found) == count:
                break
        return found

    def _compact(self):
        live = [
            (place, key)
            for place, key in zip(self._order, self._keys)
            if self._positions.get(key) == place
        ]
        self._order = [place for place, _ in live]
        self._keys = [key for _, key in live]


EMPTY_KEY_ENTRY = KeyEntry()
