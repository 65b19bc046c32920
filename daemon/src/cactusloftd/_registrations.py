"""Registration server of a control host.

A control host is the home of the daemons that watch it. It sends them the
members of the services that they use, and sends the other control hosts the
changes of its home table.
"""

import asyncio
import zlib

import attrs
import msgspec

from cactusloft_membership import exchange
from cactusloft_membership import registry
from cactusloftd import _control_hosts
from cactusloftd import _messages

TABLE = 'members'
# Several heartbeats fit into the lease of a home.
HEARTBEAT_INTERVAL_S = 0.5
SEND_TIMEOUT_S = 1.0
# Changes of members within this time are sent to the daemons together. When
# all daemons restart in turn, each change would otherwise go to all of them.
NOTICE_DELAY_S = 0.15
# A control host whose confirmation is older than this may be isolated. It then
# sends no members to daemons that have a complete table, which begins before
# its copies of the other home tables expire.
ISOLATION_AGE_S = 1.5


@attrs.frozen
class _SentTable:
    """A table that was sent to a daemon.

    :ivar is_complete: whether it had all services that the daemon used, and
        the daemon kept nothing beside it.
    """

    version: int
    services: tuple[str, ...]
    is_complete: bool
    members: dict[str, registry.Registration]


_NOTHING_SENT = _SentTable(0, (), False, {})


