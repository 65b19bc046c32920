"""Decisions of a ledger member: votes, promises, outcomes and copying.

This module does no I/O. A member votes for one call on a key at a time, and
only in its current epoch. An attempt belongs to one epoch, so if two calls won
the same key, some member voted for both; a member votes for the second only
after the first was released.

In each new epoch a member copies the keys of other members before it votes.
All voting members of the epoch then know each call that won, so after the next
loss or removal of a member enough of them are left to reject any other call.
"""

import attrs

from cactusloft_ledger import _entries
from cactusloft_ledger import _messages

MAX_COPY_PAGE_KEYS = 64

_S = _messages.Status
_R = _messages.Refusal


def count_majority(size):
    """Return the number of members that form the smallest majority.

    >>> [count_majority(size) for size in (0, 1, 2, 3, 4, 5)]
    [0, 1, 2, 2, 3, 3]
    """
    return size // 2 + 1 if size else 0


@attrs.frozen
class Decision:
    """Decision of a member on a message.

    :ivar reply: reply to send once ``state`` is synced.
    :ivar state: :class:`KeyState` to store, None when nothing changed.
    """

    reply: _messages.LedgerReply
    state: _messages.KeyState | None = None


class LedgerMember:
    """State machine of one ledger member.

    :param replica_id: id of this member in the control membership.
    :param active_epoch: last epoch in which the member with this data folder
        voted, 0 for a new folder.
    """

    def __init__(self, replica_id, active_epoch=0):
        self.replica_id = replica_id
        self.active_epoch = active_epoch
        self.epoch = 0
        self.table = _entries.KeyTable()
        self._voters = ()
        self._copied_members = set()
        self._handlers = {
            _messages.Reserve: self._reserve,
            _messages.Deny: self._deny,
            _messages.Release: self._release,
            _messages.Complete: self._complete,
            _messages.Query: self._query,
        }

    @property
    def is_active(self):
        """Tell whether this member votes."""
        return 0 < self.epoch == self.active_epoch

    @property
    def is_source(self):
        """Tell whether other members may copy from this one.

        A member that has never voted has nothing to copy.
        """
        return self.epoch > 0 and self.active_epoch > 0

    @property
    def is_copy_complete(self):
        """Tell whether enough members were copied for this one to vote."""
        if self.replica_id not in self._voters:
            return False
        return len(self._copied_members) >= self._count_required_copies()

    @property
    def copied_members(self):
        """Return the replica ids of the members copied in this epoch."""
        return frozenset(self._copied_members)

    def enter_epoch(self, epoch, voters):
        """Enter ``epoch`` unless it is the current or an earlier one.

        :param voters: replica ids of the ledger group.
        """
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self._voters = tuple(voters)
        self._copied_members = set()

    def record_copied_member(self, source, epoch):
        """Record that all keys of member ``source`` were merged and stored."""
        if epoch == self.epoch:
            self._copied_members.add(source)

    def activate(self):
        """Start to vote in the current epoch, which must be stored by now."""
        self.active_epoch = self.epoch

    def handle(self, message, now):
        """Apply a message and return the :class:`Decision`.

        :param now: monotonic seconds.
        """
        return self._handlers[type(message)](message, now)

    def merge(self, state, now):
        """Merge the state of a key copied from another member.

        :returns: the merged :class:`KeyState` to store, None when nothing
            changed.
        """
        key = (state.client_account, state.idempotency_key)
        before = self.table.get(key)
        if before.outcome is not None:
            return None
        if state.outcome is not None:
            return self._update_key(
                key, _make_ended_entry(before, state.outcome), now, state
            )
        entry = before
        for bar in (b for b in state.bars if b.is_dead):
            entry = entry.with_bar(bar)
        for holder in state.holders:
            entry = _merge_holder(entry, holder, now)
        return None if entry == before else self._update_key(key, entry, now)

    def load(self, state, now):
        """Restore the state of a key from storage."""
        key = (state.client_account, state.idempotency_key)
        claimants = tuple(_make_claimant(h, now) for h in state.holders)
        entry = _entries.KeyEntry(
            claimants, tuple(state.bars), _without_body(state.outcome)
        )
        self.table.put(key, entry)

    def export(self, key, now):
        """Return the :class:`KeyState` of ``key`` without the kept body."""
        entry = self.table.get(key)
        holders = [c.make_holder(now) for c in entry.claimants]
        return _messages.KeyState(
            *key, holders, list(entry.bars), entry.outcome
        )

    def _count_required_copies(self):
        """Return how many members must be copied before this one votes.

        A member that voted in the previous epoch has its own votes, so it
        needs a majority that includes itself. Any other member may lack votes
        and needs a majority of the others.
        """
        size = len(self._voters)
        if 0 < self.epoch - 1 == self.active_epoch:
            return count_majority(size) - 1
        return count_majority(size - 1)

    def _update_key(self, key, entry, now, outcome_source=None):
        """Set the entry of ``key`` and return the state to store.

        :param outcome_source: message or state with the outcome and its body.
        """
        self.table.put(key, entry)
        state = self.export(key, now)
        outcome = (
            entry.outcome if outcome_source is None else outcome_source.outcome
        )
        return attrs.evolve(state, outcome=outcome)

    def _reply(self, status, entry=_entries.EMPTY_KEY_ENTRY, now=0.0):
        holders = [c.make_holder(now) for c in entry.claimants]
        return _messages.LedgerReply(
            status, self.epoch, holders, entry.outcome
        )

    def _refuse(self, message):
        """Return the refusal of a message of another epoch, or None.

        A member that does not vote yet refuses each message.
        """
        if message.epoch != self.epoch:
            reason = _R.OTHER_EPOCH
        elif not self.is_active:
            reason = _R.NOT_READY
        else:
            return None
        return Decision(
            _messages.LedgerReply(_S.REFUSED, self.epoch, refusal=reason)
        )

    def _reserve(self, message, now):
        refusal = self._refuse(message)
        if refusal is not None:
            return refusal
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        if entry.outcome is not None:
            return Decision(self._reply(_S.HELD, entry, now))
        if any(c.call_id != message.call_id for c in entry.claimants):
            return Decision(self._reply(_S.HELD, entry, now))
        known = entry.get_claimant(message.call_id)
        if known is not None and known.attempt == message.attempt:
            return Decision(self._reply(_S.GRANTED))
        latest_attempt = entry.find_barred_attempt(message.call_id)
        if known is not None:
            latest_attempt = max(latest_attempt, known.attempt)
        if message.attempt <= latest_attempt:
            return Decision(self._reply(_S.BARRED, entry, now))
        claimant = _make_claimant(message, now)
        state = self._update_key(key, entry.with_claimant(claimant), now)
        return Decision(self._reply(_S.GRANTED), state)

    def _deny(self, message, now):
        refusal = self._refuse(message)
        if refusal is not None:
            return refusal
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        known = entry.get_claimant(message.call_id)
        is_held = known is not None and known.attempt >= message.attempt
        if entry.outcome is not None or is_held:
            return Decision(self._reply(_S.HELD, entry, now))
        bar = _messages.Bar(message.call_id, message.attempt, False)
        return self._apply(key, entry.with_bar(bar), now, _S.BARRED)

    def _release(self, message, now):
        # Valid in every epoch: the attempt did not and will not lead to a run.
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        if entry.outcome is not None:
            return Decision(self._reply(_S.DONE))
        bar = _messages.Bar(message.call_id, message.attempt, True)
        return self._apply(key, entry.with_bar(bar), now, _S.DONE)

    def _complete(self, message, now):
        # Valid in every epoch: only the call that won sends an outcome.
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        if entry.outcome is not None:
            return Decision(self._reply(_S.DONE))
        ended = _make_ended_entry(entry, message.outcome)
        state = self._update_key(key, ended, now, message)
        return Decision(self._reply(_S.DONE), state)

    def _query(self, message, now):
        refusal = self._refuse(message)
        if refusal is not None:
            return refusal
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        is_held = entry.claimants or entry.outcome is not None
        status = _S.HELD if is_held else _S.FREE
        return Decision(self._reply(status, entry, now))

    def _apply(self, key, entry, now, status):
        """Return the decision that sets ``entry``, if it differs."""
        if entry == self.table.get(key):
            return Decision(self._reply(status, entry, now))
        state = self._update_key(key, entry, now)
        return Decision(self._reply(status, entry, now), state)


def _make_ended_entry(entry, outcome):
    """Return the entry of a key whose call ended, without claimants."""
    return _entries.KeyEntry(bars=entry.bars, outcome=_without_body(outcome))


def _without_body(outcome):
    """Return ``outcome`` without its body, which is read from storage."""
    return outcome if outcome is None else attrs.evolve(outcome, body=b'')


def _make_claimant(source, now):
    return _entries.Claimant(
        source.call_id,
        source.attempt,
        source.fingerprint,
        now + source.remaining_ms / 1000,
    )


def _merge_holder(entry, holder, now):
    """Return ``entry`` with the claimant of ``holder``, unless outdated."""
    dead_attempt = entry.find_barred_attempt(holder.call_id, dead_only=True)
    known = entry.get_claimant(holder.call_id)
    latest_attempt = max(dead_attempt, known.attempt if known else 0)
    if holder.attempt <= latest_attempt:
        return entry
    return entry.with_claimant(_make_claimant(holder, now))
