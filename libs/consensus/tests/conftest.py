"""Simulated disks, network and groups of replicas."""

import errno
import random

import attrs
import pytest

from cactusloft_consensus import documents
from cactusloft_consensus import messages
from cactusloft_consensus import node
from cactusloft_consensus import replica
from cactusloft_consensus import storage


class PowerLoss(Exception):
    """Simulated power loss at a write boundary."""


class FakeDisk:
    """In-memory files that lose unsynced bytes when power is lost.

    :ivar durable: synced content by file name.
    :ivar boundaries_left: write boundaries before the power loss, or None
        for no power loss.
    """

    def __init__(self, seed=0):
        self.durable = {}
        self.boundaries_left = None
        self.is_full = False
        self.is_locked = False
        self._cached = {}
        self._random = random.Random(seed)

    def lock(self):
        if self.is_locked:
            raise BlockingIOError(errno.EAGAIN, 'locked')
        self.is_locked = True

    def read(self, name):
        return self._cached.get(name)

    def write_synced(self, name, content):
        self._cross_boundary()
        self._cached[name] = self._check_space(content)
        self._cross_boundary()
        self.durable[name] = self._cached[name]

    def append_synced(self, name, content):
        self._cross_boundary()
        self._cached[name] += self._check_space(content)
        self._cross_boundary()
        self.durable[name] = self._cached[name]

    def truncate_synced(self, name, size):
        self._cross_boundary()
        self._cached[name] = self._cached[name][:size]
        self.durable[name] = self._cached[name]

    def rename_synced(self, old, new):
        self._cross_boundary()
        self._cached[new] = self._cached.pop(old)
        if self.boundaries_left == 0 and self._random.random() < 0.5:
            self.durable[new] = self.durable[old]
        self._cross_boundary()
        self.durable[new] = self.durable.pop(old)

    def close(self):
        self.is_locked = False

    def lose_power(self):
        """Keep the synced bytes and a random part of the unsynced ones."""
        for name, cached in self._cached.items():
            synced = self.durable.get(name, b'')
            if cached != synced and cached.startswith(synced):
                size = self._random.randint(len(synced), len(cached))
                self.durable[name] = cached[:size]
        self._cached = dict(self.durable)
        self.boundaries_left = None
        self.is_locked = False

    def _check_space(self, content):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return bytes(content)

    def _cross_boundary(self):
        if self.boundaries_left is None:
            return
        if self.boundaries_left == 0:
            raise PowerLoss
        self.boundaries_left -= 1


@attrs.define(eq=False)
class Host:
    """A simulated host with one replica; ``node`` is None while down.

    :ivar syncing: outputs of the sync that ends at ``synced_at``.
    :ivar stalled_until: end of a pause in which the process does nothing.
    """

    address: str
    disk: FakeDisk
    node: object = None
    storage: object = None
    store: object = None
    applier: object = None
    outputs: list = attrs.field(factory=list)
    syncing: list = attrs.field(factory=list)
    synced_at: float = 0.0
    stalled_until: float = 0.0


