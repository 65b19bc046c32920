"""Choice of a member for a call: the better of two random ones.

Two random candidates avoid that all daemons send to the same least loaded
member at once, and still keep the longest queues short.
"""

import collections
import math

import attrs

# A new process fills caches and connections first.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1
# A report of a member that got no call since says little after this time.
REPORT_KEPT_S = 2.0
# A member that refused as not serving is left out until the view of the
# members has had time to follow.
AVOID_S = 1.0
# Pressure from which a member counts as overloaded for the preference of the
# own data centre.
SPILL_PRESSURE = 0.05
# Adds to the load of a member that refuses everything; large against the
# load of one that is merely busy.
PRESSURE_WEIGHT = 4.0
# Share of its slots that a member of the own data centre may have taken
# before members elsewhere are considered too.
SPILL_LOAD = 0.8
# A reported load says little after this time; calls in flight here do then.
LOAD_KEPT_S = 0.5
# Weight of the newest answer in the share of failed calls, and how much a
# member that fails every call counts as loaded.
FAILURE_SMOOTHING = 0.1
FAILURE_WEIGHT = 3.0
# Below this share, failures say nothing about one member.
LEAST_FAILURES = 0.1
# Weights of the newest latency in the mean of a kind of call and in the
# slowness of a member, which is forgotten when it gets no calls.
MEAN_SMOOTHING = 0.02
SLOWNESS_SMOOTHING = 0.1
SLOWNESS_KEPT_S = 3.0
# Latency of an idle member in units of the load that doubles it.
IDLE_LATENCY = 0.5
KEPT_KINDS = 256


@attrs.define
class _State:
    """What this daemon knows of one member beyond its registration."""

    process: tuple
    first_seen: float
    in_flight: int = 0
    reported_pressure: float = 0.0
    reported_at: float = float('-inf')
    avoided_until: float = float('-inf')
    reported_load: float = 0.0
    load_at: float = float('-inf')
    begun: int = 0
    failures: float = 0.0
    slowness: float = 1.0
    slowness_at: float = float('-inf')

    def read_slowness(self, now):
        """Return its latency as a multiple of the mean."""
        age_s = now - self.slowness_at
        return 1.0 + (self.slowness - 1.0) * math.exp(-age_s / SLOWNESS_KEPT_S)


class Chooser:
    """Choose members of one service.

    :param data_centre: data centre of this daemon.
    :param random_source: like :class:`random.Random`; its ``sample`` is used.
    """

    def __init__(self, data_centre, random_source):
        self._data_centre = data_centre
        self._random = random_source
        self._states = {}
        self._members = ()
        self._means = collections.OrderedDict()

    @property
    def members(self):
        """Return the members to choose from."""
        return self._members

    def update(self, members, now):
        """Take the present subset.

        :param members: iterable of :class:`Registration`.
        :param now: monotonic seconds.
        """
        self._members = tuple(members)
        for member in self._members:
            process = member.incarnation, member.instance
            state = self._states.get(member.name)
            if state is None:
                self._states[member.name] = _State(process, now)
            elif state.process != process:
                # Calls in flight were lost with the former process, but
                # finish() is still to come for them.
                self._states[member.name] = _State(
                    process, now, state.in_flight
                )
        names = {member.name for member in self._members}
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.in_flight
        }

    def choose(self, now, excluded=()):
        """Return the member for a call, or None when there is none.

        :param excluded: names of members that are not to be chosen.
        """
        usable = [
            member
            for member in self._members
            if member.is_serving
            and member.name not in excluded
            and self._states[member.name].avoided_until <= now
        ]
        local = [m for m in usable if self._is_local_choice(m, now)]
        candidates = local or usable
        # With two candidates the sample still shuffles: min() keeps the
        # first of equals, which must not always be the same member.
        count = min(2, len(candidates))
        candidates = self._random.sample(candidates, count)
        return min(
            candidates,
            key=lambda member: self._compute_load(member, now),
            default=None,
        )

    def begin(self, name):
        """Count a call in flight at a member."""
        state = self._states.get(name)
        if state is not None:
            state.in_flight += 1
            state.begun += 1

    def finish(self, name):
        """Count a call in flight less."""
        state = self._states.get(name)
        if state is not None and state.in_flight:
            state.in_flight -= 1

    def record_pressure(self, name, pressure, now):
        """Take the pressure that an owner sent with a response.

        :param pressure: share of calls that it sheds, 0 to 1.
        """
        state = self._states.get(name)
        if state is not None:
            state.reported_pressure = pressure
            state.reported_at = now

    def record_load(self, name, load, now):
        """Take the load that an owner sent with an answer.

        :param load: calls that it holds for each slot.
        """
        state = self._states.get(name)
        if state is not None:
            state.reported_load = load
            state.load_at = now
            state.begun = 0

    def record_outcome(self, name, is_failed):
        """Take note of how the backend server of a member did."""
        state = self._states.get(name)
        if state is not None:
            state.failures += FAILURE_SMOOTHING * (is_failed - state.failures)

    def record_latency(self, name, kind, latency_s, now):
        """Take note of how long a call took at a member.

        :param kind: label of calls with similar service times.
        :param latency_s: seconds until its answer.
        """
        mean = self._means.get(kind, latency_s)
        self._means[kind] = mean + MEAN_SMOOTHING * (latency_s - mean)
        self._means.move_to_end(kind)
        if len(self._means) > KEPT_KINDS:
            self._means.popitem(last=False)
        state = self._states.get(name)
        if state is not None and mean > 0:
            slowness = state.read_slowness(now)
            ratio = latency_s / mean
            state.slowness = slowness + SLOWNESS_SMOOTHING * (ratio - slowness)
            state.slowness_at = now

    def find_mean_latency(self, kind):
        """Return the mean latency of a kind of call, or None."""
        return self._means.get(kind)

    def exclude_temporarily(self, name, now):
        """Leave a member out for a while, after it refused new work."""
        state = self._states.get(name)
        if state is not None:
            state.avoided_until = now + AVOID_S

    def _is_local_choice(self, member, now):
        if member.data_centre != self._data_centre:
            return False
        state = self._states[member.name]
        pressure = self._read_pressure(state, now)
        return (
            pressure < SPILL_PRESSURE
            and self._compute_load(member, now) <= SPILL_LOAD
        )

    def _compute_load(self, member, now):
        state = self._states[member.name]
        slots = max(1, member.slots) * compute_slow_start_share(
            now - state.first_seen
        )
        slots = max(1.0, slots)
        load = (state.in_flight + 1) / slots
        if now - state.load_at < LOAD_KEPT_S:
            reported = state.reported_load + (state.begun + 1) / slots
            load = max(load, reported)
        if state.failures > LEAST_FAILURES:
            load += FAILURE_WEIGHT * state.failures
        slowness = state.read_slowness(now)
        load = slowness * (IDLE_LATENCY + load) - IDLE_LATENCY
        load += PRESSURE_WEIGHT * self._read_pressure(state, now)
        # Members that hardly differ are chosen at random.
        return round(load, 2)

    def _read_pressure(self, state, now):
        is_fresh = now - state.reported_at < REPORT_KEPT_S
        return state.reported_pressure if is_fresh else 0.0


def compute_slow_start_share(age_s):
    """Return the share of its load that a member of this age takes.

    >>> [compute_slow_start_share(age_s) for age_s in (0.0, 5.0, 60.0)]
    [0.1, 0.5, 1.0]
    """
    return min(1.0, max(MIN_SLOW_START_SHARE, age_s / SLOW_START_S))
