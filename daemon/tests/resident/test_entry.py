"""Tests of how the entry handles and retries one client request."""

import asyncio

import pytest
from returns import pipeline

from cactusloft_model import errors
from cactusloftd.resident import _entry

from . import entry_stubs as stubs

_E = errors.ErrorKind
_N = errors.NotRun


def test_non_idempotent_call_that_may_have_run_is_not_retried():
    """A call that is not idempotent must not run twice."""
    members = stubs.make_members(stubs.CONNECTION_LOST, stubs.succeed())
    outcome, _ = stubs.serve(members, stubs.make_request('/order/1'))
    error = outcome.failure()
    assert not members[1].calls
    assert error.response.status == 502
    assert error.response.not_run is _N.UNKNOWN


@pytest.mark.parametrize(
    'first',
    [stubs.UNREACHABLE, stubs.DECLINED, stubs.NO_SLOT, stubs.NOT_SERVING],
)
def test_non_idempotent_call_that_did_not_run_is_sent_elsewhere(first):
    """A refusal by one owner must not fail the client's request."""
    members = stubs.make_members(first, stubs.succeed())
    outcome, _ = stubs.serve(members, stubs.make_request('/order/1'))
    assert pipeline.is_successful(outcome)


def test_refusal_after_a_lost_connection_does_not_claim_not_run():
    """The claim "not run" covers all sends of a request, not only the last."""
    members = stubs.make_members(
        stubs.CONNECTION_LOST, stubs.NOT_SERVING, stubs.NOT_SERVING
    )
    outcome, entry = stubs.serve(members)
    assert outcome.failure().response.not_run is _N.UNKNOWN
    assert outcome.failure().response.status == 502
    assert entry.debits.returned_tokens == 0


def test_lost_idempotent_call_is_retried_once():
    """Retries must not exceed the limit of the route."""
    members = stubs.make_members(
        stubs.CONNECTION_LOST, stubs.CONNECTION_LOST, stubs.succeed()
    )
    outcome, _ = stubs.serve(members)
    assert not pipeline.is_successful(outcome)
    assert not members[2].calls


def test_error_response_of_an_idempotent_call_is_retried():
    """One failing backend server must not fail the client's request."""
    outcome, _ = stubs.serve(
        stubs.make_members(stubs.succeed(500), stubs.succeed(200))
    )
    assert outcome.unwrap().status == 200


def test_error_response_is_returned_when_no_retry_succeeds():
    """The backend server's own error must not be replaced by a refusal."""
    outcome, _ = stubs.serve(
        stubs.make_members(
            stubs.succeed(500), stubs.NOT_SERVING, stubs.NOT_SERVING
        )
    )
    assert outcome.unwrap().status == 500


def test_unreachable_backend_server_yields_not_run():
    """Clients retry non-idempotent requests only if declared not run."""
    outcome, _ = stubs.serve(
        stubs.make_members(stubs.UNREACHABLE),
        stubs.make_request('/order/1'),
    )
    error_response = outcome.failure().response
    assert (error_response.status, error_response.not_run) == (503, _N.TRUE)


def test_unresponsive_owner_is_bounded_by_the_route_deadline():
    """A client must not wait longer than the deadline of the route."""
    outcome, _ = stubs.serve(stubs.make_members(None))
    assert outcome.failure().kind is _E.DEADLINE_EXCEEDED
    assert outcome.failure().response.status == 504


def test_refusal_has_retry_after():
    """A client refused early can retry before its own deadline."""
    outcome, entry = stubs.serve(
        stubs.make_members(stubs.NO_SLOT, stubs.NO_SLOT, stubs.NO_SLOT)
    )
    error_response = outcome.failure().response
    assert error_response.not_run is _N.TRUE
    # The deadline of the route is 0.3 s, of which clients wait a third.
    assert 0 < error_response.retry_after_s <= 0.1
    assert entry.debits.returned_tokens == 1


@pytest.mark.parametrize(
    'request_, is_fresh, kind',
    [
        (stubs.make_request('/none/1'), True, _E.NO_ROUTE),
        (stubs.make_request('/none/1'), False, _E.CONFIG_STALE),
        (stubs.make_request(key='bad'), True, _E.UNAUTHENTICATED),
        (stubs.make_request(key='bad'), False, _E.CONFIG_STALE),
        (stubs.make_request(key=''), True, _E.UNAUTHENTICATED),
        (stubs.make_request(), False, _E.CONFIG_STALE),
    ],
)
def test_stale_document_causes_no_permanent_refusal(request_, is_fresh, kind):
    """Clients do not retry 401 and 404; a stale document must cause none."""
    outcome, _ = stubs.serve(
        stubs.make_members(stubs.succeed()), request_, is_fresh
    )
    assert outcome.failure().kind is kind


def test_open_route_works_with_a_stale_document():
    """Nested calls must not fail while the control group is unavailable."""
    members = stubs.make_members(stubs.succeed())
    outcome, _ = stubs.serve(
        members, stubs.make_request('/inner/1', key=''), False
    )
    assert pipeline.is_successful(outcome)
    context = members[0].calls[0].context
    assert context.client_account == ''


def test_key_determines_the_account():
    """A request runs for the account of its key."""
    members = stubs.make_members(stubs.succeed())
    stubs.serve(members)
    call = members[0].calls[0]
    assert call.context.client_account == 'estates'
    assert call.caller_service == 'track'
    assert call.context.call_id == 'a1'


def test_retries_are_limited_by_the_budget():
    """A service that fails every call must not receive twice the calls.

    The operators allow 0.2 retries per request over all hosts; each host has
    a small reserve in addition.
    """

    async def run():
        members = stubs.make_members(
            stubs.CONNECTION_LOST, stubs.CONNECTION_LOST
        )
        entry = stubs.make_entry(*members)
        for index in range(50):
            await entry.serve(stubs.make_request(root_id=f'a{index}'), 'track')
        return members

    members = asyncio.run(run())
    assert 1 <= len(members[1].calls) <= 0.2 * 50 + _entry.RETRY_RESERVE


@pytest.mark.parametrize('is_cancelled', [False, True])
def test_error_response_keeps_a_slot_while_the_call_is_retried(is_cancelled):
    """The first response must be closed however the request ends."""
    closed = []

    async def close():
        closed.append(True)

    async def run():
        failed = stubs.succeed(500)
        failed.unwrap().close = close
        # The second owner never responds.
        entry = stubs.make_entry(*stubs.make_members(failed, None))
        task = asyncio.create_task(entry.serve(stubs.make_request(), 'track'))
        await asyncio.sleep(0.05)
        if is_cancelled:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return
        response = (await task).unwrap()
        await response.close()

    asyncio.run(run())
    assert closed == [True]