class Group:
    """Replicas on an in-memory network with simulated time.

    Each step checks that all replicas apply equal entries, and that each
    replica holds every change acknowledged before its last confirmation.
    """

    STEP_S = 0.02

    def __init__(
        self,
        size,
        seed=1,
        limits=replica.CompactionLimits(max_entries=20),
        min_voters=1,
    ):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.hosts = {}
        self.blocked_links = set()
        self.suspended = set()
        self.loss_probability = 0.0
        self.max_delay_s = 0.05
        self.sync_probability = 0.7
        # Duration of a sync with records; outputs meanwhile wait for the next.
        self.draw_sync_s = None
        self.acknowledged = {}
        self._limits = limits
        self._min_voters = min_voters
        self._proposed = {}
        self._in_flight = []
        self._committed = {}
        for number in range(size):
            self.add_host(f'host{number}')
        first = self.hosts['host0']
        first.node.bootstrap('host0').unwrap()
        for address in list(self.hosts)[1:]:
            self.join(address)

    def add_host(self, address):
        disk = FakeDisk(self.random.random())
        self.hosts[address] = Host(address, disk)
        self.restart(address)

    def restart(self, address):
        host = self.hosts[address]
        host.storage, persisted = storage.open_storage(
            host.disk, self.random.randbytes
        )
        host.node = node.Node(
            persisted,
            node.Timing(),
            self.random,
            self.now,
            self._min_voters,
        )
        host.store = documents.DocumentStore()
        host.applier = replica.Applier(host.node, host.store, self._limits)
        host.outputs, host.syncing = [], []
        host.stalled_until = 0.0

    def crash(self, address):
        host = self.hosts[address]
        if host.node is None:
            return
        host.outputs = host.syncing + host.outputs
        if host.outputs:
            host.disk.boundaries_left = self.random.randint(0, 3)
            try:
                self._sync(host)
            except PowerLoss:
                pass
        host.node = None
        host.disk.lose_power()

    def replace_disk(self, address):
        self.crash(address)
        self.hosts[address].disk = FakeDisk(self.random.random())
        self.restart(address)

    def isolate(self, address):
        others = [other for other in self.hosts if other != address]
        self.blocked_links |= {frozenset((address, other)) for other in others}

    def cut_one_way(self, address, is_outgoing):
        """Drop all messages from or to a host, in one direction only."""
        for other in self.hosts:
            pair = (address, other) if is_outgoing else (other, address)
            self.blocked_links.add(pair)

    def find_leader(self):
        leaders = [
            host
            for host in self.hosts.values()
            if host.node is not None and host.node.is_ready
        ]
        return max(leaders, key=lambda host: host.node.term, default=None)

    def join(self, address, wait_for_promotion=True):
        joining = self.hosts[address].node.replica_id
        member = messages.Member(joining, address, False)
        self.change_members(lambda members: members + (member,))
        if wait_for_promotion:
            self.run_until(lambda: self._is_voter(joining))
        return joining

    def remove(self, replica_id):
        self.change_members(
            lambda members: tuple(
                m for m in members if m.replica_id != replica_id
            )
        )

    def change_members(self, make_members):
        self.run_until(lambda: self._try_change(make_members))
        leader = self.find_leader()
        index = leader.node.log.members_index
        self.run_until(lambda: leader.node.commit_index >= index)

    def _try_change(self, make_members):
        leader = self.find_leader()
        if leader is None:
            return False
        members = make_members(leader.node.log.members)
        changed = leader.node.change_members(members, self.now)
        return changed.value_or(None) is not None

    def _is_voter(self, replica_id):
        leader = self.find_leader()
        if leader is None:
            return False
        log = leader.node.log
        return leader.node.commit_index >= log.members_index and any(
            m.is_voter and m.replica_id == replica_id for m in log.members
        )

    def propose(self, base_version, change_id, text='text', address=None):
        host = self.hosts[address] if address else self.find_leader()
        if host is None or host.node is None:
            return False
        change = documents.Change.pack(base_version, change_id, 0, text)
        entry = host.node.propose(change.encode(), self.now).value_or(None)
        if entry is not None:
            self._proposed[entry.index, entry.term, host.address] = change_id
        return entry is not None

    def apply(self, base_version, change_id, text='text'):
        """Resend a change until it is decided and return its outcome."""

        def is_decided():
            if change_id in self.acknowledged:
                return True
            if self.random.random() < 0.05:
                self.propose(base_version, change_id, text)
            return False

        self.propose(base_version, change_id, text)
        self.run_until(is_decided)
        return self.acknowledged[change_id][0]

    def run_until(self, is_done, limit_s=60.0):
        end = self.now + limit_s
        while not is_done():
            assert self.now < end, 'the condition did not become true in time'
            self.step()

    def run_for(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.step()

    def step(self):
        self.now += self.STEP_S
        due = [item for item in self._in_flight if self._is_due(item)]
        self._in_flight = [i for i in self._in_flight if not self._is_due(i)]
        for _, envelope, address in due:
            host = self.hosts.get(address)
            if host is not None and host.node is not None:
                host.node.receive(envelope, self.now)
                self._collect(host)
                # A read may come between a message and the next tick.
                self._check_confirmation(host)
        for host in self.hosts.values():
            self._step_host(host)

    def _is_due(self, item):
        due_at, _, address = item
        # The first tick after a stall comes before the messages that waited.
        host = self.hosts.get(address)
        is_stalled = host is not None and host.stalled_until >= self.now
        is_standing = is_stalled or address in self.suspended
        return due_at <= self.now and not is_standing

    def _step_host(self, host):
        is_standing = (
            host.stalled_until > self.now or host.address in self.suspended
        )
        if host.node is None or is_standing:
            return
        host.node.tick(self.now)
        self._collect(host)
        if self.draw_sync_s is not None:
            self._sync_slowly(host)
        elif host.outputs and self.random.random() < self.sync_probability:
            try:
                self._sync(host)
            except OSError:
                host.node = None
                return
        self._collect(host)
        self._check_confirmation(host)

    def _collect(self, host):
        output = host.node.collect()
        for applied in host.applier.apply(output):
            self._check_applied(host, applied)
        host.applier.compact()
        self._send(host, output.messages)
        if output.records or output.synced_messages:
            host.outputs.append(output)

    def _sync_slowly(self, host):
        if host.syncing and host.synced_at <= self.now:
            waiting, host.outputs = host.outputs, host.syncing
            self._sync(host)
            host.syncing, host.outputs = [], waiting
        if host.syncing or not host.outputs:
            return
        if any(output.records for output in host.outputs):
            host.syncing, host.outputs = host.outputs, []
            host.synced_at = self.now + self.draw_sync_s()
        else:
            self._sync(host)

    def _sync(self, host):
        records = [r for output in host.outputs for r in output.records]
        if records:
            host.storage.persist(records)
        for output in host.outputs:
            self._send(host, output.synced_messages)
        host.node.mark_synced(host.outputs[-1].sync_point, self.now)
        host.outputs = []

    def _send(self, host, envelopes):
        addresses = {
            other.node.replica_id: other.address
            for other in self.hosts.values()
            if other.node is not None
        }
        for envelope in envelopes:
            address = addresses.get(envelope.target)
            link = frozenset((host.address, address))
            if address is None or link in self.blocked_links:
                continue
            if (host.address, address) in self.blocked_links:
                continue
            if self.random.random() >= self.loss_probability:
                due = self.now + self.random.uniform(0.0, self.max_delay_s)
                coded = messages.encode_message(envelope)
                decoded = messages.decode_message(coded)
                self._in_flight.append((due, decoded, address))

    def _check_applied(self, host, applied):
        entry = applied.entry
        expected = self._committed.setdefault(entry.index, entry)
        assert entry == expected, 'replicas applied different entries'
        key = (entry.index, entry.term, host.address)
        change_id = self._proposed.pop(key, None)
        if change_id is None:
            return
        decision = (applied.outcome, self.now)
        first = self.acknowledged.setdefault(change_id, decision)
        assert first[0] == applied.outcome, 'a resend got another outcome'

    def _check_confirmation(self, host):
        confirmed_at = host.node.confirmed_at
        if confirmed_at is None:
            return
        assert confirmed_at <= self.now
        acknowledged = (
            outcome.version
            for outcome, at in self.acknowledged.values()
            if at <= confirmed_at
        )
        assert host.store.version >= max(acknowledged, default=0)


@pytest.fixture
def make_disk():
    return FakeDisk


@pytest.fixture
def make_group():
    return Group


@pytest.fixture
def power_loss():
    return PowerLoss
