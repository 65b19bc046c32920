"""Assembly, start and shutdown of a resident.

A resident with a data folder is a control host; one with a local backend
server is entry and owner. One process may be both.
"""

import asyncio
import functools
import itertools
import random
import time

import attrs

from cactusloft_admission import memory
import cactusloft_link as link
from cactusloft_membership import choice
from cactusloft_membership import exchange
from cactusloft_membership import registry
from cactusloft_model import clock
from cactusloft_model import events
from cactusloft_placement import choice as placement
import cactusloft_quota as quota
from cactusloftd import _control_plane
from cactusloftd import _evacuation_orders
from cactusloftd import _exchanges
from cactusloftd import _group
from cactusloftd import _jobs
from cactusloftd import _leadership
from cactusloftd import _link_events
from cactusloftd import _loop_monitor
from cactusloftd import _mark_relay
from cactusloftd import _marks
from cactusloftd import _members
from cactusloftd import _messages
from cactusloftd import _metrics
from cactusloftd import _peers
from cactusloftd import _registrations
from cactusloftd.resident import _clients
from cactusloftd.resident import _debits
from cactusloftd.resident import _entry
from cactusloftd.resident import _group_entry
from cactusloftd.resident import _line_log
from cactusloftd.resident import _owner
from cactusloftd.resident import _stopping

STDOUT_DESCRIPTOR = 1
REPORT_INTERVAL_S = 1.0
SHUTDOWN_POLL_S = 0.02
FAILURE_POLL_S = 0.5
# Shortest life of a process whose disk fails, which limits the rate of
# restarts. One that has lived longer ends at once: its host lacks a control
# replica until it has started again.
MIN_LIFE_S = 3.0
# A document confirmed longer ago than this is not returned as the newest.
MAX_READ_AGE_S = 1.0
# Resource in the metrics.
MEMBER_CALL = 'member_call'
_V = events.Event


@attrs.frozen
class HostContext:
    """Role of a resident on its host, in addition to its settings.

    :ivar backend_server: ``IP:port`` of the local backend server, empty
        without one.
    :ivar service: service of the callers on this host.
    :ivar is_founder: whether it creates the control group at its first start.
    :ivar client_limits: :class:`memory.ClientLimits` of the process.
    """

    backend_server: str
    service: str
    is_founder: bool
    client_limits: memory.ClientLimits = memory.make_limits()


