"""HTTP/1.1 listeners of a resident.

The HTTP library of the daemon's own listeners takes a quarter of the start
time of a process and a fifth of a call's time at the entry, which the
platform's small hosts cannot afford; this module only uses a parser.
"""

import asyncio

from cactusloft_admission import memory
from cactusloft_model import events
from cactusloftd import _internal_errors
from cactusloftd import _jobs
from cactusloftd.resident import _clients
from cactusloftd.resident import _http_connection

EXPIRY_INTERVAL_S = 5.0
BACKLOG = 1024
# Lets the event loop send responses that were written before a close.
CLOSE_DELAY_S = 0.1
# Time for the responses to requests that arrived just before a close. The end
# of the shutdown grace is near by then.
MAX_CLOSE_S = 0.2
CLOSE_POLL_S = 0.02
_V = events.Event


class HttpListener:
    """Serve HTTP/1.1 at one endpoint.

    :param handle: coroutine function that takes a
        :class:`_http_messages.Request` and returns an ``HttpResponse``.
    :param log: :class:`events.EventLog`.
    :param clients: :class:`_clients.Clients` of the process; by default the
        listener has a budget of its own.
    :ivar port: TCP port, 0 until started.
    """

    def __init__(self, handle, log, clients=None):
        self.handle = handle
        self._log = log
        self._server = None
        self._expiry_task = None
        self._connections = set()
        self.clients = clients or _clients.make_clients(memory.make_limits())
        self.port = 0

    async def start(self, endpoint):
        """Listen at ``IP:port``."""
        address, _, port = endpoint.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _http_connection.Connection(self),
            address,
            int(port),
            backlog=BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry_task = _jobs.start_job(
            self._expire_connections, self._log
        )

    @property
    def is_busy(self):
        """Tell whether requests are handled or responses are being sent."""
        return any(connection.is_busy for connection in self._connections)

    def stop_listening(self):
        """Refuse new connections; existing ones continue."""
        self._server.close()

    async def close(self):
        """Close all connections, those with requests after the responses."""
        self._server.close()
        self._expiry_task.cancel()
        for connection in list(self._connections):
            connection.close_when_idle()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_CLOSE_S
        while loop.time() < deadline and self.is_busy:
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in list(self._connections):
            connection.close()
        await asyncio.sleep(CLOSE_DELAY_S)

    def add(self, connection):
        """Register a connection; tell whether the limit allows it."""
        if not self.clients.add(connection):
            self.log_malformed_request('too many connections')
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection):
        """Remove a closed connection."""
        self.clients.discard(connection)
        self._connections.discard(connection)

    def log_malformed_request(self, detail):
        """Log a request that cannot be handled."""
        self._log.record(_V.REQUEST_MALFORMED, detail=detail)

    def log_internal_error(self, error):
        """Log an error in the handling of a request."""
        _internal_errors.record_error(self._log, error)

    async def _expire_connections(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self._connections):
                connection.expire(now)
