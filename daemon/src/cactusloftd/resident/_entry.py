"""The path of a request on the host where it began.

The entry alone decides on sending a request again, so an attempt of a client
runs at most once wherever that is asked for: whatever an owner did not declare
as not run may have run.
"""

import asyncio

from returns import pipeline
from returns import result

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_retry import budgets
from cactusloftd import _access
from cactusloftd import _calls
from cactusloftd.resident import _attempts
from cactusloftd.resident import _delivery
from cactusloftd.resident import _owner
from cactusloftd.resident import _splits

# Owners asked for one call while each refuses before its backend server saw
# the call. More would add load where every owner is full.
MOST_OWNERS = 3
# Sends of one call to backend servers, those that declined to run it included.
MOST_SENDS = 6
# Repeats as a share of the requests for a service in 10 s, below the 0.2 that
# the operators allow, as each host counts the seconds for itself. Nested calls
# of repeated ones are among the repeats.
REPEAT_SHARE = 0.15
REPEAT_RESERVE = 1
# Time left below which an answer of another owner would come too late.
LEAST_REPEAT_S = 0.05
# The backend server of this host is used without a hop while it holds fewer
# calls for each slot and is not slower than the others by this factor.
MOST_LOCAL_LOAD = 0.8
SLOW_FACTOR = 2.0
# The owner's own answer that the deadline has passed is still on its way.
DEADLINE_GRACE_S = 0.2
NOT_FOUND_RETRY_S = 0.2
_E = errors.ErrorKind
_V = events.Event
_TRUE = errors.NotRun.TRUE
# The owner did not offer the call to a backend server: another one may be
# asked at no cost.
_FREE_KINDS = (_E.NO_BACKEND_SERVER, _E.SHUTTING_DOWN)
_FREE_DETAILS = (_owner.NO_SLOT, _delivery.UNREACHABLE)


