"""Error responses as problem documents (RFC 9457)."""

import json

from aiohttp import web

from cactusloftd import _headers

PROBLEM_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:cactusloft:error:'


def make_problem(error, call_id=''):
    """Return the HTTP response for an error.

    :param error: :class:`errors.CallError`.
    :param call_id: id of the call, or empty if it has none.
    """
    answer = error.response
    body = {
        'type': TYPE_PREFIX + error.kind.value,
        'title': answer.title,
        'status': answer.status,
        'kind': error.kind.value,
        'not_run': answer.not_run.as_json,
    }
    if error.detail:
        body['detail'] = error.detail
    headers = {}
    if call_id:
        body['call_id'] = call_id
        headers[_headers.CALL_ID] = call_id
    if answer.retry_after_s is not None:
        headers['Retry-After'] = str(answer.retry_after_s)
    if answer.status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return web.Response(
        status=answer.status,
        body=json.dumps(body).encode(),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )
