"""Distribution of crash marks by a control host.

A control host forwards reported crash marks to the other control hosts and, as
a table of the watch, to the daemons that watch it. A daemon has applied the
crash marks when its next watch names the new version of the table.
"""

import asyncio
import collections

import msgspec

from cactusloft_membership import exchange
from cactusloft_retry import marks
from cactusloftd import _messages

TABLE = 'marks'
# Limits the wait for other daemons before a failed call is answered, so that
# an unreachable daemon delays the caller only briefly.
SPREAD_TIMEOUT_S = 0.5
# Makes versions after a restart of the control host higher than all before.
VERSIONS_PER_MS = 1 << 20
# A watcher that lacks more changes than this gets all crash marks.
MAX_KEPT_CHANGES = 1024


class MarkRelay:
    """Relay of crash marks on a control host, with the local store.

    :ivar store: :class:`marks.CrashMarkStore` of the daemon.
    :ivar on_change: function called when the table has changed.
    :param settings: :class:`_settings.Settings`.
    :param incarnation: wall clock milliseconds at the start of the daemon.
    :param node: :class:`link.LinkNode`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, settings, incarnation, node, now):
        self.store = marks.CrashMarkStore(settings.name, now)
        self.on_change = lambda: None
        self._settings = settings
        self._node = node
        self._now = now
        self._first_version = incarnation * VERSIONS_PER_MS
        self._version = self._first_version
        self._changed_at = collections.OrderedDict()
        self._watchers = {}
        self._watch_received = asyncio.Event()

    def exchange(self, daemon, request):
        """Record what a daemon has applied; return the marks that it lacks.

        :param daemon: name of the daemon.
        :param request: :class:`_messages.TableRequest`.
        :returns: :class:`_messages.Table`, or None.
        """
        self._watchers[daemon] = request.known, self._now()
        self._watch_received.set()
        self._watch_received = asyncio.Event()
        if request.known == self._version:
            return None
        content = msgspec.msgpack.encode(tuple(self._list_since(request)))
        return _messages.Table(TABLE, self._version, content)

    async def receive(self, message, _age_s):
        """Handle a ``CrashMarkUpdate``.

        Applies the crash marks and waits until the daemons that watch this
        control host have them.
        """
        self._record_changes([m for m in message.marks if self.store.merge(m)])
        if message.is_for_all:
            await self._distribute(message.marks)
        else:
            await self._wait_until_applied(self._version)
        return _messages.CrashMarkAck()

    async def publish(self, crash_marks, is_new):
        """Distribute crash marks of this daemon and wait for the others.

        :param is_new: whether daemons that watch this one may lack them.
        """
        if is_new:
            self._record_changes(crash_marks)
        await self._distribute(crash_marks)

    async def _distribute(self, crash_marks):
        update = _messages.CrashMarkUpdate(
            tuple(crash_marks), is_for_all=False
        )
        others = (
            self._node.connect(host.address)
            for host in self._settings.control_hosts
            if host.name != self._settings.name
        )
        await asyncio.gather(
            self._wait_until_applied(self._version),
            *(send_update(link, update) for link in others),
        )

    def _record_changes(self, crash_marks):
        for mark in crash_marks:
            self._version += 1
            self._changed_at[mark.fingerprint] = self._version
            self._changed_at.move_to_end(mark.fingerprint)
        while len(self._changed_at) > MAX_KEPT_CHANGES:
            # A watcher with an older version gets all crash marks.
            _, self._first_version = self._changed_at.popitem(last=False)
        if crash_marks:
            self.on_change()

    def _list_since(self, request):
        known = request.known
        if not self._first_version <= known <= self._version:
            known = 0
        return (
            mark
            for mark in self.store.export()
            if self._changed_at.get(mark.fingerprint, 1) > known
        )

    async def _wait_until_applied(self, version):
        """Wait until all watching daemons have applied ``version``."""
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                while self._is_awaited(version):
                    await self._watch_received.wait()
        except TimeoutError:
            # An unreachable daemon gets the marks with its next watch.
            return

    def _is_awaited(self, version):
        oldest = self._now() - exchange.HOME_LEASE_S
        self._watchers = {
            daemon: (known, seen_at)
            for daemon, (known, seen_at) in self._watchers.items()
            if seen_at > oldest
        }
        return any(known < version for known, _ in self._watchers.values())


async def send_update(link, update):
    """Send crash marks over a link; return whether they were acknowledged.

    :param update: :class:`_messages.CrashMarkUpdate`.
    """
    try:
        async with asyncio.timeout(SPREAD_TIMEOUT_S):
            await link.wait_until_up(SPREAD_TIMEOUT_S)
            reply = await link.request(update, SPREAD_TIMEOUT_S)
            return reply.value_or(None) is not None
    except TimeoutError:
        # The next repetition sends them again.
        return False
