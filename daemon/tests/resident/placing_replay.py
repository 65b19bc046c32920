"""Replay of a load on the decisions of placing, in virtual time.

Entries choose members, owners accept, decline or queue calls, and replies
report load and work, with the classes that a resident uses. Servers are a
number of slots, a speed and spells in which they are slow.
"""

import collections
import heapq
import itertools
import math
import random

import attrs

from cactusloft_membership import choice
from cactusloft_membership import registry
from cactusloft_placement import choice as placement
from cactusloft_placement import work
from cactusloftd.resident import _backlog
from cactusloftd.resident import _owner
from cactusloftd.resident import _service_times
from cactusloftd.resident import protocol

OFFERS = 2
NEAR_S, FAR_S = 0.001, 0.0044
SPELL_S, SPELL_SHARE, SPELL_SLOWNESS = 0.6, 0.15, 2.5


@attrs.frozen
class Kind:
    """Calls of one route; some take ``tail_factor`` times as long."""

    route: str
    cost_s: float
    patience_s: float
    rate: float
    tail_share: float = 0.03
    tail_factor: float = 7.0


@attrs.define
class PlacedCall:
    """A call on its way, with what the entry knows of its owners."""

    route: str
    patience_s: float
    cost_s: float
    entry: object
    began_at: float
    needs_free_slot: bool = True
    offers: int = 0
    sent_at: float = 0.0
    tried: set = attrs.Factory(set)
    full: list = attrs.Factory(list)


@attrs.frozen
class Load:
    """What is replayed.

    :ivar swing: relative change of the demand of a data centre over
        ``period_s``; the data centres follow each other in a third of it.
    """

    kinds: tuple
    speeds: tuple
    slots: int = 8
    data_centres: int = 1
    entries: int = 4
    swing: float = 0.0
    period_s: float = 15.0
    has_spells: bool = False
    duration_s: float = 30.0


@attrs.define
class Outcome:
    """What the callers got, by route, and how many sends went far."""

    in_time: collections.Counter = attrs.Factory(collections.Counter)
    calls: collections.Counter = attrs.Factory(collections.Counter)
    latency_s: collections.Counter = attrs.Factory(collections.Counter)
    crossings: int = 0
    sends: int = 0

    def share_in_time(self, *routes):
        """Return the share of calls that ended within their patience."""
        routes = routes or tuple(self.calls)
        total = sum(self.calls[route] for route in routes)
        return sum(self.in_time[route] for route in routes) / total

    @property
    def crossing_share(self):
        """Return the share of sends to another data centre."""
        return self.crossings / self.sends


class Server:
    """A backend server and its owner."""

    def __init__(self, replay, member, speed):
        self.member = member
        self._replay = replay
        self._speed = speed
        self._spells = list(replay.make_spells())
        self._times = _service_times.ServiceTimes()
        self.backlog = _backlog.Backlog(self._times, replay.read_clock)
        self._queue = collections.deque()
        self._running = 0

    @property
    def load(self):
        return (self._running + len(self._queue)) / self.member.slots

    def report(self):
        has_capacity = self._running < self.member.slots
        return self.backlog.make_report(self.member.slots, has_capacity)

    def receive(self, call):
        """Run, queue or refuse a call."""
        if self._running < self.member.slots:
            is_slow = self._replay.is_by_work and self.backlog.is_slow_for(
                call
            )
            if call.needs_free_slot and is_slow:
                self._replay.reply(call, self, _owner.SLOW_NOW)
                return
            self._start(call, self._times.expect(call.route))
        elif call.needs_free_slot:
            self._replay.reply(call, self, _owner.NO_FREE_SLOT)
        else:
            queued = call, self.backlog.enqueue(call.route)
            self._queue.append(queued)
            max_wait_s = _owner.MAX_QUEUE_FRACTION * call.patience_s
            self._replay.after(max_wait_s, self._expire, queued)

    def _expire(self, queued):
        if queued in self._queue:
            self._queue.remove(queued)
            self.backlog.dequeue(queued[1])
            self._replay.reply(queued[0], self, _owner.NO_SLOT)

    def _start(self, call, expected_s):
        now = self._replay.now
        self._running += 1
        self._observe()
        slowness = self.backlog.start(expected_s, now)
        end = self._find_end(now, call.cost_s * self._speed)
        run = call, now, expected_s, slowness
        self._replay.after(end - now, self._finish, *run)

    def _finish(self, call, started_at, expected_s, slowness):
        self._running -= 1
        self._observe()
        service_s = self._replay.now - started_at
        self._times.record(call.route, service_s)
        self.backlog.record_success(
            call.route, service_s, expected_s, slowness
        )
        self.backlog.finish(expected_s, started_at)
        self._replay.reply(call, self, '')
        if self._queue:
            queued, cost_s = self._queue.popleft()
            self.backlog.dequeue(cost_s)
            self._start(queued, cost_s)

    def _observe(self):
        """Let the backend server tell how long work takes now."""
        if self._replay.is_by_work:
            slowness = self._find_slowness(self._replay.now)
            self.backlog.receive_load(
                protocol.ServerLoad(0, 0, self.member.slots, slowness)
            )

    def _find_slowness(self, at):
        is_slow = any(start <= at < end for start, end in self._spells)
        return SPELL_SLOWNESS if is_slow else 1.0

    def _find_end(self, at, left_s):
        step_s = 0.01
        while left_s > 0:
            step_s = min(step_s, left_s * SPELL_SLOWNESS)
            left_s -= step_s / self._find_slowness(at)
            at += step_s
        return at


