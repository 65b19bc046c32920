"""The admin listener, which serves operators.

Every request carries the operator token as a bearer token. Responses are JSON;
errors are problem documents.
"""

import asyncio
import hmac

from aiohttp import web
import attrs
import msgspec
from returns import pipeline

from cactusloft_model import clock
from cactusloft_model import document
from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_model import keys
from cactusloftd import _calls
from cactusloftd import _evacuation_messages
from cactusloftd import _evacuation_orders
from cactusloftd import _http
from cactusloftd import _messages
from cactusloftd import _metrics
from cactusloftd import _problems

_E = errors.ErrorKind
_V = events.Event
# Fits a document of the maximum size as a JSON string with escapes.
MAX_BODY_BYTES = 2 * document.MAX_DOCUMENT_BYTES + 64 * 1024
MAX_CHANGE_ID_CHARACTERS = 128


@attrs.frozen
class ChangeBody:
    """Body of ``POST /v1/document``."""

    base_version: int
    change_id: str
    text: str


@attrs.frozen
class EvacuationBody:
    """Body of ``POST /v1/evacuations``."""

    data_centre: str
    is_begun: bool


@attrs.frozen
class ReplicaBody:
    """Body of ``POST /v1/replica/remove``."""

    replica_id: str


@attrs.frozen
class MemberView:
    """State of a daemon of the fleet as shown to operators."""

    name: str
    host: str
    data_centre: str
    admin: str
    service: str
    is_serving: bool


@attrs.frozen
class StatusView:
    """State of this daemon as shown to operators.

    :ivar confirmation_age_s: None without a confirmation.
    :ivar replica_failure: why the control replica stopped, or empty.
    """

    name: str
    version: int
    is_fresh: bool
    confirmation_age_s: float | None
    is_serving: bool
    in_flight: int
    replica_id: str
    replica_role: str
    replica_failure: str
    replicas: tuple[object, ...]


