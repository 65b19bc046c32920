"""Pressure reports and early refusal at the entry.

A pressure is also expressed as a level between 0 and 4. Its integer part is
the lowest priority class that is admitted, its fraction the share of that
class that is refused.
"""

import collections

import attrs

from cactusloft_model import calls

# Below 4, so that some calls of the highest class are still admitted: newer
# pressure reports come with their responses only.
MAX_LEVEL = 3.95
REPORT_HOLD_S = 0.5
REPORT_FADE_S = 1.0
MAX_KEPT_REPORTS = 4096
KEPT_CALLS = 16
ARRIVAL_HALF_LIFE_S = 1.0
MIN_NESTED_CALL_SHARE = 0.5
CALL_COUNT_DECAY = 0.98


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class Pressure:
    """Priority classes that a service admits.

    :ivar lowest_class: lowest priority class that is admitted.
    :ivar share: share of that class that is admitted.
    """

    lowest_class: calls.Priority
    share: float

    @property
    def level(self):
        """Return the level, 0 when all calls are admitted."""
        return self.lowest_class + (1.0 - self.share)

    @classmethod
    def from_level(cls, level):
        """Return the pressure of a level, clamped to the valid range.

        >>> Pressure.from_level(1.25)
        Pressure(lowest_class=<Priority.NORMAL: 1>, share=0.75)
        """
        if level <= 0.0:
            return NO_PRESSURE
        bounded = min(MAX_LEVEL, max(0.0, level))
        lowest = calls.Priority(int(bounded))
        return cls(lowest, 1.0 - (bounded - lowest))

    def combine(self, other):
        """Return the higher of two pressures."""
        return max(self, other, key=lambda pressure: pressure.level)


NO_PRESSURE = Pressure(calls.Priority.LOW, 1.0)


@attrs.frozen
class _Report:
    level: float
    received_at: float

    def read(self, now):
        """Return the level, which fades to 0 as the report ages."""
        age_s = now - self.received_at
        remaining = 1.0 - max(0.0, age_s - REPORT_HOLD_S) / REPORT_FADE_S
        return self.level * max(0.0, remaining)


class PressureTable:
    """Latest pressure of each service and kind of call, by owner.

    Reports fade over time: a service whose calls are all refused early sends
    no responses, and thus no report of a lower pressure.
    """

    def __init__(self):
        self._reports = collections.OrderedDict()

    def receive(self, service, kind, owner, pressure, now):
        """Record the pressure reported with a response.

        :param kind: route of the call.
        :param owner: name of the daemon that reported it.
        """
        key = service, kind
        owners = self._reports.setdefault(key, {})
        owners[owner] = _Report(pressure.level, now)
        self._reports.move_to_end(key)
        if len(self._reports) > MAX_KEPT_REPORTS:
            self._reports.popitem(last=False)

    def read(self, service, kind, now):
        """Return the mean pressure of the owners with unexpired reports."""
        owners = self._reports.get((service, kind))
        if not owners:
            return NO_PRESSURE
        for owner in _list_expired(owners, now):
            del owners[owner]
        levels = [report.read(now) for report in owners.values()]
        if not levels:
            return NO_PRESSURE
        return Pressure.from_level(sum(levels) / len(levels))


def _list_expired(owners, now):
    return [
        owner
        for owner, report in owners.items()
        if now - report.received_at > REPORT_HOLD_S + REPORT_FADE_S
    ]


class Dependencies:
    """Nested calls made by the calls of each kind.

    Only nested calls made by most calls of a kind count: the pressure of a
    rarely called service must not refuse calls that would not call it.
    """

    def __init__(self):
        self._calls = collections.OrderedDict()

    def record_call(self, kind):
        """Count a delivered call."""
        counts = self._calls.setdefault(kind, collections.Counter())
        self._calls.move_to_end(kind)
        for nested in counts:
            counts[nested] *= CALL_COUNT_DECAY
        counts[None] += 1.0
        if len(self._calls) > MAX_KEPT_REPORTS:
            self._calls.popitem(last=False)

    def record_nested_call(self, kind, service, nested_kind):
        """Count a nested call made by a call of ``kind``."""
        counts = self._calls.setdefault(kind, collections.Counter())
        counts[service, nested_kind] += 1.0

    def list_frequent_calls(self, kind):
        """Yield service and kind of each nested call that most calls make."""
        counts = self._calls.get(kind, {})
        lowest = MIN_NESTED_CALL_SHARE * counts.get(None, 0.0)
        for nested, count in counts.items():
            if nested is not None and count > lowest:
                yield nested

    def combine(self, kind, pressure, table, now):
        """Return the pressure to report upstream for calls of ``kind``.

        :param pressure: pressure of the backend server itself.
        :param table: :class:`PressureTable` of the same daemon.
        """
        for service, nested_kind in self.list_frequent_calls(kind):
            pressure = pressure.combine(table.read(service, nested_kind, now))
        return pressure


class _Arrivals:
    """Decaying count of arrived calls per account in one priority class."""

    def __init__(self):
        self._counts = {}
        self._weights = {}
        self._decayed_at = 0.0

    def add(self, account, weight, now):
        self._decay(now)
        self._counts[account] = self._counts.get(account, 0.0) + 1.0
        self._weights[account] = weight

    def _decay(self, now):
        if now - self._decayed_at < 0.1 * ARRIVAL_HALF_LIFE_S:
            return
        factor = 0.5 ** ((now - self._decayed_at) / ARRIVAL_HALF_LIFE_S)
        self._decayed_at = now
        self._counts = {
            account: count * factor
            for account, count in self._counts.items()
            if count * factor > 0.01
        }

    def compute_share(self, account, share):
        """Return the share of an account's calls to admit.

        The share ``share`` of all arrivals is divided among the accounts by
        weight (max-min fairness): accounts whose demand is below their fair
        share are admitted in full, the others divide the remainder.
        """
        demand = {a: c / self._weights[a] for a, c in self._counts.items()}
        capacity = share * sum(self._counts.values())
        weight_left = sum(self._weights[a] for a in demand)
        for name in sorted(demand, key=demand.get):
            fair_share = capacity / weight_left
            if demand[name] > fair_share:
                return min(1.0, fair_share / demand[account])
            capacity -= self._counts[name]
            weight_left -= self._weights[name]
            if name == account:
                return 1.0
        return 1.0


class EarlyRefusal:
    """Refuse calls at the entry that would be shed deeper in the chain.

    :param read_random: function that returns a random number in [0, 1).
    """

    def __init__(self, read_random):
        self._read_random = read_random
        self._arrivals = collections.defaultdict(_Arrivals)

    def is_refused(self, service, priority, account, weight, pressure, now):
        """Tell whether to refuse a root call before any work is done.

        :param pressure: :class:`Pressure` of the service for such calls.
        """
        arrivals = self._arrivals[service, priority]
        arrivals.add(account, weight, now)
        if priority != pressure.lowest_class:
            return priority < pressure.lowest_class
        if pressure.share >= 1.0:
            return False
        share = arrivals.compute_share(account, pressure.share)
        return self._read_random() >= share
