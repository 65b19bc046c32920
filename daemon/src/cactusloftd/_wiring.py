"""The daemon: its components, their start and their shutdown."""

import asyncio
import collections
import itertools
import pathlib
import random
import time

import structlog

import cactusloft_link as link
from cactusloft_membership import choice
from cactusloft_membership import exchange
from cactusloft_membership import registry
from cactusloft_model import clock
from cactusloft_model import events
import cactusloft_quota as quota
from cactusloftd import _accounts
from cactusloftd import _admin
from cactusloftd import _backend
from cactusloftd import _callers
from cactusloftd import _config
from cactusloftd import _control_hosts
from cactusloftd import _control_plane
from cactusloftd import _entry
from cactusloftd import _exchanges
from cactusloftd import _flow
from cactusloftd import _group
from cactusloftd import _guards
from cactusloftd import _http_server
from cactusloftd import _jobs
from cactusloftd import _leadership
from cactusloftd import _ledger_messages
from cactusloftd import _link_events
from cactusloftd import _mark_relay
from cactusloftd import _marks
from cactusloftd import _members
from cactusloftd import _messages
from cactusloftd import _metrics
from cactusloftd import _owner
from cactusloftd import _peers
from cactusloftd import _rates
from cactusloftd import _registrations
from cactusloftd import _reservations
from cactusloftd import _retries

SHUTDOWN_POLL_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 1.0
_V = events.Event


