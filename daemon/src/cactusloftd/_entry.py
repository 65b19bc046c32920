"""The path of a call on its entry daemon."""

import secrets
from urllib import parse

import attrs
from returns import pipeline
from returns import result

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls

# Owners tried for one call while each refuses with certainty that the call
# did not run. More would add load where every owner is full.
MAX_OWNERS_TRIED = 3
MAX_DEPTH = 16
BEARER = 'bearer '
_E = errors.ErrorKind
_V = events.Event


@attrs.frozen
class Inbound:
    """A request as a listener read it.

    :ivar target: path with query.
    :ivar key: caller key, or empty.
    :ivar idempotency_key: value of ``Idempotency-Key``, or empty.
    :ivar deadline_ms: deadline that the client asked for, or None.
    :ivar headers: end-to-end headers without key.
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
    """Take requests and send each to an owner.

    :param name: name of this daemon.
    :param config: :class:`_config.Config`.
    :param owner: the local owner.
    :param members: :class:`_members.Members`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, name, config, owner, members, log, now):
        self._name = name
        self._config = config
        self._owner = owner
        self._members = members
        self._log = log
        self._now = now

    def authorise(self, inbound):
        """Return the route and account of a caller's request.

        :returns: ``Success((Route, account name))`` or
            ``Failure(CallError)``.
        """
        document = self._config.current
        route = document.find_route(inbound.method, inbound.path)
        if route is None:
            # Without a confirmed document the route may only be unknown.
            if not self._config.is_fresh():
                return _calls.fail(_E.CONFIG_STALE)
            return _calls.fail(_E.NO_ROUTE)
        if route.is_open:
            return result.Success((route, ''))
        if not self._config.is_fresh():
            return _calls.fail(_E.CONFIG_STALE)
        account = document.find_account(inbound.key) if inbound.key else None
        if account is None:
            return _calls.fail(_E.UNAUTHENTICATED)
        if route.needs_idempotency_key and not inbound.idempotency_key:
            return _calls.fail(_E.BAD_REQUEST, 'Idempotency-Key is required')
        return result.Success((route, account.name))

    def make_root_call(self, inbound, route, account, body):
        """Return the call of a caller's request.

        :returns: ``Success(Call)`` or ``Failure(CallError)``.
        """
        if _holds_key(inbound, body):
            # Passing it on would show the key to a backend server.
            return _calls.fail(_E.BAD_REQUEST, 'key outside its header')
        call_id = calls.make_call_id(secrets.token_bytes)
        limit_ms = min(
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
            deadline=self._now() + limit_ms / 1000,
            depth=0,
            idempotent=route.idempotent,
            fingerprint=_fingerprint(inbound, account, route.service, body),
        )
        return result.Success(
            _calls.Call(
                context, inbound.method, inbound.target, inbound.headers, body
            )
        )

    def make_nested_call(self, inbound, service, parent, body):
        """Return the call that a backend server makes within ``parent``.

        :param service: service named by the backend server.
        :param parent: context of the running call.
        :returns: ``Success(Call)`` or ``Failure(CallError)``.
        """
        if parent.depth + 1 >= MAX_DEPTH:
            return _calls.fail(_E.BAD_REQUEST, f'deeper than {MAX_DEPTH}')
        route = self._config.current.find_service_route(
            service, inbound.method, inbound.path
        )
        if route is None:
            return _calls.fail(_E.NO_ROUTE, f'service {service}')
        now = self._now()
        limit_ms = inbound.deadline_ms or route.deadline_ms
        account = parent.client_account
        context = attrs.evolve(
            parent,
            call_id=calls.make_call_id(secrets.token_bytes),
            parent_call_id=parent.call_id,
            service=service,
            deadline=min(parent.deadline, now + limit_ms / 1000),
            depth=parent.depth + 1,
            idempotent=route.idempotent,
            fingerprint=_fingerprint(inbound, account, service, body),
        )
        return result.Success(
            _calls.Call(
                context, inbound.method, inbound.target, inbound.headers, body
            )
        )

    async def dispatch(self, call):
        """Send ``call`` to an owner and return its outcome.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        await self._members.prepare(call.context.service)
        tried = set()
        outcome = _calls.fail(_E.NO_BACKEND_SERVER)
        for _ in range(MAX_OWNERS_TRIED):
            name, runner = self._choose_owner(call, tried)
            if runner is None:
                break
            tried.add(name)
            self._record(_V.CALL_DISPATCHED, call, owner=name)
            outcome = await runner.run(call)
            if pipeline.is_successful(outcome):
                break
            if not _may_try_next(outcome.failure(), call, self._now()):
                break
        return outcome

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


def _may_try_next(error, call, now):
    """Tell whether another owner may get the call after ``error``."""
    is_certain = error.answer.not_run is errors.NotRun.TRUE
    return is_certain and call.context.deadline > now


def _fingerprint(inbound, account, service, body):
    return calls.compute_fingerprint(
        account, service, inbound.method, inbound.target, body
    )


def _holds_key(inbound, body):
    if not inbound.key:
        return False
    if inbound.key in parse.unquote(inbound.target):
        return True
    if any(inbound.key in value for _, value in inbound.headers):
        return True
    return inbound.key.encode() in body
