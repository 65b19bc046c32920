"""Client of the operator API of daemons."""

import asyncio

import aiohttp
import attrs
import msgspec
from returns import pipeline
from returns import result

from cactusloft import _views
from cactusloft_model import errors
from cactusloft_model import ini

# Exceeds the time that a daemon waits for a control leader (8 s) and then for
# its reply (6 s).
REQUEST_TIMEOUT_S = 20.0
MAX_APPLY_ATTEMPTS = 3
APPLY_RETRY_DELAY_S = 0.5
_E = errors.ErrorKind


@attrs.frozen
class Problem:
    """Reason for the failure of a request.

    :ivar kind: :class:`errors.ErrorKind`.
    :ivar title: fixed description of the kind.
    :ivar detail: what is particular to this failure, or empty.
    :ivar faults: faults of a rejected document, each with section and key.
    """

    kind: errors.ErrorKind
    title: str
    detail: str = ''
    faults: tuple[ini.Fault, ...] = ()


class AdminClient:
    """Send operator requests to daemons.

    :param endpoints: operator listeners (``IP:port``). Each request tries them
        in this order until one responds.
    :param token: operator token.
    """

    def __init__(self, endpoints, token):
        self._endpoints = tuple(endpoints)
        self._token = token

    def for_endpoint(self, endpoint):
        """Return a client of another daemon, with the same token."""
        return AdminClient((endpoint,), self._token)

    async def show(self):
        """Request the :class:`DocumentView` in force."""
        return await self._request('GET', '/v1/document', _views.DocumentView)

    async def apply(self, base_version, change_id, text):
        """Replace the document.

        Retry while no control leader is reachable. Each attempt has the same
        change id, so that the change is made at most once even if a response
        is lost.

        :param base_version: version on which the new text is based.
        :returns: ``Success(Applied)`` or ``Failure(Problem)``.
        """
        body = {
            'base_version': base_version,
            'change_id': change_id,
            'text': text,
        }
        return await self._change('/v1/document', body)

    async def evacuate(self, data_centre, is_begun):
        """Begin or end the evacuation of a data centre.

        Retry while no control leader is reachable; an order that is in force
        already has no further effect.

        :returns: ``Success(Applied)`` or ``Failure(Problem)``.
        """
        body = {'data_centre': data_centre, 'is_begun': is_begun}
        return await self._change('/v1/evacuations', body)

    async def list_evacuations(self):
        """Request the :class:`EvacuationsView` in force."""
        return await self._request(
            'GET', '/v1/evacuations', _views.EvacuationsView
        )

    async def list_revisions(self):
        """Request the history, a tuple of :class:`RevisionView`."""
        revisions = tuple[_views.RevisionView, ...]
        return await self._request('GET', '/v1/history', revisions)

    async def read_status(self):
        """Request the :class:`StatusView` of the daemon."""
        return await self._request('GET', '/v1/status', _views.StatusView)

    async def list_members(self):
        """Request the daemons, a tuple of :class:`MemberView`."""
        members = tuple[_views.MemberView, ...]
        return await self._request('GET', '/v1/members', members)

    async def list_events(self):
        """Request the events that the daemon retains.

        :returns: tuple of :class:`EventView`, as ``Success``, or ``Failure``.
        """
        events = tuple[_views.EventView, ...]
        return await self._request('GET', '/v1/events', events)

    async def drain(self):
        """Stop sending calls to the backend server of the daemon."""
        return await self._request('POST', '/v1/drain', None)

    async def bootstrap_replica(self):
        """Form a control group that has only the replica of the daemon."""
        return await self._change_replicas('bootstrap')

    async def add_replica(self):
        """Add the replica of the daemon to the control group as a learner."""
        return await self._change_replicas('add')

    async def remove_replica(self, replica_id):
        """Remove a replica from the control group."""
        return await self._change_replicas(
            'remove', {'replica_id': replica_id}
        )

    async def _change(self, path, body):
        """Send a change, again while no control leader is reachable."""
        for _ in range(MAX_APPLY_ATTEMPTS):
            applied = await self._request('POST', path, _views.Applied, body)
            if pipeline.is_successful(applied):
                break
            if applied.failure().kind is not _E.CONTROL_UNAVAILABLE:
                break
            await asyncio.sleep(APPLY_RETRY_DELAY_S)
        return applied

    async def _change_replicas(self, action, body=None):
        replicas = tuple[_views.ReplicaView, ...]
        path = f'/v1/replica/{action}'
        return await self._request('POST', path, replicas, body)

    async def _request(self, method, path, response_type, body=None):
        outcome = _make_failure(_E.CONTROL_UNAVAILABLE, 'no endpoint given')
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
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
                        return _decode_response(
                            response, content, response_type
                        )
                except (aiohttp.ClientError, TimeoutError) as error:
                    reason = str(error) or 'request timed out'
                    outcome = _make_failure(
                        _E.CONTROL_UNAVAILABLE, f'{endpoint}: {reason}'
                    )
        return outcome


def _decode_response(response, content, response_type):
    try:
        if response.status >= 400:
            problem = msgspec.json.decode(content, type=Problem)
            return result.Failure(problem)
        if response_type is None:
            return result.Success(None)
        return result.Success(msgspec.json.decode(content, type=response_type))
    except msgspec.DecodeError:
        return _make_failure(
            _E.INTERNAL,
            f'{response.url}: unexpected response, not from a daemon',
        )


def _make_failure(kind, detail):
    title = errors.ERROR_RESPONSES[kind].title
    return result.Failure(Problem(kind, title, detail))
