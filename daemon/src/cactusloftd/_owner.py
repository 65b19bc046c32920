"""The owner of the backend server beside this daemon.

Every call to that backend server passes its owner, whichever daemon is the
entry, so the number in flight is exact and drain takes effect at once.
"""

import secrets

from cactusloft_membership import announcements
from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _delivery

_E = errors.ErrorKind


class Owner:
    """Admit calls to the backend server and deliver them.

    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.

    ``on_change`` is called when the backend server came, drains or left.
    """

    def __init__(self, log, now):
        self._log = log
        self._now = now
        self._server = announcements.LocalServer()
        self._delivery = None
        self._retired = []
        self._tokens = {}
        self._in_flight = 0

        self.on_change = lambda: None

    @property
    def announcement(self):
        """Return the live :class:`announcements.Announcement`, or None."""
        return self._server.find_announcement(self._now())

    @property
    def is_serving(self):
        """Tell whether new work is taken."""
        return self._server.is_serving(self._now())

    @property
    def in_flight(self):
        """Return the number of calls at the backend server."""
        return self._in_flight

    @property
    def has_free_slot(self):
        """Tell whether a call would start at once."""
        return self.is_serving and self._in_flight < self.announcement.slots

    async def announce(self, announcement):
        """Take a new announcement, or renew the lease of a known one."""
        self.expire()
        if not self._server.announce(announcement, self._now()):
            return
        self._retire_delivery()
        self._delivery = _delivery.Delivery(
            announcement.url, announcement.connections, self._now
        )
        self._log.record(
            events.Event.BACKEND_SERVER_ANNOUNCED,
            service=announcement.service,
            instance=announcement.instance,
        )
        self.on_change()
        await self._close_retired()

    def expire(self):
        """Note the loss of a backend server that stayed silent."""
        lost = self._server.expire(self._now())
        if lost is not None:
            self._log.record(
                events.Event.BACKEND_SERVER_LOST,
                service=lost.service,
                instance=lost.instance,
            )

    def drain(self):
        """Take no new work; calls in flight go on."""
        if self._server.drain(self._now()):
            self._log.record(events.Event.BACKEND_SERVER_DRAINING)
            self.on_change()

    def leave(self):
        """Forget the backend server."""
        if self._server.leave():
            self._log.record(events.Event.BACKEND_SERVER_LEFT)
            self.on_change()

    async def close(self):
        """Close the connections to the backend server."""
        for delivery in (self._delivery, *self._retired):
            if delivery is not None:
                await delivery.close()

    def _retire_delivery(self):
        if self._delivery is not None:
            self._retired.append(self._delivery)

    async def _close_retired(self):
        """Close deliveries to former processes that have no call left.

        A process that shuts down finishes its calls beside its successor.
        """
        used = {delivery for _, delivery in self._tokens.values()}
        idle = [d for d in self._retired if d not in used]
        self._retired = [d for d in self._retired if d in used]
        for delivery in idle:
            await delivery.close()

    def find_parent(self, token):
        """Return the context of the running call with ``token``, or None."""
        context, _ = self._tokens.get(token, (None, None))
        return context

    async def run(self, call):
        """Run ``call`` on the backend server.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        if not self.is_serving:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'not serving')
        if self.announcement.service != call.context.service:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'other service')
        if not self.has_free_slot:
            return _calls.fail(_E.OVERLOADED, 'all slots are taken')
        token = secrets.token_hex(calls.CALL_ID_BYTES)
        delivery = self._delivery
        self._tokens[token] = call.context, delivery
        self._in_flight += 1
        is_kept = False
        try:
            outcome = await delivery.send(call, token)
            if isinstance(outcome, _calls.result.Success):
                is_kept = True
                return outcome.map(lambda r: self._track(r, token))
            return outcome
        finally:
            if not is_kept:
                self._release(token)

    def _track(self, response, token):
        """Return ``response`` that frees the slot when it is closed."""
        close_inner = response.close

        async def close():
            try:
                await close_inner()
            finally:
                self._release(token)

        response.close = close
        return response

    def _release(self, token):
        if self._tokens.pop(token, None) is not None:
            self._in_flight -= 1