class Resident:
    """A resident with all its components.

    :param settings: :class:`_settings.Settings`.
    :param host_context: :class:`HostContext`.
    :param backend_protocol: :class:`protocol.BackendProtocol`.
    :param reader: :class:`protocol.DocumentReader`.
    :ivar log: :class:`_line_log.LineLog`.
    :ivar metrics: :class:`_metrics.Metrics`.
    :ivar exchanges: :class:`_exchanges.Exchanges`, requests in progress.
    :ivar clients: :class:`_clients.Clients` at all listeners.
    """

    def __init__(self, settings, host_context, backend_protocol, reader):
        self._settings = settings
        self._host_context = host_context
        self._now = clock.read_boot_time
        self._created_at = self._now()
        self._incarnation = time.time_ns() // 10**6
        self._sequence = itertools.count(1)
        hybrid_clock = clock.HybridClock(lambda: time.time_ns() // 10**6)
        self.log = _line_log.LineLog(
            settings.name,
            hybrid_clock,
            _line_log.LineWriter(STDOUT_DESCRIPTOR),
        )
        self.metrics = _metrics.Metrics()
        self.log.on_record = self.metrics.count_event
        codec = link.Codec(_messages.MESSAGES)
        self._node = link.LinkNode(codec, None, None, None)
        self._node.on_event = _link_events.make_recorder(self.log)
        self._members = _members.Members(
            self._node,
            settings.control_hosts,
            self._make_registration,
            choice.MembershipView(
                settings.name,
                settings.data_centre,
                random.Random(),
                functools.partial(
                    placement.WorkChooser,
                    settings.data_centre,
                    random.Random(),
                ),
            ),
            self._now,
        )
        self._plane = _control_plane.ControlPlane(
            settings, self._node, self.log, self._now, self._members, reader
        )
        self.exchanges = _exchanges.Exchanges()
        self.clients = _clients.make_clients(host_context.client_limits)
        self._registration_changed = asyncio.Event()
        self._stop = _stopping.Stop(settings.shutdown_grace_s, self._now)
        self._reported_serving = False
        self._tasks = []
        self._loop_monitor = _loop_monitor.LoopMonitor(self.log, self._now)
        self._create_group_clients()
        self._serve_control()
        self._create_entry(backend_protocol)
        self._register_gauges()

    @property
    def is_ready(self):
        """Tell whether callers may send new requests here."""
        installed = self._plane.installed
        is_known = installed.version.number > 0 and installed.is_fresh()
        return not self._stop.has_begun and is_known

    @property
    def is_stopping(self):
        """Tell whether connections are to be closed after their response."""
        return self._stop.has_begun

    @property
    def owner(self):
        """Return the :class:`_owner.Owner` of the local backend server."""
        return self._owner

    async def serve(self, request):
        """Handle a request of a caller on this host.

        :param request: :class:`protocol.Request`.
        :returns: ``Success(Response)`` or ``Failure(CallError)``.
        """
        return await self._entry.serve(request, self._host_context.service)

    async def apply(self, base_version, version, change_id, text):
        """Ask the control group to change the document.

        :returns: :class:`_messages.ControlReply`.
        """
        request = _messages.ApplyRequest(
            base_version, change_id, text, False, version
        )
        return await self._plane.operators.execute(request)

    async def publish_departure(self):
        """Wait until a control host knows that the backend server leaves.

        After a restart this daemon learns of the departure from there.

        :returns: whether a control host knows it, or there is none to tell.
        """
        if not self._owner.is_leaving:
            return True
        return await self._members.report_departure(self._owner.process)

    async def evacuate(self, data_centre, is_begun):
        """Ask the control group to begin or to end an evacuation.

        :param data_centre: one of the settings.
        :returns: :class:`_messages.ControlReply`.
        """
        return await _evacuation_orders.execute_order(
            self._plane.operators,
            self._settings.data_centres,
            data_centre,
            is_begun,
        )

    def read_document(self):
        """Return the newest document text, or None if it may be outdated."""
        replica = self._plane.replica
        age_s = float('inf')
        if replica is not None and replica.confirmed_at is not None:
            age_s = self._now() - replica.confirmed_at
        if age_s > MAX_READ_AGE_S:
            self.log.record(_V.READ_REFUSED, age_s=round(age_s, 3))
            return None
        return replica.store.text or None

    def start(self):
        """Start listening for peers and start the background tasks."""
        self._node.handle_requests(
            quota.DebitRequest, self._buckets.handle_debit
        )
        self._plane.start()
        self._node.listen(self._settings.listeners.peers)
        jobs = [self._loop_monitor.run]
        if self._plane.replica is not None:
            entry = _group_entry.GroupEntry(
                self._plane,
                self._host_context.is_founder,
                self.log,
            )
            jobs += [
                entry.run,
                self._registrations.run,
                self._buckets.run,
            ]
        if self._host_context.backend_server:
            jobs += [
                self._report_registration,
                self._marks.run,
                self._debits.run,
            ]
        self._tasks = [_jobs.start_job(job, self.log) for job in jobs]
        self.log.record(
            _V.DAEMON_STARTED,
            host=self._settings.host,
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            is_control_host=self._plane.replica is not None,
        )

    def reload(self, settings):
        """Apply the control host seeds of changed settings.

        :param settings: :class:`_settings.Settings`.
        """
        seeds = list(settings.control_hosts)
        self._settings.control_hosts.replace_seeds(seeds)
        self.log.record(
            _V.SETTINGS_RELOADED, seeds=','.join(host.name for host in seeds)
        )

    def log_reload_failure(self, reason):
        """Log that changed settings are invalid."""
        self.log.record(_V.SETTINGS_RELOADED, failure=reason)

    async def wait_for_failure(self):
        """Wait until the process has to be restarted.

        After an I/O error a replica no longer knows what its disk holds.
        """
        replica = self._plane.replica
        if replica is None:
            await asyncio.Event().wait()
        while not replica.failure:
            await asyncio.sleep(FAILURE_POLL_S)
        await self._sleep_until(self._created_at + MIN_LIFE_S)

    async def shut_down(self, stop_listening, is_responding):
        """Accept no new requests and wait for those in progress.

        :param stop_listening: function that stops accepting connections;
            called once callers had time to detect the shutdown.
        :param is_responding: function that tells whether responses to callers
            are still being sent. Those from other hosts are counted nowhere
            else once their head has arrived.
        """
        self._stop.begin()
        self.log.record(
            _V.DAEMON_STOPPING, open_exchanges=self.exchanges.count
        )
        if self._host_context.backend_server:
            await self._sleep_until(self._stop.serving_until)
            self._owner.stop()
            await self._members.report_now()
            await self._sleep_until(self._stop.notice_until)
        stop_listening()
        while self._now() < self._stop.exit_at and (
            self._is_busy() or is_responding()
        ):
            await asyncio.sleep(SHUTDOWN_POLL_S)
        # Without a pause since the last look, so that no request is passed on
        # in between and cut off by the close.
        self._stop.finish()

    async def close(self):
        """Stop all components."""
        for task in self._tasks:
            task.cancel()
        if self._host_context.backend_server:
            self._owner.close()
        await self._plane.close()
        self.metrics.close()
        self._node.close()
        self.log.record(_V.DAEMON_STOPPED, open_exchanges=self.exchanges.count)

    async def _sleep_until(self, end):
        await asyncio.sleep(max(0.0, end - self._now()))

    def _is_busy(self):
        held = self._owner.held if self._host_context.backend_server else 0
        return bool(self.exchanges.count or held)

    def _create_group_clients(self):
        """Create the components that follow the control group."""
        plane, settings = self._plane, self._settings
        view = _group.GroupView(plane.replica)
        plane.attach(_group.TABLE, view)
        leadership = _leadership.Leadership(view, self.log, self._now)
        self._buckets = _debits.Buckets(
            leadership, view, plane.installed, self._now
        )
        self._debits = _debits.Debits(
            settings.name,
            view,
            plane.installed,
            self._node,
            self._buckets,
            self._now,
            self.metrics,
        )
        self._mark_relay = _mark_relay.MarkRelay(
            settings, self._incarnation, self._node, self._now
        )
        self._marks = _marks.Marks(
            settings.name,
            self._members,
            self._mark_relay,
            plane.replica is not None,
            self.log,
        )

    def _serve_control(self):
        """On a control host, serve the tables that daemons watch."""
        plane = self._plane
        if plane.replica is None:
            return
        self._registrations = _registrations.RegistrationServer(
            self._settings,
            self._incarnation,
            self._node,
            plane.installed,
            self._now,
        )
        self._registrations.on_change = plane.server.notify
        self._mark_relay.on_change = plane.server.notify
        plane.server.attach(_registrations.TABLE, self._registrations)
        plane.server.attach(_mark_relay.TABLE, self._mark_relay)
        handle = self._node.handle_requests
        handle(exchange.HomeUpdate, self._registrations.handle_home_update)
        handle(_messages.CrashMarkUpdate, self._mark_relay.receive)
        handle(_messages.Lookup, self._registrations.look_up)

    def _create_entry(self, backend_protocol):
        """With a local backend server, create its owner and the entry."""
        plane, members = self._plane, self._members
        if not self._host_context.backend_server:
            return
        self._owner = _owner.Owner(
            self._settings.name,
            self._host_context.backend_server,
            self._host_context.service,
            backend_protocol,
            plane.installed,
            self._marks,
            self.log,
            self.metrics,
            self._now,
        )
        members.on_call = functools.partial(self.metrics.grant, MEMBER_CALL)
        members.on_call_end = functools.partial(
            self.metrics.release, MEMBER_CALL
        )
        self._owner.on_change = self._registration_changed.set
        self._owner.on_other_departure = members.record_departure
        plane.connect_evacuations(
            self._settings.data_centre,
            self._owner,
            members,
            self._owner.handle_evacuation,
        )
        self._entry = _entry.Entry(
            self._settings,
            plane.installed,
            self._owner,
            members,
            self._debits,
            self._marks,
            self._stop,
            self.log,
            self.metrics,
            self._now,
        )
        plane.installed.on_install = self._entry.starting.finish
        members.on_report_due = self._registration_changed.set
        members.on_departure = self._owner.handle_departure
        members.on_work_report = self._owner.begin_work_reports
        members.find_home = plane.watcher.find_home
        for name, user in (
            (_registrations.TABLE, members),
            (_mark_relay.TABLE, self._marks),
        ):
            plane.watcher.attach(name, user.make_report, user.apply_table)
        server = _peers.CallServer(self._owner, self._now, self.clients.budget)
        self._node.handle_streams(_messages.CallStart, server.serve)
        handle = self._node.handle_requests
        handle(_messages.PermitRequest, self._marks.handle_permit_request)

    async def _report_registration(self):
        """Report a changed registration to the home, until cancelled."""
        while True:
            if self._registration_changed.is_set():
                self._registration_changed.clear()
                self._plane.watcher.wake()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self._registration_changed.wait()
            except TimeoutError:
                self._check_lease()

    def _check_lease(self):
        """Request a report if the lease of the backend server expired."""
        is_serving = self._owner.is_serving
        if is_serving != self._reported_serving:
            self._registration_changed.set()

    def _make_registration(self):
        settings = self._settings
        heartbeat, process = self._owner.heartbeat, self._owner.process
        self._reported_serving = self._owner.is_serving
        return registry.Registration(
            name=settings.name,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            host=settings.host,
            data_centre=settings.data_centre,
            peers=settings.listeners.peers,
            admin='',
            public_key='',
            service=heartbeat.service if heartbeat else '',
            instance=process.instance if process else '',
            slots=heartbeat.slots if heartbeat else 0,
            is_serving=self._reported_serving,
            born_ms=process.born_ms if process else 0,
            is_leaving=self._owner.is_leaving,
        )

    def _count_holds(self):
        """Return the number in use of each resource."""
        return {
            **self._owner.count_holds(),
            MEMBER_CALL: self._members.count_in_flight(),
            _debits.TOKEN: self._debits.count_held(),
        }

    def _register_gauges(self):
        """Register the sources of the gauges."""
        observe = self.metrics.observe_number
        installed = self._plane.installed
        observe('cactusloft_open_exchanges', lambda: self.exchanges.count)
        clients = self.clients
        observe('cactusloft_client_connections', lambda: clients.count)
        observe(
            'cactusloft_client_memory_bytes', lambda: clients.budget.held_bytes
        )
        observe(
            'cactusloft_client_memory_refusals',
            lambda: clients.budget.refused,
        )
        observe('cactusloft_clients_dropped', lambda: clients.dropped)
        observe(
            'cactusloft_document_version', lambda: installed.version.number
        )
        observe(
            'cactusloft_confirmation_age_seconds',
            lambda: installed.age_s if installed.confirmed_at else None,
        )
        if self._host_context.backend_server:
            owner = self._owner
            self.metrics.observe_holds(self._count_holds)
            observe('cactusloft_in_flight_calls', lambda: owner.held)
            observe(
                'cactusloft_backend_server_rate_limit',
                lambda: owner.rate_limit,
            )
