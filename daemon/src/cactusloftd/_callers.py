"""The listener for callers."""

from returns import pipeline

from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _http

_E = errors.ErrorKind
_V = events.Event


class Callers:
    """Serve requests of callers.

    :param entry: :class:`_entry.Entry`.
    :param exchanges: :class:`_http.Exchanges`.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, entry, exchanges, log):
        self._entry = entry
        self._exchanges = exchanges
        self._log = log

    async def handle(self, request):
        """Answer one request."""
        with self._exchanges:
            if self._exchanges.is_closing:
                return await self._refuse(request, _calls.fail(_SHUTDOWN))
            return await self._serve(request)

    async def _serve(self, request):
        head = _http.read_head(request, request.raw_path)
        if not pipeline.is_successful(head):
            return await self._refuse(request, head)
        inbound = head.unwrap()
        authorised = self._entry.authorise(inbound)
        if not pipeline.is_successful(authorised):
            return await self._refuse(request, authorised)
        route, account = authorised.unwrap()
        body = await _http.read_body(request, route.max_body_bytes)
        if not pipeline.is_successful(body):
            return await self._refuse(request, body)
        made = self._entry.make_root_call(
            inbound, route, account, body.unwrap()
        )
        if not pipeline.is_successful(made):
            return await self._refuse(request, made)
        call = made.unwrap()
        outcome = await self._entry.dispatch(call)
        return await self._answer(request, call.context, outcome)

    async def _answer(self, request, context, outcome):
        if not pipeline.is_successful(outcome):
            return await self._refuse(request, outcome, context)
        response = outcome.unwrap()
        self._record(_V.CALL_ANSWERED, context, status=response.status)
        try:
            return await _http.write_response(
                request, response, context.call_id
            )
        except _calls.ResponseCut as error:
            self._record(_V.CALL_CUT, context, detail=str(error))
            raise

    async def _refuse(self, request, failed, context=None):
        error = failed.failure()
        call_id = ''
        if context is not None:
            call_id = context.call_id
            self._record(
                _V.CALL_REFUSED,
                context,
                kind=error.kind.value,
                not_run=error.answer.not_run.value,
            )
        return await _http.write_problem(request, error, call_id)

    def _record(self, event, context, **fields):
        self._log.record(
            event,
            call_id=context.call_id,
            root_call_id=context.root_call_id,
            client_account=context.client_account,
            **fields,
        )


_SHUTDOWN = _E.SHUTTING_DOWN
