"""Handling of a client request on the daemon that received it.

Only the entry retries a request, so that a request that is not idempotent
runs at most once: unless an owner declares that a call has not run, the entry
assumes that it may have run.
"""

import asyncio
import random

from returns import result

import cactusloft_link as link
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_retry import budgets
from cactusloftd import _access
from cactusloftd import _calls
from cactusloftd import _peers
from cactusloftd.resident import _attempts
from cactusloftd.resident import _delivery
from cactusloftd.resident import _owner
from cactusloftd.resident import _placing
from cactusloftd.resident import _refused_calls
from cactusloftd.resident import _returning
from cactusloftd.resident import _splits
from cactusloftd.resident import _starting
from cactusloftd.resident import _stopping

# Owners tried for one call. More would add load when every owner is full.
MAX_OWNERS = 3
# Sends of one call to backend servers, including those that declined it.
MAX_SENDS = 6
# Maximum ratio of retries to requests of a service over 10 s. The operators
# allow 0.2 in total; the margin is needed because hosts count separately.
# Nested calls of a retried call count as retries.
MAX_RETRY_RATIO = 0.15
RETRY_RESERVE = 1
# With less time left, the response of another owner would arrive too late.
MIN_RETRY_TIME_S = 0.05
# The local backend server is preferred, which saves a hop, unless it holds
# more calls per slot than this or its mean service time exceeds that of the
# other members by this factor.
MAX_LOCAL_CALLS_PER_SLOT = 0.8
MAX_LOCAL_SLOWDOWN = 2.0
# After the deadline, the owner's own timeout error may still be in transit.
DEADLINE_GRACE_S = 0.2
NO_MEMBER_RETRY_AFTER_S = 0.2
# For requests that name no deadline, until their route is known.
DEFAULT_DEADLINE_MS = 1000
_E = errors.ErrorKind
_V = events.Event
_TRUE = errors.NotRun.TRUE
# The owner did not send the call to its backend server, so trying another
# owner does not count as a retry.
_NOT_SENT_KINDS = (_E.NO_BACKEND_SERVER, _E.SHUTTING_DOWN)
_NOT_SENT_DETAILS = (
    _owner.NO_SLOT,
    _owner.NO_FREE_SLOT,
    _owner.SLOW_NOW,
    _delivery.UNREACHABLE,
    _peers.NO_MEMORY,
)


