"""One request of a client, with its repeats, and how it ended."""

import asyncio
import json

import aiohttp
import attrs

from cactusloft_bench import _nested
from cactusloft_bench import _plans

CONNECTION_FAILED = 'connection_failed'
TRUNCATED = 'truncated'
FOREIGN = 'not_own_answer'
CLIENT_TIMEOUT = 'client_timeout'
NESTED_FAILED = 'nested_failed'
# A client waits a little longer than its deadline for the refusal.
DEADLINE_GRACE_S = 2.0


@attrs.frozen
class Request:
    """A request as a client sends it.

    :ivar key: key of the client account, empty on open routes.
    :ivar idempotency_key: kept over all repeats, empty for none.
    :ivar deadline_ms: milliseconds for each attempt.
    """

    account: str
    key: str
    method: str
    path: str
    plan: _plans.Plan
    idempotency_key: str = ''
    deadline_ms: int = 10_000

    def build_headers(self):
        """Return the headers of the caller contract."""
        headers = {'Cactusloft-Deadline-Ms': str(self.deadline_ms)}
        if self.key:
            headers['Authorization'] = f'Bearer {self.key}'
        if self.idempotency_key:
            headers['Idempotency-Key'] = self.idempotency_key
        return headers


@attrs.frozen
class Attempt:
    """How one sending of a request ended.

    :ivar status: HTTP status, 0 without a response.
    :ivar kind: kind of refusal or failure, empty for a complete answer.
    :ivar not_run: claim of a refusal: ``true``, ``false`` or ``unknown``;
        empty when nothing was claimed.
    :ivar detail: sentence that came with a refusal.
    :ivar retry_after_s: what the response advised, or 0.
    :ivar head: first line of the answer, or None.
    """

    status: int
    kind: str = ''
    not_run: str = ''
    detail: str = ''
    retry_after_s: float = 0.0
    head: _plans.AnswerHead | None = None

    @property
    def is_whole(self):
        """Whether this is the complete answer to the request."""
        return self.kind == ''


@attrs.frozen
class Outcome:
    """How a request ended, over all its attempts.

    :ivar latency_s: from the first sending to the end of the last attempt.
    :ivar started_s: first sending, from the start of the load run.
    """

    request: Request
    attempts: tuple[Attempt, ...]
    latency_s: float
    started_s: float = 0.0

    @property
    def is_whole(self):
        """Whether the last attempt brought the complete answer."""
        return self.attempts[-1].is_whole

    @property
    def ended_s(self):
        """Return the end of the last attempt, like ``started_s``."""
        return self.started_s + self.latency_s

    @property
    def is_surely_not_run(self):
        """Whether every attempt was refused as not run."""
        return all(a.not_run == 'true' for a in self.attempts)


async def send_attempt(session, base_url, request):
    """Send ``request`` once and check the answer.

    :param session: aiohttp session.
    :param base_url: caller listener of a daemon.
    :returns: :class:`Attempt`.
    """
    body = _plans.encode_plan(request.plan)
    timeout = request.deadline_ms / 1000 + DEADLINE_GRACE_S
    try:
        async with session.request(
            request.method,
            base_url + request.path,
            data=body,
            headers=request.build_headers(),
            timeout=aiohttp.ClientTimeout(total=timeout),
        ) as response:
            answer = await response.read()
    except asyncio.TimeoutError:
        return Attempt(0, CLIENT_TIMEOUT)
    except aiohttp.ClientPayloadError:
        return Attempt(0, TRUNCATED)
    except (aiohttp.ClientError, OSError):
        return Attempt(0, CONNECTION_FAILED)
    return judge_response(request, body, response, answer)


def judge_response(request, body, response, answer):
    """Return the :class:`Attempt` for a complete response.

    :param body: body that was sent.
    :param response: object with ``status``, ``content_type``, ``headers``.
    :param answer: body that was received.
    """
    kind = _nested.read_problem_kind(response.content_type, answer)
    if kind:
        return Attempt(
            status=response.status,
            kind=kind,
            not_run=_read_text(answer, 'not_run').lower(),
            detail=_read_text(answer, 'detail'),
            retry_after_s=_read_retry_after(response.headers),
        )
    digest = _plans.compute_digest(request.method, request.path, body)
    checked = _plans.check_answer(digest, answer)
    if checked.is_whole and response.status == 200:
        return Attempt(response.status, head=checked.head)
    if checked.is_whole:
        return Attempt(response.status, NESTED_FAILED, head=checked.head)
    if checked.head is not None:
        return Attempt(response.status, FOREIGN, head=checked.head)
    return Attempt(
        status=response.status,
        kind=f'status_{response.status}',
        not_run=response.headers.get('Cactusloft-Not-Run', ''),
    )


def _read_text(answer, name):
    return str(json.loads(answer).get(name, ''))


def _read_retry_after(headers):
    text = headers.get('Retry-After', '0')
    return float(text) if text.isdigit() else 0.0
