"""HTTP handler of the listener for callers."""

import time

from returns import pipeline

from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _http
from cactusloftd import _problems

_E = errors.ErrorKind
_V = events.Event


class Callers:
    """Serve requests of callers.

    :param entry: :class:`_entry.Entry`.
    :param exchanges: :class:`_exchanges.Exchanges`.
    :param log: :class:`events.EventLog`.
    :param metrics: :class:`_metrics.Metrics`.
    """

    def __init__(self, entry, exchanges, log, metrics):
        self._entry = entry
        self._exchanges = exchanges
        self._log = log
        self._metrics = metrics

    async def handle(self, request):
        """Handle one HTTP request."""
        with self._exchanges:
            if self._exchanges.is_closing:
                return self._refuse(_calls.fail(_E.SHUTTING_DOWN))
            return await self._serve(request)

    async def _serve(self, request):
        head = _http.read_head(request, _http.read_target(request))
        if not pipeline.is_successful(head):
            return self._refuse(head)
        inbound = head.unwrap()
        authorised = self._entry.authorise(inbound)
        if not pipeline.is_successful(authorised):
            return self._refuse(authorised)
        route, account = authorised.unwrap()
        body = await _http.read_body(request, route.max_body_bytes)
        if not pipeline.is_successful(body):
            return self._refuse(body)
        created = self._entry.make_root_call(
            inbound, route, account, body.unwrap()
        )
        if not pipeline.is_successful(created):
            return self._refuse(created)
        call = created.unwrap()
        started_at = time.monotonic()
        outcome = await self._entry.dispatch(call)
        self._metrics.record(
            'cactusloft_call_duration_seconds',
            time.monotonic() - started_at,
            route.service,
        )
        return await self._write_outcome(request, call.context, outcome)

    async def _write_outcome(self, request, context, outcome):
        if not pipeline.is_successful(outcome):
            return self._refuse(outcome, context)
        response = outcome.unwrap()
        self._record(_V.CALL_ANSWERED, context, status=response.status)
        self._metrics.count(
            'cactusloft_calls_total',
            context.service,
            f'{response.status // 100}xx',
        )
        try:
            return await _http.write_response(
                request, response, context.call_id
            )
        except _calls.ResponseCut as error:
            self._metrics.count(
                'cactusloft_cut_answers_total', context.service
            )
            self._record(_V.CALL_CUT, context, detail=str(error))
            raise

    def _refuse(self, outcome, context=None):
        error = outcome.failure()
        self._metrics.count(
            'cactusloft_refusals_total', 'callers', error.kind.value
        )
        call_id = ''
        if context is not None:
            call_id = context.call_id
            self._record(
                _V.CALL_REFUSED,
                context,
                kind=error.kind.value,
                not_run=error.response.not_run.value,
            )
        return _problems.make_problem(error, call_id)

    def _record(self, event, context, **fields):
        self._log.record(
            event,
            call_id=context.call_id,
            root_call_id=context.root_call_id,
            client_account=context.client_account,
            **fields,
        )
