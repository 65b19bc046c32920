"""Tests of the entry's decisions on one attempt of a client."""

import asyncio

import pytest
from returns import pipeline

from cactusloft_model import errors
from cactusloftd.resident import _attempts
from cactusloftd.resident import _entry

from . import entry_stand_ins as stand_ins

_E = errors.ErrorKind
_N = errors.NotRun


def test_order_that_may_have_run_is_sent_to_nobody_else():
    """An order must not run twice."""
    members = stand_ins.make_members(stand_ins.LOST, stand_ins.succeed())
    outcome, _ = stand_ins.serve(members, stand_ins.make_request('/order/1'))
    error = outcome.failure()
    assert not members[1].calls
    assert error.response.status == 502
    assert error.response.not_run is _N.UNKNOWN


@pytest.mark.parametrize(
    'first',
    [stand_ins.UNREACHED, stand_ins.SHED, stand_ins.FULL, stand_ins.GONE],
)
def test_order_that_did_not_run_may_go_elsewhere(first):
    """A certain refusal costs the client nothing while others have room."""
    members = stand_ins.make_members(first, stand_ins.succeed())
    outcome, _ = stand_ins.serve(members, stand_ins.make_request('/order/1'))
    assert pipeline.is_successful(outcome)


def test_refusal_after_a_lost_run_does_not_claim_not_run():
    """A refusal that says "not run" is true of the whole attempt."""
    members = stand_ins.make_members(
        stand_ins.LOST, stand_ins.GONE, stand_ins.GONE
    )
    outcome, entry = stand_ins.serve(members)
    assert outcome.failure().response.not_run is _N.UNKNOWN
    assert outcome.failure().response.status == 502
    assert entry.debits.given_back == 0


def test_lost_read_is_repeated_once():
    """A read may run again, at most as often as its route allows."""
    members = stand_ins.make_members(
        stand_ins.LOST, stand_ins.LOST, stand_ins.succeed()
    )
    outcome, _ = stand_ins.serve(members)
    assert not pipeline.is_successful(outcome)
    assert not members[2].calls


def test_failed_answer_of_a_read_is_repeated():
    """A backend server that fails calls must not fail the client."""
    outcome, _ = stand_ins.serve(
        stand_ins.make_members(stand_ins.succeed(500), stand_ins.succeed(200))
    )
    assert outcome.unwrap().status == 200


def test_failed_answer_is_passed_on_when_a_repeat_does_no_better():
    """The client gets the backend server's own words."""
    outcome, _ = stand_ins.serve(
        stand_ins.make_members(
            stand_ins.succeed(500), stand_ins.GONE, stand_ins.GONE
        )
    )
    assert outcome.unwrap().status == 500


def test_order_that_reached_nobody_may_come_again():
    """Clients repeat an order only after a refusal that promises."""
    outcome, _ = stand_ins.serve(
        stand_ins.make_members(stand_ins.UNREACHED),
        stand_ins.make_request('/order/1'),
    )
    answer = outcome.failure().response
    assert (answer.status, answer.not_run) == (503, _N.TRUE)


def test_silent_owner_ends_at_the_timeout_of_the_route():
    """A client must not wait longer than the operator wants."""
    outcome, _ = stand_ins.serve(stand_ins.make_members(None))
    assert outcome.failure().kind is _E.DEADLINE_EXCEEDED
    assert outcome.failure().response.status == 504


def test_refusal_says_when_to_come_back():
    """A client that was refused in time may still be served."""
    outcome, entry = stand_ins.serve(
        stand_ins.make_members(stand_ins.FULL, stand_ins.FULL, stand_ins.FULL)
    )
    answer = outcome.failure().response
    assert answer.not_run is _N.TRUE
    assert answer.retry_after_s == _attempts.RETRY_AFTER_S
    assert entry.debits.given_back == 1


@pytest.mark.parametrize(
    'request_, is_fresh, kind',
    [
        (stand_ins.make_request('/none/1'), True, _E.NO_ROUTE),
        (stand_ins.make_request('/none/1'), False, _E.CONFIG_STALE),
        (stand_ins.make_request(key='bad'), True, _E.UNAUTHENTICATED),
        (stand_ins.make_request(key='bad'), False, _E.CONFIG_STALE),
        (stand_ins.make_request(key=''), True, _E.UNAUTHENTICATED),
        (stand_ins.make_request(), False, _E.CONFIG_STALE),
    ],
)
def test_unconfirmed_document_denies_nothing_for_good(
    request_, is_fresh, kind
):
    """What is not sure is refused for now; 401 and 404 end an attempt."""
    outcome, _ = stand_ins.serve(
        stand_ins.make_members(stand_ins.succeed()), request_, is_fresh
    )
    assert outcome.failure().kind is kind


def test_open_route_needs_no_confirmation():
    """Nested calls go on while the control group is away."""
    members = stand_ins.make_members(stand_ins.succeed())
    outcome, _ = stand_ins.serve(
        members, stand_ins.make_request('/inner/1', key=''), False
    )
    assert pipeline.is_successful(outcome)
    context = members[0].calls[0].context
    assert context.client_account == ''


def test_key_decides_on_the_account():
    """A request runs for the account whose key came with it."""
    members = stand_ins.make_members(stand_ins.succeed())
    stand_ins.serve(members)
    call = members[0].calls[0]
    assert call.context.client_account == 'estates'
    assert call.caller_service == 'track'
    assert call.context.call_id == 'a1'


def test_repeats_have_a_budget():
    """A service that fails every call must not get twice the calls.

    The operators allow 0.2 of the requests over all hosts; a host has a
    reserve beside it.
    """

    async def run():
        members = stand_ins.make_members(stand_ins.LOST, stand_ins.LOST)
        entry = stand_ins.make_entry(*members)
        for index in range(50):
            await entry.serve(
                stand_ins.make_request(root_id=f'a{index}'), 'track'
            )
        return members

    members = asyncio.run(run())
    assert 1 <= len(members[1].calls) <= 0.2 * 50 + _entry.REPEAT_RESERVE
