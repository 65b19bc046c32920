"""Tests of the limit on calls per second to a cold backend server."""

import pytest

from . import test_rate

RATE = 5.5
COLD_S = 3.0


@pytest.fixture
def owner():
    """Return an owner on simulated time that has had its first response."""
    owner = test_rate.Owner()
    owner.receive(None)
    return owner


def test_returning_load_exceeds_what_a_cold_server_tolerates(owner):
    """The load that waits for a failover must not end the backend server."""
    owner.admission.set_cold(RATE, COLD_S)
    for _ in range(60):
        owner.submit()
    begun_at = owner.now
    owner.advance(COLD_S - 0.1, None)
    assert test_rate.count_busiest_window(owner.started, 1.0) <= RATE + 1
    assert len(owner.started) >= (COLD_S - 0.1) * RATE - 1
    owner.advance(0.2, None)
    assert len(owner.started) == 60
    assert owner.admission.rate_limit is None
    assert owner.now - begun_at > COLD_S


def test_warm_server_stays_limited(owner):
    """A backend server that says that it is warm gets its full load."""
    owner.admission.set_cold(RATE, COLD_S)
    owner.submit()
    assert not owner.started
    owner._apply(owner.admission.set_cold(RATE, 0.0))
    owner.submit()
    assert len(owner.started) == 2


def test_lower_limit_applies(owner):
    """A cold backend server may name a limit of its own as well."""
    owner.admission.set_cold(RATE, COLD_S)
    owner.receive(2.0)
    assert owner.admission.rate_limit == 2.0
    owner.receive(50.0)
    assert owner.admission.rate_limit == RATE
    for _ in range(30):
        owner.submit()
    owner.advance(1.0, 50.0)
    assert len(owner.started) <= RATE + 1


def test_renewed_limit_grants_no_burst(owner):
    """Each heartbeat of a cold backend server sets the limit again."""
    for _ in range(30):
        owner.submit()
        owner.admission.set_cold(RATE, COLD_S)
        owner.advance(0.1, None)
    assert test_rate.count_busiest_window(owner.started[1:], 1.0) <= RATE + 1
