"""Ledger member service: group commit, replies and copying.

The event loop decides each message at once. The reply waits until the state
that it reports is synced. States that change during one sync are written as
one group in the next.
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
# Kept bodies have up to 64 KiB each; a page must fit in one peer message.
MAX_COPY_PAGE_BODY_BYTES = 512 * 1024
ROLL_INTERVAL_S = 60.0


class CopySource(typing.Protocol):
    """Function that requests a copy page from another member."""

    async def __call__(self, member, request):
        """Return the :class:`CopyPage` of ``member``, None on failure."""


@attrs.define
class _RecordGroup:
    """Records to write with one sync.

    :ivar keys: key of each record.
    :ivar entries: table entry of each record's key.
    :ivar payloads: encoded state of each record.
    :ivar done: future set to True when the group is synced, False when it
        was not written.
    """

    keys: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    payloads: list = attrs.field(factory=list)
    done: asyncio.Future = None


class MemberService:
    """Service of one member of the ledger group.

    :param replica_id: id of the member in the control membership.
    :param store: :class:`SegmentStore`, not yet open.
    :param ask_copy: :class:`CopySource`.
    :param report: function(name, **fields) that logs an operator event.
    :ivar is_failed: the storage failed and the member refuses all messages.
    :ivar core: :class:`LedgerMember`, None until started.
    :ivar sync_count: number of groups written.
    :ivar record_count: number of records written.
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
        """Open the store and restore the keys from it.

        :raises StorageCorruptedError: when a synced record is corrupted or
            the folder was lost.
        :raises StorageFailedError: when another process uses the folder.
        """
        records = await asyncio.to_thread(self._store.open)
        participation = await asyncio.to_thread(
            self._store.ensure_participation, self._replica_id
        )
        self.core = _member.LedgerMember(
            self._replica_id, participation.active_epoch
        )
        now = time.monotonic()
        for location, payload in records:
            state = _storage.decode_state(payload)
            self.core.load(state, now)
            self._locations[_make_key(state)] = location
        self._roll_task = asyncio.create_task(self._roll_segments())

    async def stop(self):
        """Finish the current write and close the store."""
        for task in (self._copy_task, self._roll_task):
            if task is not None:
                task.cancel()
        if self._write_task is not None:
            await self._write_task
        await asyncio.to_thread(self._store.close)

    def enter_epoch(self, epoch, voters):
        """Enter a new epoch and start to copy from the other members.

        A member that already voted in this epoch does not copy again.

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
        """Return the reply to a message of an entry daemon.

        The reply is returned once the state that it reports is synced.
        """
        if self.is_failed:
            return self._make_refusal()
        key = (message.client_account, message.idempotency_key)
        before = self.core.table.get(key)
        decision = self.core.handle(message, time.monotonic())
        if decision.state is not None:
            self._enqueue(key, before, decision.state)
        unsynced = self._unsynced.get(key)
        if unsynced is not None and not await asyncio.shield(unsynced.done):
            return self._make_refusal()
        return await self._add_kept_body(key, decision.reply)

    async def handle_copy_request(self, request):
        """Return the :class:`CopyPage` that another member requested."""
        core = self.core
        if self.is_failed or not core.is_source:
            return _messages.CopyPage(False, core.epoch)
        if request.epoch != core.epoch:
            return _messages.CopyPage(False, core.epoch)
        changes = core.table.list_after(
            request.position, _member.MAX_COPY_PAGE_KEYS
        )
        states, body_bytes = [], 0
        position = request.position
        for change_position, key in changes:
            state = await self._export_with_body(key)
            states.append(state)
            position = change_position
            body = state.outcome.body if state.outcome else b''
            body_bytes += len(body)
            if body_bytes > MAX_COPY_PAGE_BODY_BYTES:
                break
        return _messages.CopyPage(
            True, core.epoch, self._boot, position, not changes, states
        )

    def _make_refusal(self):
        return _messages.LedgerReply(
            _messages.Status.REFUSED,
            self.core.epoch,
            refusal=_messages.Refusal.NO_STORAGE,
        )

    def _enqueue(self, key, before, state):
        """Add a state to the next group and start to write if idle.

        :param before: entry of the key before the change.
        """
        if self._pending.done is None:
            loop = asyncio.get_running_loop()
            self._pending.done = loop.create_future()
        # A failed write restores the last synced entry of the key.
        unsynced = self._unsynced.get(key)
        before = before if unsynced is None else unsynced.entry
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
            locations = await asyncio.to_thread(
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
        self.record_count += len(locations)
        self._locations.update(zip(group.keys, locations))
        # Of several states of a key in the group, the last one counts.
        for key, entry in dict(zip(group.keys, group.entries)).items():
            self._mark_synced(key, entry, group.done)
        group.done.set_result(True)

    def _mark_synced(self, key, entry, done):
        if self._unsynced[key].done is done:
            del self._unsynced[key]
        else:
            # The next group has a newer state of the key; if that write fails,
            # this entry is restored.
            self._unsynced[key] = _Unsynced(entry, self._unsynced[key].done)

    def _revert_unsynced(self, group):
        """Restore the synced entries after a failed write.

        The next group is discarded as well, as its states may depend on states
        that were not stored.
        """
        groups = [group, self._pending]
        self._pending = _RecordGroup()
        for key, unsynced in self._unsynced.items():
            self.core.table.put(key, unsynced.entry)
        self._unsynced = {}
        for reverted in groups:
            if reverted.done is not None:
                reverted.done.set_result(False)

    async def _add_kept_body(self, key, reply):
        """Return the reply with the kept body of its outcome."""
        if reply.outcome is None:
            return reply
        state = await self._export_with_body(key)
        return attrs.evolve(reply, outcome=state.outcome)

    async def _export_with_body(self, key):
        """Return the :class:`KeyState` of ``key``, with the kept body."""
        state = self.core.export(key, time.monotonic())
        kind = _messages.OutcomeKind.KEPT
        if state.outcome is None or state.outcome.kind is not kind:
            return state
        unsynced = self._unsynced.get(key)
        if unsynced is not None:
            await asyncio.shield(unsynced.done)
        payload = await asyncio.to_thread(
            self._store.read, self._locations[key]
        )
        stored = _storage.decode_state(payload)
        return attrs.evolve(state, outcome=stored.outcome)

    async def _copy(self, epoch, voters):
        """Copy from the other members, then start to vote in ``epoch``."""
        others = [v for v in voters if v != self._replica_id]
        while self.core.epoch == epoch and not self.core.is_copy_complete:
            remaining = [
                member
                for member in others
                if member not in self.core.copied_members
            ]
            await asyncio.gather(
                *(self._copy_from(member, epoch) for member in remaining)
            )
            if not self.core.is_copy_complete:
                await asyncio.sleep(COPY_RETRY_DELAY_S)
        while self.core.epoch == epoch and not self.core.is_active:
            await self._activate(epoch)

    async def _copy_from(self, source, epoch):
        """Copy all keys of one member; return early when a request fails."""
        boot, position = None, 0
        while True:
            request = _messages.CopyRequest(epoch, position)
            page = await self._ask_copy(source, request)
            if page is None or not page.is_source or page.epoch != epoch:
                return
            if boot not in (None, page.boot):
                # The source has restarted; its earlier positions are invalid.
                return
            if not await self._merge_states(page.states):
                return
            boot, position = page.boot, page.position
            if page.is_last:
                self.core.record_copied_member(source, epoch)
                return

    async def _merge_states(self, states):
        """Merge and store copied states.

        :returns: True when all of them are stored.
        """
        sync_futures = []
        for state in states:
            key = _make_key(state)
            before = self.core.table.get(key)
            merged = self.core.merge(state, time.monotonic())
            if merged is not None:
                self._enqueue(key, before, merged)
                sync_futures.append(self._unsynced[key].done)
        results = [await asyncio.shield(future) for future in sync_futures]
        return all(results)

    async def _activate(self, epoch):
        """Store that this member votes in ``epoch``, then start to vote."""
        participation = _storage.Participation(self._replica_id, epoch)
        try:
            await asyncio.to_thread(
                self._store.write_participation, participation
            )
        except OSError as error:
            self._report('ledger_storage_full', detail=str(error))
            await asyncio.sleep(COPY_RETRY_DELAY_S)
            return
        if self.core.epoch == epoch:
            self.core.activate()
            self._report('ledger_member_active', epoch=epoch)

    async def _roll_segments(self):
        """Start new segments and delete expired ones, until cancelled."""
        while True:
            await asyncio.sleep(ROLL_INTERVAL_S)
            while self._write_task is not None:
                await self._write_task
            # This call does not yield to the event loop, so no write can start
            # in the meantime.
            deleted = set(self._store.roll())
            if deleted:
                self._remove_expired_keys(deleted)

    def _remove_expired_keys(self, segments):
        for key, location in list(self._locations.items()):
            if location.segment in segments and key not in self._unsynced:
                self.core.table.remove(key)
                del self._locations[key]


@attrs.frozen
class _Unsynced:
    """Write in progress of the latest state of a key.

    :ivar entry: entry to restore when the write fails.
    :ivar done: ``done`` future of the group with the latest state.
    """

    entry: object
    done: asyncio.Future


def _make_key(state):
    return (state.client_account, state.idempotency_key)
