"""Processing of calls on their entry, the daemon that accepts them."""

import secrets
from urllib import parse

import attrs
from returns import pipeline
from returns import result

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _access
from cactusloftd import _calls
from cactusloftd import _peers

# Limits the owners that one call is sent to while each reports that the call
# was not run. More attempts would add load when all owners are full.
MAX_OWNERS_PER_CALL = 3
MAX_CALL_DEPTH = 16
BEARER = 'bearer '
_E = errors.ErrorKind
_V = events.Event
# The owner cannot accept calls. Sending the call to another one compensates
# for an outdated view of the members, adds no work and needs no retry credit.
_REDIRECTED_KINDS = (_E.NO_BACKEND_SERVER, _E.SHUTTING_DOWN)
# Failures of one owner, which another owner may not have. Refusals that are
# due to the call itself, such as a passed deadline, are not retried.
_RETRIED_KINDS = (
    _E.BACKEND_SERVER_FAILED,
    _E.OUTCOME_UNKNOWN,
    _E.OVERLOADED,
)


@attrs.frozen
class Inbound:
    """A request read from a listener.

    :ivar target: path with query.
    :ivar key: caller key, or empty.
    :ivar idempotency_key: value of ``Idempotency-Key``, or empty.
    :ivar deadline_ms: time limit requested by the client, or None.
    :ivar headers: end-to-end headers without the caller key.
    """

    method: str
    target: str
    key: str
    idempotency_key: str
    deadline_ms: int | None
    headers: _calls.Headers

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]


