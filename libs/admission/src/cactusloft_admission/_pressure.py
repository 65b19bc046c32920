"""Pressure reports and the early refusal at the entry.

A level between 0 and 4 orders all pressures: the whole part is the lowest
class still admitted, the rest the share of it that is refused.
"""

import collections

import attrs

from cactusloft_model import calls

# A trickle of the highest class keeps responses, and with them newer
# pressures, coming.
HIGHEST_LEVEL = 3.95
HOLD_S = 0.5
FADE_S = 1.0
KEPT_REPORTS = 4096
KEPT_CALLS = 16
RATE_MEMORY_S = 1.0
USED_SHARE = 0.5
COUNT_DECAY = 0.98


@attrs.frozen
class Pressure:
    """What a service still admits.

    :ivar lowest_class: lowest class still admitted.
    :ivar share: share of that class still admitted.
    """

    lowest_class: calls.Priority
    share: float

    @property
    def level(self):
        """Return the level, 0 when everything is admitted."""
        return self.lowest_class + (1.0 - self.share)

    @classmethod
    def from_level(cls, level):
        """Return the pressure of a level, cut to the range of levels.

        >>> Pressure.from_level(1.25)
        Pressure(lowest_class=<Priority.NORMAL: 1>, share=0.75)
        """
        if level <= 0.0:
            return NO_PRESSURE
        bounded = min(HIGHEST_LEVEL, max(0.0, level))
        lowest = calls.Priority(int(bounded))
        return cls(lowest, 1.0 - (bounded - lowest))

    def combine(self, other):
        """Return the stronger of two pressures."""
        return max(self, other, key=lambda pressure: pressure.level)


NO_PRESSURE = Pressure(calls.Priority.LOW, 1.0)


@attrs.frozen
class _Report:
    level: float
    received_at: float

    def read(self, now):
        """Return the level, faded when no newer report has come."""
        age_s = now - self.received_at
        left = 1.0 - max(0.0, age_s - HOLD_S) / FADE_S
        return self.level * max(0.0, left)


class PressureTable:
    """Latest pressure of each service and kind of call, by owner.

    Reports fade, because a service whose calls are all refused early sends no
    responses and so no better report.
    """

    def __init__(self):
        self._reports = collections.OrderedDict()

    def receive(self, service, kind, owner, pressure, now):
        """Keep the pressure that came with a response.

        :param kind: route of the call.
        :param owner: name of the daemon that reported it.
        """
        key = service, kind
        owners = self._reports.setdefault(key, {})
        owners[owner] = _Report(pressure.level, now)
        self._reports.move_to_end(key)
        if len(self._reports) > KEPT_REPORTS:
            self._reports.popitem(last=False)

    def read(self, service, kind, now):
        """Return the mean pressure over the owners with a fresh report."""
        owners = self._reports.get((service, kind))
        if not owners:
            return NO_PRESSURE
        for owner in _list_faded(owners, now):
            del owners[owner]
        levels = [report.read(now) for report in owners.values()]
        if not levels:
            return NO_PRESSURE
        return Pressure.from_level(sum(levels) / len(levels))


def _list_faded(owners, now):
    return [
        owner
        for owner, report in owners.items()
        if now - report.received_at > HOLD_S + FADE_S
    ]


class Dependencies:
    """Which nested calls the calls of each kind make.

    Only a nested call that most calls of a kind make counts: a rare one must
    not refuse the calls that would not have made it.
    """

    def __init__(self):
        self._calls = collections.OrderedDict()

    def record_call(self, kind):
        """Take note of one delivered call."""
        counts = self._calls.setdefault(kind, collections.Counter())
        self._calls.move_to_end(kind)
        for nested in counts:
            counts[nested] *= COUNT_DECAY
        counts[None] += 1.0
        if len(self._calls) > KEPT_REPORTS:
            self._calls.popitem(last=False)

    def record_nested_call(self, kind, service, nested_kind):
        """Take note of a nested call made by a call of ``kind``."""
        counts = self._calls.setdefault(kind, collections.Counter())
        counts[service, nested_kind] += 1.0

    def list_used(self, kind):
        """Yield service and kind of each nested call that most calls make."""
        counts = self._calls.get(kind, {})
        lowest = USED_SHARE * counts.get(None, 0.0)
        for nested, count in counts.items():
            if nested is not None and count > lowest:
                yield nested

    def combine(self, kind, pressure, table, now):
        """Return the pressure to report upstream for calls of ``kind``.

        :param pressure: pressure of the backend server itself.
        :param table: :class:`PressureTable` of the same daemon.
        """
        for service, nested_kind in self.list_used(kind):
            pressure = pressure.combine(table.read(service, nested_kind, now))
        return pressure


class _Arrivals:
    """Decaying count of the arrivals of each account in one class."""

    def __init__(self):
        self._counts = {}
        self._weights = {}
        self._decayed_at = 0.0

    def add(self, account, weight, now):
        self._decay(now)
        self._counts[account] = self._counts.get(account, 0.0) + 1.0
        self._weights[account] = weight

    def _decay(self, now):
        if now - self._decayed_at < 0.1 * RATE_MEMORY_S:
            return
        factor = 0.5 ** ((now - self._decayed_at) / RATE_MEMORY_S)
        self._decayed_at = now
        self._counts = {
            account: count * factor
            for account, count in self._counts.items()
            if count * factor > 0.01
        }

    def compute_share(self, account, share):
        """Return the share of an account's calls to admit.

        The capacity ``share`` of all arrivals is divided by weight: accounts
        below their part keep all of it and the others divide the rest.
        """
        demand = {a: c / self._weights[a] for a, c in self._counts.items()}
        room = share * sum(self._counts.values())
        weight_left = sum(self._weights[a] for a in demand)
        for name in sorted(demand, key=demand.get):
            part = room / weight_left
            if demand[name] > part:
                return min(1.0, part / demand[account])
            room -= self._counts[name]
            weight_left -= self._weights[name]
            if name == account:
                return 1.0
        return 1.0


class EarlyRefusal:
    """Refuse at the entry what would be shed deeper in the chain.

    :param random_source: function that returns a number below 1.
    """

    def __init__(self, random_source):
        self._random = random_source
        self._arrivals = collections.defaultdict(_Arrivals)

    def is_refused(self, service, priority, account, weight, pressure, now):
        """Tell whether a root call is refused before any work is done.

        :param pressure: :class:`Pressure` of the service for this call.
        """
        arrivals = self._arrivals[service, priority]
        arrivals.add(account, weight, now)
        if priority != pressure.lowest_class:
            return priority < pressure.lowest_class
        if pressure.share >= 1.0:
            return False
        share = arrivals.compute_share(account, pressure.share)
        return self._random() >= share