class Daemon:
    """All components of one daemon.

    :param settings: :class:`_settings.Settings`.
    """

    def __init__(self, settings):
        self._settings = settings
        self._incarnation = time.time_ns() // 10**6
        self._sequence = itertools.count(1)
        now = clock.read_boot_time
        hybrid_clock = clock.HybridClock(lambda: time.time_ns() // 10**6)
        self._log = events.EventLog(
            settings.name, hybrid_clock, structlog.get_logger()
        )
        self._metrics = _metrics.Metrics()
        self._log.on_record = self._metrics.count_event
        security = settings.security
        self._node = link.LinkNode(
            _ledger_messages.CODEC,
            security.key_pair,
            link.AllowedKeys(security.allowed_keys),
            hybrid_clock,
        )
        self._node.on_event = _link_events.make_recorder(self._log)
        self._members = _members.Members(
            self._node,
            settings.control_hosts,
            self._make_registration,
            choice.MembershipView(
                settings.name, settings.data_centre, random.Random()
            ),
            now,
        )
        self._plane = _control_plane.ControlPlane(
            settings, self._node, self._log, now, self._members
        )
        self._registrations = _registrations.RegistrationServer(
            settings, self._incarnation, self._node, self._plane.installed, now
        )
        self._mark_relay = _mark_relay.MarkRelay(
            settings, self._incarnation, self._node, now
        )
        self._is_control_host = _control_hosts.is_control_host(settings)
        config = _choose_config(settings, self._plane)
        self._guards = self._make_guards(config, now)
        self._owner = _owner.Owner(
            config, self._guards, self._log, self._metrics, now
        )
        self._admin = self._make_admin()
        self._report_due = asyncio.Event()
        self._owner.on_change = self._report_due.set
        self._plane.connect_evacuations(
            settings.data_centre,
            self._owner,
            self._members,
            self._report_due.set,
        )
        self._attach_tables()
        self._entry = _entry.Entry(
            settings.name,
            config,
            self._owner,
            self._members,
            self._guards,
            self._make_accounts(config, now),
            self._log,
            now,
        )
        self._exchanges = _exchanges.Exchanges()
        self._runners = []
        self._call_server = _peers.CallServer(self._owner, now)
        self._register_gauges()

    def _make_admin(self):
        plane = self._plane
        return _admin.Admin(
            self._settings,
            plane.installed,
            plane.operators,
            plane.control,
            plane.parser,
            self._members,
            self._owner,
            self._log,
            self._metrics,
        )

    def _attach_tables(self):
        """Attach the tables that are exchanged with the home of this daemon.

        A control host is its own home and serves the tables instead.
        """
        plane, members = self._plane, self._members
        members.on_report_due = self._report_due.set
        members.on_departure = self._owner.handle_departure
        members.find_home = plane.watcher.find_home
        self._registrations.on_change = self._handle_member_change
        self._mark_relay.on_change = plane.server.notify
        if self._is_control_host:
            plane.server.attach(_registrations.TABLE, self._registrations)
            plane.server.attach(_mark_relay.TABLE, self._mark_relay)
            return
        for name, table in (
            (_registrations.TABLE, members),
            (_mark_relay.TABLE, self._guards.marks),
        ):
            plane.watcher.attach(name, table.make_report, table.apply_table)

    def _handle_member_change(self):
        self._plane.server.notify()
        self._report_due.set()

    def _make_guards(self, config, now):
        name, members, log = self._settings.name, self._members, self._log
        return _guards.Guards(
            _flow.Flow(config, random.Random(), now),
            self._make_marks(log),
            _retries.Retries(name, config, members, log, now),
        )

    def _make_accounts(self, config, now):
        settings, log, node = self._settings, self._log, self._node
        view = _group.GroupView(self._plane.replica)
        self._plane.attach(_group.TABLE, view)
        leadership = _leadership.Leadership(view, log, now)
        self._allocators = _rates.Allocators(view, config, leadership, now)
        boot = str(self._incarnation)
        self._rates = _rates.Rates(
            settings.name,
            boot,
            view,
            node,
            self._allocators,
            now,
            self._metrics,
        )
        self._reservations = _reservations.Reservations(
            settings, view, node, log, now
        )
        if self._plane.replica is not None:
            self._plane.replica.set_change_guard(self._reservations.is_settled)
        if settings.document_file:
            return _accounts.NoAccounts()
        return _accounts.Accounts(self._rates, self._reservations)

    def _make_marks(self, log):
        return _marks.Marks(
            self._settings.name,
            self._members,
            self._mark_relay,
            self._is_control_host,
            log,
        )

    async def run(self, stop):
        """Serve until the event ``stop`` is set, then shut down."""
        await self._start()
        self._log.record(_V.DAEMON_STARTED, incarnation=self._incarnation)
        tasks = [
            _jobs.start_job(run, self._log)
            for run in (
                self._keep_registered,
                self._guards.marks.run,
                self._allocators.run,
                self._reservations.run_member,
            )
        ]
        if self._is_control_host:
            tasks.append(_jobs.start_job(self._registrations.run, self._log))
        await stop.wait()
        self._log.record(_V.DAEMON_STOPPING)
        await self._shut_down()
        for task in tasks:
            task.cancel()
        await self._close()
        self._log.record(_V.DAEMON_STOPPED)

    async def _start(self):
        listeners = self._settings.listeners
        self._node.handle_streams(_messages.CallStart, self._call_server.serve)
        self._node.handle_requests(
            exchange.HomeUpdate, self._registrations.handle_home_update
        )
        self._node.handle_requests(
            _messages.CrashMarkUpdate, self._mark_relay.receive
        )
        self._node.handle_requests(
            _messages.Lookup, self._registrations.look_up
        )
        self._guards.handle_messages(self._node)
        self._node.handle_requests(
            quota.LeaseRequest, self._allocators.handle_lease_request
        )
        self._reservations.handle_messages()
        self._plane.start()
        self._node.listen(listeners.peers)
        callers = _callers.Callers(
            self._entry, self._exchanges, self._log, self._metrics
        )
        backend = _backend.Backend(
            self._entry, self._owner, self._exchanges, self._metrics
        )
        await self._listen(listeners.callers, callers.handle)
        await self._listen(listeners.backend, backend.handle)
        await self._listen(listeners.admin, self._admin.handle)

    def _register_gauges(self):
        """Register the functions that read the gauges."""
        observe = self._metrics.observe_number
        owner, exchanges = self._owner, self._exchanges
        observe('cactusloft_in_flight_calls', lambda: owner.in_flight)
        observe('cactusloft_queued_calls', self._read_queued)
        observe('cactusloft_concurrency_limit_calls', self._read_limit)
        observe('cactusloft_rate_leases', self._rates.count_leases)
        observe('cactusloft_open_exchanges', lambda: exchanges.count)
        installed = self._plane.installed
        observe('cactusloft_document_version', self._read_version)
        observe(
            'cactusloft_confirmation_age_seconds',
            lambda: installed.age_s if installed.confirmed_at else None,
        )
        observe(
            'cactusloft_backend_server_lease',
            lambda: int(owner.announcement is not None),
        )
        self._metrics.observe('cactusloft_members', self._count_members)

    def _read_version(self):
        return self._plane.installed.version.number

    def _read_queued(self):
        admission = self._owner.admission
        return admission.queued if admission else None

    def _read_limit(self):
        admission = self._owner.admission
        return admission.compute_limit() if admission else None

    def _count_members(self):
        services = (m.service for m in self._members.list_members())
        counts = collections.Counter(services)
        return {(service,): count for service, count in counts.items()}

    async def _listen(self, endpoint, handler):
        runner = await _http_server.listen(endpoint, handler, self._log)
        self._runners.append(runner)

    async def _shut_down(self):
        """Stop accepting work and wait until the work in progress is done.

        The wait ends after ``shutdown_grace_s`` at the latest.
        """
        self._exchanges.is_closing = True
        if self._owner.is_serving:
            self._owner.stop()
            await self._members.report_now()
        deadline = time.monotonic() + self._settings.shutdown_grace_s
        while time.monotonic() < deadline and self._is_busy():
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    async def _keep_registered(self):
        """Keep the registration of this daemon current until cancelled.

        Control hosts report to themselves at each interval and change. Other
        daemons report with each poll of the watch, which a change wakes.
        """
        known_version = 0
        while True:
            is_report_due = self._report_due.is_set()
            self._report_due.clear()
            if self._is_control_host:
                known_version = self._report_locally(known_version)
            elif is_report_due:
                self._plane.watcher.wake()
            self._owner.expire()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self._report_due.wait()
            except TimeoutError:
                continue

    def _report_locally(self, known_version):
        """Exchange members with the local server; return the new version."""
        table = self._registrations.exchange(
            self._settings.name,
            _messages.TableRequest(
                _registrations.TABLE,
                known_version,
                self._members.make_report(),
            ),
        )
        if table is None:
            return known_version
        self._members.apply_table(table.content)
        return table.version

    def _is_busy(self):
        counts = (
            self._exchanges.count,
            self._owner.in_flight,
            self._reservations.open_calls,
        )
        return any(counts)

    async def _close(self):
        for runner in self._runners:
            await runner.cleanup()
        self._rates.close()
        await self._owner.close()
        await self._plane.close()
        self._metrics.close()
        self._node.close()

    def _make_registration(self):
        settings = self._settings
        announcement = self._owner.announcement
        return registry.Registration(
            name=settings.name,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            host=settings.host,
            data_centre=settings.data_centre,
            peers=settings.listeners.peers,
            admin=settings.listeners.admin,
            public_key=settings.security.public_key,
            service=announcement.service if announcement else '',
            instance=announcement.instance if announcement else '',
            slots=announcement.slots if announcement else 0,
            is_serving=self._owner.is_serving,
            is_leaving=self._owner.is_leaving,
        )


def _choose_config(settings, plane):
    """Return the source of the document: a file, or the control replicas."""
    if not settings.document_file:
        return plane.installed
    text = pathlib.Path(settings.document_file).read_text()
    return _config.FileConfig(text)
