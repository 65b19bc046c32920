"""Choice between members by the expected end of a call.

The load pattern: servers of one service differ in speed, calls differ in cost,
and demand swings between data centres. The better of two random members is
taken, as comparing all of them would send the calls of all entries to the same
one. Members of another data centre are compared only when waiting here costs
the caller more than the way there.
"""

import math

import attrs

from cactusloft_placement import _costs
from cactusloft_placement import _speeds

# Members that are compared in one data centre.
CANDIDATES = 2
# Time constant with which the delay told by one member loses its weight
# against that of its data centre.
DELAY_RETENTION_S = 0.3
# Longer delays are treated as this one: no call waits for longer.
MAX_DELAY_S = 10.0
# Weight of the newest report in the delay of a data centre.
DELAY_SMOOTHING = 0.3
# The delay of another data centre is believed for this time. A call then asks
# there again, which finds out that demand has swung.
DELAY_BELIEF_S = 2.5
# Least gain for which a call goes to another data centre, and as a share of
# its patience: a smaller gain rarely decides whether it ends in time.
MIN_CROSSING_GAIN_S = 0.02
CROSSING_GAIN_SHARE = 0.1
# Way to another data centre and back until one was measured, and the weight
# of a longer way than the shortest that was seen.
DEFAULT_DISTANCE_S = 0.01
DISTANCE_SMOOTHING = 0.02
# A call for which a server takes this share of its patience needs the quickest
# server. Others leave it free for such calls.
URGENT_SHARE = 0.5
MIN_URGENCY = 0.25
# Load in calls per slot above which a member may have no slot left when the
# call arrives, as other entries use it too.
RISKY_LOAD = 0.7
# Delay for a load of 1 that is added for failed calls.
PENALTY_S = 1.0
# Reports are expected for this time; without any, calls are placed by load.
REPORT_RETENTION_S = 30.0
# Cost of a call whose kind is unknown.
DEFAULT_COST_S = 0.1


@attrs.define
class _MemberWork:
    process: tuple
    slots: int
    data_centre: str
    speed: _speeds.ServerSpeed = attrs.Factory(_speeds.ServerSpeed)
    load: float = 0.0
    delay_s: float = 0.0
    reported_at: float = -math.inf
    begun: int = 0


@attrs.define
class _DataCentreWork:
    delay_s: float = 0.0
    reported_at: float = -math.inf
    distance_s: float = DEFAULT_DISTANCE_S
    is_measured: bool = False


@attrs.frozen
class _Task:
    """What a call needs.

    :ivar urgency: weight of the speed of its server, at most 1.
    """

    cost_s: float
    urgency: float
    now: float


