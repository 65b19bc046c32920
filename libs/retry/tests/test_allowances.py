"""Tests of retry allowances over a call chain, and of retry budgets."""

import itertools
import random

import pytest

from cactusloft_model import errors
from cactusloft_retry import allowances
from cactusloft_retry import budgets

DEPTH = 7


class FailingChain:
    """Chain of services whose backend servers repeat failed calls.

    :param fails: function from level to whether a call fails there.
    """

    def __init__(self, fan_out, credits, fails):
        self._fan_out = fan_out
        self._fails = fails
        self._numbers = itertools.count()
        self._requests = allowances.NestedRequests()
        self._roots = allowances.RootAllowances(lambda: 0.0)
        self._roots.open('root', credits, 10.0)
        self.executions = [0] * DEPTH
        self.first_calls = [0] * DEPTH

    def run(self, level=0):
        """Run one call and return whether it succeeded."""
        self.executions[level] += 1
        call_id = f'call-{next(self._numbers)}'
        is_success = True
        if level + 1 < DEPTH:
            is_success = all(
                [
                    self._call_nested(call_id, level + 1, f'/{number}')
                    for number in range(self._fan_out)
                ]
            )
        self._requests.remove_call(call_id)
        return is_success and not self._fails(level)

    def _call_nested(self, parent, level, path):
        self.first_calls[level] += 1
        digest = allowances.digest_request(f's{level}', 'GET', path, b'')
        for _ in range(4):
            is_repeat = self._requests.record(parent, digest)
            if is_repeat and not self._roots.take('root'):
                return False
            if self.run(level):
                return True
        return False


@pytest.mark.parametrize('fan_out', [1, 2, 3])
@pytest.mark.parametrize('credits', [0, 1, 3])
def test_retries_do_not_multiply_when_every_level_fails(fan_out, credits):
    """Guards against 4**7 runs of one request at the deepest service."""
    chain = FailingChain(fan_out, credits, lambda level: True)
    chain.run()
    calls = fan_out ** (DEPTH - 1)
    assert chain.executions[-1] <= calls + credits


@pytest.mark.parametrize('seed', range(20))
def test_each_credit_repeats_one_call(seed):
    """Guards against a repeat anywhere in the chain without a credit."""
    random_source = random.Random(seed)
    chain = FailingChain(2, 3, lambda level: random_source.random() < 0.3)
    chain.run()
    repeats = sum(chain.executions[1:]) - sum(chain.first_calls[1:])
    assert repeats <= 3
    # A credit used inside the chain repeats the calls below it once.
    assert chain.executions[-1] <= 4 * 2 ** (DEPTH - 1)


@pytest.mark.parametrize(
    ('is_opened', 'is_closed', 'now', 'is_granted'),
    [
        (True, False, 1.0, True),
        (False, False, 1.0, False),
        (True, True, 1.0, False),
        (True, False, 11.0, False),
    ],
)
def test_credit_needs_a_live_root_call(is_opened, is_closed, now, is_granted):
    """Guards against retries for a caller that has disconnected."""
    roots = allowances.RootAllowances(lambda: now)
    if is_opened:
        roots.open('root', 1, 10.0)
    if is_closed:
        roots.close('root')
    assert roots.take('root') is is_granted
    assert roots.take('root') is False


def test_budget_is_a_share_of_recent_successes():
    """Guards against retrying all calls to a failing service."""
    now = [0.0]
    budget = budgets.RetryBudget(0.1, lambda: now[0])
    for _ in range(100):
        budget.record_success()
    spent = 0
    while budget.allows_retry():
        budget.spend()
        spent += 1
    assert spent == 10 + 1
    now[0] = 12.0
    assert budget.allows_retry()
    budget.spend()
    assert not budget.allows_retry()


@pytest.mark.parametrize('not_run', list(errors.NotRun))
def test_non_idempotent_call_is_resent_only_when_not_run(not_run):
    """Guards against running a non-idempotent call twice."""
    is_certain = not_run is errors.NotRun.TRUE
    assert budgets.may_resend(False, not_run) is is_certain
