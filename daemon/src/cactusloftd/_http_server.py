"""HTTP servers with bounded connections and errors in one form.

Input that is no HTTP, connections that stay idle and connections beyond the
bound each cost a fixed amount and leave a numbered event.
"""

import traceback

from aiohttp import web

from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _problems

# Bounds memory: an idle connection costs about 10 KiB.
MAX_CONNECTIONS = 4096
# Also ends connections that never complete a request head.
IDLE_TIMEOUT_S = 75.0
LINGER_S = 1.0
# Requests in progress have had their time when a listener is closed.
CLOSE_S = 0.1
# Operators may allow large heads; the library's own bound is 8 KiB.
MAX_HEAD_BYTES = 64 * 1024
MAX_TRACE_FRAMES = 3
_V = events.Event


async def listen(endpoint, handler, log):
    """Serve HTTP at an endpoint.

    :param endpoint: ``IP:port``.
    :param handler: coroutine function(request) that returns the answer.
    :param log: :class:`events.EventLog`.
    :returns: the runner, to be cleaned up.
    """
    runner = web.ServerRunner(
        HttpServer(handler, log), shutdown_timeout=CLOSE_S
    )
    await runner.setup()
    address, _, port = endpoint.rpartition(':')
    site = web.TCPSite(runner, address, int(port))
    await site.start()
    return runner


class HttpServer(web.Server):
    """A low-level server for one listener.

    :param handler: coroutine function(request) that returns the answer.
    :param log: :class:`events.EventLog`.
    :param max_connections: connections beyond it are closed at once.
    """

    def __init__(self, handler, log, max_connections=MAX_CONNECTIONS):
        super().__init__(
            self._guard,
            # A closed connection is a cancellation.
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=LINGER_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            access_log=None,
        )
        self._serve = handler
        self._log = log
        self._max_connections = max_connections

    def __call__(self):
        """Return the protocol of a new connection."""
        return _Protocol(self, loop=self._loop, **self._kwargs)

    def connection_made(self, handler, transport):
        """Take a new connection, or close it beyond the bound."""
        super().connection_made(handler, transport)
        if len(self._connections) > self._max_connections:
            self.note_malformed('too many connections')
            transport.abort()

    def note_malformed(self, detail):
        """Log input that cannot be served."""
        self._log.record(_V.REQUEST_MALFORMED, detail=detail)

    async def _guard(self, request):
        try:
            return await self._serve(request)
        except (ConnectionError, _calls.ResponseCut):
            # The client went away, or the connection was aborted on purpose.
            raise
        except Exception as error:
            self._log.record(
                _V.INTERNAL_ERROR,
                error=repr(error),
                trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES),
            )
            if request.writer.output_size > 0:
                # A second answer in the middle of the first would be read as
                # its content.
                request.transport.abort()
                raise ConnectionAbortedError from error
            return _problems.make_problem(
                errors.CallError(errors.ErrorKind.INTERNAL)
            )


class _Protocol(web.RequestHandler):
    """A connection whose protocol errors are problem documents."""

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer input that the parser refused, and close the connection."""
        # The parser's message quotes what the peer sent, keys included.
        detail = type(exc).__name__
        if self._manager is not None:
            self._manager.note_malformed(detail)
        response = _problems.make_problem(
            errors.CallError(errors.ErrorKind.BAD_REQUEST, detail)
        )
        response.force_close()
        return response
