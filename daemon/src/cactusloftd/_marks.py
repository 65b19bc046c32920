"""Crash marks of this daemon, and their way to the other daemons.

Marks go to the control host that this daemon watches, which passes them on to
the other control hosts and to all daemons. Marks are repeated, since a control
host that was away may lack them.
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
_V = events.Event


class Marks:
    """Judge requests by their marks and tell the peers of new ones.

    :param name: name of this daemon.
    :param members: :class:`_members.Members`.
    :param relay: :class:`_mark_relay.MarkRelay` of this daemon.
    :param is_control_host: whether the relay spreads this daemon's marks.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, name, members, relay, is_control_host, log):
        self._name = name
        self._members = members
        self._relay = relay
        self._is_control_host = is_control_host
        self._log = log
        self._book = relay.book
        self._incarnation = secrets.token_hex(4)
        self._numbers = itertools.count()
        self._tasks = set()

    def make_loss_id(self):
        """Return a new identity for the loss of a backend server."""
        return f'{self._name}/{self._incarnation}/{next(self._numbers)}'

    def is_ordinary(self, fingerprint):
        """Tell whether a request may run beside others."""
        return (
            self._book.find_treatment(fingerprint) is marks.Treatment.ORDINARY
        )

    def check(self, fingerprint):
        """Refuse a quarantined request.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if (
            self._book.find_treatment(fingerprint)
            is marks.Treatment.QUARANTINED
        ):
            self._log.record(_V.REQUEST_QUARANTINED, fingerprint=fingerprint)
            return _calls.fail(_E.QUARANTINED)
        return result.Success(None)

    async def claim(self, fingerprint):
        """Ask for the right to run a request.

        :returns: ``Success(whether it must run alone)`` or
            ``Failure(CallError)``.
        """
        treatment = self._book.find_treatment(fingerprint)
        if treatment is marks.Treatment.ORDINARY:
            return result.Success(False)
        if treatment is marks.Treatment.QUARANTINED:
            return _calls.fail(_E.QUARANTINED)
        if await self._ask_permit(fingerprint, is_return=False):
            return result.Success(True)
        return _calls.fail(
            _E.OVERLOADED, 'crash suspect: its run alone is not available'
        )

    async def return_claim(self, fingerprint):
        """Give back the permit of a run that certainly did not start."""
        await self._ask_permit(fingerprint, is_return=True)

    async def report_loss(self, loss, fingerprints):
        """Mark requests and wait until the reachable daemons know."""
        found = self._book.record_loss(loss, fingerprints)
        for mark in found:
            self._log.record(
                _V.CRASH_MARKED,
                fingerprint=mark.fingerprint,
                losses=len(mark.losses),
            )
        await self._spread(found)

    def report_success(self, fingerprint):
        """Clear the mark of a request that ran alone and succeeded."""
        mark = self._book.record_success(fingerprint)
        if mark is not None:
            self._log.record(_V.CRASH_MARK_CLEARED, fingerprint=fingerprint)
            task = asyncio.create_task(self._spread([mark]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def run(self):
        """Repeat the live marks of this daemon to all peers."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            own = (m for m in self._book.export() if m.origin == self._name)
            await self._spread(list(own), is_new=False)

    def make_report(self):
        """Return the report on the table of marks, which is empty."""
        return b''

    def apply_table(self, content):
        """Take over the marks that the home passes on."""
        found = msgspec.msgpack.decode(
            content, type=tuple[marks.CrashMark, ...]
        )
        for mark in found:
            self._book.merge(mark)

    async def answer_permit(self, message, _age_s):
        """Give or take back a permit; the handler of ``PermitRequest``."""
        if message.is_return:
            self._book.return_permit(message.fingerprint)
            return _messages.Permit(False)
        return _messages.Permit(self._book.permit(message.fingerprint))

    async def _ask_permit(self, fingerprint, is_return):
        request = _messages.PermitRequest(fingerprint, is_return)
        origin = self._book.find_origin(fingerprint)
        if origin == self._name:
            return (await self.answer_permit(request, 0.0)).is_given
        member = await self._members.resolve(origin)
        if member is None:
            return False
        link = self._members.connect(member)
        await link.wait_until_up(PERMIT_TIMEOUT_S)
        reply = await link.request(request, PERMIT_TIMEOUT_S)
        return reply.value_or(_messages.Permit(False)).is_given

    async def _spread(self, found, is_new=True):
        if not found:
            return
        if self._is_control_host:
            await self._relay.publish(found, is_new)
            return
        news = _messages.CrashMarkUpdate(tuple(found), is_for_all=True)
        try:
            async with asyncio.timeout(_mark_relay.SPREAD_TIMEOUT_S):
                for link in self._members.list_report_links():
                    if await _mark_relay.send_news(link, news):
                        return
        except TimeoutError:
            # The next repetition reaches the home.
            return
