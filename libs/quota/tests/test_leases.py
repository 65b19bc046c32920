"""Tests of lease holders and allocators over a simulated network."""

import heapq
import itertools
import random

import pytest

import cactusloft_quota as quota

ACCOUNT = 'account'
# Longest wait of a call for a token, as at the entry.
WAIT_S = 0.25


class Node:
    """Process with a drifting clock that may freeze or be disconnected."""

    def __init__(self, rng, drift):
        self.rate = 1 + rng.uniform(-drift, drift)
        self.offset = rng.uniform(0, 1000)
        self.frozen_until = 0.0
        self.disconnected_until = 0.0

    def read(self, time):
        return self.offset + self.rate * time


class HolderNode(Node):
    """Lease holder with its waiting calls."""

    def __init__(self, name, rng, drift):
        super().__init__(rng, drift)
        self.holder = quota.LeaseHolder(name, 'boot', ACCOUNT, self.read(0.0))
        self.waiting = []


class Fleet:
    """Lease holders, allocators and the messages between them.

    :param loss: share of messages lost; the same share is duplicated.
    """

    def __init__(self, seed, count, rate, burst, loss=0.0, drift=0.0):
        self.rng = random.Random(seed)
        self.rate, self.burst, self.drift = rate, burst, drift
        self.loss = loss
        self.nodes = [
            HolderNode(f'h{number}', self.rng, drift)
            for number in range(count)
        ]
        self.demands = [0.0] * count
        self.time = 0.0
        self.queue = []
        self.order = itertools.count()
        self.admitted = []
        self.refused = 0
        self.arrived = 0
        self.allocators = []
        self.change_allocator()

    def at(self, time, action, *args):
        heapq.heappush(self.queue, (time, next(self.order), action, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.time, _, action, args = heapq.heappop(self.queue)
            action(*args)
        self.time = until

    def start(self):
        for index, node in enumerate(self.nodes):
            self.at(self.rng.uniform(0, 0.02), self.tick, node)
            self.at(self.rng.uniform(0, 0.1), self.arrive, index)

    def change_allocator(self):
        """Elect an allocator; the previous one runs while it is valid."""
        node = Node(self.rng, self.drift)
        now = node.read(self.time)
        node.allocator = quota.Allocator(
            f'a{len(self.allocators)}', ACCOUNT, self.rate, self.burst, now
        )
        node.ends_at = None
        if self.allocators:
            validity = quota.CONFIRMATION_VALIDITY_S
            previous = self.allocators[-1]
            previous.ends_at = previous.read(self.time) + validity
        self.allocators.append(node)

    def send(self, action, *args):
        """Send a message, which may arrive late, twice or never."""
        copies = 1
        draw = self.rng.random()
        if draw < self.loss:
            copies = 0
        elif draw < 2 * self.loss:
            copies = 2
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, 0.002)
            if self.rng.random() < self.loss:
                delay = self.rng.expovariate(1.0)
            self.at(self.time + delay, action, *args)

    def defer(self, node, action, *args):
        """Defer an event if the process is frozen; return whether it is."""
        is_frozen = self.time < node.frozen_until
        if is_frozen:
            self.at(node.frozen_until, action, *args)
        return is_frozen

    def tick(self, node):
        if self.defer(node, self.tick, node):
            return
        now = node.read(self.time)
        holder = node.holder
        self.admit(node)
        if now >= holder.find_next_request_time(len(node.waiting)):
            request = holder.make_request(now, len(node.waiting))
            # Some holders learn of a change late and ask the previous one.
            allocator = self.allocators[-1]
            if len(self.allocators) > 1 and self.rng.random() < self.loss:
                allocator = self.allocators[-2]
            if self.time >= node.disconnected_until:
                self.send(self.deliver_request, allocator, node, request)
        self.at(self.time + 0.01, self.tick, node)

    def deliver_request(self, allocator, node, request):
        if self.defer(
            allocator, self.deliver_request, allocator, node, request
        ):
            return
        now = allocator.read(self.time)
        if allocator.ends_at is not None and now > allocator.ends_at:
            return
        grant = allocator.allocator.handle(request, now)
        if grant is not None:
            self.send(self.deliver_grant, node, grant)

    def deliver_grant(self, node, grant):
        if not self.defer(node, self.deliver_grant, node, grant):
            node.holder.apply_grant(grant, node.read(self.time))
            self.admit(node)

    def arrive(self, index):
        node = self.nodes[index]
        demand = self.demands[index]
        delay = self.rng.expovariate(demand) if demand else 0.05
        self.at(self.time + min(delay, 0.5), self.arrive, index)
        if demand and delay <= 0.5 and self.time >= node.frozen_until:
            self.arrived += 1
            node.holder.record_arrival(node.read(self.time))
            node.waiting.append(self.time)
            self.admit(node)

    def admit(self, node):
        now = node.read(self.time)
        while node.waiting:
            if self.time - node.waiting[0] > WAIT_S:
                node.waiting.pop(0)
                self.refused += 1
                continue
            debit = node.holder.debit(now)
            if debit is None:
                return
            node.waiting.pop(0)
            call = [self.time, True]
            self.admitted.append(call)
            if self.loss and self.rng.random() < 0.2:
                delay = self.rng.uniform(0, 0.5)
                self.at(self.time + delay, self.credit, node, debit, call)

    def credit(self, node, debit, call):
        """Return the token of a call that does not run."""
        if not self.defer(node, self.credit, node, debit, call):
            node.holder.credit(debit, node.read(self.time))
            call[1] = False


def check_windows(times, rate, burst):
    """Fail unless every window of length t has at most rate x t + burst calls.

    Equivalently, a bucket that starts full never goes below 0.
    """
    level, last = burst, 0.0
    for time in times:
        level = min(burst, level + (time - last) * rate) - 1
        last = time
        assert level > -1e-6, time


def inject_faults(fleet):
    """Change demand, freeze or disconnect nodes, replace the allocator."""
    rng = fleet.rng
    peak = rng.choice([0.2, 1.0, 4.0]) * fleet.rate / len(fleet.nodes)
    fleet.demands = [rng.choice([0.0, peak, 4 * peak]) for _ in fleet.nodes]
    for node in [*fleet.nodes, fleet.allocators[-1]]:
        if rng.random() < 0.2:
            node.frozen_until = fleet.time + rng.uniform(0.0, 5.0)
        if rng.random() < 0.2:
            node.disconnected_until = fleet.time + rng.uniform(0.0, 8.0)
    if rng.random() < 0.2:
        fleet.change_allocator()


@pytest.mark.parametrize('seed', range(30))
def test_every_window_is_within_rate_and_burst(seed):
    """Guards against admitting more than the rate and burst of an account."""
    rng = random.Random(1000 + seed)
    rate = rng.choice([5.0, 50.0, 300.0])
    burst = rng.choice([1.0, 7.0, rate])
    fleet = Fleet(seed, rng.choice([1, 3, 8]), rate, burst, 0.1, 0.01)
    fleet.start()
    for step in range(20):
        fleet.run(fleet.time + rng.uniform(0.5, 4.0))
        inject_faults(fleet)
    times = [time for time, is_run in fleet.admitted if is_run]
    assert times
    check_windows(times, rate, burst)


@pytest.mark.parametrize(
    'holders, rate, burst',
    [(2, 100.0, 100.0), (4, 200.0, 100.0), (8, 500.0, 500.0)],
)
def test_demand_that_moves_is_served(holders, rate, burst):
    """Guards against refusals within the rate when demand changes holders.

    The limit is the target of 0.1% in section 1.2 of the design.
    """
    fleet = Fleet(7, holders, rate, burst)
    fleet.start()
    # The first allocator waits until grants of an earlier one would expire.
    fleet.run(5.0)
    fleet.arrived = fleet.refused = 0
    for step in range(24):
        fleet.demands = [0.0] * holders
        share = 0.7 * rate
        fleet.demands[step % holders] = share * 0.75
        fleet.demands[(step + 1) % holders] += share * 0.25
        fleet.run(fleet.time + 2.5)
    refused_share = fleet.refused / fleet.arrived
    print(f'{holders} holders: {refused_share:.3%} of {fleet.arrived}')
    assert refused_share <= 0.001


def test_new_allocator_accepts_leases_of_the_previous_one():
    """Guards against an outage of a lease lifetime at a leader change."""
    fleet = Fleet(3, 2, 100.0, 50.0)
    fleet.start()
    fleet.demands = [30.0, 20.0]
    fleet.run(6.0)
    fleet.arrived = fleet.refused = 0
    fleet.change_allocator()
    fleet.run(12.0)
    assert fleet.arrived > 200
    assert fleet.refused <= fleet.arrived * 0.001
