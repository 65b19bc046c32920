"""HTTP servers with a limit of connections and uniform error responses.

Malformed input, idle connections and connections over the limit each cost a
bounded amount of resources, and are logged as a numbered event.
"""

import traceback

from aiohttp import web

from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _problems

# Limits memory: an idle connection takes about 10 KiB.
MAX_CONNECTIONS = 4096
# Also closes connections that never complete a request head.
IDLE_TIMEOUT_S = 75.0
LINGER_TIMEOUT_S = 1.0
# Short, since the daemon waits for requests in progress before it closes a
# listener.
SHUTDOWN_TIMEOUT_S = 0.1
# Higher than the default of aiohttp, 8 KiB, to allow for large heads.
MAX_HEAD_BYTES = 64 * 1024
MAX_TRACE_FRAMES = 3
_V = events.Event


async def listen(endpoint, handler, log):
    """Serve HTTP at an endpoint.

    :param endpoint: ``IP:port``.
    :param handler: coroutine function(request) that returns the response.
    :param log: :class:`events.EventLog`.
    :returns: the runner, which the caller must clean up.
    """
    runner = web.ServerRunner(
        HttpServer(handler, log), shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    address, _, port = endpoint.rpartition(':')
    site = web.TCPSite(runner, address, int(port))
    await site.start()
    return runner


class HttpServer(web.Server):
    """HTTP server of one listener.

    :param handler: coroutine function(request) that returns the response.
    :param log: :class:`events.EventLog`.
    :param max_connections: limit over which new connections are closed.
    """

    def __init__(self, handler, log, max_connections=MAX_CONNECTIONS):
        super().__init__(
            self._handle,
            # Cancels the handler when the client disconnects.
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=LINGER_TIMEOUT_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            access_log=None,
        )
        self._handler = handler
        self._log = log
        self._max_connections = max_connections

    def __call__(self):
        """Create the protocol of a new connection."""
        return _Protocol(self, loop=self._loop, **self._kwargs)

    def connection_made(self, handler, transport):
        """Accept a new connection, or close it if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > self._max_connections:
            self.log_malformed('too many connections')
            transport.abort()

    def log_malformed(self, detail):
        """Log malformed input or a connection over the limit."""
        self._log.record(_V.REQUEST_MALFORMED, detail=detail)

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except (ConnectionError, _calls.ResponseCut):
            # The client disconnected, or the connection was aborted.
            raise
        except Exception as error:
            self._log.record(
                _V.INTERNAL_ERROR,
                error=repr(error),
                trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES),
            )
            if request.writer.output_size > 0:
                # A second response in the middle of the first one would be
                # read as part of its body.
                request.transport.abort()
                raise ConnectionAbortedError from error
            return _problems.make_problem(
                errors.CallError(errors.ErrorKind.INTERNAL)
            )


class _Protocol(web.RequestHandler):
    """Connection that answers protocol errors with problem documents."""

    def handle_error(self, request, status=500, exc=None, message=None):
        """Respond to input that the parser refused; close the connection."""
        # The message of the parser quotes the input, which may hold a key.
        detail = type(exc).__name__
        if self._manager is not None:
            self._manager.log_malformed(detail)
        response = _problems.make_problem(
            errors.CallError(errors.ErrorKind.BAD_REQUEST, detail)
        )
        response.force_close()
        return response