class Entry:
    """Take requests and send each to an owner.

    :param settings: :class:`_settings.Settings`.
    :param config: :class:`_installed.InstalledDocument`.
    :param owner: the local :class:`_owner.Owner`.
    :param members: :class:`_members.Members`.
    :param debits: :class:`_debits.Debits`.
    :param marks: :class:`_marks.Marks`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(
        self,
        settings,
        config,
        owner,
        members,
        debits,
        marks,
        log,
        metrics,
        now,
    ):
        self._name = settings.name
        self._config = config
        self._owner = owner
        self._members = members
        self._debits = debits
        self._marks = marks
        self._log = log
        self._metrics = metrics
        self._now = now
        self._splits = _splits.Splits()
        self._budgets = {}

    async def serve(self, request, caller_service):
        """Serve one request.

        :param request: :class:`protocol.Request`.
        :param caller_service: service of the backend server beside this
            daemon.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        arrived_at = self._now()
        authorised = self._authorise(request)
        if not pipeline.is_successful(authorised):
            self._note_refusal(request, authorised.failure(), arrived_at)
            return authorised
        route, account = authorised.unwrap()
        call = self._make_call(request, route, account, caller_service)
        self._find_budget(call.context.service).record_request(
            call.context.is_repeat
        )
        outcome = await self._admit(call, route)
        if request.parent_id and _attempts.is_failed(outcome):
            self._owner.note_nested_failure(request.parent_id)
        self._metrics.record(
            'cactusloft_call_duration_seconds',
            self._now() - arrived_at,
            call.context.service,
        )
        if isinstance(outcome, result.Failure):
            self._note_refusal(request, outcome.failure(), arrived_at, call)
        else:
            self._note_answer(call, outcome.unwrap(), arrived_at)
        return outcome

    def _authorise(self, request):
        """Return the route and the account name of a request."""
        document = self._config.current
        route = document.find_route(request.method, request.path, request.host)
        if route is None:
            # Without a confirmed document the route may only be unknown.
            if not self._is_known():
                return _calls.fail(_E.CONFIG_STALE)
            return _calls.fail(_E.NO_ROUTE)
        found = _access.find_account_name(self._config, route, request.key)
        return found.map(lambda name: (route, name))

    def _is_known(self):
        """Tell whether there is a document that is confirmed."""
        return self._config.version.number > 0 and self._config.is_fresh()

    def _make_call(self, request, route, account, caller_service):
        limit_ms = route.deadline_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        service = self._splits.choose(route)
        priority, depth, is_repeat = route.priority, 0, False
        known = self._config.current.accounts.get(account)
        if known is not None and known.priority is not None:
            priority = known.priority
        parent = None
        if not account and request.parent_id:
            parent = self._owner.find_running(request.parent_id)
        if parent is not None:
            priority, depth = parent.priority, parent.depth + 1
            is_repeat, rank = parent.is_repeat, parent.rank
        else:
            rank = calls.compute_rank(
                request.root_id, priority, route.idempotent
            )
        context = calls.CallContext(
            call_id=request.attempt_id,
            root_call_id=request.root_id,
            parent_call_id=request.parent_id,
            root_entry=self._name,
            client_account=account,
            service=service,
            priority=priority,
            deadline=self._now() + limit_ms / 1000,
            depth=depth,
            idempotent=route.idempotent,
            fingerprint=calls.compute_fingerprint(
                account, '', request.method, request.target, request.body
            ),
            is_repeat=is_repeat,
            rank=rank,
        )
        return _calls.Call(
            context,
            request.method,
            request.target,
            request.headers,
            request.body,
            route.name,
            host=request.host,
            caller_service=caller_service,
            patience_s=(route.target_latency_ms or limit_ms) / 1000,
        )

    async def _admit(self, call, route):
        checked = self._marks.check(call.context.fingerprint)
        if not pipeline.is_successful(checked):
            return checked
        admitted = await self._debits.admit(call.context)
        if not pipeline.is_successful(admitted):
            return admitted
        outcome = await self._try_owners(call, 1 + route.retries)
        is_failure = isinstance(outcome, result.Failure)
        if is_failure and _attempts.is_not_run(outcome.failure()):
            self._debits.return_token(call.context)
        return outcome

    async def _try_owners(self, call, most_runs):
        """Ask owners until one answers, and at most until the deadline."""
        await self._members.prepare(call.context.service)
        attempt = _attempts.Attempt(call, most_runs)
        limit_s = call.context.deadline - self._now() + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._run_attempt(attempt)
        except TimeoutError:
            outcome = _calls.fail(_E.DEADLINE_EXCEEDED)
            attempt.may_have_run |= attempt.is_sent
            if attempt.is_sent:
                self._note_run(call, attempt.owner, outcome)
        settled = attempt.settle(outcome)
        unused = attempt.failed_answer
        if unused is not None and unused is not settled:
            await unused.unwrap().close()
        return settled

    async def _run_attempt(self, attempt):
        call = attempt.call
        outcome = _calls.fail(
            _E.NO_BACKEND_SERVER, 'no member', _TRUE, NOT_FOUND_RETRY_S
        )
        while len(attempt.tried) < MOST_OWNERS or attempt.decliners:
            name, runner = self._choose_next(attempt)
            if runner is None:
                break
            attempt.begin(name)
            outcome = await runner.run(attempt.make_sent_call())
            attempt.is_sent = False
            self._note_run(call, name, outcome)
            attempt.record_outcome(name, runner, outcome)
            if not self._may_try_next(attempt, outcome):
                break
        return outcome

    def _choose_next(self, attempt):
        """Return name and runner of the next owner for a call, or Nones."""
        choice = None, None
        if attempt.may_try_another and len(attempt.tried) < MOST_OWNERS:
            choice = self._choose_owner(attempt.call, attempt.tried)
        # A backend server that declined one call at random may take the next.
        if choice[1] is None and attempt.decliners:
            choice = attempt.decliners.popleft()
        return choice

    def _choose_owner(self, call, tried):
        service = call.context.service
        is_local = self._owner.service == service and self._owner.is_serving
        is_local = is_local and self._name not in tried
        if is_local and self._is_local_choice(call):
            return self._name, self._owner
        member = self._members.choose(service, tried | {self._name})
        if member is not None:
            return member.name, self._members.make_runner(member)
        return (self._name, self._owner) if is_local else (None, None)

    def _is_local_choice(self, call):
        """Tell whether the backend server here is as good as any."""
        if self._owner.load > MOST_LOCAL_LOAD:
            return False
        own_s = self._owner.find_service_time(call.route)
        others_s = self._members.find_mean_latency(
            call.context.service, call.route
        )
        if own_s is None or others_s is None:
            return True
        return own_s < SLOW_FACTOR * others_s

    def _note_run(self, call, name, outcome):
        service = call.context.service
        if isinstance(outcome, result.Success):
            response = outcome.unwrap()
            is_failed = response.status >= 500 and not response.is_caused_below
        else:
            error = outcome.failure()
            is_failed = error.kind is _E.BACKEND_SERVER_FAILED
            is_failed = is_failed or _attempts.is_declined(error)
            self._log.record(
                _V.CALL_DISPATCHED,
                call_id=call.context.call_id,
                owner=name,
                service=service,
                kind=error.kind.value,
                not_run=error.claim.value,
                detail=error.detail,
            )
        self._members.record_outcome(service, name, is_failed)

    def _may_try_next(self, attempt, outcome):
        """Tell whether another owner may get the call after ``outcome``."""
        call = attempt.call
        context = call.context
        if isinstance(outcome, result.Success):
            # A backend server's own failure counts as run.
            response = outcome.unwrap()
            if response.status < 500 or not context.idempotent:
                return False
            if response.is_caused_below:
                # The nested call had its repeats; a new run makes all of them.
                return False
            if attempt.failed_answer is None:
                attempt.failed_answer = outcome
        else:
            error = outcome.failure()
            is_not_run = _attempts.is_not_run(error)
            attempt.may_have_run |= not is_not_run
            if context.deadline - self._now() < LEAST_REPEAT_S:
                return False
            if is_not_run and error.kind in _FREE_KINDS:
                return True
            if is_not_run and error.detail in _FREE_DETAILS:
                return True
            if not budgets.may_resend(context.idempotent, error.claim):
                return False
            if error.kind is _E.DEADLINE_EXCEEDED:
                return False
        return self._may_repeat(attempt)

    def _may_repeat(self, attempt):
        """Take budget for one more run of a call."""
        context = attempt.call.context
        budget = self._find_budget(context.service)
        has_room = budget.allows_retry(context.rank)
        is_given = (
            has_room
            and attempt.sends < MOST_SENDS
            and (attempt.may_try_another or bool(attempt.decliners))
            and context.deadline - self._now() >= LEAST_REPEAT_S
        )
        if is_given:
            budget.spend()
        self._log.record(
            _V.CALL_RETRIED if is_given else _V.RETRY_DENIED,
            call_id=context.call_id,
            service=context.service,
            sends=attempt.sends,
            reached=len(attempt.reached),
            most_reached=attempt.most_reached,
            rank=round(context.rank, 3),
            has_budget=has_room,
        )
        return is_given

    def _find_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.RequestBudget(
                REPEAT_SHARE, self._now, REPEAT_RESERVE
            )
        return budget

    def _note_answer(self, call, response, arrived_at):
        context = call.context
        self._metrics.count(
            'cactusloft_calls_total',
            context.service,
            f'{response.status // 100}xx',
        )
        # Most answers leave no line; its fields need not be made.
        if not self._log.takes(_V.CALL_ANSWERED):
            return
        self._log.write(
            _V.CALL_ANSWERED,
            call_id=context.call_id,
            service=context.service,
            route=call.route,
            status=response.status,
            after_ms=round((self._now() - arrived_at) * 1000),
        )

    def _note_refusal(self, request, error, arrived_at, call=None):
        self._metrics.count(
            'cactusloft_refusals_total', 'callers', error.kind.value
        )
        fields = {}
        if call is not None:
            context = call.context
            fields = {
                'service': context.service,
                'route': call.route,
                'client_account': context.client_account,
                'priority': context.priority.name.lower(),
                'left_ms': context.remaining_ms(self._now()),
            }
        self._log.record(
            _V.CALL_REFUSED,
            call_id=request.attempt_id,
            kind=error.kind.value,
            not_run=error.claim.value,
            detail=error.detail,
            document_version=self._config.version.number,
            confirmation_age_s=round(self._config.age_s, 3),
            after_ms=round((self._now() - arrived_at) * 1000),
            **fields,
        )
