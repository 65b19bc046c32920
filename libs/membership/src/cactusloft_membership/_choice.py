"""Choice of the member that runs a call: the better of two random ones.

If every daemon picked the least loaded member, they would all send to the same
one at once. Comparing two random candidates avoids this and still keeps the
longest queues short.
"""

import collections
import itertools
import math
import typing

import attrs

# A new process takes a growing share of its load for this time, while it
# fills its caches and opens connections.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1
# A member with high pressure may get no calls and so send no newer report.
# Its last report is ignored after this time, so that it is tried again.
PRESSURE_RETENTION_S = 2.0
# A member that refused a call as not serving is excluded for this time, in
# which the view of the members is updated.
EXCLUSION_S = 1.0
# Members of the local data centre are preferred while their pressure is below
# this value.
MAX_LOCAL_PRESSURE = 0.05
# Load that is added at a pressure of 1. It is large against the load of a
# member that is merely busy, since one with that pressure refuses every call.
PRESSURE_WEIGHT = 4.0
# Members of the local data centre are preferred up to this load in calls per
# slot. Above it, members of other data centres are considered too.
MAX_LOCAL_LOAD = 0.8
# A reported load is outdated after this time. Then only the calls in flight
# from this daemon count.
LOAD_RETENTION_S = 0.5
# Weight of the newest outcome in the moving average of failed calls.
FAILURE_SMOOTHING = 0.1
# Load that is added for a member that fails every call.
FAILURE_WEIGHT = 3.0
# A smaller share of failed calls does not show that the member is at fault.
MIN_FAILURE_SHARE = 0.1
# Weight of the newest latency in the moving average of a kind of call.
MEAN_LATENCY_SMOOTHING = 0.02
# Weight of the newest latency in the moving average of a member's slowness.
SLOWNESS_SMOOTHING = 0.1
# Time constant with which the slowness of a member without calls returns to 1.
SLOWNESS_DECAY_S = 3.0
# Load at which the latency of a member is twice its latency when idle.
LATENCY_DOUBLING_LOAD = 0.5
# Maximum number of kinds of call for which a mean latency is kept.
MAX_KEPT_KINDS = 256


@attrs.define
class _MemberState:
    """What this daemon has observed of one member.

    :ivar process: incarnation of the daemon and instance of the backend
        server; a change of either means a restart.
    :ivar in_flight: calls from this daemon that have not finished.
    :ivar begun_since_load: calls from this daemon since the last reported
        load, which does not include them.
    :ivar failure_share: moving average of failed calls, 0 to 1.
    :ivar slowness: latency as a multiple of the mean of all members.
    """

    process: tuple
    first_seen_at: float
    in_flight: int = 0
    reported_pressure: float = 0.0
    pressure_reported_at: float = float('-inf')
    excluded_until: float = float('-inf')
    reported_load: float = 0.0
    load_reported_at: float = float('-inf')
    begun_since_load: int = 0
    failure_share: float = 0.0
    slowness: float = 1.0
    slowness_updated_at: float = float('-inf')

    def compute_slowness(self, now):
        """Return the slowness, which decays to 1 without calls."""
        age_s = now - self.slowness_updated_at
        return 1.0 + (self.slowness - 1.0) * math.exp(
            -age_s / SLOWNESS_DECAY_S
        )


class ChoicePolicy(typing.Protocol):
    """A choice that replaces the one by load while it is active."""

    def is_active(self, now: float) -> bool:
        """Tell whether the members report what the choice needs."""

    def update(self, members: tuple, now: float):
        """Replace the members to choose from."""

    def begin(self, name: str):
        """Record that a call to a member has begun."""

    def choose(self, members: list, call, find_penalty, now: float):
        """Return the member for a call, None without any.

        :param members: :class:`Registration` of each usable member.
        :param call: has ``route`` and ``patience_s``.
        :param find_penalty: function(member) that returns the load to add for
            reasons other than work, such as failed calls.
        """