class Entry:
    """Accept requests and send each to an owner.

    :param name: name of this daemon.
    :param config: :class:`_config.Config`.
    :param owner: the local owner.
    :param members: :class:`_members.Members`.
    :param guards: :class:`_guards.Guards`.
    :param accounts: :class:`_accounts.Accounts`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(
        self, name, config, owner, members, guards, accounts, log, now
    ):
        self._name = name
        self._config = config
        self._owner = owner
        self._members = members
        self._accounts = accounts
        self._flow = guards.flow
        self._marks = guards.marks
        self._retries = guards.retries
        self._log = log
        self._now = now

    def authorise(self, inbound):
        """Find the route of a caller's request and authenticate the caller.

        :returns: ``Success((Route, account name))`` or
            ``Failure(CallError)``.
        """
        document = self._config.current
        route = document.find_route(inbound.method, inbound.path)
        if route is None:
            # An outdated document may lack the route.
            if not self._config.is_fresh():
                return _calls.fail(_E.CONFIG_STALE)
            return _calls.fail(_E.NO_ROUTE)
        account_name = _access.find_account_name(
            self._config, route, inbound.key
        )
        if not pipeline.is_successful(account_name):
            return account_name
        is_keyed = route.needs_idempotency_key and not route.is_open
        if is_keyed and not inbound.idempotency_key:
            return _calls.fail(_E.BAD_REQUEST, 'Idempotency-Key is required')
        return result.Success((route, account_name.unwrap()))

    def make_root_call(self, inbound, route, account, body):
        """Create the root call for a caller's request.

        :returns: ``Success(Call)`` or ``Failure(CallError)``.
        """
        if _contains_key(inbound, body):
            # Forwarding the request would reveal the key to a backend server.
            return _calls.fail(_E.BAD_REQUEST, 'key outside its header')
        call_id = calls.make_call_id(secrets.token_bytes)
        timeout_ms = min(
            route.deadline_ms, inbound.deadline_ms or route.deadline_ms
        )
        context = calls.CallContext(
            call_id=call_id,
            root_call_id=call_id,
            parent_call_id='',
            root_entry=self._name,
            client_account=account,
            service=route.service,
            priority=route.priority,
            deadline=self._now() + timeout_ms / 1000,
            depth=0,
            idempotent=route.idempotent,
            fingerprint=_compute_fingerprint(
                inbound, account, route.service, body
            ),
        )
        call = _make_call(context, inbound, body, route)
        if not route.idempotent:
            call = attrs.evolve(call, idempotency_key=inbound.idempotency_key)
        return result.Success(call)

    def make_nested_call(self, inbound, service, parent, body):
        """Create a call that a backend server makes while it runs ``parent``.

        :param service: service that the backend server calls.
        :param parent: the running :class:`_calls.Call`.
        :returns: ``Success(Call)`` or ``Failure(CallError)``.
        """
        if parent.context.depth + 1 >= MAX_CALL_DEPTH:
            return _calls.fail(
                _E.BAD_REQUEST,
                f'calls are nested deeper than {MAX_CALL_DEPTH}',
            )
        route = self._config.current.find_service_route(
            service, inbound.method, inbound.path
        )
        if route is None:
            return _calls.fail(_E.NO_ROUTE, f'service {service}')
        now = self._now()
        timeout_ms = inbound.deadline_ms or route.deadline_ms
        outer = parent.context
        account = outer.client_account
        context = attrs.evolve(
            outer,
            call_id=calls.make_call_id(secrets.token_bytes),
            parent_call_id=outer.call_id,
            service=service,
            deadline=min(outer.deadline, now + timeout_ms / 1000),
            depth=outer.depth + 1,
            idempotent=route.idempotent,
            fingerprint=_compute_fingerprint(inbound, account, service, body),
        )
        call = _make_call(context, inbound, body, route)
        self._flow.record_nested_call(parent, call)
        return result.Success(call)

    async def dispatch(self, call):
        """Send ``call`` to an owner and return its outcome.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        checked = self._marks.check(call.context.fingerprint)
        if isinstance(checked, result.Failure):
            return checked
        if call.context.depth:
            return await self._dispatch_nested(call)
        if self._flow.is_refused(call):
            return _calls.fail(
                _E.OVERLOADED,
                'a service further down the call chain is shedding calls',
            )
        return await self._accounts.run(call, self._dispatch_root)

    async def _dispatch_root(self, call):
        route = self._config.current.find_service_route(
            call.context.service, call.method, call.path
        )
        self._retries.open(call, route.retries if route else 0)
        try:
            return await self._run_on_owners(call)
        finally:
            self._retries.close(call)

    async def _dispatch_nested(self, call):
        admitted = await self._retries.admit_nested(call)
        if isinstance(admitted, result.Failure):
            return admitted
        return await self._run_on_owners(call)

    async def _run_on_owners(self, call):
        await self._members.prepare(call.context.service)
        tried = set()
        may_have_run = False
        outcome = _calls.fail(_E.NO_BACKEND_SERVER)
        while len(tried) < MAX_OWNERS_PER_CALL:
            name, runner = self._choose_owner(call, tried)
            if runner is None:
                break
            tried.add(name)
            self._record(_V.CALL_DISPATCHED, call, owner=name)
            outcome = await runner.run(call)
            self._flow.receive(call, name, runner.read_pressure(call))
            if pipeline.is_successful(outcome):
                self._record_response(call, outcome.unwrap())
                break
            may_have_run = may_have_run or not _is_not_run(outcome.failure())
            await self._report_lost_owner(call, outcome.failure())
            if not await self._may_try_next_owner(outcome.failure(), call):
                break
        return outcome.alt(_mark_as_possibly_run) if may_have_run else outcome

    def _record_response(self, call, response):
        """Credit the retry budget for a response without a server error."""
        if response.status < 500:
            self._retries.record_success(call)

    async def _report_lost_owner(self, call, error):
        """Add a crash mark if the owner was lost while the call ran."""
        if error.kind is _E.BACKEND_SERVER_FAILED:
            if error.detail == _peers.OWNER_LOST:
                loss = self._marks.make_loss_id()
                fingerprint = call.context.fingerprint
                await self._marks.report_loss(loss, [fingerprint])

    async def _may_try_next_owner(self, error, call):
        """Return whether the call may be sent to another owner."""
        if error.kind in _REDIRECTED_KINDS and _is_not_run(error):
            return call.context.deadline > self._now()
        if error.kind not in _RETRIED_KINDS:
            return False
        return await self._retries.may_resend(call, error)

    def _choose_owner(self, call, tried):
        service = call.context.service
        local = self._owner.announcement
        is_local = local is not None and local.service == service
        if is_local and self._owner.has_free_slot and self._name not in tried:
            return self._name, self._owner
        member = self._members.choose(service, tried | {self._name})
        if member is not None:
            return member.name, self._members.make_runner(member)
        if is_local and self._name not in tried:
            return self._name, self._owner
        return None, None

    def _record(self, event, call, **fields):
        context = call.context
        self._log.record(
            event,
            call_id=context.call_id,
            root_call_id=context.root_call_id,
            client_account=context.client_account,
            service=context.service,
            **fields,
        )


def _is_not_run(error):
    return error.response.not_run is errors.NotRun.TRUE


def _mark_as_possibly_run(error):
    """Return ``error`` without its statement that the call was not run.

    Used when an earlier attempt of the same call may have run.
    """
    if not _is_not_run(error):
        return error
    return attrs.evolve(error, not_run=errors.NotRun.UNKNOWN)


def _make_call(context, inbound, body, route):
    return _calls.Call(
        context,
        inbound.method,
        inbound.target,
        inbound.headers,
        body,
        route.name,
    )


def _compute_fingerprint(inbound, account, service, body):
    return calls.compute_fingerprint(
        account, service, inbound.method, inbound.target, body
    )


def _contains_key(inbound, body):
    if not inbound.key:
        return False
    if inbound.key in parse.unquote(inbound.target):
        return True
    if any(inbound.key in value for _, value in inbound.headers):
        return True
    return inbound.key.encode() in body
