"""Registrations at a control host, and their exchange with the others.

A control host is the home of the daemons that watch it. It answers them with
the members of the services that they use and tells the other control hosts
what changed in its home table.
"""

import asyncio
import zlib

import msgspec

from cactusloft_membership import exchange
from cactusloft_membership import registry
from cactusloftd import _control_hosts
from cactusloftd import _messages

TABLE = 'members'
# Several heartbeats fit into the lease of a home.
HEARTBEAT_S = 0.5
SEND_TIMEOUT_S = 1.0
# A control host without a confirmation for this time may be isolated. It
# answers with no members before the copies of the others lapse here.
ISOLATION_AGE_S = 1.5


class RegistrationServer:
    """Home table of a control host and its copies of the others.

    :param settings: :class:`_settings.Settings`.
    :param incarnation: wall clock milliseconds at the start of the daemon.
    :param node: :class:`link.LinkNode`.
    :param installed: :class:`_installed.InstalledDocument`.
    :param now: function that returns monotonic seconds.

    :ivar on_change: function called after a change of any member.
    """

    def __init__(self, settings, incarnation, node, installed, now):
        self._settings = settings
        self._incarnation = incarnation
        self._node = node
        self._installed = installed
        self._now = now
        self._held = registry.Registry()
        self._table = exchange.HomeTable(
            settings.name, incarnation, self._held
        )
        self._copies = exchange.HomeCopies(self._held)
        self._ready_at = now() + exchange.SETTLE_S
        self._reports = {}
        self._noted_changes = 0
        self._noted_sequence = 0
        self._own_change = asyncio.Event()
        self.on_change = lambda: None

    def exchange(self, daemon, request):
        """Take a daemon's registration; return its members if changed.

        :param daemon: name of the daemon.
        :param request: :class:`_messages.TableRequest`.
        :returns: :class:`_messages.Table`, or None.
        """
        report = self._read_report(daemon, request.content)
        now = self._now()
        self._held.expire(now)
        # Without a known version the daemon has just moved here.
        self._held.register(
            report.registration, now, is_arrival=not request.known
        )
        self._note_changes()
        version = self._compute_version(report, now)
        is_settled = self._is_settled(now)
        if version == request.known:
            return None
        if not is_settled and not report.takes_part:
            return None
        table = _messages.MembersTable(
            report.registration.sequence,
            report.services,
            tuple(self._held.list_members(report.services, now)),
            is_settled,
        )
        content = msgspec.msgpack.encode(table)
        return _messages.Table(TABLE, version, content)

    async def look_up(self, message, _age_s):
        """Return the registration of one daemon, or all without a name."""
        name = message.name
        found = (m for m in self.list_all() if name in ('', m.name))
        return _messages.Registrations(tuple(found))

    async def handle_home_update(self, message, age_s):
        """Take a difference of another home; the handler of ``HomeUpdate``."""
        receipt = self._copies.apply(message, self._now(), age_s)
        self._note_changes()
        return receipt

    def list_all(self):
        """Return all live registrations."""
        return self._held.list_all(self._now())

    async def run(self):
        """Keep the other control hosts informed until cancelled."""
        feeds = {}
        async with asyncio.TaskGroup() as group:
            while True:
                self._update_feeds(group, feeds)
                self._expire()
                self._forget_reports()
                await asyncio.sleep(HEARTBEAT_S)

    def _update_feeds(self, group, feeds):
        """Run one feed for each other control host."""
        settings = self._settings
        others = _control_hosts.list_others(
            settings.control_hosts, settings.name
        )
        for host in set(feeds).difference(others):
            feeds.pop(host).cancel()
        for host in set(others).difference(feeds):
            feeds[host] = group.create_task(self._feed(host))

    async def _feed(self, host):
        """Send one control host all changes, and heartbeats."""
        peer = self._node.connect(host.address)
        receipt = None
        while True:
            change = self._own_change
            receipt = await self._send_news(peer, receipt)
            try:
                await asyncio.wait_for(change.wait(), HEARTBEAT_S)
            except TimeoutError:
                # Nothing changed: the next message is the heartbeat.
                continue

    async def _send_news(self, peer, receipt):
        """Return the receipt after the messages that ``receipt`` calls for."""
        if not await peer.wait_until_up(SEND_TIMEOUT_S):
            return receipt
        self._expire()
        for news in self._table.list_updates(receipt):
            reply = await peer.request(news, SEND_TIMEOUT_S)
            latest = reply.value_or(None)
            if latest is None:
                # The difference since the last receipt covers the lost one.
                return receipt
        return latest

    def _read_report(self, daemon, content):
        """Return the decoded report; a held watch shows it repeatedly."""
        known, report = self._reports.get(daemon, (None, None))
        if known is not content:
            report = msgspec.msgpack.decode(
                content, type=_messages.MembersReport
            )
            self._reports[daemon] = content, report
        return report

    def _forget_reports(self):
        """Drop the reports of daemons that moved or lapsed."""
        gone = [
            n
            for n in self._reports
            if self._held.find_local_registration(n) is None
        ]
        for name in gone:
            del self._reports[name]

    def _compute_version(self, report, now):
        """Return a version that differs with all that the answer shows.

        A new state of the daemon changes it too, so that the daemon learns
        at once that its report was taken.
        """
        state = report.registration
        shown = (
            self._incarnation,
            report.services,
            (state.service, state.instance, state.slots, state.is_serving),
            self._is_settled(now),
        )
        revision = self._held.find_revision(report.services) + 1
        return (revision << 32) | zlib.crc32(repr(shown).encode())

    def _is_settled(self, now):
        """Tell whether the daemons of lost homes had time to register."""
        is_fixed = bool(self._settings.document_file)
        if not is_fixed and self._installed.age_s > ISOLATION_AGE_S:
            self._ready_at = now + exchange.SETTLE_S
        return now >= self._ready_at

    def _expire(self):
        now = self._now()
        self._is_settled(now)
        self._held.expire(now)
        self._copies.expire(now)
        self._note_changes()

    def _note_changes(self):
        if self._noted_sequence != self._table.sequence:
            self._noted_sequence = self._table.sequence
            self._own_change.set()
            self._own_change = asyncio.Event()
        if self._noted_changes != self._held.changes:
            self._noted_changes = self._held.changes
            self.on_change()
