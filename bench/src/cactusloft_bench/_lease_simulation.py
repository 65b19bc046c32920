"""Simulation of lease holders and an allocator under shifting demand."""

import heapq
import itertools
import random

import cactusloft_quota as quota

RATE_PER_S = 400.0
BURST_CALLS = 400.0
DEMAND_RATIO = 0.7
MAX_WAIT_S = 0.25
TICK_INTERVAL_S = 0.01
LINK_DELAY_S = 0.001
DEMAND_SHIFT_INTERVAL_S = 2.5
RESTART_INTERVAL_S = 5.0
# A new allocator waits until the grants of its predecessor have expired.
WARM_UP_S = 10.0
MEASURED_DURATION_S = 20.0


class _Daemon:
    def __init__(self, name, boot_number, lifetime_s, now):
        self.name = name
        self.boot_number = boot_number
        self.holder = quota.LeaseHolder(
            name, f'{boot_number}', 'a', now, lifetime_s
        )
        self.waiting = []
        self.demand = 0.0


class Simulation:
    """Calls of one client account to several holders.

    :param has_restarts: whether holders are restarted and lose their lease.
    """

    def __init__(self, holder_count, lifetime_s, has_restarts, seed=1):
        self._rng = random.Random(seed)
        self._lifetime_s = lifetime_s
        self._has_restarts = has_restarts
        self._now = 0.0
        self._events = []
        self._sequence = itertools.count()
        self._allocator = quota.Allocator(
            'x', 'a', RATE_PER_S, BURST_CALLS, 0.0, lifetime_s
        )
        self._daemons = [
            _Daemon(f'h{number}', 0, lifetime_s, 0.0)
            for number in range(holder_count)
        ]
        self.arrived = 0
        self.refused = 0

    def run(self):
        """Run the warm-up and the measured period."""
        for index in range(len(self._daemons)):
            self._schedule(
                self._rng.uniform(0, TICK_INTERVAL_S), self._tick, index
            )
        self._schedule(0.0, self._shift_demand)
        self._schedule(0.0, self._arrive)
        if self._has_restarts:
            self._schedule(WARM_UP_S, self._restart_busiest)
        while self._now < WARM_UP_S + MEASURED_DURATION_S:
            self._now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def _schedule(self, time, action, *args):
        heapq.heappush(
            self._events, (time, next(self._sequence), action, args)
        )

    def _shift_demand(self):
        """Draw a new share of the demand for each holder."""
        for daemon in self._daemons:
            daemon.demand = self._rng.expovariate(1.0)
        self._schedule(self._now + DEMAND_SHIFT_INTERVAL_S, self._shift_demand)

    def _restart_busiest(self):
        """Restart the busiest holder; its lease is lost until it expires."""
        index = max(
            range(len(self._daemons)), key=lambda i: self._daemons[i].demand
        )
        previous = self._daemons[index]
        daemon = _Daemon(
            previous.name,
            previous.boot_number + 1,
            self._lifetime_s,
            self._now,
        )
        daemon.demand = previous.demand
        self._daemons[index] = daemon
        self._schedule(self._now + RESTART_INTERVAL_S, self._restart_busiest)

    def _arrive(self):
        delay_s = self._rng.expovariate(RATE_PER_S * DEMAND_RATIO)
        self._schedule(self._now + delay_s, self._arrive)
        weights = [daemon.demand for daemon in self._daemons]
        daemon = self._rng.choices(self._daemons, weights)[0]
        if self._now > WARM_UP_S:
            self.arrived += 1
        daemon.holder.record_arrival(self._now)
        daemon.waiting.append(self._now)
        self._serve(daemon)

    def _serve(self, daemon):
        while daemon.waiting:
            if self._now - daemon.waiting[0] > MAX_WAIT_S:
                arrived_at = daemon.waiting.pop(0)
                self.refused += arrived_at > WARM_UP_S
            elif daemon.holder.debit(self._now) is None:
                return
            else:
                daemon.waiting.pop(0)

    def _tick(self, index):
        daemon = self._daemons[index]
        self._serve(daemon)
        if self._now >= daemon.holder.find_next_request_time(
            len(daemon.waiting)
        ):
            request = daemon.holder.make_request(
                self._now, len(daemon.waiting)
            )
            self._schedule(
                self._now + LINK_DELAY_S, self._handle_request, daemon, request
            )
        self._schedule(self._now + TICK_INTERVAL_S, self._tick, index)

    def _handle_request(self, daemon, request):
        grant = self._allocator.handle(request, self._now)
        if grant is not None:
            self._schedule(
                self._now + LINK_DELAY_S, self._apply_grant, daemon, grant
            )

    def _apply_grant(self, daemon, grant):
        daemon.holder.apply_grant(grant, self._now)
        self._serve(daemon)


def measure_refused(holder_count, lifetime_s, has_restarts=True):
    """Return the fraction of calls refused while demand is below the rate."""
    simulation = Simulation(holder_count, lifetime_s, has_restarts)
    simulation.run()
    return simulation.refused / simulation.arrived
