"""Client of the operator listeners."""

import asyncio

import aiohttp
import attrs
import msgspec
from returns import pipeline
from returns import result

from cactusloft import _views
from cactusloft_model import errors
from cactusloft_model import ini

# Longer than a daemon waits for a control leader (8 s) and its answer (6 s).
TIMEOUT_S = 20.0
ATTEMPTS = 3
RETRY_DELAY_S = 0.5
_E = errors.ErrorKind


@attrs.frozen
class Problem:
    """Why a request failed.

    :ivar kind: :class:`errors.ErrorKind`.
    :ivar faults: faults of a document, each with section and key.
    """

    kind: errors.ErrorKind
    title: str
    detail: str = ''
    faults: tuple[ini.Fault, ...] = ()


class AdminClient:
    """Ask daemons as an operator.

    :param endpoints: operator listeners (``IP:port``), tried in turn.
    :param token: operator token.
    """

    def __init__(self, endpoints, token):
        self._endpoints = tuple(endpoints)
        self._token = token

    def at(self, endpoint):
        """Return a client of one other daemon."""
        return AdminClient((endpoint,), self._token)

    async def show(self):
        """Return the :class:`DocumentView` in force."""
        return await self._ask('GET', '/v1/document', _views.DocumentView)

    async def apply(self, base_version, change_id, text):
        """Change the document.

        A lost answer is asked for again under the same change id, which
        makes the change at most once.

        :returns: ``Success(Applied)`` or ``Failure(Problem)``.
        """
        body = {
            'base_version': base_version,
            'change_id': change_id,
            'text': text,
        }
        for _ in range(ATTEMPTS):
            applied = await self._ask(
                'POST', '/v1/document', _views.Applied, body
            )
            if pipeline.is_successful(applied):
                break
            if applied.failure().kind is not _E.CONTROL_UNAVAILABLE:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        return applied

    async def list_revisions(self):
        """Return the history as :class:`RevisionView` tuple."""
        revisions = tuple[_views.RevisionView, ...]
        return await self._ask('GET', '/v1/history', revisions)

    async def read_status(self):
        """Return the :class:`StatusView` of a daemon."""
        return await self._ask('GET', '/v1/status', _views.StatusView)

    async def list_members(self):
        """Return the daemons as :class:`MemberView` tuple."""
        members = tuple[_views.MemberView, ...]
        return await self._ask('GET', '/v1/members', members)

    async def list_events(self):
        """Return the kept events of a daemon as :class:`EventView` tuple."""
        events = tuple[_views.EventView, ...]
        return await self._ask('GET', '/v1/events', events)

    async def drain(self):
        """Stop new work at the backend server of a daemon."""
        return await self._ask('POST', '/v1/drain', None)

    async def bootstrap_replica(self):
        """Make the replica of a daemon a group of one."""
        return await self._change_replicas('bootstrap')

    async def add_replica(self):
        """Add the replica of a daemon to the group as a learner."""
        return await self._change_replicas('add')

    async def remove_replica(self, replica_id):
        """Remove a replica from the group."""
        return await self._change_replicas(
            'remove', {'replica_id': replica_id}
        )

    async def _change_replicas(self, action, body=None):
        replicas = tuple[_views.ReplicaView, ...]
        path = f'/v1/replica/{action}'
        return await self._ask('POST', path, replicas, body)

    async def _ask(self, method, path, answer_type, body=None):
        outcome = _fail(_E.CONTROL_UNAVAILABLE, 'no endpoint was given')
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        headers = {'Authorization': f'Bearer {self._token}'}
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            for endpoint in self._endpoints:
                url = f'http://{endpoint}{path}'
                try:
                    async with session.request(
                        method, url, json=body
                    ) as response:
                        content = await response.read()
                        return _read_answer(response, content, answer_type)
                except (aiohttp.ClientError, TimeoutError) as error:
                    reason = str(error) or 'no answer in time'
                    outcome = _fail(
                        _E.CONTROL_UNAVAILABLE, f'{endpoint}: {reason}'
                    )
        return outcome


def _read_answer(response, content, answer_type):
    try:
        if response.status >= 400:
            problem = msgspec.json.decode(content, type=Problem)
            return result.Failure(problem)
        if answer_type is None:
            return result.Success(None)
        return result.Success(msgspec.json.decode(content, type=answer_type))
    except msgspec.DecodeError:
        return _fail(
            _E.INTERNAL, f'{response.url} does not answer as a daemon'
        )


def _fail(kind, detail):
    title = errors.ERROR_RESPONSES[kind].title
    return result.Failure(Problem(kind, title, detail))