class Admin:
    """Handle operators' HTTP requests.

    :param settings: :class:`_settings.Settings`.
    :param installed: :class:`_installed.InstalledDocument`.
    :param operators: :class:`_operators.Operators`.
    :param control: :class:`_control.ControlReplica`, or None.
    :param parser: :class:`_texts.TextParser`.
    :param members: :class:`_members.Members`.
    :param owner: :class:`_owner.Owner`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(
        self,
        settings,
        installed,
        operators,
        control,
        parser,
        members,
        owner,
        log,
        metrics,
    ):
        self._settings = settings
        self._installed = installed
        self._operators = operators
        self._control = control
        self._parser = parser
        self._members = members
        self._owner = owner
        self._log = log
        self._metrics = metrics
        self._actions = {
            ('GET', '/metrics'): self._show_metrics,
            ('GET', '/v1/document'): self._show_document,
            ('POST', '/v1/document'): self._apply_document,
            ('GET', '/v1/history'): self._show_history,
            ('GET', '/v1/evacuations'): self._show_evacuations,
            ('POST', '/v1/evacuations'): self._evacuate,
            ('GET', '/v1/status'): self._show_status,
            ('GET', '/v1/members'): self._show_members,
            ('GET', '/v1/events'): self._show_events,
            ('POST', '/v1/drain'): self._drain,
            ('POST', '/v1/replica/bootstrap'): self._bootstrap,
            ('POST', '/v1/replica/add'): self._add_replica,
            ('POST', '/v1/replica/remove'): self._remove_replica,
        }

    async def handle(self, request):
        """Return the response to a request."""
        if not self._is_operator(request):
            self._log.record(_V.OPERATOR_REFUSED, path=request.path)
            return _refuse(_E.UNAUTHENTICATED, 'no valid operator token')
        action = self._actions.get((request.method, request.path))
        if action is None:
            return _refuse(_E.NOT_FOUND)
        return await action(request)

    def _is_operator(self, request):
        header = request.headers.get('Authorization', '')
        scheme, _, token = header.partition(' ')
        expected = self._settings.security.operator_token_hash
        token_hash = keys.hash_key(token.strip())
        is_equal = hmac.compare_digest(token_hash, expected)
        return scheme.lower() == 'bearer' and is_equal

    async def _show_document(self, _request):
        return await self._execute(_messages.ShowRequest(False))

    async def _apply_document(self, request):
        body = await _read_json(request, ChangeBody)
        if not pipeline.is_successful(body):
            return _problems.make_problem(body.failure())
        change = body.unwrap()
        if not 0 < len(change.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            return _refuse(_E.BAD_REQUEST, 'change_id has 1 to 128 characters')
        parsed = await asyncio.to_thread(self._parser.parse, change.text)
        if not pipeline.is_successful(parsed):
            return _refuse_document(parsed.failure())
        return await self._execute(
            _messages.ApplyRequest(
                change.base_version, change.change_id, change.text, False
            )
        )

    async def _show_evacuations(self, _request):
        return await self._execute(
            _evacuation_messages.EvacuationsRequest(False)
        )

    async def _evacuate(self, request):
        body = await _read_json(request, EvacuationBody)
        if not pipeline.is_successful(body):
            return _problems.make_problem(body.failure())
        order = body.unwrap()
        reply = await _evacuation_orders.execute_order(
            self._operators,
            await self._list_data_centres(),
            order.data_centre,
            order.is_begun,
        )
        return _make_reply(reply)

    async def _list_data_centres(self):
        """Return the data centres of the known daemons and evacuations."""
        fleet = await self._members.list_fleet()
        names = {member.data_centre for member in fleet}
        return names.union(self._installed.evacuations.data_centres)

    async def _execute(self, request):
        return _make_reply(await self._operators.execute(request))

    async def _show_history(self, _request):
        return await self._execute(_messages.HistoryRequest(False))

    async def _show_status(self, _request):
        installed, control = self._installed, self._control
        age_s = None
        if installed.confirmed_at is not None:
            age_s = installed.age_s
        replica = control.replica if control else None
        return _make_json_response(
            StatusView(
                name=self._settings.name,
                version=installed.version.number,
                is_fresh=installed.is_fresh(),
                confirmation_age_s=age_s,
                is_serving=self._owner.is_serving,
                in_flight=self._owner.in_flight,
                replica_id=replica.replica_id if replica else '',
                replica_role=replica.role if replica else '',
                replica_failure=replica.failure if replica else '',
                replicas=tuple(control.list_replicas()) if control else (),
            )
        )

    async def _show_members(self, _request):
        fleet = await self._members.list_fleet()
        views = (
            MemberView(
                name=member.name,
                host=member.host,
                data_centre=member.data_centre,
                admin=member.admin,
                service=member.service,
                is_serving=member.is_serving,
            )
            for member in fleet
        )
        return _make_json_response(sorted(views, key=lambda view: view.name))

    async def _show_events(self, request):
        try:
            since = clock.Stamp(
                int(request.query.get('wall_ms', 0)),
                int(request.query.get('counter', 0)),
            )
        except ValueError:
            return _refuse(_E.BAD_REQUEST, 'wall_ms and counter are numbers')
        return _make_json_response(self._log.list_records(since))

    async def _show_metrics(self, _request):
        """Return the metrics in the Prometheus format."""
        return web.Response(
            body=self._metrics.render(),
            headers={'Content-Type': _metrics.CONTENT_TYPE},
        )

    async def _drain(self, _request):
        self._owner.drain()
        return web.Response(status=204)

    async def _bootstrap(self, _request):
        if self._control is None:
            return _refuse_no_replica()
        outcome = self._control.bootstrap()
        if not pipeline.is_successful(outcome):
            return _problems.make_problem(outcome.failure())
        return _make_json_response(self._control.list_replicas())

    async def _add_replica(self, _request):
        """Add the replica of this daemon to the control group."""
        if self._control is None:
            return _refuse_no_replica()
        return await self._execute(self._control.make_join_request())

    async def _remove_replica(self, request):
        body = await _read_json(request, ReplicaBody)
        if not pipeline.is_successful(body):
            return _problems.make_problem(body.failure())
        replica_id = body.unwrap().replica_id
        return await self._execute(
            _messages.ReplicaChange(replica_id, '', False)
        )


async def _read_json(request, body_class):
    body = await _http.read_body(request, MAX_BODY_BYTES)
    if not pipeline.is_successful(body):
        return body
    try:
        return body.map(lambda b: msgspec.json.decode(b, type=body_class))
    except msgspec.DecodeError as error:
        return _calls.fail(_E.BAD_REQUEST, str(error))


def _make_reply(reply):
    """Return the response for a :class:`_messages.ControlReply`."""
    refusal = reply.refusal
    if refusal is not None:
        return _problems.make_problem(
            errors.CallError(refusal.kind, refusal.detail, refusal.not_run)
        )
    return web.Response(body=reply.content, content_type='application/json')


def _make_json_response(content):
    return web.Response(
        body=msgspec.json.encode(content), content_type='application/json'
    )


def _refuse(kind, detail=''):
    return _problems.make_problem(errors.CallError(kind, detail))


def _refuse_no_replica():
    return _refuse(
        _E.MEMBERSHIP_CHANGE_REFUSED,
        'this daemon has no data_folder and hence no control replica',
    )


def _refuse_document(faults):
    """Return a problem document that lists every fault."""
    response = _refuse(_E.DOCUMENT_INVALID, '; '.join(map(str, faults)))
    body = msgspec.json.decode(response.body)
    body['faults'] = [attrs.asdict(fault) for fault in faults]
    response.body = msgspec.json.encode(body)
    return response
