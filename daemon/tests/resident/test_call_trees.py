"""Tests of what nested calls inherit from their parent at the entry."""

import asyncio

from returns import pipeline

from cactusloft_model import calls

from . import entry_stubs as stubs


def test_nested_call_inherits_priority_and_rank():
    """Nested calls of a critical call must not be shed before it."""
    members = stubs.make_members(stubs.succeed())
    stubs.serve_nested(members, stubs.make_parent())
    context = members[0].calls[0].context
    assert context.priority is calls.Priority.CRITICAL
    assert context.root_call_id == 'a1'
    assert context.depth == 2
    assert context.rank == stubs.make_parent().rank


def test_request_with_a_key_inherits_nothing():
    """A client must not raise its priority by naming a parent call."""
    members = stubs.make_members(stubs.succeed())

    async def run():
        entry = stubs.make_entry(*members)
        entry.owner.running['a1.x'] = stubs.make_parent()
        await entry.serve(stubs.make_request(parent_id='a1.x'), 'track')

    asyncio.run(run())
    context = members[0].calls[0].context
    assert context.priority is not calls.Priority.CRITICAL


def test_nested_call_of_a_retry_counts_as_a_retry():
    """Retries must be charged to the budgets of the services called below."""
    members = stubs.make_members(stubs.succeed())
    stubs.serve_nested(members, stubs.make_parent(is_repeat=True))
    assert members[0].calls[0].context.is_repeat


def test_second_send_is_marked_as_a_repeat():
    """Otherwise nested calls of the second run would not count as retries."""
    members = stubs.make_members(stubs.DECLINED, stubs.succeed())
    stubs.serve(members)
    sent = [member.calls[0].context.is_repeat for member in members]
    assert sent == [False, True]


def test_failure_of_a_nested_call_is_not_retried_by_the_caller():
    """Retries at every layer would multiply the calls of the layers below."""
    members = stubs.make_members(
        stubs.succeed(500, is_caused_below=True), stubs.succeed()
    )
    outcome, _ = stubs.serve(members)
    assert outcome.unwrap().status == 500
    assert not members[1].calls


def test_failed_nested_call_is_recorded_at_its_parent():
    """Otherwise the parent's entry blames the backend server that ran it."""
    _, entry = stubs.serve_nested(
        stubs.make_members(stubs.NOT_SERVING), stubs.make_parent()
    )
    assert entry.owner.nested_failures == ['a1.x']


def test_backend_server_that_declined_may_be_retried():
    """A retry goes to a server that declined once the route allows no other.

    Backend servers decline calls at random, so one that declined is as likely
    to accept the retry as any other. The route allows two backend servers.
    """
    first, second = (
        stubs.Member('m0', stubs.DECLINED),
        stubs.Member('m1', stubs.DECLINED),
    )
    outcomes = iter([stubs.DECLINED, stubs.succeed()])

    async def run_first(call):
        first.calls.append(call)
        return next(outcomes)

    first.run = run_first
    third = stubs.Member('m2', stubs.succeed())

    async def run():
        entry = stubs.make_entry(first, second, third)
        for _ in range(50):
            entry._find_budget('stock').record_request(False)
        request = stubs.make_request(root_id=stubs.find_high_ranked_id())
        return await entry.serve(request, 'track')

    outcome = asyncio.run(run())
    assert pipeline.is_successful(outcome)
    assert len(first.calls) == 2
    assert not third.calls
