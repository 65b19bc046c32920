"""Crash marks of this daemon, and their distribution to other daemons.

A daemon sends its crash marks to the control host that it watches, which
forwards them to the other control hosts and to all daemons. They are sent
again at an interval, since a control host that was unreachable may lack them.
"""

import asyncio
import itertools
import secrets

import msgspec
from returns import result

from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_retry import marks
from cactusloftd import _calls
from cactusloftd import _mark_relay
from cactusloftd import _messages

PERMIT_TIMEOUT_S = 0.5
REPEAT_INTERVAL_S = 2.0
_E = errors.ErrorKind
_ACCEPTED = result.Success(None)
_V = events.Event


class Marks:
    """Treat requests by their crash marks and distribute new ones.

    :param name: name of this daemon.
    :param members: :class:`_members.Members`.
    :param relay: :class:`_mark_relay.MarkRelay` of this daemon.
    :param is_control_host: whether the local relay distributes the crash
        marks of this daemon.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, name, members, relay, is_control_host, log):
        self._name = name
        self._members = members
        self._relay = relay
        self._is_control_host = is_control_host
        self._log = log
        self._store = relay.store
        self._incarnation = secrets.token_hex(4)
        self._loss_numbers = itertools.count()
        self._tasks = set()

    def make_loss_id(self):
        """Return a new identifier for the loss of a backend server."""
        return f'{self._name}/{self._incarnation}/{next(self._loss_numbers)}'

    def is_ordinary(self, fingerprint):
        """Return whether a request may run at the same time as others."""
        return (
            self._store.find_treatment(fingerprint) is marks.Treatment.ORDINARY
        )

    def check(self, fingerprint):
        """Refuse a quarantined request.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if (
            self._store.find_treatment(fingerprint)
            is marks.Treatment.QUARANTINED
        ):
            self._log.record(_V.REQUEST_QUARANTINED, fingerprint=fingerprint)
            return _calls.fail(_E.QUARANTINED)
        return _ACCEPTED

    async def claim(self, fingerprint):
        """Get permission to run a request.

        A request with a crash mark needs a permit of the daemon that made the
        mark, so that it runs once at a time in the whole fleet.

        :returns: ``Success(whether it must run alone)`` or
            ``Failure(CallError)``.
        """
        treatment = self._store.find_treatment(fingerprint)
        if treatment is marks.Treatment.ORDINARY:
            return result.Success(False)
        if treatment is marks.Treatment.QUARANTINED:
            return _calls.fail(_E.QUARANTINED)
        if await self._request_permit(fingerprint, is_return=False):
            return result.Success(True)
        return _calls.fail(
            _E.OVERLOADED, 'no permit to run this crash suspect alone'
        )

    async def return_claim(self, fingerprint):
        """Return the permit of a run that did not lose the backend server."""
        await self._request_permit(fingerprint, is_return=True)

    async def report_loss(self, loss, fingerprints):
        """Add crash marks and wait until the reachable daemons have them.

        :param loss: identifier of the loss, see :meth:`make_loss_id`.
        """
        crash_marks = self._store.record_loss(loss, fingerprints)
        for mark in crash_marks:
            self._log.record(
                _V.CRASH_MARKED,
                fingerprint=mark.fingerprint,
                losses=len(mark.losses),
            )
        await self._distribute(crash_marks)

    def report_success(self, fingerprint):
        """Clear the crash mark of a request that ran alone and succeeded."""
        mark = self._store.record_success(fingerprint)
        if mark is not None:
            self._log.record(_V.CRASH_MARK_CLEARED, fingerprint=fingerprint)
            task = asyncio.create_task(self._distribute([mark]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def run(self):
        """Send the crash marks of this daemon again, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            own_marks = (
                m for m in self._store.export() if m.origin == self._name
            )
            await self._distribute(list(own_marks), is_new=False)

    def make_report(self):
        """Return the report for the table of crash marks, which is empty."""
        return b''

    def apply_table(self, content):
        """Apply crash marks that the home forwards."""
        crash_marks = msgspec.msgpack.decode(
            content, type=tuple[marks.CrashMark, ...]
        )
        for mark in crash_marks:
            self._store.merge(mark)

    async def handle_permit_request(self, message, _age_s):
        """Handle a ``PermitRequest``: grant a permit, or take one back."""
        if message.is_return:
            self._store.return_permit(message.fingerprint)
            return _messages.Permit(False)
        return _messages.Permit(self._store.permit(message.fingerprint))

    async def _request_permit(self, fingerprint, is_return):
        request = _messages.PermitRequest(fingerprint, is_return)
        origin = self._store.find_origin(fingerprint)
        if origin == self._name:
            return (await self.handle_permit_request(request, 0.0)).is_given
        member = await self._members.resolve(origin)
        if member is None:
            return False
        link = self._members.connect(member)
        await link.wait_until_up(PERMIT_TIMEOUT_S)
        reply = await link.request(request, PERMIT_TIMEOUT_S)
        return reply.value_or(_messages.Permit(False)).is_given

    async def _distribute(self, crash_marks, is_new=True):
        if not crash_marks:
            return
        if self._is_control_host:
            await self._relay.publish(crash_marks, is_new)
            return
        update = _messages.CrashMarkUpdate(tuple(crash_marks), is_for_all=True)
        try:
            async with asyncio.timeout(_mark_relay.SPREAD_TIMEOUT_S):
                for link in self._members.list_report_links():
                    if await _mark_relay.send_update(link, update):
                        return
        except TimeoutError:
            # The next repetition sends them again.
            return