class Replay:
    """Run a load and measure what callers get.

    :param load: :class:`Load`.
    :param is_by_work: whether members are chosen by work, else by load.
    """

    def __init__(self, load, is_by_work, seed=1):
        self._load = load
        self.is_by_work = is_by_work
        self.now = 0.0
        self._random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._outcome = Outcome()
        self._servers = {}
        self._choosers = {}
        zones = range(load.data_centres)
        for zone, (number, speed) in itertools.product(
            zones, enumerate(load.speeds)
        ):
            member = make_member(f'm{zone}.{number}', f'z{zone}', load.slots)
            self._servers[member.name] = Server(self, member, speed)
        members = [server.member for server in self._servers.values()]
        for zone, number in itertools.product(zones, range(load.entries)):
            rng = random.Random(seed + number)
            policy = placement.WorkChooser(f'z{zone}', rng)
            chooser = choice.Chooser(f'z{zone}', rng, policy)
            chooser.update(members, -60.0)
            self._choosers[f'z{zone}', number] = chooser

    def read_clock(self):
        """Return the virtual time in seconds."""
        return self.now

    def after(self, delay_s, function, *args):
        """Call a function later."""
        event = self.now + delay_s, next(self._numbers), function, args
        heapq.heappush(self._events, event)

    def make_spells(self):
        """Yield start and end of the spells of one server."""
        at = 0.0
        while self._load.has_spells and at < 2 * self._load.duration_s:
            usual_s = SPELL_S * (1.0 - SPELL_SHARE) / SPELL_SHARE
            at += self._random.expovariate(1 / usual_s)
            end = at + self._random.expovariate(1 / SPELL_S)
            yield at, end
            at = end

    def run(self):
        """Run the whole load and return the :class:`Outcome`."""
        for entry, kind in itertools.product(self._choosers, self._load.kinds):
            self._schedule(entry, kind)
        while self._events:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        return self._outcome

    def _schedule(self, entry, kind):
        """Schedule the next call of a kind at an entry."""
        zone = int(entry[0][1:])
        phase = self.now / self._load.period_s + zone / 3
        factor = 1 + self._load.swing * math.sin(2 * math.pi * phase)
        gap_s = self._random.expovariate(factor * kind.rate)
        if self.now + gap_s < self._load.duration_s:
            self.after(gap_s, self._arrive, entry, kind)

    def _arrive(self, entry, kind):
        self._schedule(entry, kind)
        cost_s = kind.cost_s * self._random.uniform(0.6, 1.4)
        if self._random.random() < kind.tail_share:
            cost_s *= kind.tail_factor
        self._outcome.calls[kind.route] += 1
        self._send(
            PlacedCall(kind.route, kind.patience_s, cost_s, entry, self.now)
        )

    def _send(self, call):
        chooser = self._choosers[call.entry]
        call.needs_free_slot = call.offers < OFFERS
        call.offers += 1
        if call.needs_free_slot:
            name = chooser.choose(self.now, call.tried, call).name
        else:
            name = min(call.full)[1]
        call.tried.add(name)
        server = self._servers[name]
        chooser.begin(name)
        call.sent_at = self.now
        self._outcome.sends += 1
        self._outcome.crossings += self._is_far(call, server)
        self.after(self._find_way(call, server), server.receive, call)

    def reply(self, call, server, refusal):
        """Send the outcome of a call to its entry."""
        facts = call, server, refusal, server.load, server.report()
        self.after(self._find_way(call, server), self._receive, *facts)

    def _receive(self, call, server, refusal, load, report):
        chooser, name = self._choosers[call.entry], server.member.name
        chooser.finish(name)
        chooser.record_load(name, load, self.now)
        elapsed_s = self.now - call.sent_at
        rank = load
        if report is not None:
            policy, slowness = chooser.policy, report.slowness / 100
            delay_s = report.start_delay_ms / 1000
            policy.record_report(name, delay_s, slowness, load, self.now)
            if refusal and call.needs_free_slot:
                policy.record_round_trip(name, elapsed_s)
            elif call.needs_free_slot:
                policy.record_latency(
                    name, call.route, elapsed_s, slowness, self.now
                )
            rank = work.estimate_end(report, policy.expect_cost(call.route))
        if not refusal:
            chooser.record_latency(name, call.route, elapsed_s, self.now)
            self._finish(call)
        elif call.needs_free_slot:
            call.full.append((rank, name))
            self._send(call)

    def _finish(self, call):
        took_s = self.now - call.began_at
        self._outcome.latency_s[call.route] += took_s
        self._outcome.in_time[call.route] += took_s <= call.patience_s

    def _is_far(self, call, server):
        return call.entry[0] != server.member.data_centre

    def _find_way(self, call, server):
        return FAR_S if self._is_far(call, server) else NEAR_S


def make_member(name, data_centre, slots):
    """Return the registration of a member that serves."""
    return registry.Registration(
        name=name,
        incarnation=1,
        sequence=1,
        host=name,
        data_centre=data_centre,
        peers='',
        admin='',
        public_key='',
        service='stock',
        instance=name,
        slots=slots,
        is_serving=True,
    )


def compare(load, seeds=(1, 2, 3)):
    """Return the outcomes by load and by work, each for all seeds."""
    return [
        [Replay(load, is_by_work, seed).run() for seed in seeds]
        for is_by_work in (False, True)
    ]
