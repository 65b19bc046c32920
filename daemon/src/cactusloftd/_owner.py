"""The owner of the backend server beside this daemon.

Every call to that backend server passes its owner, whichever daemon is the
entry, so the number in flight is exact and drain takes effect at once.
"""

import secrets

import attrs

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _delivery

LEASE_S = 3.0
_E = errors.ErrorKind


@attrs.frozen
class Announcement:
    """What a backend server says of itself.

    :ivar instance: identity of the process, new after a restart.
    :ivar url: base URL under which it takes calls.
    :ivar slots: calls that it can run at once.
    :ivar connections: connections that it accepts.
    """

    service: str
    instance: str
    url: str
    slots: int
    connections: int


class Owner:
    """Admit calls to the backend server and deliver them.

    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, log, now):
        self._log = log
        self._now = now
        self._announcement = None
        self._delivery = None
        self._lease_until = 0.0
        self._is_draining = False
        self._tokens = {}
        self._in_flight = 0

    @property
    def announcement(self):
        """Return the live :class:`Announcement`, or None."""
        if self._now() >= self._lease_until:
            return None
        return self._announcement

    @property
    def is_serving(self):
        """Tell whether new work is taken."""
        return self.announcement is not None and not self._is_draining

    @property
    def in_flight(self):
        """Return the number of calls at the backend server."""
        return self._in_flight

    @property
    def has_free_slot(self):
        """Tell whether a call would start at once."""
        return self.is_serving and self._in_flight < self._announcement.slots

    async def announce(self, announcement):
        """Take a new announcement, or renew the lease of a known one."""
        if announcement != self._announcement:
            old = self._delivery
            self._delivery = _delivery.Delivery(
                announcement.url, announcement.connections, self._now
            )
            self._announcement = announcement
            self._is_draining = False
            self._log.record(
                events.Event.BACKEND_SERVER_ANNOUNCED,
                service=announcement.service,
                instance=announcement.instance,
            )
            if old is not None:
                await old.close()
        self._lease_until = self._now() + LEASE_S

    def drain(self):
        """Take no new work; calls in flight go on."""
        if not self._is_draining:
            self._is_draining = True
            self._log.record(events.Event.BACKEND_SERVER_DRAINING)

    def leave(self):
        """Forget the backend server."""
        self._lease_until = 0.0
        self._log.record(events.Event.BACKEND_SERVER_LEFT)

    async def close(self):
        """Close the connections to the backend server."""
        if self._delivery is not None:
            await self._delivery.close()

    def find_parent(self, token):
        """Return the context of the running call with ``token``, or None."""
        return self._tokens.get(token)

    async def run(self, call):
        """Run ``call`` on the backend server.

        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        if not self.is_serving:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'not serving')
        if self._announcement.service != call.context.service:
            return _calls.fail(_E.NO_BACKEND_SERVER, 'other service')
        if not self.has_free_slot:
            return _calls.fail(_E.OVERLOADED, 'all slots are taken')
        token = secrets.token_hex(calls.CALL_ID_BYTES)
        self._tokens[token] = call.context
        self._in_flight += 1
        is_kept = False
        try:
            outcome = await self._delivery.send(call, token)
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