class WorkChooser:
    """Choose members of one service by the expected end of a call.

    :param data_centre: data centre of this daemon.
    :param random_source: like :class:`random.Random`.
    """

    def __init__(self, data_centre, random_source):
        self._data_centre = data_centre
        self._random = random_source
        self._costs = _costs.CallCosts()
        self._members = {}
        self._data_centres = {}
        self._reported_at = -math.inf

    def is_active(self, now):
        """Tell whether members report how long work takes now."""
        return now - self._reported_at < REPORT_RETENTION_S

    def update(self, members, now):
        """Replace the members; others are forgotten.

        :param members: objects with ``name``, ``data_centre``, ``slots`` and
            ``process``.
        :param now: monotonic seconds.
        """
        kept = {}
        for member in members:
            work = self._members.get(member.name)
            if work is None or work.process != member.process:
                work = _MemberWork(
                    member.process, member.slots, member.data_centre
                )
            work.slots = member.slots
            kept[member.name] = work
        self._members = kept

    def choose(self, members, call, find_penalty, now):
        """Return the member for a call, None if there is none.

        :param members: usable members.
        :param call: has ``route`` and ``patience_s``, the seconds after which
            the caller has little use for the response, 0 if unknown.
        :param find_penalty: function(member) that returns the load to add for
            reasons other than work, such as failed calls.
        :param now: monotonic seconds.
        """
        local, remote = [], []
        for member in members:
            is_local = member.data_centre == self._data_centre
            (local if is_local else remote).append(member)
        patience_s = call.patience_s
        cost_s = self.expect_cost(call.route)
        task = _Task(cost_s, _compute_urgency(cost_s, patience_s), now)
        here, here_s = self._choose_best(local, task, find_penalty)
        if not remote:
            return here
        gain_s = max(MIN_CROSSING_GAIN_S, CROSSING_GAIN_SHARE * patience_s)
        # Even an idle server elsewhere would not be worth the way.
        if here is not None and here_s < gain_s:
            return here
        there, there_s = self._choose_best(remote, task, find_penalty)
        return there if there_s + gain_s < here_s else here

    def begin(self, name):
        """Record that a call to a member has begun."""
        work = self._members.get(name)
        if work is not None:
            work.begun += 1

    def record_report(self, name, start_delay_s, slowness, load, now):
        """Record what the owner of a member told with a reply.

        :param start_delay_s: seconds until a new call would start.
        :param slowness: multiple of the usual time that work takes now.
        :param load: calls that the member holds, per slot.
        :param now: monotonic seconds.
        """
        work = self._members.get(name)
        if work is None or not start_delay_s >= 0.0:
            return
        start_delay_s = min(start_delay_s, MAX_DELAY_S)
        self._reported_at = now
        work.speed.record_figure(slowness, now)
        work.delay_s, work.load = start_delay_s, load
        work.reported_at, work.begun = now, 0
        centre = self._find_data_centre(work.data_centre)
        weight = DELAY_SMOOTHING
        if now - centre.reported_at > DELAY_BELIEF_S:
            weight = 1.0
        centre.delay_s += weight * (start_delay_s - centre.delay_s)
        centre.reported_at = now

    def record_latency(self, name, kind, latency_s, slowness, now):
        """Record the latency of a call that did not wait at the owner.

        :param slowness: slowness that the owner told with the response.
        """
        work = self._members.get(name)
        if work is None:
            return
        expected_s = self._costs.expect(kind)
        usual_s = latency_s / max(_speeds.MIN_SLOWNESS, slowness)
        self._costs.record(kind, usual_s)
        if expected_s:
            work.speed.record_response(latency_s, expected_s, slowness, now)

    def record_round_trip(self, name, seconds):
        """Record how long a member took to refuse a call at once."""
        work = self._members.get(name)
        if work is None or work.data_centre == self._data_centre:
            return
        centre = self._find_data_centre(work.data_centre)
        if not centre.is_measured or seconds < centre.distance_s:
            centre.distance_s, centre.is_measured = seconds, True
            return
        centre.distance_s += DISTANCE_SMOOTHING * (seconds - centre.distance_s)

    def expect_cost(self, kind):
        """Return the expected slot-seconds of a kind of call."""
        return self._costs.expect(kind) or DEFAULT_COST_S

    def _choose_best(self, members, task, find_penalty):
        """Return the better of two random members and its expected delay."""
        best, best_s = None, math.inf
        count = min(CANDIDATES, len(members))
        for member in self._random.sample(members, count):
            delay_s = self._estimate_delay(member, task)
            delay_s += PENALTY_S * find_penalty(member)
            if delay_s < best_s:
                best, best_s = member, delay_s
        return best, best_s

    def _estimate_delay(self, member, task):
        """Return the seconds by which a call ends later than at best.

        At best it starts at once, near and at the usual speed.
        """
        work, now = self._members[member.name], task.now
        extra_s = self._compute_duration(work, task.cost_s, now) - task.cost_s
        load = work.load + work.begun / max(1, work.slots)
        delay_s = self._expect_delay(work, now)
        delay_s += task.cost_s * max(0.0, load - RISKY_LOAD)
        delay_s += task.urgency * extra_s
        if work.data_centre != self._data_centre:
            delay_s += self._find_data_centre(work.data_centre).distance_s
        # What is left of old reports decides nothing: nearly equal members
        # tie, and their random order decides.
        return round(delay_s, 3)

    def _compute_duration(self, work, cost_s, now):
        usual_s = cost_s * work.speed.standing
        slowness = work.speed.compute_slowness(now)
        return _speeds.compute_duration(usual_s, slowness)

    def _expect_delay(self, work, now):
        """Return the seconds until a call would start at a member."""
        centre = self._find_data_centre(work.data_centre)
        believed_s = 0.0
        if now - centre.reported_at < DELAY_BELIEF_S:
            believed_s = centre.delay_s
        age_s = now - work.reported_at
        weight = math.exp(-max(0.0, age_s) / DELAY_RETENTION_S)
        delay_s = weight * work.delay_s + (1.0 - weight) * believed_s
        if delay_s > 0.0:
            # Calls sent since the report wait there, too.
            delay_s += work.begun * DEFAULT_COST_S / max(1, work.slots)
        return delay_s

    def _find_data_centre(self, name):
        centre = self._data_centres.get(name)
        if centre is None:
            centre = self._data_centres[name] = _DataCentreWork()
        return centre


def _compute_urgency(cost_s, patience_s):
    """Return the weight of the speed of a server for a call.

    >>> _compute_urgency(0.2, 0.4), _compute_urgency(0.015, 1.0)
    (1.0, 0.25)
    """
    if not patience_s:
        return 1.0
    return min(1.0, max(MIN_URGENCY, cost_s / (URGENT_SHARE * patience_s)))
