"""Tests of the requests that arrive while the process stops."""

import asyncio
import types

import pytest

from cactusloft_model import errors
from cactusloftd.resident import _stopping
from cactusloftd.resident import _wiring

from . import entry_stubs as stubs

GRACE_S = 6.0


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    'after_s, timeout_s, is_taken',
    [
        (0.0, 8.0, True),
        (2.4, 8.0, True),
        (2.6, 8.0, False),
        (2.6, 2.4, True),
        (4.0, 1.1, False),
        (4.0, 1.0, True),
        (5.1, 0.01, False),
    ],
)
def test_late_request_is_cut_off_at_the_end(after_s, timeout_s, is_taken):
    """After the notice, a request must end before the process does."""
    clock = Clock()
    stop = _stopping.Stop(GRACE_S, clock)
    stop.begin()
    clock.now += after_s
    assert stop.takes(clock.now + timeout_s) is is_taken


@pytest.mark.parametrize('grace_s', [0.5, 2.0, 3.0, 6.0, 10.0])
def test_short_grace_leaves_no_time_for_the_last_requests(grace_s):
    """The backend server stops first, then the notice ends, then the rest."""
    clock = Clock()
    stop = _stopping.Stop(grace_s, clock)
    stop.begin()
    left_s = stop.exit_at - clock.now
    assert 0.0 <= left_s <= max(0.0, grace_s - _stopping.EXIT_RESERVE_S)
    assert stop.serving_until - clock.now <= 0.4 * left_s + 1e-9
    assert stop.notice_until - clock.now <= 0.5 * left_s + 1e-9
    assert stop.serving_until <= stop.notice_until <= stop.exit_at


def test_running_process_refuses_requests():
    """Nothing is refused before the stop has begun."""
    stop = _stopping.Stop(GRACE_S, Clock())
    assert not stop.has_begun
    assert stop.takes(1e9)


class IdleResident(_wiring.Resident):
    """A resident that only stops, without requests in progress."""

    def __init__(self, clock):
        self._stop = _stopping.Stop(GRACE_S, clock)
        self._now = clock
        self._host_context = types.SimpleNamespace(backend_server='')
        self.exchanges = types.SimpleNamespace(count=0)
        self.log = stubs.Log()

    def takes(self, deadline):
        """Tell whether a request that ends by ``deadline`` is taken."""
        return self._stop.takes(deadline)


def test_request_that_comes_while_connections_are_closed_is_cut_off():
    """Once the last request has ended, the process does not wait again."""
    clock = Clock()
    resident = IdleResident(clock)
    taken = []

    def stop_listening():
        taken.append(resident.takes(clock.now + 1.0))

    asyncio.run(resident.shut_down(stop_listening, lambda: False))
    taken.append(resident.takes(clock.now + 1.0))
    assert taken == [True, False]
    assert resident.is_stopping


def serve_late(request, left_s=0.0, parent=None):
    """Serve a request after the notice; return its outcome and members.

    :param left_s: seconds until the process no longer waits for requests.
    """
    members = stubs.make_members(stubs.succeed())

    async def run():
        entry = stubs.make_entry(*members)
        entry.stop.begin()
        entry.stop.notice_until = 0.0
        entry.stop.exit_at = asyncio.get_running_loop().time() + left_s
        if parent is not None:
            entry.owner.running['a1.x'] = parent
        return await entry.serve(request, 'track')

    return asyncio.run(run()), members


def test_late_order_is_lost():
    """The caller learns that it was not run, and when to return."""
    outcome, members = serve_late(stubs.make_request('/order/1'))
    error = outcome.failure()
    assert error.kind is errors.ErrorKind.SHUTTING_DOWN
    assert error.effective_not_run is errors.NotRun.TRUE
    assert error.response.retry_after_s == _stopping.RETRY_AFTER_S
    assert not members[0].calls


def serve_late_nested_call(left_s):
    """Serve a nested call with a target latency of 10 s of its 60 s."""
    request = stubs.make_request(
        '/inner/1', '', deadline_ms=60000, parent_id='a1.x'
    )
    return serve_late(request, left_s, stubs.make_parent())


def test_nested_call_of_a_running_request_is_refused_during_a_stop():
    """The request would fail although there is time to finish it."""
    outcome, members = serve_late_nested_call(30.0)
    assert outcome.unwrap().status == 200
    assert members[0].calls


def test_late_nested_call_is_cut_off_at_the_end():
    """Without the time to finish, the call above must not wait for it."""
    outcome, members = serve_late_nested_call(5.0)
    assert outcome.failure().kind is errors.ErrorKind.SHUTTING_DOWN
    assert not members[0].calls
