"""Nested calls that a stub server makes through its daemon."""

import asyncio
import json

import aiohttp

from cactusloft_bench import _plans

CALL_TOKEN_HEADER = 'Cactusloft-Call-Token'
PROBLEM_TYPE = 'application/problem+json'


def read_problem_kind(content_type, body):
    """Return the error kind of a refusal, or an empty string otherwise.

    >>> read_problem_kind(PROBLEM_TYPE, b'{"kind": "overloaded"}')
    'overloaded'
    >>> read_problem_kind('text/plain', b'{"kind": "overloaded"}')
    ''
    """
    if content_type != PROBLEM_TYPE:
        return ''
    try:
        return str(json.loads(body)['kind'])
    except (ValueError, KeyError, TypeError):
        return 'unreadable'


async def run_nested_call(session, daemon_url, call_token, call):
    """Make one nested call and check its response.

    :param daemon_url: backend listener of the local daemon.
    :param call_token: call token of the call being executed.
    :param call: :class:`_plans.NestedCall`.
    :returns: :class:`_plans.NestedResult` of the call, followed by those of
        the nested calls below it.
    """
    body = _plans.encode_plan(call.plan)
    try:
        async with session.request(
            call.method,
            f'{daemon_url}/call/{call.service}{call.path}',
            data=body,
            headers={CALL_TOKEN_HEADER: call_token},
        ) as response:
            response_body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError):
        failed = _plans.NestedResult(call.service, 0, 'connection_failed')
        return (failed,)
    digest = _plans.compute_digest(call.method, call.path, body)
    checked = _plans.check_answer(digest, response_body)
    head = checked.head
    result = _plans.NestedResult(
        service=call.service,
        status=response.status,
        kind=read_problem_kind(response.content_type, response_body),
        is_whole=checked.is_whole,
        instance=head.instance if head else '',
    )
    return (result,) + (head.nested if head else ())
