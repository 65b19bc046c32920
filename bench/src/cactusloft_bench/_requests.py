"""Requests of a client, their retries, and their outcomes."""

import asyncio
import json

import aiohttp
import attrs

from cactusloft_bench import _nested
from cactusloft_bench import _plans

CONNECTION_FAILED = 'connection_failed'
TRUNCATED = 'truncated'
WRONG_RESPONSE = 'not_own_answer'
CLIENT_TIMEOUT = 'client_timeout'
NESTED_FAILED = 'nested_failed'
# Time after the deadline for the refusal of the daemon to arrive.
DEADLINE_GRACE_S = 2.0


@attrs.frozen
class Request:
    """A client request, including the account that sends it.

    :ivar key: API key of the client account, empty for public routes.
    :ivar idempotency_key: the same for all retries; empty for none.
    :ivar deadline_ms: deadline of each attempt, in milliseconds.
    """

    account: str
    key: str
    method: str
    path: str
    plan: _plans.Plan
    idempotency_key: str = ''
    deadline_ms: int = 10_000

    def build_headers(self):
        """Return the request headers defined by the caller contract."""
        headers = {'Cactusloft-Deadline-Ms': str(self.deadline_ms)}
        if self.key:
            headers['Authorization'] = f'Bearer {self.key}'
        if self.idempotency_key:
            headers['Idempotency-Key'] = self.idempotency_key
        return headers


@attrs.frozen
class Attempt:
    """Result of one attempt of a request.

    :ivar status: HTTP status, or 0 if there was no response.
    :ivar kind: error kind of a refusal or failure, empty for a complete
        response.
    :ivar not_run: whether the response reports that the request did not run:
        ``true``, ``false`` or ``unknown``; empty if it reports nothing.
    :ivar detail: explanation in a refusal.
    :ivar retry_after_s: delay from the ``Retry-After`` header, or 0.
    :ivar head: first line of the response body, or None.
    """

    status: int
    kind: str = ''
    not_run: str = ''
    detail: str = ''
    retry_after_s: float = 0.0
    head: _plans.AnswerHead | None = None

    @property
    def is_whole(self):
        """Whether the complete response to the request arrived."""
        return self.kind == ''


@attrs.frozen
class Outcome:
    """Result of a request over all its attempts.

    :ivar latency_s: time from the start of the first attempt to the end of
        the last one.
    :ivar started_s: scheduled start of the first attempt, relative to the
        start of the load run.
    """

    request: Request
    attempts: tuple[Attempt, ...]
    latency_s: float
    started_s: float = 0.0

    @property
    def is_whole(self):
        """Whether the last attempt got the complete response."""
        return self.attempts[-1].is_whole

    @property
    def ended_s(self):
        """End of the last attempt, relative to the start of the load run."""
        return self.started_s + self.latency_s

    @property
    def is_surely_not_run(self):
        """Whether every attempt was reported as not run."""
        return all(a.not_run == 'true' for a in self.attempts)


async def send_attempt(session, base_url, request):
    """Send ``request`` once and check the response.

    :param session: aiohttp session.
    :param base_url: URL of the caller listener of a daemon.
    :returns: :class:`Attempt`.
    """
    body = _plans.encode_plan(request.plan)
    timeout_s = request.deadline_ms / 1000 + DEADLINE_GRACE_S
    try:
        async with session.request(
            request.method,
            base_url + request.path,
            data=body,
            headers=request.build_headers(),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            response_body = await response.read()
    except asyncio.TimeoutError:
        return Attempt(0, CLIENT_TIMEOUT)
    except aiohttp.ClientPayloadError:
        return Attempt(0, TRUNCATED)
    except (aiohttp.ClientError, OSError):
        return Attempt(0, CONNECTION_FAILED)
    return classify_response(request, body, response, response_body)


def classify_response(request, body, response, response_body):
    """Return the :class:`Attempt` for a response that was read to its end.

    :param body: request body.
    :param response: object with ``status``, ``content_type``, ``headers``.
    :param response_body: body of the response.
    """
    kind = _nested.read_problem_kind(response.content_type, response_body)
    if kind:
        return Attempt(
            status=response.status,
            kind=kind,
            not_run=_read_text(response_body, 'not_run').lower(),
            detail=_read_text(response_body, 'detail'),
            retry_after_s=_read_retry_after(response.headers),
        )
    digest = _plans.compute_digest(request.method, request.path, body)
    checked = _plans.check_answer(digest, response_body)
    if checked.is_whole and response.status == 200:
        return Attempt(response.status, head=checked.head)
    if checked.is_whole:
        return Attempt(response.status, NESTED_FAILED, head=checked.head)
    if checked.head is not None:
        return Attempt(response.status, WRONG_RESPONSE, head=checked.head)
    return Attempt(
        status=response.status,
        kind=f'status_{response.status}',
        not_run=response.headers.get('Cactusloft-Not-Run', ''),
    )


def _read_text(response_body, name):
    return str(json.loads(response_body).get(name, ''))


def _read_retry_after(headers):
    text = headers.get('Retry-After', '0')
    return float(text) if text.isdigit() else 0.0
