"""A proxy without any overload control, for comparison.

It stands where the daemon stands: beside each stand-in server, forwarding
calls to a random worker of the service and repeating failed ones, as clients
of a plain load balancer do. Members find each other through a shared folder.
"""

import argparse
import asyncio
import json
import pathlib
import random
import sys

import aiohttp
from aiohttp import web

ATTEMPTS_A_LEVEL = 2
MAX_CONNECTIONS = 2000
CALL_PREFIX = '/call/'
REFRESH_S = 0.2


class PlainProxy:
    """Forward calls to random members of a service.

    :param folder: folder with one file for each member.
    :param routes: mapping from path to service.
    """

    def __init__(self, folder, routes):
        self._folder = pathlib.Path(folder)
        self._routes = routes
        self._members = {}
        self._session = None

    async def run(self, callers, backend):
        """Serve both listeners until cancelled.

        :param callers: ``IP:port`` for callers.
        :param backend: ``IP:port`` for the stand-in server.
        """
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(connector=connector)
        await _listen(callers, self._serve_caller)
        await _listen(backend, self._serve_backend)
        print('ready', flush=True)
        while True:
            self._members = self._read_members()
            await asyncio.sleep(REFRESH_S)

    def _read_members(self):
        members = {}
        for path in self._folder.glob('*.member'):
            service, _, url = path.read_text().partition(' ')
            if url:
                members.setdefault(service, []).append(url)
        return members

    async def _serve_caller(self, request):
        service = self._routes.get(request.path)
        return await self._forward(request, service, request.path)

    async def _serve_backend(self, request):
        if request.path.startswith(CALL_PREFIX):
            rest = request.path.removeprefix(CALL_PREFIX)
            service, _, path = rest.partition('/')
            return await self._forward(request, service, f'/{path}')
        if request.path == '/v1/announce':
            body = json.loads(await request.read())
            path = self._folder / f'{body["instance"]}.member'
            path.write_text(f'{body["service"]} {body["url"]}')
        return web.json_response({'lease_ms': 3000})

    async def _forward(self, request, service, path):
        body = await request.read()
        response = web.Response(status=502)
        for _ in range(ATTEMPTS_A_LEVEL):
            url = random.choice(self._members.get(service) or [''])
            response = await self._send(url + path, body)
            if response.status < 500:
                break
        return response

    async def _send(self, url, body):
        try:
            async with self._session.post(url, data=body) as answer:
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                    content_type=answer.content_type,
                )
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return web.Response(status=502)


async def _listen(endpoint, handler):
    address, _, port = endpoint.rpartition(':')
    server = web.Server(handler, handler_cancellation=True, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, address, int(port)).start()


def main(arguments=None):
    """Run a proxy until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--folder', required=True)
    parser.add_argument('--routes', required=True, help='JSON: path, service')
    parser.add_argument('--callers', required=True)
    parser.add_argument('--backend', required=True)
    options = parser.parse_args(arguments)
    proxy = PlainProxy(options.folder, json.loads(options.routes))
    asyncio.run(proxy.run(options.callers, options.backend))


if __name__ == '__main__':
    sys.exit(main())
