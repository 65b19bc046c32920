"""Tests of calls that come back after a refusal.

The load: a service turns away more calls than it can run; their callers obey
Retry-After, some repeat at once and often, and newcomers keep arriving.
"""

import asyncio
import random

from returns import pipeline

from cactusloftd.resident import _refused_calls
from cactusloftd.resident import _returning

from . import entry_stubs as stubs

MAX_KEPT = _refused_calls.MAX_KEPT_CALLS


def test_call_that_comes_back_in_time_is_recognised_once():
    """One refusal must let one call go first, however often it comes back."""
    refused = _refused_calls.RefusedCalls()
    refused.remember('f', 10.0, 0.5, 15.0, 10.1)
    assert refused.take('f', 10.7) == 10.0
    assert refused.take('f', 10.8) is None


def test_caller_that_repeats_at_once_gains_nothing():
    """Guards against a reward for callers that ignore Retry-After."""
    refused = _refused_calls.RefusedCalls()
    refused.remember('f', 10.0, 0.5, 15.0, 10.0)
    assert refused.take('f', 10.05) is None
    # The early repetition has used up the place.
    assert refused.take('f', 10.6) is None


def test_caller_waits_at_most_a_third_of_its_time():
    """Clients shorten a Retry-After that is too long for them."""
    refused = _refused_calls.RefusedCalls()
    refused.remember('f', 10.0, 5.0, 13.0, 10.0)
    assert refused.take('f', 11.0) == 10.0


def test_refused_calls_are_bounded():
    """Guards against memory that grows with the refusals of a burst."""
    refused = _refused_calls.RefusedCalls()
    for number in range(3 * MAX_KEPT):
        refused.remember(f'f{number}', 0.0, 0.1, 5.0, 0.0)
    assert len(refused) == MAX_KEPT
    assert refused.take(f'f{3 * MAX_KEPT - 1}', 1.0) == 0.0


def test_patience_counts_from_the_first_arrival():
    """A returning call has used a part of its target latency."""
    assert _refused_calls.compute_patience(1.5, 5.0, 0.5) == 1.0
    # Late, so the response is useful until the deadline.
    assert _refused_calls.compute_patience(1.5, 3.0, 2.0) == 3.0


def test_returns_come_when_the_queue_is_done():
    """Guards against callers that come back before there is room.

    Replays 300 refusals by owners whose queues hold 0.8 s of work.
    """
    for priority in (0, 3):
        times = [
            _returning.compute_retry_after(f'a{i}', 5.0, 1.0, 0.8, priority)
            for i in range(300)
        ]
        assert min(times) >= 0.7
        assert max(times) <= 5.0 / 3
        assert max(times) - min(times) > 0.3


def test_urgent_callers_come_back_first():
    """The calls of the highest class must not meet a queue of others."""
    random_source = random.Random(1)
    ids = [f'{random_source.random()}' for _ in range(200)]

    def sum_times(priority):
        return sum(
            _returning.compute_retry_after(i, 5.0, 1.0, 0.5, priority)
            for i in ids
        )

    assert sum_times(3) < sum_times(1) < sum_times(0)


def serve_twice(shares_room, second_after_s):
    """Serve a call that is refused and comes back; return its contexts."""

    async def run():
        member = stubs.Member('m0', stubs.NO_SLOT)
        entry = stubs.make_entry(member)
        entry.owner.shares_room = shares_room
        first = await entry.serve(stubs.make_request(deadline_ms=300), 'track')
        assert not pipeline.is_successful(first)
        member.outcome = stubs.succeed()
        await asyncio.sleep(second_after_s)
        second = stubs.make_request(root_id='a2', deadline_ms=300)
        await entry.serve(second, 'track')
        return [call.context for call in member.calls]

    return asyncio.run(run())


def test_entry_marks_a_call_that_comes_back():
    """The owner can only prefer a returning call that it can tell."""
    contexts = serve_twice(True, 0.11)
    assert [c.is_return for c in contexts] == [False, True]
    assert contexts[1].urgency == contexts[1].priority


def test_entry_marks_no_call_where_room_is_not_shared():
    """Other deployments must be served as before."""
    contexts = serve_twice(False, 0.11)
    assert [c.is_return for c in contexts] == [False, False]
    assert [c.urgency for c in contexts] == [0, 0]


def test_nested_calls_of_a_returning_call_are_returning():
    """A tree succeeds only if each of its calls does."""
    member = stubs.Member('m0', stubs.succeed())
    stubs.serve_nested([member], stubs.make_parent(is_return=True, urgency=3))
    assert member.calls[0].context.is_return
    assert member.calls[0].context.urgency == 3


def test_wait_at_one_owner_counts_at_the_next():
    """Guards against a call that waits its whole patience at each owner."""

    class SlowMember(stubs.Member):
        async def run(self, call):
            self.calls.append(call)
            await asyncio.sleep(0.06)
            return self.outcome

    async def run(shares_room):
        first = SlowMember('m0', stubs.NO_SLOT)
        second = stubs.Member('m1', stubs.succeed())
        entry = stubs.make_entry(first, second)
        entry.owner.shares_room = shares_room
        await entry.serve(stubs.make_request(deadline_ms=300), 'track')
        return first.calls[0].patience_s, second.calls[0].patience_s

    first_s, second_s = asyncio.run(run(True))
    assert second_s <= first_s - 0.05
    # Other deployments are served as before.
    first_s, second_s = asyncio.run(run(False))
    assert second_s == first_s
