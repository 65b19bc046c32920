"""Crash marks at a control host, on their way to the daemons.

A control host passes reported marks on to the other control hosts and, as a
table of the watch, to the daemons that watch it. A daemon that comes back with
the new version of the table has taken the marks.
"""

import asyncio
import collections

import msgspec

from cactusloft_membership import exchange
from cactusloft_retry import marks
from cactusloftd import _messages

TABLE = 'marks'
# The failed call is answered at the latest after this time, so that a daemon
# that cannot be reached delays the caller only briefly.
SPREAD_TIMEOUT_S = 0.5
# Versions of a later start of the control host are always higher.
VERSIONS_PER_MS = 1 << 20
# Beyond this number of changed marks an asker gets all of them.
KEPT_CHANGES = 1024


class MarkRelay:
    """Relay of a control host, with the marks of the daemon.

    :ivar book: :class:`marks.CrashMarkStore` of the daemon.
    :ivar on_change: function called when the table has changed.
    :param settings: :class:`_settings.Settings`.
    :param incarnation: wall clock milliseconds at the start of the daemon.
    :param node: :class:`link.LinkNode`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, settings, incarnation, node, now):
        self.book = marks.CrashMarkStore(settings.name, now)
        self.on_change = lambda: None
        self._settings = settings
        self._node = node
        self._now = now
        self._first_version = incarnation * VERSIONS_PER_MS
        self._version = self._first_version
        self._changed_at = collections.OrderedDict()
        self._watching = {}
        self._is_returned = asyncio.Event()

    def exchange(self, daemon, request):
        """Note what a daemon has taken; return the marks that it lacks.

        :param daemon: name of the daemon.
        :param request: :class:`_messages.TableRequest`.
        :returns: :class:`_messages.Table`, or None.
        """
        self._watching[daemon] = request.known, self._now()
        self._is_returned.set()
        self._is_returned = asyncio.Event()
        if request.known == self._version:
            return None
        content = msgspec.msgpack.encode(tuple(self._list_since(request)))
        return _messages.Table(TABLE, self._version, content)

    async def receive(self, message, _age_s):
        """Take marks and wait for the daemons.

        Handler of ``CrashMarkUpdate``.
        """
        self._note([m for m in message.marks if self.book.merge(m)])
        if message.is_for_all:
            await self._spread(message.marks)
        else:
            await self._wait_until_taken(self._version)
        return _messages.CrashMarkAck()

    async def publish(self, found, is_new):
        """Spread marks of this daemon and wait for the others.

        :param is_new: whether the daemons that watch may lack them.
        """
        if is_new:
            self._note(found)
        await self._spread(found)

    async def _spread(self, found):
        news = _messages.CrashMarkUpdate(tuple(found), is_for_all=False)
        others = (
            self._node.connect(host.address)
            for host in self._settings.control_hosts
            if host.name != self._settings.name
        )
        await asyncio.gather(
            self._wait_until_taken(self._version),
            *(send_news(link, news) for link in others),
        )

    def _note(self, found):
        for mark in found:
            self._version += 1
            self._changed_at[mark.fingerprint] = self._version
            self._changed_at.move_to_end(mark.fingerprint)
        while len(self._changed_at) > KEPT_CHANGES:
            # An asker of an older version gets all marks.
            _, self._first_version = self._changed_at.popitem(last=False)
        if found:
            self.on_change()

    def _list_since(self, request):
        known = request.known
        if not self._first_version <= known <= self._version:
            known = 0
        return (
            mark
            for mark in self.book.export()
            if self._changed_at.get(mark.fingerprint, 1) > known
        )

    async def _wait_until_taken(self, version):
        """Wait until the daemons that watch hold ``version``."""
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                while self._is_missing(version):
                    await self._is_returned.wait()
        except TimeoutError:
            # A daemon that is away gets the marks when it comes back.
            return

    def _is_missing(self, version):
        oldest = self._now() - exchange.HOME_LEASE_S
        self._watching = {
            daemon: (known, seen_at)
            for daemon, (known, seen_at) in self._watching.items()
            if seen_at > oldest
        }
        return any(known < version for known, _ in self._watching.values())


async def send_news(link, news):
    """Send marks over a link; return whether they were acknowledged.

    :param news: :class:`_messages.CrashMarkUpdate`.
    """
    try:
        async with asyncio.timeout(SPREAD_TIMEOUT_S):
            await link.wait_until_up(SPREAD_TIMEOUT_S)
            reply = await link.request(news, SPREAD_TIMEOUT_S)
            return reply.value_or(None) is not None
    except TimeoutError:
        # The next repetition reaches it.
        return False
