"""Call trees whose deepest service declines most of its calls.

The load: for 8.5 s the backend servers of the deepest service decline 55% of
their calls at any load. Each tree sends four calls there, and repeats are
bounded by the budget of that service. The program compares running all trees
with refusing roots of a low rank early, which lets their callers come back
once. Random draws in simulated time, no waiting for slots.
"""

import heapq
import itertools
import random

import attrs

from cactusloft_model import calls
from cactusloft_retry import budgets

DECLINED_SHARE = 0.55
STARTS_AT_S, ENDS_AT_S, DURATION_S = 5.0, 13.5, 20.0
DEEP_CALLS = 4
MAX_SENDS = 6
RETRY_RATIO, RETRY_RESERVE = 0.15, 1
DEADLINE_S = 5.0
WORK_S, DEEP_CALL_S = 0.35, 0.07
# Declined calls per call above which an entry would refuse roots.
REFUSED_ABOVE_SHARE = 0.3
SHARE_SMOOTHING = 0.02


@attrs.frozen
class Kind:
    """A kind of root call.

    :ivar per_s: calls per second.
    :ivar aim_s: seconds for full credit.
    :ivar late_worth: credit of a later success.
    """

    per_s: float
    idempotent: bool
    aim_s: float
    worth: float
    late_worth: float
    priority: calls.Priority


KINDS = (
    Kind(335.0, True, 1.5, 1.0, 0.1, calls.Priority.NORMAL),
    Kind(126.0, False, 2.0, 3.0, 1.0, calls.Priority.CRITICAL),
)


@attrs.define
class Result:
    """What the callers of a run got.

    :ivar credit: credit earned as a share of the credit owed.
    :ivar served: share of the root calls that were served, by kind.
    :ivar runs: runs of root calls for each root call.
    """

    credit: float
    served: list[float]
    runs: float


class _Run:
    def __init__(self, refused_rank, return_after_s, seed):
        self._refused_rank = refused_rank
        self._return_after_s = return_after_s
        self._random = random.Random(seed)
        self._now = 0.0
        self._budget = budgets.RequestBudget(
            RETRY_RATIO, lambda: self._now, RETRY_RESERVE
        )
        self._declined_share = 0.0
        self.credits = [0.0] * len(KINDS)
        self.counts = [0] * len(KINDS)
        self.served = [0] * len(KINDS)
        self.runs = 0

    def play(self):
        events, order = [], itertools.count()
        for index, kind in enumerate(KINDS):
            at = 0.0
            while (at := at + self._random.expovariate(kind.per_s)) < (
                DURATION_S
            ):
                heapq.heappush(events, (at, next(order), index, at, False))
                self.counts[index] += 1
        while events:
            self._now, _, index, first_at, is_second = heapq.heappop(events)
            back_after_s = self._start(index, first_at)
            # A client sends a call twice at most.
            if back_after_s is not None and not is_second:
                at = self._now + back_after_s
                if at < first_at + DEADLINE_S:
                    heapq.heappush(
                        events, (at, next(order), index, first_at, True)
                    )

    def _start(self, index, first_at):
        """Run or refuse a root call.

        :returns: seconds until its client comes back, None if it does not.
        """
        kind = KINDS[index]
        root_id = f'{self._random.random()}'
        rank = calls.compute_rank(root_id, kind.priority, kind.idempotent)
        if (
            self._declined_share > REFUSED_ABOVE_SHARE
            and rank < self._refused_rank
        ):
            # Entries learn of the end from the trees that still run.
            return self._return_after_s * (0.5 + self._random.random())
        self.runs += 1
        took_s, is_served = self._run_tree(rank)
        if is_served:
            self.served[index] += 1
            is_late = self._now + took_s - first_at > kind.aim_s
            self.credits[index] += kind.late_worth if is_late else kind.worth
            return None
        # Clients repeat failed calls that may run twice.
        return took_s + 0.2 if kind.idempotent else None

    def _run_tree(self, rank):
        took_s = WORK_S
        for _ in range(DEEP_CALLS):
            sends = 1
            self._budget.record_request(False)
            took_s += DEEP_CALL_S
            while self._is_declined():
                if sends == MAX_SENDS or not self._budget.allows_retry(rank):
                    return took_s, False
                self._budget.spend()
                sends += 1
        return took_s, True

    def _is_declined(self):
        is_bad = STARTS_AT_S <= self._now < ENDS_AT_S
        is_declined = is_bad and self._random.random() < DECLINED_SHARE
        self._declined_share += SHARE_SMOOTHING * (
            is_declined - self._declined_share
        )
        return is_declined


def simulate(refused_rank, return_after_s, seed=1):
    """Return the :class:`Result` of a run.

    :param refused_rank: roots of a lower rank are refused while most calls of
        the deepest service are declined; 0 refuses none.
    :param return_after_s: mean seconds after which a refused caller returns.
    """
    run = _Run(refused_rank, return_after_s, seed)
    run.play()
    owed = sum(k.worth * n for k, n in zip(KINDS, run.counts, strict=True))
    served = [s / n for s, n in zip(run.served, run.counts, strict=True)]
    return Result(sum(run.credits) / owed, served, run.runs / sum(run.counts))


def main():
    """Print the comparison."""
    print('refused below rank, return s: credit, served by kind, runs')
    for refused_rank in (0.0, 0.25, 0.5, 0.75, 0.9, 1.1):
        for return_after_s in (0.5, 1.0, 1.5) if refused_rank else (0.0,):
            results = [
                simulate(refused_rank, return_after_s, s) for s in range(5)
            ]
            earned = sorted(r.credit for r in results)
            served = [
                sum(r.served[i] for r in results) / len(results)
                for i in range(len(KINDS))
            ]
            runs = sum(r.runs for r in results) / len(results)
            print(
                f'{refused_rank:.2f}, {return_after_s:.1f}: '
                f'{earned[2]:.3f} [{earned[0]:.3f}, {earned[-1]:.3f}], '
                f'{served[0]:.3f} and {served[1]:.3f}, {runs:.2f}'
            )


if __name__ == '__main__':
    main()
