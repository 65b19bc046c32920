"""HTTP handler of the listener for the backend server beside the daemon.

Accepts announcements, and nested calls that the backend server makes while it
runs a call.
"""

from aiohttp import web
import attrs
import msgspec
from returns import pipeline

from cactusloft_membership import announcements
from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _headers
from cactusloftd import _http
from cactusloftd import _problems

CALL_PREFIX = '/call/'
MAX_ANNOUNCEMENT_BYTES = 16 * 1024
_E = errors.ErrorKind


@attrs.frozen
class Accepted:
    """Response to an announcement.

    :ivar lease_ms: milliseconds until the announcement expires.
    """

    lease_ms: int


@attrs.frozen
class LoadReport:
    """Load as reported by a backend server; it may be wrong.

    :ivar load: share of its slots that it reports as busy.
    :ivar slots: number of slots that it reports, or None.
    """

    load: float = 0.0
    slots: int | None = None


class Backend:
    """Serve requests of the backend server beside the daemon.

    :param entry: :class:`_entry.Entry`.
    :param owner: :class:`_owner.Owner`.
    :param exchanges: :class:`_exchanges.Exchanges`.
    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, entry, owner, exchanges, metrics):
        self._entry = entry
        self._owner = owner
        self._exchanges = exchanges
        self._metrics = metrics
        self._handlers = {
            '/v1/announce': self._announce,
            '/v1/load': self._report_load,
            '/v1/drain': self._drain,
            '/v1/leave': self._leave,
        }

    async def handle(self, request):
        """Handle one HTTP request."""
        with self._exchanges:
            if request.path.startswith(CALL_PREFIX):
                return await self._serve_nested(request)
            handler = self._handlers.get(request.path)
            if handler is None or request.method != 'POST':
                return self._refuse(_calls.fail(_E.NOT_FOUND))
            body = await _http.read_body(request, MAX_ANNOUNCEMENT_BYTES)
            if not pipeline.is_successful(body):
                return self._refuse(body)
            return await handler(request, body.unwrap())

    async def _announce(self, request, body):
        try:
            announcement = msgspec.json.decode(
                body, type=announcements.Announcement
            )
        except msgspec.DecodeError as error:
            outcome = _calls.fail(_E.BAD_REQUEST, str(error))
            return self._refuse(outcome)
        await self._owner.announce(announcement)
        accepted = Accepted(int(announcements.ANNOUNCEMENT_LEASE_S * 1000))
        return web.Response(
            body=msgspec.json.encode(accepted),
            content_type='application/json',
        )

    async def _report_load(self, request, body):
        try:
            report = msgspec.json.decode(body, type=LoadReport)
        except msgspec.DecodeError as error:
            outcome = _calls.fail(_E.BAD_REQUEST, str(error))
            return self._refuse(outcome)
        self._owner.report_load(report.load, report.slots)
        return web.Response(status=204)

    async def _drain(self, _request, _body):
        self._owner.drain()
        return web.Response(status=204)

    async def _leave(self, _request, _body):
        self._owner.leave()
        return web.Response(status=204)

    async def _serve_nested(self, request):
        token = request.headers.get(_headers.CALL_TOKEN, '')
        parent = self._owner.find_parent(token)
        if parent is None:
            return self._refuse(_calls.fail(_E.BAD_CALL_TOKEN))
        path = request.raw_path.removeprefix(CALL_PREFIX)
        service, _, target = path.partition('/')
        head = _http.read_head(request, '/' + target)
        if not pipeline.is_successful(head):
            return self._refuse(head)
        limit = _calls.MAX_NESTED_BODY_BYTES
        body = await _http.read_body(request, limit)
        if not pipeline.is_successful(body):
            return self._refuse(body)
        created = self._entry.make_nested_call(
            head.unwrap(), service, parent, body.unwrap()
        )
        if not pipeline.is_successful(created):
            return self._refuse(created)
        call = created.unwrap()
        outcome = await self._entry.dispatch(call)
        if not pipeline.is_successful(outcome):
            return self._refuse(outcome, call.context.call_id)
        return await _http.write_response(
            request, outcome.unwrap(), call.context.call_id
        )

    def _refuse(self, outcome, call_id=''):
        error = outcome.failure()
        self._metrics.count(
            'cactusloft_refusals_total', 'backend', error.kind.value
        )
        return _problems.make_problem(error, call_id)
