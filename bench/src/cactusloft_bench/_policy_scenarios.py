"""Scenarios of the policy comparison: demand, priorities and faults."""

import attrs

from cactusloft_model import calls

WARM_UP_S = 1.5
DEEP_WORKERS = 20
DEEP_WORK_TIME_S = 0.1
CAPACITY_RPS = DEEP_WORKERS / DEEP_WORK_TIME_S
SLOW_START_S = 2.0
SLOW_END_S = 5.0
_Priority = calls.Priority
_MIXED_PRIORITIES = {
    _Priority.CRITICAL: 0.1,
    _Priority.HIGH: 0.2,
    _Priority.NORMAL: 0.4,
    _Priority.LOW: 0.3,
}
_EQUAL_RATES = {f'account-{number}': 1.0 for number in range(8)}


@attrs.frozen
class Scenario:
    """Demand on the chain of services and its faults in one run.

    :ivar demand: requests per second as a multiple of the capacity.
    :ivar slow_demand: the same while the deep service is slow; None if it is
        never slow.
    :ivar slow_factor: factor on the work time of the deep service while it
        is slow.
    :ivar slot_overstatement: ratio of the announced slots of the deep service
        to its workers.
    :ivar failure_ratio: fraction of the deep service's calls that end in an
        error after their full work time.
    :ivar rates: relative request rate of each client account.
    :ivar classes: fraction of each priority class in the requests.
    """

    name: str
    demand: float
    duration_s: float = 8.0
    slow_demand: float | None = None
    slow_factor: float = 1.0
    slot_overstatement: int = 1
    failure_ratio: float = 0.0
    rates: dict[str, float] = attrs.Factory(lambda: dict(_EQUAL_RATES))
    classes: dict[calls.Priority, float] = attrs.Factory(
        lambda: dict(_MIXED_PRIORITIES)
    )

    def is_slow(self, now):
        """Tell whether the deep service is slow."""
        return (
            self.slow_demand is not None and SLOW_START_S <= now < SLOW_END_S
        )

    def read_demand(self, now):
        """Return the requests per second at ``now``."""
        multiple = self.slow_demand if self.is_slow(now) else self.demand
        return multiple * CAPACITY_RPS


LIGHT = Scenario('light', 0.8)
DOUBLE = Scenario('2x demand', 2.0)
FIVEFOLD = Scenario('5x demand', 5.0)
SLOW = Scenario('slow deep', 0.8, 11.0, slow_demand=2.0, slow_factor=5.0)
HEAVY_ACCOUNT = Scenario(
    '10x account',
    2.0,
    rates=_EQUAL_RATES | {'account-0': 10.0},
    classes={_Priority.NORMAL: 1.0},
)
OVERSTATED = Scenario('overstated slots', 2.0, slot_overstatement=3)
FAILING = Scenario('failing deep', 0.1, failure_ratio=0.8)
SCENARIOS = (LIGHT, DOUBLE, FIVEFOLD, SLOW, HEAVY_ACCOUNT, OVERSTATED, FAILING)