class Chooser:
    """Choose members of one service for calls.

    :param data_centre: data centre of this daemon, whose members are
        preferred.
    :param random_source: like :class:`random.Random`; its ``shuffle`` is used.
    :param policy: :class:`ChoicePolicy`, or None to choose by load only.
    """

    def __init__(self, data_centre, random_source, policy=None):
        self._data_centre = data_centre
        self._random = random_source
        self._policy = policy
        self._states = {}
        self._members = ()
        self._mean_latencies = collections.OrderedDict()

    @property
    def members(self):
        """Return the members to choose from."""
        return self._members

    @property
    def policy(self):
        """Return the :class:`ChoicePolicy`, or None."""
        return self._policy

    @property
    def in_flight(self):
        """Return the calls from this daemon that have not finished."""
        return sum(state.in_flight for state in self._states.values())

    def update(self, members, now):
        """Replace the members to choose from.

        :param members: iterable of :class:`Registration`.
        :param now: monotonic seconds.
        """
        self._members = tuple(members)
        for member in self._members:
            process = member.incarnation, member.instance
            state = self._states.get(member.name)
            if state is None:
                self._states[member.name] = _MemberState(process, now)
            elif state.process != process:
                # The calls in flight were lost with the previous process, but
                # finish() will still be called for them.
                self._states[member.name] = _MemberState(
                    process, now, state.in_flight
                )
        names = {member.name for member in self._members}
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.in_flight
        }
        if self._policy is not None:
            self._policy.update(self._members, now)

    def choose(self, now, excluded=(), call=None):
        """Return the member for a call, or None when no member is usable.

        :param now: monotonic seconds.
        :param excluded: names of members that must not be chosen.
        :param call: the call, for a policy that depends on it, or None.
        """
        usable = [
            member
            for member in self._members
            if member.is_serving
            and member.name not in excluded
            and self._states[member.name].excluded_until <= now
        ]
        if call is not None and self._is_policy_active(now):
            return self._policy.choose(
                usable,
                call,
                lambda member: self._compute_penalty(member, now),
                now,
            )
        # In random order, so that the first acceptable members are a random
        # sample and the loads of the others need not be computed. min()
        # returns the first of equals, which must not always be the same
        # member.
        self._random.shuffle(usable)
        local = (m for m in usable if self._is_local_choice(m, now))
        candidates = list(itertools.islice(local, 2)) or usable[:2]
        return min(
            candidates,
            key=lambda member: self._compute_load(member, now),
            default=None,
        )

    def begin(self, name):
        """Record that a call to a member has begun."""
        state = self._states.get(name)
        if state is not None:
            state.in_flight += 1
            state.begun_since_load += 1
        if self._policy is not None:
            self._policy.begin(name)

    def finish(self, name):
        """Record that a call to a member is no longer in flight."""
        state = self._states.get(name)
        if state is not None and state.in_flight:
            state.in_flight -= 1

    def record_pressure(self, name, pressure, now):
        """Record the pressure that a member sent with a response.

        :param pressure: share of calls that the member sheds, 0 to 1.
        """
        state = self._states.get(name)
        if state is not None:
            state.reported_pressure = pressure
            state.pressure_reported_at = now

    def record_load(self, name, load, now):
        """Record the load that a member sent with a response.

        :param load: calls that the member holds, per slot.
        """
        state = self._states.get(name)
        if state is not None:
            state.reported_load = load
            state.load_reported_at = now
            state.begun_since_load = 0

    def record_outcome(self, name, is_failed):
        """Record whether the backend server of a member failed a call."""
        state = self._states.get(name)
        if state is not None:
            state.failure_share += FAILURE_SMOOTHING * (
                is_failed - state.failure_share
            )

    def record_latency(self, name, kind, latency_s, now):
        """Record the latency of a call at a member.

        :param kind: label of calls with similar service times.
        :param latency_s: seconds until the response.
        """
        mean = self._mean_latencies.get(kind, latency_s)
        self._mean_latencies[kind] = mean + MEAN_LATENCY_SMOOTHING * (
            latency_s - mean
        )
        self._mean_latencies.move_to_end(kind)
        if len(self._mean_latencies) > MAX_KEPT_KINDS:
            self._mean_latencies.popitem(last=False)
        state = self._states.get(name)
        if state is not None and mean > 0:
            slowness = state.compute_slowness(now)
            ratio = latency_s / mean
            state.slowness = slowness + SLOWNESS_SMOOTHING * (ratio - slowness)
            state.slowness_updated_at = now

    def find_mean_latency(self, kind):
        """Return the mean latency of a kind of call, or None if unknown."""
        return self._mean_latencies.get(kind)

    def exclude_temporarily(self, name, now):
        """Exclude a member for a short time after it refused new work."""
        state = self._states.get(name)
        if state is not None:
            state.excluded_until = now + EXCLUSION_S

    def _is_policy_active(self, now):
        return self._policy is not None and self._policy.is_active(now)

    def _compute_penalty(self, member, now):
        """Return the load to add for failures and a slow start."""
        state = self._states[member.name]
        penalty = 0.0
        if state.failure_share > MIN_FAILURE_SHARE:
            penalty = FAILURE_WEIGHT * state.failure_share
        share = compute_slow_start_share(now - state.first_seen_at)
        if share < 1.0:
            slots = max(1.0, share * member.slots)
            penalty += max(0.0, (state.in_flight + 1) / slots - 1.0)
        return penalty

    def _is_local_choice(self, member, now):
        if member.data_centre != self._data_centre:
            return False
        state = self._states[member.name]
        pressure = self._find_recent_pressure(state, now)
        return (
            pressure < MAX_LOCAL_PRESSURE
            and self._compute_load(member, now) <= MAX_LOCAL_LOAD
        )

    def _compute_load(self, member, now):
        state = self._states[member.name]
        slots = max(1, member.slots) * compute_slow_start_share(
            now - state.first_seen_at
        )
        slots = max(1.0, slots)
        load = (state.in_flight + 1) / slots
        if now - state.load_reported_at < LOAD_RETENTION_S:
            reported = (
                state.reported_load + (state.begun_since_load + 1) / slots
            )
            load = max(load, reported)
        if state.failure_share > MIN_FAILURE_SHARE:
            load += FAILURE_WEIGHT * state.failure_share
        slowness = state.compute_slowness(now)
        load = (
            slowness * (LATENCY_DOUBLING_LOAD + load) - LATENCY_DOUBLING_LOAD
        )
        load += PRESSURE_WEIGHT * self._find_recent_pressure(state, now)
        # Rounding lets members with nearly the same load tie, so that their
        # random order decides.
        return round(load, 2)

    def _find_recent_pressure(self, state, now):
        is_fresh = now - state.pressure_reported_at < PRESSURE_RETENTION_S
        return state.reported_pressure if is_fresh else 0.0


def compute_slow_start_share(age_s):
    """Return the share of its full load that a new process takes.

    :param age_s: seconds since the process was first seen.

    >>> [compute_slow_start_share(age_s) for age_s in (0.0, 5.0, 60.0)]
    [0.1, 0.5, 1.0]
    """
    return min(1.0, max(MIN_SLOW_START_SHARE, age_s / SLOW_START_S))