class RegistrationServer:
    """Home table of a control host, and its copies of the other home tables.

    :param settings: :class:`_settings.Settings`.
    :param incarnation: wall-clock milliseconds at the start of the daemon.
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
        self._registry = registry.Registry()
        self._table = exchange.HomeTable(
            settings.name, incarnation, self._registry
        )
        self._copies = exchange.HomeCopies(self._registry)
        self._settled_at = now() + exchange.REGISTRATION_SETTLE_S
        self._reports = {}
        # The last table sent to each daemon.
        self._sent = {}
        self._notified_changes = 0
        self._notice = None
        self._notified_sequence = 0
        self._table_changed = asyncio.Event()
        self.on_change = lambda: None

    def exchange(self, daemon, request):
        """Handle a daemon's report; return its members if they changed.

        :param daemon: name of the daemon.
        :param request: :class:`_messages.TableRequest`.
        :returns: :class:`_messages.Table`, or None.
        """
        report = self._read_report(daemon, request.content)
        now = self._now()
        self._registry.expire(now)
        for process in report.departures:
            self._registry.record_departure(process, now)
        # A daemon that knows no version has just moved to this home.
        self._registry.register(
            report.registration, now, has_changed_home=not request.known
        )
        self._notify_changes()
        version = self._compute_version(report, now)
        is_settled = self._is_settled(now)
        services = report.services
        if not is_settled and not report.takes_part:
            # The daemon keeps the members that it knows of the others.
            services = report.incomplete_services
            if not services:
                return None
        if version == request.known:
            return None
        members = {
            member.name: member
            for member in self._registry.list_members(services, now)
        }
        sent = self._sent.get(daemon, _NOTHING_SENT)
        is_complete = is_settled and services == report.services
        is_difference = (
            bool(request.known)
            and sent.version == request.known
            and (sent.is_complete and is_complete)
        )
        changed, removed = members.values(), ()
        if is_difference:
            changed, removed = _list_differences(sent.members, members)
        self._sent[daemon] = _SentTable(
            version, services, is_complete, members
        )
        table = _messages.MembersTable(
            report.registration.sequence,
            services,
            tuple(changed),
            is_settled,
            is_difference,
            tuple(removed),
            self._find_leaving_process(report),
        )
        content = msgspec.msgpack.encode(table)
        return _messages.Table(TABLE, version, content)

    async def look_up(self, message, _age_s):
        """Return the registration of the named daemon, or all for no name."""
        name = message.name
        matching = (m for m in self.list_all() if name in ('', m.name))
        return _messages.Registrations(tuple(matching))

    async def handle_home_update(self, message, age_s):
        """Apply a ``HomeUpdate`` of another control host."""
        ack = self._copies.apply(message, self._now(), age_s)
        self._notify_changes()
        return ack

    def list_all(self):
        """Return all live registrations."""
        return self._registry.list_all(self._now())

    async def run(self):
        """Send updates to the other control hosts until cancelled."""
        senders = {}
        async with asyncio.TaskGroup() as group:
            while True:
                self._update_senders(group, senders)
                self._expire()
                self._evict_reports()
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _update_senders(self, group, senders):
        """Run one sender task for each other control host."""
        settings = self._settings
        others = _control_hosts.list_others(
            settings.control_hosts, settings.name
        )
        for host in set(senders).difference(others):
            senders.pop(host).cancel()
        for host in set(others).difference(senders):
            senders[host] = group.create_task(self._run_sender(host))

    async def _run_sender(self, host):
        """Send all changes and heartbeats to one control host."""
        peer = self._node.connect(host.address)
        ack = None
        while True:
            table_changed = self._table_changed
            ack = await self._send_updates(peer, ack)
            try:
                await asyncio.wait_for(
                    table_changed.wait(), HEARTBEAT_INTERVAL_S
                )
            except TimeoutError:
                # Nothing changed: the next, empty update is the heartbeat.
                continue

    async def _send_updates(self, peer, ack):
        """Send the updates since ``ack``; return the latest ack."""
        if not await peer.wait_until_up(SEND_TIMEOUT_S):
            return ack
        self._expire()
        for update in self._table.list_updates(ack):
            reply = await peer.request(update, SEND_TIMEOUT_S)
            latest_ack = reply.value_or(None)
            if latest_ack is None:
                # The update was lost or its ack was. The next update covers
                # all changes since the last ack.
                return ack
        return latest_ack

    def _read_report(self, daemon, content):
        """Return the decoded report of a daemon.

        A held watch passes the same bytes several times, so the decoded report
        is cached.
        """
        known, report = self._reports.get(daemon, (None, None))
        if known is not content:
            report = msgspec.msgpack.decode(
                content, type=_messages.MembersReport
            )
            self._reports[daemon] = content, report
        return report

    def _evict_reports(self):
        """Remove the reports of daemons that moved or expired."""
        removed = [
            n
            for n in self._reports
            if self._registry.find_local_registration(n) is None
        ]
        for name in removed:
            del self._reports[name]
            self._sent.pop(name, None)

    def _compute_version(self, report, now):
        """Return a version that changes with anything the table depends on.

        It changes with the reported state of the daemon too, so that the
        daemon gets the ack of its report at once.
        """
        state = report.registration
        inputs = (
            self._incarnation,
            report.services,
            () if self._is_settled(now) else report.incomplete_services,
            attrs.evolve(state, sequence=0),
            self._find_leaving_process(report),
            self._is_settled(now),
        )
        revision = self._registry.find_revision(report.services) + 1
        return (revision << 32) | zlib.crc32(repr(inputs).encode())

    def _find_leaving_process(self, report):
        """Return the process of the daemon's backend server if it has left."""
        process = report.registration.process
        return process if self._registry.has_left(process) else None

    def _is_settled(self, now):
        """Tell whether daemons of lost homes have had time to register."""
        is_fixed = bool(self._settings.document_file)
        if not is_fixed and self._installed.age_s > ISOLATION_AGE_S:
            self._settled_at = now + exchange.REGISTRATION_SETTLE_S
        return now >= self._settled_at

    def _expire(self):
        now = self._now()
        self._is_settled(now)
        self._registry.expire(now)
        self._copies.expire(now)
        self._notify_changes()

    def _notify_changes(self):
        """Wake the senders and call ``on_change`` if anything changed."""
        if self._notified_sequence != self._table.sequence:
            self._notified_sequence = self._table.sequence
            self._table_changed.set()
            self._table_changed = asyncio.Event()
        if (
            self._notified_changes != self._registry.changes
            and self._notice is None
        ):
            loop = asyncio.get_running_loop()
            self._notice = loop.call_later(NOTICE_DELAY_S, self._wake_watches)

    def _wake_watches(self):
        self._notice = None
        self._notified_changes = self._registry.changes
        self.on_change()


def _list_differences(sent, members):
    """Return the changed members and the names of the removed ones.

    :param sent: registrations by name that the daemon has.
    :param members: present registrations by name.
    """
    changed = [
        member
        for name, member in members.items()
        if name not in sent
        or (sent[name] is not member and not member.is_same_member(sent[name]))
    ]
    return changed, [name for name in sent if name not in members]
