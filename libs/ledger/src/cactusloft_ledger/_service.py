"""A ledger member as a service: group commit, replies and copying.

Messages are decided at once on the event loop. The reply waits until the state
it reports is synced; all states that arrive during one sync go into the next.
"""

import asyncio
import os
import time
import typing

import attrs
import msgspec

from cactusloft_ledger import _member
from cactusloft_ledger import _messages
from cactusloft_ledger import _storage

COPY_RETRY_DELAY_S = 0.2
# Kept bodies are up to 64 KiB each; a page must fit a peer message.
MAX_COPY_PAGE_BODY_BYTES = 512 * 1024
ROLL_INTERVAL_S = 60.0


class CopySource(typing.Protocol):
    """Ask another member for a page."""

    async def __call__(self, member, request):
        """Return the :class:`CopyPage` of ``member``, None on failure."""


@attrs.define
class _RecordGroup:
    """A group that is to be written."""

    keys: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    payloads: list = attrs.field(factory=list)
    done: asyncio.Future = None


class MemberService:
    """Serve one member of the ledger group.

    :param replica_id: identity in the control membership.
    :param store: :class:`SegmentStore`, not yet open.
    :param ask_copy: :class:`CopySource`.
    :param report: function(name, **fields) for events of the operator.
    """

    def __init__(self, replica_id, store, ask_copy, report):
        self._store = store
        self._ask_copy = ask_copy
        self._report = report
        self._replica_id = replica_id
        self._boot = os.urandom(8).hex()
        self._locations = {}
        self._unsynced = {}
        self._pending = _RecordGroup()
        self._write_task = None
        self._copy_task = None
        self._roll_task = None
        self._encoder = msgspec.msgpack.Encoder()
        self.is_failed = False
        self.core = None
        self.sync_count = 0
        self.record_count = 0

    async def start(self):
        """Read the folder.

        :raises StorageCorruptedError: when a synced record is damaged.
        :raises StorageFailedError: when another process uses the folder.
        """
        records = await asyncio.to_thread(self._store.open)
        known = await asyncio.to_thread(
            self._store.ensure_participation, self._replica_id
        )
        self.core = _member.LedgerMember(self._replica_id, known.active_epoch)
        now = time.monotonic()
        for place, payload in records:
            state = _storage.decode_state(payload)
            self.core.load(state, now)
            self._locations[_make_key(state)] = place
        self._roll_task = asyncio.create_task(self._roll_segments())

    async def stop(self):
        """Finish the write under way and close the folder."""
        for task in (self._copy_task, self._roll_task):
            if task is not None:
                task.cancel()
        if self._write_task is not None:
            await self._write_task
        await asyncio.to_thread(self._store.close)

    def enter_epoch(self, epoch, voters):
        """Enter a new epoch and copy what this member lacks.

        :param voters: replica ids of the ledger group.
        """
        if self.is_failed or epoch <= self.core.epoch:
            return
        self.core.enter_epoch(epoch, voters)
        if self._copy_task is not None:
            self._copy_task.cancel()
        if not self.core.is_active:
            self._copy_task = asyncio.create_task(self._copy(epoch, voters))

    async def handle(self, message):
        """Return the reply to an entry's message."""
        if self.is_failed:
            return self._make_refusal()
        key = (message.client_account, message.idempotency_key)
        before = self.core.table.get(key)
        decision = self.core.handle(message, time.monotonic())
        if decision.state is not None:
            self._enqueue(key, before, decision.state)
        waiter = self._unsynced.get(key)
        if waiter is not None and not await asyncio.shield(waiter.done):
            return self._make_refusal()
        return await self._add_kept_body(key, decision.reply)

    async def handle_copy_request(self, request):
        """Return a page of this member's keys."""
        core = self.core
        if self.is_failed or not core.is_source:
            return _messages.CopyPage(False, core.epoch)
        if request.epoch != core.epoch:
            return _messages.CopyPage(False, core.epoch)
        found = core.table.list_after(
            request.position, _member.MAX_COPY_PAGE_KEYS
        )
        states, size = [], 0
        position = request.position
        for place, key in found:
            state = await self._export_with_body(key)
            states.append(state)
            position = place
            body = state.outcome.body if state.outcome else b''
            size += len(body)
            if size > MAX_COPY_PAGE_BODY_BYTES:
                break
        return _messages.CopyPage(
            True, core.epoch, self._boot, position, not found, states
        )

    def _make_refusal(self):
        return _messages.LedgerReply(
            _messages.Status.REFUSED,
            self.core.epoch,
            refusal=_messages.Refusal.NO_STORAGE,
        )

    def _enqueue(self, key, before, state):
        """Add a state to the next group."""
        if self._pending.done is None:
            loop = asyncio.get_running_loop()
            self._pending.done = loop.create_future()
        # The oldest unsynced state is restored when a group fails.
        oldest = self._unsynced.get(key)
        before = before if oldest is None else oldest.entry
        self._unsynced[key] = _Unsynced(before, self._pending.done)
        self._pending.keys.append(key)
        self._pending.entries.append(self.core.table.get(key))
        self._pending.payloads.append(self._encoder.encode(state))
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._write_groups())

    async def _write_groups(self):
        try:
            while self._pending.payloads:
                group = self._pending
                self._pending = _RecordGroup()
                await self._write_group(group)
        finally:
            self._write_task = None

    async def _write_group(self, group):
        try:
            places = await asyncio.to_thread(
                self._store.append, group.payloads
            )
        except _storage.StorageFullError as error:
            self._report('ledger_storage_full', detail=str(error))
            self._revert_unsynced(group)
            return
        except _storage.StorageFailedError as error:
            self.is_failed = True
            self._report('ledger_storage_failed', detail=str(error))
            self._revert_unsynced(group)
            return
        self.sync_count += 1
        self.record_count += len(places)
        self._locations.update(zip(group.keys, places))
        # The last state of each key in the group is the one now synced.
        for key, entry in dict(zip(group.keys, group.entries)).items():
            self._mark_synced(key, entry, group.done)
        group.done.set_result(True)

    def _mark_synced(self, key, entry, done):
        if self._unsynced[key].done is done:
            del self._unsynced[key]
        else:
            # The next group holds a newer state and returns to this one when
            # it fails.
            self._unsynced[key] = _Unsynced(entry, self._unsynced[key].done)

    def _revert_unsynced(self, group):
        """Undo all states that are not stored, also of the next group."""
        groups = [group, self._pending]
        self._pending = _RecordGroup()
        for key, unsynced in self._unsynced.items():
            self.core.table.put(key, unsynced.entry)
        self._unsynced = {}
        for failed in groups:
            if failed.done is not None:
                failed.done.set_result(False)

    async def _add_kept_body(self, key, reply):
        """Add a kept body to a reply."""
        if reply.outcome is None:
            return reply
        state = await self._export_with_body(key)
        return attrs.evolve(reply, outcome=state.outcome)

    async def _export_with_body(self, key):
        state = self.core.export(key, time.monotonic())
        kind = _messages.OutcomeKind.KEPT
        if state.outcome is None or state.outcome.kind is not kind:
            return state
        waiter = self._unsynced.get(key)
        if waiter is not None:
            await asyncio.shield(waiter.done)
        payload = await asyncio.to_thread(
            self._store.read, self._locations[key]
        )
        stored = _storage.decode_state(payload)
        return attrs.evolve(state, outcome=stored.outcome)

    async def _copy(self, epoch, voters):
        """Copy from the other members until this one may vote."""
        others = [v for v in voters if v != self._replica_id]
        while self.core.epoch == epoch and not self.core.is_copy_complete:
            left = [o for o in others if o not in self.core.copied_members]
            await asyncio.gather(*(self._copy_from(o, epoch) for o in left))
            if not self.core.is_copy_complete:
                await asyncio.sleep(COPY_RETRY_DELAY_S)
        while self.core.epoch == epoch and not self.core.is_active:
            await self._activate(epoch)

    async def _copy_from(self, source, epoch):
        boot, position = None, 0
        while True:
            request = _messages.CopyRequest(epoch, position)
            page = await self._ask_copy(source, request)
            if page is None or not page.is_source or page.epoch != epoch:
                return
            if boot not in (None, page.boot):
                # Positions of an earlier process mean nothing to this one.
                return
            if not await self._merge_states(page.states):
                return
            boot, position = page.boot, page.position
            if page.is_last:
                self.core.record_copied_member(source, epoch)
                return

    async def _merge_states(self, states):
        """Store copied states.

        :returns: False when they could not be stored.
        """
        waiters = []
        for state in states:
            key = _make_key(state)
            before = self.core.table.get(key)
            merged = self.core.merge(state, time.monotonic())
            if merged is not None:
                self._enqueue(key, before, merged)
                waiters.append(self._unsynced[key].done)
        results = [await asyncio.shield(waiter) for waiter in waiters]
        return all(results)

    async def _activate(self, epoch):
        known = _storage.Participation(self._replica_id, epoch)
        try:
            await asyncio.to_thread(self._store.write_participation, known)
        except OSError as error:
            self._report('ledger_storage_full', detail=str(error))
            await asyncio.sleep(COPY_RETRY_DELAY_S)
            return
        if self.core.epoch == epoch:
            self.core.activate()
            self._report('ledger_member_active', epoch=epoch)

    async def _roll_segments(self):
        while True:
            await asyncio.sleep(ROLL_INTERVAL_S)
            while self._write_task is not None:
                await self._write_task
            # No write starts meanwhile, as the event loop is not yielded to.
            deleted = set(self._store.roll())
            if deleted:
                self._remove_expired_keys(deleted)

    def _remove_expired_keys(self, segments):
        for key, place in list(self._locations.items()):
            if place.segment in segments and key not in self._unsynced:
                self.core.table.remove(key)
                del self._locations[key]


@attrs.frozen
class _Unsynced:
    """A key whose latest state is not synced.

    :ivar entry: the state to return to when the write fails.
    :ivar done: future of the group; its result tells success.
    """

    entry: object
    done: asyncio.Future


def _make_key(state):
    return (state.client_account, state.idempotency_key)
