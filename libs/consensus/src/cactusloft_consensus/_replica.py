"""A node with storage, timers and a transport.

One task ticks the node, and one persists its records. Records that arrive
during a sync are persisted together by the next one (group commit). Syncs run
in a thread, so that a slow disk does not block the event loop.
"""

import asyncio
import concurrent.futures

from returns import result

from cactusloft_consensus import _applier
from cactusloft_consensus import _documents
from cactusloft_consensus import _evacuations
from cactusloft_consensus import _messages
from cactusloft_consensus import _node
from cactusloft_consensus import _waiters
from cactusloft_model import errors
from cactusloft_model import events

TICK_INTERVAL_S = 0.05
# A sync that takes longer is logged: it delays votes and acknowledgements.
SLOW_SYNC_S = 0.1
_V = events.Event


class Replica:
    """Run one replica of a group.

    :param node: :class:`Node` made from the state in ``storage``.
    :param storage: :class:`Storage` of the data folder.
    :param store: :class:`DocumentStore` to which committed changes are
        applied.
    :param send: function that sends an :class:`Envelope` without blocking.
    :param read_clock: function that returns monotonic seconds.
    :param on_change: function called after entries were applied.
    :param on_failure: function called with the reason when the replica stops
        because of a failed disk, an inconsistent log or an internal error.
    :param limits: :class:`CompactionLimits` of the log.
    :param record: function called with an event and its fields, for changes
        of the role and slow syncs.
    """

    def __init__(
        self,
        node,
        storage,
        store,
        send,
        read_clock,
        on_change,
        on_failure,
        limits=_applier.CompactionLimits(),
        record=lambda event, **fields: None,
    ):
        self.store = store
        self.failure = ''
        self._node = node
        self._storage = storage
        self._send = send
        self._read_clock = read_clock
        self._on_change = on_change
        self._on_failure = on_failure
        self._record = record
        self._reported_role = ()
        self._applier = _applier.Applier(node, store, limits)
        self._waiters = {}
        self._confirmations = _waiters.Confirmations()
        self._outputs = []
        self._has_output = asyncio.Event()
        self._thread = concurrent.futures.ThreadPoolExecutor(1)
        self._tasks = []

    @property
    def replica_id(self):
        """Return the random identity of the data folder."""
        return self._node.replica_id

    @property
    def is_leader(self):
        """Tell whether this replica leads and knows all committed entries.

        False until the leader has committed an entry of its own term.
        """
        return not self.failure and self._node.is_ready

    @property
    def leader_id(self):
        """Return the replica id of the leader, empty if unknown."""
        return self._node.leader_id

    @property
    def leader(self):
        """Return the :class:`Member` that leads, or None if unknown."""
        return self.find_member(self._node.leader_id)

    @property
    def members(self):
        """Return the latest members in the log, committed or not.

        Empty while this replica belongs to no group that it knows.
        """
        return self._node.log.members

    @property
    def membership(self):
        """Return the committed :class:`Membership`."""
        return self._node.membership

    @property
    def role(self):
        """Return the name of the current role."""
        return 'failed' if self.failure else self._node.role

    @property
    def term(self):
        """Return the current term."""
        return self._node.term

    @property
    def commit_index(self):
        """Return the highest index that this replica knows to be committed."""
        return self._node.commit_index

    @property
    def confirmed_at(self):
        """Return the time of the last confirmation of the leader, or None.

        The store holds every change that was acknowledged before that time,
        which is in monotonic seconds of this host.
        """
        return None if self.failure else self._node.confirmed_at

    @property
    def leader_silence_s(self):
        """Return the seconds since the last message of a leader."""
        return self._node.measure_silence_s(self._read_clock())

    def find_latest_text(self):
        """Return the latest document text in the log, committed or not."""
        log = self._node.log
        entries = log.list_entries(log.snapshot.index + 1)
        for entry in reversed(entries):
            is_command = entry.kind == _messages.EntryKind.COMMAND
            if is_command and not _evacuations.is_order(entry.data):
                return _documents.Change.decode(entry.data).text
        return self.store.text

    def find_member(self, replica_id):
        """Return the :class:`Member` with this replica id, or None."""
        matching = (m for m in self.members if m.replica_id == replica_id)
        return next(matching, None)

    def list_match_indexes(self):
        """Return the synced index of each member; empty unless leader."""
        return self._node.list_match_indexes()

    def find_removable_member(self):
        """Return the id of an unresponsive member to remove, or None.

        Always None unless this replica leads.
        """
        return None if self.failure else self._node.find_removable_member()

    def set_change_guard(self, is_settled):
        """Refuse membership changes until the last one has taken effect.

        :param is_settled: function that tells whether all state derived from
            the membership reflects the last change.
        """
        self._node.is_change_settled = is_settled

    def start(self):
        """Start the tasks of the replica."""
        self._process_output()
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_persistence()),
        ]
        for task in self._tasks:
            task.add_done_callback(self._handle_task_end)

    async def close(self):
        """Stop the tasks and release the data folder."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._thread.shutdown(wait=True)
        self._fail_waiters('the replica is shutting down')
        self._storage.close()

    def receive(self, envelope):
        """Handle a message from another replica."""
        if self.failure:
            return
        try:
            self._node.receive(envelope, self._read_clock())
        except _node.ConsensusError as error:
            self._fail(str(error))
        self._process_output()

    def bootstrap(self, address):
        """Found a group whose only member is this replica.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if self.failure:
            return _refuse(self.failure)
        outcome = self._node.bootstrap(address)
        self._process_output()
        return outcome

    async def apply(self, change, timeout_s, on_decided):
        """Replicate a change and wait for its outcome.

        :param change: :class:`Change` or :class:`EvacuationOrder`.
        :param timeout_s: longest time to wait, in seconds.
        :param on_decided: function called with the outcome once the change is
            committed, before any other replica can learn that it is.
        :returns: ``Success(Outcome)``, or ``Failure(CallError)`` after which
            the change may still take effect; the caller resends it with the
            same change id.
        """
        if self.failure:
            return _refuse(self.failure)
        proposed = self._node.propose(change.encode(), self._read_clock())
        return await self._wait_for(proposed, timeout_s, on_decided)

    async def confirm(self, timeout_s):
        """Wait until a majority confirms anew that this replica leads.

        The store then holds all changes acknowledged before this call.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if not self.is_leader:
            return _refuse('this replica is not the leader')
        waiting = self._confirmations.wait(self._read_clock(), timeout_s)
        return await waiting or _refuse('no majority confirmed the leader')

    async def add_member(self, replica_id, address, timeout_s):
        """Add a learner, which the leader promotes once it has caught up.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        committed = (m.replica_id for m in self.membership.members)
        if replica_id in committed:
            return result.Success(None)
        member = _messages.Member(replica_id, address, False)
        return await self._change_members(self.members + (member,), timeout_s)

    async def remove_member(self, replica_id, timeout_s):
        """Remove a member.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if self.find_member(replica_id) is None:
            kind = errors.ErrorKind.NOT_FOUND
            return result.Failure(errors.CallError(kind, 'no such replica'))
        remaining = (m for m in self.members if m.replica_id != replica_id)
        return await self._change_members(tuple(remaining), timeout_s)

    async def _change_members(self, members, timeout_s):
        if self.failure:
            return _refuse(self.failure)
        proposed = self._node.change_members(members, self._read_clock())
        return await self._wait_for(proposed, timeout_s)

    async def _wait_for(self, proposed, timeout_s, on_decided=None):
        if isinstance(proposed, result.Failure):
            return proposed
        entry = proposed.unwrap()
        future = asyncio.get_running_loop().create_future()
        self._waiters[entry.index] = _waiters.ChangeWaiter(
            entry.term, future, on_decided
        )
        self._process_output()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return _refuse('no majority acknowledged the change in time')
        finally:
            self._waiters.pop(entry.index, None)

    def _process_output(self):
        """Carry out the output of the node after an input."""
        if self.failure:
            return
        self._report_role()
        output = self._node.collect()
        applied = self._applier.apply(output)
        for applied_entry in applied:
            self._resolve_waiter(applied_entry)
        self._applier.compact()
        for envelope in output.messages:
            self._send(envelope)
        self._queue_sync(output)
        if not self._node.is_leader:
            self._fail_waiters('this replica is no longer the leader')
        self._confirmations.resolve(self.confirmed_at)
        if applied or output.snapshot is not None:
            self._on_change()

    def _report_role(self):
        node = self._node
        state = node.role, node.term, node.leader_id
        if state != self._reported_role:
            self._reported_role = state
            self._record(
                _V.ROLE_CHANGED,
                role=node.role,
                term=node.term,
                leader=node.leader_id,
                silence_s=round(self.leader_silence_s, 3),
            )

    def _queue_sync(self, output):
        """Queue records to persist and the messages that wait for them."""
        if output.records or output.synced_messages:
            self._outputs.append(output)
            self._has_output.set()

    def _resolve_waiter(self, applied):
        waiter = self._waiters.get(applied.entry.index)
        if waiter is None or waiter.future.done():
            return
        if waiter.term == applied.entry.term:
            if waiter.on_decided is not None:
                waiter.on_decided(applied.outcome)
            waiter.future.set_result(result.Success(applied.outcome))
        else:
            failure = _refuse('another leader replaced the change')
            waiter.future.set_result(failure)

    def _fail_waiters(self, reason):
        self._confirmations.fail(_refuse(reason))
        for waiter in self._waiters.values():
            if not waiter.future.done():
                waiter.future.set_result(_refuse(reason))

    def _fail(self, reason):
        self.failure = reason
        self._fail_waiters(reason)
        self._on_failure(reason)

    def _handle_task_end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._fail(f'internal error: {task.exception()!r}')

    async def _run_ticks(self):
        while True:
            self._node.tick(self._read_clock())
            self._process_output()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _run_persistence(self):
        loop = asyncio.get_running_loop()
        while not self.failure:
            await self._has_output.wait()
            self._has_output.clear()
            outputs, self._outputs = self._outputs, []
            records = [r for output in outputs for r in output.records]
            try:
                if records:
                    begun_at = self._read_clock()
                    await loop.run_in_executor(
                        self._thread, self._storage.persist, records
                    )
                    self._report_sync(self._read_clock() - begun_at, records)
            except OSError as error:
                self._fail(f'the data folder cannot be written: {error}')
                return
            if outputs:
                self._complete_sync(outputs)

    def _report_sync(self, duration_s, records):
        if duration_s > SLOW_SYNC_S:
            self._record(
                _V.SYNC_SLOW,
                duration_s=round(duration_s, 3),
                records=len(records),
            )

    def _complete_sync(self, outputs):
        for output in outputs:
            for envelope in output.synced_messages:
                self._send(envelope)
        sync_point = outputs[-1].sync_point
        self._node.mark_synced(sync_point, self._read_clock())
        self._process_output()


def _refuse(detail):
    kind = errors.ErrorKind.CONTROL_UNAVAILABLE
    return result.Failure(errors.CallError(kind, detail))
