"""Scenarios of the policy comparison: demand, mix and faults over time."""

import attrs

from cactusloft_model import calls

WARM_UP_S = 1.5
DEEP_WORKERS = 20
DEEP_WORK_S = 0.1
CAPACITY = DEEP_WORKERS / DEEP_WORK_S
SLOW_FROM_S = 2.0
SLOW_UNTIL_S = 5.0
_P = calls.Priority
_MIXED = {_P.CRITICAL: 0.1, _P.HIGH: 0.2, _P.NORMAL: 0.4, _P.LOW: 0.3}
_EQUAL = {f'account-{number}': 1.0 for number in range(8)}


@attrs.frozen
class Scenario:
    """What happens to the chain of services in one run.

    :ivar demand: requests per second as a multiple of the capacity.
    :ivar surge: the same while the deep service is slow.
    :ivar slow_factor: factor on the deep service's time while it is slow.
    :ivar overstatement: announced slots of the deep service for each that
        it really has.
    :ivar failing: share of the deep service's calls that end in an error
        after all their work.
    :ivar rates: relative request rate of each client account.
    :ivar classes: share of each class in the requests.
    """

    name: str
    demand: float
    duration_s: float = 8.0
    surge: float | None = None
    slow_factor: float = 1.0
    overstatement: int = 1
    failing: float = 0.0
    rates: dict[str, float] = attrs.Factory(lambda: dict(_EQUAL))
    classes: dict[calls.Priority, float] = attrs.Factory(lambda: dict(_MIXED))

    def is_slow(self, now):
        """Tell whether the deep service is slow."""
        return self.surge is not None and SLOW_FROM_S <= now < SLOW_UNTIL_S

    def read_demand(self, now):
        """Return the requests per second at ``now``."""
        factor = self.surge if self.is_slow(now) else self.demand
        return factor * CAPACITY


LIGHT = Scenario('light', 0.8)
DOUBLE = Scenario('2x demand', 2.0)
FIVEFOLD = Scenario('5x demand', 5.0)
SLOW = Scenario('slow deep', 0.8, 11.0, surge=2.0, slow_factor=5.0)
HOG = Scenario(
    '10x account',
    2.0,
    rates=_EQUAL | {'account-0': 10.0},
    classes={_P.NORMAL: 1.0},
)
OVERSTATED = Scenario('overstated slots', 2.0, overstatement=3)
FAILING = Scenario('failing deep', 0.1, failing=0.8)
SCENARIOS = (LIGHT, DOUBLE, FIVEFOLD, SLOW, HOG, OVERSTATED, FAILING)
