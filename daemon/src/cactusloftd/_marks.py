"""Crash marks of this daemon, and their way to the other daemons.

Marks go to the control hosts, which pass them on to all daemons. A daemon that
was away gets them with the next repetition.
"""

import asyncio
import itertools
import secrets

from returns import result

from cactusloft_model import errors
from cactusloft_model import events
from cactusloft_retry import marks
from cactusloftd import _calls
from cactusloftd import _messages

# The failed call is answered at the latest after this time, so that a peer
# that cannot be reached delays the caller only briefly.
SPREAD_TIMEOUT_S = 0.5
PERMIT_TIMEOUT_S = 0.5
REPEAT_INTERVAL_S = 2.0
_E = errors.ErrorKind
_V = events.Event


class Marks:
    """Judge requests by their marks and tell the peers of new ones.

    :param name: name of this daemon.
    :param members: :class:`_members.Members`.
    :param registrations: :class:`_registrations.RegistrationServer` of this
        daemon, empty unless it is a control host.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, name, members, registrations, log, now):
        self._name = name
        self._members = members
        self._registrations = registrations
        self._log = log
        self._book = marks.MarkBook(name, now)
        self._incarnation = secrets.token_hex(4)
        self._numbers = itertools.count()
        self._tasks = set()

    def make_loss_id(self):
        """Return a new identity for the loss of a backend server."""
        return f'{self._name}/{self._incarnation}/{next(self._numbers)}'

    def is_ordinary(self, fingerprint):
        """Tell whether a request may run beside others."""
        return self._book.judge(fingerprint) is marks.Treatment.ORDINARY

    def check(self, fingerprint):
        """Refuse a quarantined request.

        :returns: ``Success(None)`` or ``Failure(CallError)``.
        """
        if self._book.judge(fingerprint) is marks.Treatment.QUARANTINED:
            self._log.record(_V.REQUEST_QUARANTINED, fingerprint=fingerprint)
            return _calls.fail(_E.QUARANTINED)
        return result.Success(None)

    async def claim(self, fingerprint):
        """Ask for the right to run a request.

        :returns: ``Success(whether it must run alone)`` or
            ``Failure(CallError)``.
        """
        treatment = self._book.judge(fingerprint)
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
        found = self._book.note_loss(loss, fingerprints)
        for mark in found:
            self._log.record(
                _V.CRASH_MARKED,
                fingerprint=mark.fingerprint,
                losses=len(mark.losses),
            )
        await self._spread(found)

    def report_success(self, fingerprint):
        """Clear the mark of a request that ran alone and succeeded."""
        mark = self._book.note_success(fingerprint)
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
            await self._spread(list(own))

    async def receive(self, message, _age_s):
        """Take over marks from a peer; the handler of ``MarkNews``."""
        for mark in message.marks:
            self._book.merge(mark)
        if message.is_for_all:
            await self._relay(message.marks)
        return _messages.MarkReceipt()

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

    async def _spread(self, found):
        if not found:
            return
        news = _messages.MarkNews(tuple(found), is_for_all=True)
        links = self._members.list_control_links()
        await asyncio.gather(*(self._send(link, news) for link in links))

    async def _relay(self, found):
        """Pass marks on to all daemons that registered here."""
        news = _messages.MarkNews(found, is_for_all=False)
        links = [
            self._members.connect(member)
            for member in self._registrations.list_all()
            if member.name != self._name
        ]
        await asyncio.gather(*(self._send(link, news) for link in links))

    async def _send(self, link, news):
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                await link.wait_until_up(SPREAD_TIMEOUT_S)
                await link.request(news, SPREAD_TIMEOUT_S)
        except TimeoutError:
            # The next repetition reaches it.
            return
