"""Retry decisions: allowances of root calls and budgets of services."""

from returns import result

from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_retry import allowances
from cactusloft_retry import budgets
from cactusloftd import _calls
from cactusloftd import _messages

CREDIT_TIMEOUT_S = 0.5
_E = errors.ErrorKind


class Retries:
    """Decide whether a call may be sent again.

    :param name: name of this daemon.
    :param config: :class:`_config.Config`.
    :param members: :class:`_members.Members`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, name, config, members, log, now):
        self._name = name
        self._config = config
        self._members = members
        self._log = log
        self._now = now
        self._root_allowances = allowances.RootAllowances(now)
        self._nested_requests = allowances.NestedRequests()
        self._budgets = {}

    def open(self, call, credits):
        """Register a root call with its retry allowance.

        :param credits: retries allowed in the whole call tree.
        """
        context = call.context
        self._root_allowances.open(context.call_id, credits, context.deadline)

    def close(self, call):
        """Remove a root call that has ended."""
        self._root_allowances.close(call.context.call_id)

    def forget_nested(self, parent_call_id):
        """Remove the nested requests of a call that has ended."""
        self._nested_requests.remove_call(parent_call_id)

    async def admit_nested(self, call):
        """Admit a nested request, for a retry credit if it is a repeat.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        context = call.context
        digest = allowances.digest_request(
            context.service, call.method, call.target, call.body
        )
        if not self._nested_requests.record(context.parent_call_id, digest):
            return result.Success(None)
        if await self.take(call):
            return result.Success(None)
        return _calls.fail(_E.RETRY_REFUSED)

    async def may_resend(self, call, error):
        """Return whether ``call`` may be sent again, and take the credit."""
        not_run = error.response.not_run
        if not budgets.may_resend(call.context.idempotent, not_run):
            return False
        return await self.take(call)

    async def take(self, call):
        """Consume retry budget and a retry credit for one retry of ``call``.

        :returns: whether both were available.
        """
        context = call.context
        if self._now() >= context.deadline:
            return False
        budget = self._find_budget(context.service)
        is_given = budget.allows_retry() and await self._take_credit(context)
        event = events.Event.RETRY_DENIED
        if is_given:
            budget.spend()
            event = events.Event.CALL_RETRIED
        self._log.record(
            event,
            call_id=context.call_id,
            root_call_id=context.root_call_id,
            service=context.service,
        )
        return is_given

    def record_success(self, call):
        """Count a successful call, which adds to the budget of its service."""
        self._find_budget(call.context.service).record_success()

    async def handle_retry_credit_request(self, message, _age_s):
        """Handle a ``RetryCreditRequest``: grant a credit if one is left."""
        return _messages.RetryCredit(
            self._root_allowances.take(message.root_call_id)
        )

    async def _take_credit(self, context):
        if context.root_entry == self._name:
            return self._root_allowances.take(context.root_call_id)
        member = await self._members.resolve(context.root_entry)
        if member is None:
            return False
        request = _messages.RetryCreditRequest(context.root_call_id)
        link = self._members.connect(member)
        await link.wait_until_up(CREDIT_TIMEOUT_S)
        reply = await link.request(request, CREDIT_TIMEOUT_S)
        return reply.value_or(_messages.RetryCredit(False)).is_given

    def _find_budget(self, service):
        known = self._config.current.services.get(service)
        share = known.retry_share if known else 0.0
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.RetryBudget(share, self._now)
            self._budgets[service] = budget
        budget.share = share
        return budget
