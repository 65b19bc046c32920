"""Client through which a stub server announces itself to its daemon.

The client announces the server, renews the announcement, reports load, and
requests draining or withdrawal. An unresponsive daemon is not an error: the
server keeps serving and announces itself again at the next renewal.
"""

import asyncio

import aiohttp
import structlog

LOG = structlog.get_logger(__name__)
REQUEST_TIMEOUT_S = 2.0


class Announcer:
    """Announce one server to the daemon and report its load.

    :param settings: :class:`_behaviour.ServerSettings` of the server.
    :param url: base URL at which the server accepts calls.
    :param session: aiohttp session for the requests.
    :param read_load: function that returns the load to report, 0 to 1.
    """

    def __init__(self, settings, url, session, read_load):
        self._settings = settings
        self._url = url
        self._session = session
        self._read_load = read_load
        self._is_leaving = False

    async def run(self):
        """Announce the server and report load until it drains or leaves."""
        while not self._is_leaving:
            await self._post('announce', self._describe_server())
            await self._post('load', {'load': self._read_load()})
            await asyncio.sleep(self._settings.renewal_s)

    async def drain(self):
        """Ask the daemon for no new calls; calls in flight continue."""
        self._is_leaving = True
        await self._post('drain', {})

    async def leave(self):
        """Withdraw the announcement."""
        self._is_leaving = True
        await self._post('leave', {})

    def _describe_server(self):
        return {
            'url': self._url,
            'slots': self._settings.slots,
            'connections': self._settings.connections,
        }

    async def _post(self, name, fields):
        body = {
            'service': self._settings.service,
            'instance': self._settings.instance,
        } | fields
        url = f'{self._settings.daemon_url}/v1/{name}'
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.post(
                url, json=body, timeout=timeout
            ) as response:
                if response.status >= 400:
                    text = await response.text()
                    LOG.warning(
                        'announcement_refused',
                        request=name,
                        status=response.status,
                        text=text[:200],
                    )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            LOG.warning('daemon_unreachable', request=name, error=repr(error))
