"""A proxy without any overload control, for comparison.

It takes the place of the daemon beside each stub backend server. It forwards
each call to a random member of the service and retries failed calls, as
clients of a plain load balancer do. Proxies discover members through a shared
folder.
"""

import argparse
import asyncio
import json
import pathlib
import random
import sys

import aiohttp
from aiohttp import web

MAX_ATTEMPTS_PER_LEVEL = 2
MAX_CONNECTIONS = 2000
CALL_PREFIX = '/call/'
MEMBER_REFRESH_INTERVAL_S = 0.2


class PlainProxy:
    """Forward each call to a random member of its service.

    :param folder: shared folder with one file for each member.
    :param routes: mapping from request path to service name.
    """

    def __init__(self, folder, routes):
        self._folder = pathlib.Path(folder)
        self._routes = routes
        self._members = {}
        self._session = None

    async def run(self, callers, backend):
        """Serve both listeners until cancelled.

        :param callers: ``IP:port`` that accepts calls from clients.
        :param backend: ``IP:port`` that accepts announcements and nested calls
            from the stub backend server.
        """
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(connector=connector)
        await _listen(callers, self._serve_caller)
        await _listen(backend, self._serve_backend)
        print('ready', flush=True)
        while True:
            self._members = self._read_members()
            await asyncio.sleep(MEMBER_REFRESH_INTERVAL_S)

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
            service_and_path = request.path.removeprefix(CALL_PREFIX)
            service, _, path = service_and_path.partition('/')
            return await self._forward(request, service, f'/{path}')
        if request.path == '/v1/announce':
            body = json.loads(await request.read())
            member_file = self._folder / f'{body["instance"]}.member'
            member_file.write_text(f'{body["service"]} {body["url"]}')
        return web.json_response({'lease_ms': 3000})

    async def _forward(self, request, service, path):
        body = await request.read()
        response = web.Response(status=502)
        for _ in range(MAX_ATTEMPTS_PER_LEVEL):
            url = random.choice(self._members.get(service) or [''])
            response = await self._send(url + path, body)
            if response.status < 500:
                break
        return response

    async def _send(self, url, body):
        try:
            async with self._session.post(url, data=body) as response:
                return web.Response(
                    status=response.status,
                    body=await response.read(),
                    content_type=response.content_type,
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
    """Run a proxy until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--folder', required=True)
    parser.add_argument(
        '--routes', required=True, help='JSON object from path to service'
    )
    parser.add_argument('--callers', required=True)
    parser.add_argument('--backend', required=True)
    options = parser.parse_args(arguments)
    proxy = PlainProxy(options.folder, json.loads(options.routes))
    asyncio.run(proxy.run(options.callers, options.backend))


if __name__ == '__main__':
    sys.exit(main())
