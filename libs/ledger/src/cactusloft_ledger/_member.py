"""Decisions of a ledger member: votes, promises, outcomes and copying.

A member votes for one call on a key at a time and only in its own epoch. An
attempt to reserve belongs to one epoch, so two calls that both won would share
a member that voted for both; it does so only after the first was released.

In each new epoch a member copies before it votes. Every winner is then held by
all voting members of the epoch, so that the next loss or removal of a member
leaves enough holders to block any other call.
"""

import attrs

from cactusloft_ledger import _entries
from cactusloft_ledger import _messages

MAX_COPY_PAGE_KEYS = 64

_S = _messages.Status
_R = _messages.Refusal


def count_majority(size):
    """Return the smallest majority of a group.

    >>> [count_majority(size) for size in (0, 1, 2, 3, 4, 5)]
    [0, 1, 2, 2, 3, 3]
    """
    return size // 2 + 1 if size else 0


@attrs.frozen
class Decision:
    """Result of a message.

    :ivar reply: what to send once ``state`` is synced.
    :ivar state: :class:`KeyState` to store, or None.
    """

    reply: _messages.LedgerReply
    state: _messages.KeyState | None = None


class LedgerMember:
    """Decide on the messages of entries and on copies.

    :param replica_id: identity of this member in the control membership.
    :param active_epoch: last epoch in which this data folder took part, 0 for
        a new one.
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
        """Tell whether others may copy from this member.

        A member that never took part has nothing to copy.
        """
        return self.epoch > 0 and self.active_epoch > 0

    @property
    def is_copy_complete(self):
        """Tell whether enough members were copied to take part."""
        if self.replica_id not in self._voters:
            return False
        return len(self._copied_members) >= self._count_required_copies()

    @property
    def copied_members(self):
        """Return the members that were copied in this epoch."""
        return frozenset(self._copied_members)

    def enter_epoch(self, epoch, voters):
        """Enter ``epoch``; older ones are ignored.

        :param voters: replica ids of the members.
        """
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self._voters = tuple(voters)
        self._copied_members = set()

    def record_copied_member(self, source, epoch):
        """Take note that all keys of ``source`` were absorbed."""
        if epoch == self.epoch:
            self._copied_members.add(source)

    def activate(self):
        """Vote from now on; call it once the epoch is stored."""
        self.active_epoch = self.epoch

    def handle(self, message, now):
        """Return the :class:`Decision` on a message.

        :param now: monotonic seconds.
        """
        return self._handlers[type(message)](message, now)

    def merge(self, state, now):
        """Merge a key copied from another member, or read from storage.

        :returns: the merged :class:`KeyState` to store, or None.
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
        """Set a key as it was stored."""
        key = (state.client_account, state.idempotency_key)
        claimants = tuple(_make_claimant(h, now) for h in state.holders)
        entry = _entries.KeyEntry(
            claimants, tuple(state.bars), _without_body(state.outcome)
        )
        self.table.put(key, entry)

    def export(self, key, now):
        """Return the :class:`KeyState` of ``key`` without a kept body."""
        entry = self.table.get(key)
        holders = [c.make_holder(now) for c in entry.claimants]
        return _messages.KeyState(
            *key, holders, list(entry.bars), entry.outcome
        )

    def _count_required_copies(self):
        """Return how many members to copy from.

        A member of the previous epoch holds its own votes and needs a
        majority together with itself. Any other one may lack votes and needs
        a majority of the others.
        """
        size = len(self._voters)
        if 0 < self.epoch - 1 == self.active_epoch:
            return count_majority(size) - 1
        return count_majority(size - 1)

    def _update_key(self, key, entry, now, full=None):
        self.table.put(key, entry)
        state = self.export(key, now)
        outcome = entry.outcome if full is None else full.outcome
        return attrs.evolve(state, outcome=outcome)

    def _reply(self, status, entry=_entries.EMPTY_KEY_ENTRY, now=0.0):
        holders = [c.make_holder(now) for c in entry.claimants]
        return _messages.LedgerReply(
            status, self.epoch, holders, entry.outcome
        )

    def _refuse(self, message):
        """Return the refusal of a vote in ``message``'s epoch, or None."""
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
        held = entry.get_claimant(message.call_id)
        if held is not None and held.attempt == message.attempt:
            return Decision(self._reply(_S.GRANTED))
        latest = entry.find_barred_attempt(message.call_id)
        if held is not None:
            latest = max(latest, held.attempt)
        if message.attempt <= latest:
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
        held = entry.get_claimant(message.call_id)
        is_held = held is not None and held.attempt >= message.attempt
        if entry.outcome is not None or is_held:
            return Decision(self._reply(_S.HELD, entry, now))
        bar = _messages.Bar(message.call_id, message.attempt, False)
        return self._apply(key, entry.with_bar(bar), now, _S.BARRED)

    def _release(self, message, now):
        # True in every epoch: the attempt won nothing that ran.
        key = (message.client_account, message.idempotency_key)
        entry = self.table.get(key)
        if entry.outcome is not None:
            return Decision(self._reply(_S.DONE))
        bar = _messages.Bar(message.call_id, message.attempt, True)
        return self._apply(key, entry.with_bar(bar), now, _S.DONE)

    def _complete(self, message, now):
        # True in every epoch: only the winner sends an outcome.
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
        if entry == self.table.get(key):
            return Decision(self._reply(status, entry, now))
        state = self._update_key(key, entry, now)
        return Decision(self._reply(status, entry, now), state)


def _make_ended_entry(entry, outcome):
    """Return the entry of a key whose call ended; other claims are void."""
    return _entries.KeyEntry(bars=entry.bars, outcome=_without_body(outcome))


def _without_body(outcome):
    """Return ``outcome`` without its body, which stays in storage."""
    return outcome if outcome is None else attrs.evolve(outcome, body=b'')


def _make_claimant(source, now):
    return _entries.Claimant(
        source.call_id,
        source.attempt,
        source.fingerprint,
        now + source.remaining_ms / 1000,
    )


def _merge_holder(entry, holder, now):
    dead = entry.find_barred_attempt(holder.call_id, dead_only=True)
    known = entry.get_claimant(holder.call_id)
    latest = max(dead, known.attempt if known else 0)
    if holder.attempt <= latest:
        return entry
    return entry.with_claimant(_make_claimant(holder, now))
