"""Holders and an allocator in virtual time, under demand that moves."""

import heapq
import itertools
import random

import cactusloft_quota as quota

RATE = 400.0
BURST = 400.0
DEMAND_SHARE = 0.7
WAIT_S = 0.25
TICK_S = 0.01
DELAY_S = 0.001
MOVE_S = 2.5
DEATH_S = 5.0
# A first allocator waits for the grants of a former one to expire.
WARM_UP_S = 10.0
MEASURED_S = 20.0


class _Node:
    def __init__(self, name, boot, lifetime_s, now):
        self.name = name
        self.boot = boot
        self.holder = quota.LeaseHolder(name, f'{boot}', 'a', now, lifetime_s)
        self.waiting = []
        self.demand = 0.0


class Simulation:
    """One account on several holders.

    :param has_deaths: whether holders are restarted, without their lease.
    """

    def __init__(self, count, lifetime_s, has_deaths, seed=1):
        self._rng = random.Random(seed)
        self._lifetime_s = lifetime_s
        self._has_deaths = has_deaths
        self._time = 0.0
        self._queue = []
        self._order = itertools.count()
        self._allocator = quota.Allocator(
            'x', 'a', RATE, BURST, 0.0, lifetime_s
        )
        self._nodes = [
            _Node(f'h{number}', 0, lifetime_s, 0.0) for number in range(count)
        ]
        self.arrived = 0
        self.refused = 0

    def run(self):
        """Run warm-up and measurement."""
        for index in range(len(self._nodes)):
            self._at(self._rng.uniform(0, TICK_S), self._tick, index)
        self._at(0.0, self._move)
        self._at(0.0, self._arrive)
        if self._has_deaths:
            self._at(WARM_UP_S, self._die)
        while self._time < WARM_UP_S + MEASURED_S:
            self._time, _, action, args = heapq.heappop(self._queue)
            action(*args)

    def _at(self, time, action, *args):
        heapq.heappush(self._queue, (time, next(self._order), action, args))

    def _move(self):
        """Give every holder another part of the demand."""
        for node in self._nodes:
            node.demand = self._rng.expovariate(1.0)
        self._at(self._time + MOVE_S, self._move)

    def _die(self):
        """Restart the busiest holder; its share is lost until it expires."""
        index = max(
            range(len(self._nodes)), key=lambda i: self._nodes[i].demand
        )
        old = self._nodes[index]
        node = _Node(old.name, old.boot + 1, self._lifetime_s, self._time)
        node.demand = old.demand
        self._nodes[index] = node
        self._at(self._time + DEATH_S, self._die)

    def _arrive(self):
        pause = self._rng.expovariate(RATE * DEMAND_SHARE)
        self._at(self._time + pause, self._arrive)
        weights = [node.demand for node in self._nodes]
        node = self._rng.choices(self._nodes, weights)[0]
        if self._time > WARM_UP_S:
            self.arrived += 1
        node.holder.record_arrival(self._time)
        node.waiting.append(self._time)
        self._serve(node)

    def _serve(self, node):
        while node.waiting:
            if self._time - node.waiting[0] > WAIT_S:
                arrived_at = node.waiting.pop(0)
                self.refused += arrived_at > WARM_UP_S
            elif node.holder.debit(self._time) is None:
                return
            else:
                node.waiting.pop(0)

    def _tick(self, index):
        node = self._nodes[index]
        self._serve(node)
        if self._time >= node.holder.find_next_request_time(len(node.waiting)):
            request = node.holder.make_request(self._time, len(node.waiting))
            self._at(self._time + DELAY_S, self._ask, node, request)
        self._at(self._time + TICK_S, self._tick, index)

    def _ask(self, node, request):
        grant = self._allocator.handle(request, self._time)
        if grant is not None:
            self._at(self._time + DELAY_S, self._take, node, grant)

    def _take(self, node, grant):
        node.holder.apply_grant(grant, self._time)
        self._serve(node)


def measure_refused(count, lifetime_s, has_deaths=True):
    """Return the share of calls refused although inside the rate."""
    simulation = Simulation(count, lifetime_s, has_deaths)
    simulation.run()
    return simulation.refused / simulation.arrived