class Entry:
    """Accept client requests and forward each to an owner.

    :param settings: :class:`_settings.Settings`.
    :param config: :class:`_installed.InstalledDocument`.
    :param owner: the local :class:`_owner.Owner`.
    :param members: :class:`_members.Members`.
    :param debits: :class:`_debits.Debits`.
    :param marks: :class:`_marks.Marks`.
    :param stop: :class:`_stopping.Stop` of this process.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    :param now: function that returns monotonic time in seconds.
    :ivar starting: :class:`_starting.Starting` of this process.
    """

    def __init__(
        self,
        settings,
        config,
        owner,
        members,
        debits,
        marks,
        stop,
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
        self._stop = stop
        self._log = log
        self._metrics = metrics
        self._now = now
        self._splits = _splits.SplitChooser(random.Random())
        self._budgets = {}
        self._placing = _placing.Placing()
        self.starting = _starting.Starting(now)
        self._refused_calls = _refused_calls.RefusedCalls()

    async def serve(self, request, caller_service):
        """Handle one request.

        :param request: :class:`protocol.Request`.
        :param caller_service: service of the callers on this host.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        waited_s = asyncio.get_running_loop().time() - request.read_at
        arrived_at = self._now() - waited_s
        if not self.starting.is_over and not self._has_confirmed_document():
            deadline_ms = request.deadline_ms or DEFAULT_DEADLINE_MS
            await self.starting.wait(deadline_ms / 1000 - waited_s)
        authorised = self._authorise(request)
        if not isinstance(authorised, result.Success):
            self._record_refusal(request, authorised.failure(), arrived_at)
            return authorised
        route, account_name = authorised.unwrap()
        call = self._make_call(
            request, route, account_name, caller_service, arrived_at
        )
        if not self._stop.takes(self._estimate_end(call)):
            refused = _calls.fail(
                _E.SHUTTING_DOWN,
                'host stops before the deadline',
                retry_after_s=_stopping.RETRY_AFTER_S,
            )
            self._record_refusal(request, refused.failure(), arrived_at, call)
            return refused
        self._find_budget(call.context.service).record_request(
            call.context.is_repeat
        )
        outcome = await self._admit(call, route)
        if request.parent_id and _attempts.is_failed(outcome):
            self._owner.record_nested_failure(request.parent_id)
        self._metrics.record(
            'cactusloft_call_duration_seconds',
            self._now() - arrived_at,
            call.context.service,
        )
        if not isinstance(outcome, result.Success):
            self._remember_refused_call(call, outcome.failure(), arrived_at)
            self._record_refusal(request, outcome.failure(), arrived_at, call)
        else:
            response = outcome.unwrap()
            left_s = call.context.deadline - self._now() + DEADLINE_GRACE_S
            response.ends_at = asyncio.get_running_loop().time() + left_s
            self._record_response(call, response, arrived_at)
        return outcome

    def _authorise(self, request):
        """Find the route of a request and the account of its key.

        :returns: ``Success((route, account name))`` or ``Failure(CallError)``.
        """
        document = self._config.current
        route = document.find_route(request.method, request.path, request.host)
        if route is None:
            # A newer document may have the route.
            if not self._has_confirmed_document():
                return _calls.fail(_E.CONFIG_STALE)
            return _calls.fail(_E.NO_ROUTE)
        found = _access.find_account_name(self._config, route, request.key)
        if not isinstance(found, result.Success):
            return found
        return result.Success((route, found.unwrap()))

    def _has_confirmed_document(self):
        """Tell whether a document is installed and was recently confirmed."""
        return self._config.version.number > 0 and self._config.is_fresh()

    def _make_call(
        self, request, route, account_name, caller_service, arrived_at
    ):
        timeout_ms = route.deadline_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        service = self._splits.choose(route)
        priority, depth, is_repeat = route.priority, 0, False
        account = self._config.current.accounts.get(account_name)
        if account is not None and account.priority is not None:
            priority = account.priority
        fingerprint = calls.compute_fingerprint(
            account_name, '', request.method, request.target, request.body
        )
        timeout_s = timeout_ms / 1000
        patience_s = (route.target_latency_ms or timeout_ms) / 1000
        urgency, is_return = 0, False
        if self._owner.shares_room:
            urgency = route.priority
            first_at = self._refused_calls.take(fingerprint, arrived_at)
            is_return = first_at is not None
            if is_return:
                patience_s = _refused_calls.compute_patience(
                    patience_s, timeout_s, arrived_at - first_at
                )
        parent = None
        if not account_name and request.parent_id:
            parent = self._owner.find_running(request.parent_id)
        if parent is not None:
            priority, depth = parent.priority, parent.depth + 1
            is_repeat, rank = parent.is_repeat, parent.rank
            urgency, is_return = parent.urgency, parent.is_return
        else:
            rank = calls.compute_rank(
                request.root_id, priority, route.idempotent
            )
        context = calls.CallContext(
            call_id=request.attempt_id,
            root_call_id=request.root_id,
            parent_call_id=request.parent_id,
            root_entry=self._name,
            client_account=account_name,
            service=service,
            priority=priority,
            deadline=arrived_at + timeout_s,
            depth=depth,
            idempotent=route.idempotent,
            fingerprint=fingerprint,
            is_repeat=is_repeat,
            rank=rank,
            urgency=urgency,
            is_return=is_return,
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
            patience_s=patience_s,
        )

    def _remember_refused_call(self, call, error, arrived_at):
        """Remember a call whose caller is told to come back."""
        context = call.context
        if not self._owner.shares_room or context.parent_call_id:
            return
        retry_after_s = error.response.retry_after_s
        # Callers come back once.
        if context.is_return or retry_after_s is None:
            return
        if _attempts.is_not_run(error):
            self._refused_calls.remember(
                context.fingerprint,
                arrived_at,
                retry_after_s,
                context.deadline,
                self._now(),
            )

    def _estimate_end(self, call):
        """Return the monotonic time by which the call will have ended.

        A nested call is expected to end within its target latency. Refusing
        it for its deadline, which is that of the call above, would fail a
        request that was taken before.
        """
        deadline = call.context.deadline
        if call.context.parent_call_id:
            return min(deadline, self._now() + call.patience_s)
        return deadline

    async def _admit(self, call, route):
        checked = self._marks.check(call.context.fingerprint)
        if not isinstance(checked, result.Success):
            return checked
        admitted = await self._debits.admit(call.context)
        if not isinstance(admitted, result.Success):
            return admitted
        outcome = await self._try_owners(call, 1 + route.retries)
        is_failure = not isinstance(outcome, result.Success)
        is_not_run = is_failure and _attempts.is_not_run(outcome.failure())
        if is_not_run and admitted.unwrap():
            self._debits.return_token(call.context)
        return outcome

    async def _try_owners(self, call, max_runs):
        """Try owners until one responds or the deadline passes."""
        attempt = _attempts.Attempt(call, max_runs)
        attempt.offers_left = self._placing.count_offers(call.context.service)
        timeout_s = call.context.deadline - self._now() + DEADLINE_GRACE_S
        try:
            with link.limit(timeout_s):
                outcome = await self._run_attempt(attempt)
        except asyncio.CancelledError:
            await attempt.close_failed_outcome()
            raise
        except TimeoutError:
            outcome = _calls.fail(_E.DEADLINE_EXCEEDED)
            attempt.may_have_run |= attempt.is_in_flight
            if attempt.is_in_flight:
                self._record_run(call, attempt.owner, outcome)
        if isinstance(outcome, result.Success):
            retry_after_s = None
        else:
            context = call.context
            retry_after_s = _returning.compute_retry_after(
                context.call_id,
                context.deadline - self._now(),
                self._placing.find_full_share(context.service),
                attempt.room_in_s,
                (context.priority + context.urgency) / 2,
            )
        final_outcome = attempt.settle(outcome, retry_after_s)
        if final_outcome is not attempt.failed_outcome:
            await attempt.close_failed_outcome()
        return final_outcome

    async def _run_attempt(self, attempt):
        call, started_at = attempt.call, self._now()
        await self._members.prepare(call.context.service)
        outcome = _calls.fail(
            _E.NO_BACKEND_SERVER, 'no member', _TRUE, NO_MEMBER_RETRY_AFTER_S
        )
        while (
            len(attempt.tried) < MAX_OWNERS
            or attempt.declined_owners
            or attempt.full_owners
        ):
            name, runner = self._choose_next(attempt)
            if runner is None:
                break
            attempt.start_send(name)
            waited_s = 0.0
            if len(attempt.tried) > 1 and self._owner.shares_room:
                waited_s = self._now() - started_at
            outcome = await runner.run(attempt.make_call_to_send(waited_s))
            attempt.is_in_flight = False
            self._record_run(call, name, outcome, runner.work)
            attempt.record_outcome(name, runner, outcome)
            self._placing.record(call.context.service, _is_full(outcome))
            if not self._may_resend(attempt, outcome):
                break
        return outcome

    def _choose_next(self, attempt):
        """Return name and runner of the next owner to try, or two Nones."""
        choice = None, None
        may_try_new = len(attempt.tried) < MAX_OWNERS
        attempt.is_offer = attempt.offers_left > 0
        attempt.offers_left -= attempt.is_offer
        if not attempt.is_offer and attempt.full_owners:
            return attempt.take_least_loaded()
        if attempt.may_try_another and may_try_new:
            choice = self._choose_owner(attempt.call, attempt.tried)
        if choice[1] is None and attempt.full_owners:
            attempt.is_offer = False
            return attempt.take_least_loaded()
        # Backend servers decline calls at random, so one that declined the
        # call may accept it the next time.
        if choice[1] is None and attempt.declined_owners:
            choice = attempt.declined_owners.popleft()
        return choice

    def _choose_owner(self, call, tried):
        service = call.context.service
        is_local = self._owner.service == service and self._owner.is_serving
        is_local = is_local and self._name not in tried
        if is_local and self._is_local_choice(call):
            return self._name, self._owner
        member = self._members.choose(service, tried | {self._name}, call)
        if member is not None:
            return member.name, self._members.make_runner(member)
        return (self._name, self._owner) if is_local else (None, None)

    def _is_local_choice(self, call):
        """Tell whether the local backend server is preferred."""
        if self._owner.load > MAX_LOCAL_CALLS_PER_SLOT:
            return False
        local_s = self._owner.find_service_time(call.route)
        remote_s = self._members.find_mean_latency(
            call.context.service, call.route
        )
        if local_s is None or remote_s is None:
            return True
        return local_s < MAX_LOCAL_SLOWDOWN * remote_s

    def _record_run(self, call, name, outcome, work=None):
        service = call.context.service
        if isinstance(outcome, result.Success):
            response = outcome.unwrap()
            response.owner = name
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
                not_run=error.effective_not_run.value,
                detail=error.detail,
                **_placing.describe_work(work),
            )
        self._members.record_outcome(service, name, is_failed)

    def _may_resend(self, attempt, outcome):
        """Tell whether the call may be sent again after ``outcome``."""
        call = attempt.call
        context = call.context
        if isinstance(outcome, result.Success):
            # The backend server ran the call, even if it returned an error.
            response = outcome.unwrap()
            if response.status < 500 or not context.idempotent:
                return False
            if response.is_caused_below:
                # The nested call was already retried; running this call again
                # would send all its nested calls again.
                return False
            if attempt.failed_outcome is None:
                attempt.failed_outcome = outcome
        else:
            error = outcome.failure()
            is_not_run = _attempts.is_not_run(error)
            attempt.may_have_run |= not is_not_run
            if context.deadline - self._now() < MIN_RETRY_TIME_S:
                return False
            if error.detail == _owner.NO_TIME:
                return False
            if is_not_run and error.kind in _NOT_SENT_KINDS:
                return True
            if is_not_run and error.detail in _NOT_SENT_DETAILS:
                return True
            if not budgets.may_resend(
                context.idempotent, error.effective_not_run
            ):
                return False
            if error.kind is _E.DEADLINE_EXCEEDED:
                return False
        return self._claim_retry(attempt)

    def _claim_retry(self, attempt):
        """Charge one more send to the retry budget; tell if it is allowed."""
        context = attempt.call.context
        budget = self._find_budget(context.service)
        has_budget = budget.allows_retry(context.rank)
        is_allowed = (
            has_budget
            and attempt.sends < MAX_SENDS
            and (attempt.may_try_another or bool(attempt.declined_owners))
            and context.deadline - self._now() >= MIN_RETRY_TIME_S
        )
        if is_allowed:
            budget.spend()
        self._log.record(
            _V.CALL_RETRIED if is_allowed else _V.RETRY_DENIED,
            call_id=context.call_id,
            service=context.service,
            sends=attempt.sends,
            reached=len(attempt.reached),
            most_reached=attempt.max_reached,
            rank=round(context.rank, 3),
            has_budget=has_budget,
        )
        return is_allowed

    def _find_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.RequestBudget(
                MAX_RETRY_RATIO, self._now, RETRY_RESERVE
            )
        return budget

    def _record_response(self, call, response, arrived_at):
        context = call.context
        self._metrics.count(
            'cactusloft_calls_total',
            context.service,
            f'{response.status // 100}xx',
        )
        # The line limit drops most of these events; their fields are built
        # only for those that are written.
        if not self._log.takes(_V.CALL_ANSWERED):
            return
        self._log.write(
            _V.CALL_ANSWERED,
            call_id=context.call_id,
            service=context.service,
            route=call.route,
            status=response.status,
            owner=response.owner,
            after_ms=round((self._now() - arrived_at) * 1000),
        )

    def _record_refusal(self, request, error, arrived_at, call=None):
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
            not_run=error.effective_not_run.value,
            detail=error.detail,
            document_version=self._config.version.number,
            confirmation_age_s=round(self._config.age_s, 3),
            after_ms=round((self._now() - arrived_at) * 1000),
            **fields,
        )


def _is_full(outcome):
    """Tell whether an owner had no slot for a call."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().detail in (_owner.NO_FREE_SLOT, _owner.NO_SLOT)
