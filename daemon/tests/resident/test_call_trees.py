"""Tests of what the calls of one call tree share at the entry."""

import asyncio

from returns import pipeline

from cactusloft_model import calls

from . import entry_stand_ins as stand_ins


def test_nested_call_has_the_priority_of_its_tree():
    """The nested calls of an order are shed last, like the order."""
    members = stand_ins.make_members(stand_ins.succeed())
    stand_ins.serve_below(members, stand_ins.make_parent())
    context = members[0].calls[0].context
    assert context.priority is calls.Priority.CRITICAL
    assert context.root_call_id == 'a1'
    assert context.depth == 2
    assert context.rank == stand_ins.make_parent().rank


def test_request_with_a_key_inherits_nothing():
    """A client must not raise its priority with the id of another call."""
    members = stand_ins.make_members(stand_ins.succeed())

    async def run():
        entry = stand_ins.make_entry(*members)
        entry.owner.running['a1.x'] = stand_ins.make_parent()
        await entry.serve(stand_ins.make_request(parent_id='a1.x'), 'track')

    asyncio.run(run())
    context = members[0].calls[0].context
    assert context.priority is not calls.Priority.CRITICAL


def test_nested_call_of_a_repeat_is_a_repeat():
    """Repeats high in a chain use the budgets of the services below."""
    members = stand_ins.make_members(stand_ins.succeed())
    stand_ins.serve_below(members, stand_ins.make_parent(is_repeat=True))
    assert members[0].calls[0].context.is_repeat


def test_second_send_is_a_repeat():
    """The nested calls of a second run count as repeats."""
    members = stand_ins.make_members(stand_ins.SHED, stand_ins.succeed())
    stand_ins.serve(members)
    sent = [member.calls[0].context.is_repeat for member in members]
    assert sent == [False, True]


def test_failure_of_a_nested_call_is_not_repeated_above():
    """Each layer that repeats multiplies the calls of those below."""
    members = stand_ins.make_members(
        stand_ins.succeed(500, is_caused_below=True), stand_ins.succeed()
    )
    outcome, _ = stand_ins.serve(members)
    assert outcome.unwrap().status == 500
    assert not members[1].calls


def test_failed_nested_call_is_told_to_the_run_above():
    """Otherwise the entry above blames the backend server that made it."""
    _, entry = stand_ins.serve_below(
        stand_ins.make_members(stand_ins.GONE), stand_ins.make_parent()
    )
    assert entry.owner.failed_below == ['a1.x']


def test_backend_server_that_declined_may_be_asked_again():
    """At most as many get a call as its route allows; these may get it twice.

    Backend servers that decline calls at random take the next one as likely
    as any other does.
    """
    first, second = (
        stand_ins.Member('m0', stand_ins.SHED),
        stand_ins.Member('m1', stand_ins.SHED),
    )
    answers = iter([stand_ins.SHED, stand_ins.succeed()])

    async def run_first(call):
        first.calls.append(call)
        return next(answers)

    first.run = run_first
    third = stand_ins.Member('m2', stand_ins.succeed())

    async def run():
        entry = stand_ins.make_entry(first, second, third)
        for _ in range(50):
            entry._find_budget('stock').record_request(False)
        request = stand_ins.make_request(root_id=stand_ins.find_high_ranked())
        return await entry.serve(request, 'track')

    outcome = asyncio.run(run())
    assert pipeline.is_successful(outcome)
    assert len(first.calls) == 2
    assert not third.calls
