"""Tests of what an owner knows of the work of its backend server."""

import asyncio
import types

import attrs

from cactusloft_model import errors
from cactusloft_placement import work
from cactusloftd import _calls
from cactusloftd.resident import _backlog
from cactusloftd.resident import _owner
from cactusloftd.resident import _service_times
from cactusloftd.resident import protocol

from . import entry_stubs as stubs
from . import test_owner as owner_tests

SLOW_NOW = _calls.fail(errors.ErrorKind.OVERLOADED, _owner.SLOW_NOW)
CALL = types.SimpleNamespace(route='claim', patience_s=0.5)


def make_backlog():
    """Return a backlog with 30 calls of 0.2 s behind it, and its clock."""
    clock = types.SimpleNamespace(now=0.0)
    times = _service_times.ServiceTimes()
    backlog = _backlog.Backlog(times, lambda: clock.now)
    for _ in range(30):
        backlog.record_success('claim', 0.2, 0.2, 1.0)
    return backlog, clock


def make_load(slowness):
    return protocol.ServerLoad(1, 0, 4, slowness)


def test_nothing_is_reported_without_a_slowness():
    """Entries of earlier deployments choose by load as before."""
    backlog, _ = make_backlog()
    backlog.receive_load(None)
    backlog.receive_load(make_load(None))
    assert backlog.make_report(4, True) is None
    assert not backlog.is_slow_for(CALL)
    assert backlog.estimate_end(CALL, None) is None


def test_work_is_reported_once_another_service_does():
    """Calls to a service without the figure crossed between data centres."""
    backlog, _ = make_backlog()
    report = backlog.make_report(4, True, is_asked=True)
    assert report == work.WorkReport(0, 100)


def test_cost_is_measured_apart_from_the_spell():
    """Calls that ran in a spell must not count as dearer afterwards."""
    backlog, clock = make_backlog()
    for _ in range(30):
        clock.now += 0.5
        backlog.receive_load(make_load(2.5))
        backlog.record_success('claim', 0.5, 0.2, 2.5)
    clock.now += 10.0
    backlog.receive_load(make_load(1.0))
    report = backlog.make_report(4, True)
    assert report == work.WorkReport(0, 100)
    assert 0.18 < backlog.estimate_end(CALL, report) < 0.22


def test_only_a_slow_server_declines():
    """The next host serves a tight call in time, a slow one does not."""
    backlog, clock = make_backlog()
    backlog.receive_load(make_load(2.5))
    assert backlog.is_slow_for(CALL)
    # The figure is outdated.
    clock.now += 3.0
    assert not backlog.is_slow_for(CALL)


def test_queued_work_delays_a_start():
    """The number of calls per slot does not tell how long they take."""
    backlog, clock = make_backlog()
    backlog.receive_load(make_load(1.0))
    for _ in range(2):
        backlog.start(backlog.enqueue('claim'), clock.now)
        backlog.dequeue(0.2)
    idle_ms = backlog.make_report(2, False).start_delay_ms
    for _ in range(10):
        backlog.enqueue('claim')
    assert backlog.make_report(2, False).start_delay_ms > idle_ms + 900


class Protocol(owner_tests.Protocol):
    """A protocol in which responses name a slowness."""

    def read_metadata(self, status, headers):
        """Return the metadata of a response."""
        metadata = super().read_metadata(status, headers)
        load = make_load(float(headers['slowness']))
        return attrs.evolve(metadata, load=load)


def test_owner_declines_an_offer_while_its_host_is_slow(monkeypatch):
    """It takes the call when it is no longer an offer: waiting is worse."""
    monkeypatch.setattr(owner_tests, 'Protocol', Protocol)

    async def run():
        async with owner_tests.Bench('Slowness: 2.5') as bench:
            for number in range(3):
                await bench.answer(f'a{number}')
            bench.owner._times.record_cost('claim', 0.2, 1.0)
            fields = {'route': 'claim', 'patience_s': 0.5}
            offered = await bench.run('b1', needs_free_slot=True, **fields)
            taken = await bench.run('b2', **fields)
            short = await bench.run('b3', needs_free_slot=True)
            return offered, taken, short, bench.owner.work

    offered, taken, short, report = asyncio.run(run())
    assert offered.failure().detail == _owner.SLOW_NOW
    assert taken.unwrap().status == 200
    assert short.unwrap().status == 200
    assert report.slowness > 200


class SlowMember(stubs.Member):
    """A remote owner that declines offers."""

    work = work.WorkReport(0, 250)

    async def run(self, call):
        self.calls.append(call)
        if call.needs_free_slot:
            return SLOW_NOW
        return self.outcome

    def estimate_end(self, call):
        return work.estimate_end(self.work, 0.2)


def test_entry_asks_another_owner_when_one_is_slow():
    """The call must not be refused, nor counted as a retry."""
    slow = SlowMember('m0', stubs.succeed())
    other = stubs.Member('m1', stubs.succeed())
    outcome, _ = stubs.serve([slow, other])
    assert outcome.unwrap().status == 200
    assert [len(slow.calls), len(other.calls)] == [1, 1]


def test_entry_returns_to_the_slow_owner_when_it_is_best():
    """With no other owner, a slow one is better than a refusal."""
    slow = SlowMember('m0', stubs.succeed())
    outcome, _ = stubs.serve([slow])
    assert outcome.unwrap().status == 200
    assert [call.needs_free_slot for call in slow.calls] == [True, False]
